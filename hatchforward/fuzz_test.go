package hatchforward

import (
	"bufio"
	"bytes"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dragonflyhatch/platform"
)

// askReplica returns what a caller of a new forwarder receives when the service's only
// replica answers with the bytes and closes the connection. The response is complete
// unless the forwarder aborted it.
func askReplica(t *testing.T, replica *fakeReplica, service, method, path string, answer []byte) (got callResult) {
	replica.setRaw(func(conn net.Conn, _ string) { _, _ = conn.Write(answer) })
	forwarder := New(newFleet(service, replica), platform.Dialect{}, WithLogger(slog.New(slog.DiscardHandler)), WithPipelineWait(time.Millisecond))
	request := httptest.NewRequest(method, path, strings.NewReader("body"))
	request.Host = "h.example"
	request.Header.Set("Attempt-Id", "id")
	request.Header.Set("Authorization", "Bearer secret")
	recorder := httptest.NewRecorder()
	defer func() {
		cause := recover()
		if cause != nil && cause != http.ErrAbortHandler {
			t.Fatalf("%.300q: panic: %v", answer, cause)
		}
		got = callResult{status: recorder.Code, body: recorder.Body.String(), complete: cause == nil}
	}()
	forwarder.ServeHTTP(recorder, request)
	return got
}

// oracle returns the last response of the bytes and its body, and whether it is a
// complete response to the request with the id, with a seal if it is a success.
func oracle(method string, answer []byte) (response *http.Response, body []byte, complete bool) {
	reader := bufio.NewReader(bytes.NewReader(answer))
	for {
		var err error
		if response, err = http.ReadResponse(reader, &http.Request{Method: method}); err != nil {
			return nil, nil, false
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	body, err := io.ReadAll(response.Body)
	id := response.Header.Get("Attempt-Id")
	sealed := response.StatusCode >= http.StatusMultipleChoices || response.Header.Get("Server-Seal") != ""
	return response, body, err == nil && sealed && (id == "" || id == "id")
}

var fuzzSeeds = []string{
	"HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: id\r\nContent-Length: 5\r\n\r\nhello",
	"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nServer-Seal: s\r\n\r\nhello",
	"HTTP/1.1 200 OK\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n0\r\nA: b\r\n\r\n",
	"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRetry-After: 1e9\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Length: 9\r\n\r\nhello",
	"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid",
	"HTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nid: \r\n8\r\n1\ndata\n\n\r\n0\r\n\r\n",
}

// FuzzPlainResponse checks that a caller never gets a success that is not a complete
// response of the replica to its request.
func FuzzPlainResponse(f *testing.F) {
	for _, seed := range fuzzSeeds {
		f.Add([]byte(seed))
	}
	replica := newFakeReplica(f, "r-1")
	f.Fuzz(func(t *testing.T, answer []byte) {
		got := askReplica(t, replica, "desk", "GET", "/safe/", answer)
		if got.status < 200 || got.status >= 300 {
			return
		}
		response, body, complete := oracle("GET", answer)
		if !complete || response.StatusCode != got.status || got.complete && got.body != string(body) {
			t.Fatalf("%.300q: the caller got %d %.100q", answer, got.status, got.body)
		}
	})
}

// FuzzStreamResponse checks that a caller gets whole events of the replica's stream, in
// order and from its beginning, and a complete response only for a complete stream.
func FuzzStreamResponse(f *testing.F) {
	for _, seed := range fuzzSeeds {
		f.Add([]byte(seed))
	}
	replica := newFakeReplica(f, "r-1")
	f.Fuzz(func(t *testing.T, answer []byte) {
		got := askReplica(t, replica, "lm", "POST", "/stream/", answer)
		if got.status < 200 || got.status >= 300 {
			return
		}
		response, body, complete := oracle("POST", answer)
		switch {
		case response == nil:
			t.Fatalf("%.300q: the caller got %d %.100q", answer, got.status, got.body)
		case !isEventStream(response.Header):
			if !complete || got.complete && got.body != string(body) {
				t.Fatalf("%.300q: the caller got %d %.100q", answer, got.status, got.body)
			}
		case got.complete && (!complete || got.body != string(body)):
			t.Fatalf("%.300q: complete, but with %.100q", answer, got.body)
		case !strings.HasPrefix(string(body), got.body) || got.body != "" && lastEventEnd([]byte(got.body)) != len(got.body):
			t.Fatalf("%.300q: the caller got %.100q", answer, got.body)
		}
	})
}
