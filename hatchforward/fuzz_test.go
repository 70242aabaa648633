package hatchforward

import (
	"bytes"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"dragonflyhatch/hatchstandin"
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

// oracleResponse is a response as the oracle reads it.
type oracleResponse struct {
	status   int
	header   http.Header
	body     []byte
	complete bool // the body is complete
}

// The grammar of heads (RFC 9112, sections 2 to 5), with their bytes as code points.
const (
	reasonPattern     = `(?: [\t -~\x{80}-\x{ff}]*)?\r?\n`
	fieldLinesPattern = "((?:[-!#$%&'*+.^_`|~0-9A-Za-z]+:(?:[\\t -~\\x{80}-\\x{ff}]*\\r?\\n[\\t ])*[\\t -~\\x{80}-\\x{ff}]*\\r?\\n)*)\\r?\\n"
)

var (
	informationalHead = regexp.MustCompile(`^HTTP/1\.[0-9] 1(?:0[02-9]|[1-9][0-9])` + reasonPattern + fieldLinesPattern)
	finalHead         = regexp.MustCompile(`^HTTP/1\.([0-9]) ([2-5][0-9][0-9])` + reasonPattern + fieldLinesPattern)
	fold              = regexp.MustCompile(`[\t ]*\r?\n[\t ]+`)
	chunkSize         = regexp.MustCompile(`^([0-9A-Fa-f]{1,16})[\t ]*(?:;[^\n]*)?\r?\n`)
	trailerEnd        = regexp.MustCompile(`(?:^|\n)\r?\n`)
)

// readOracle returns the final response of the bytes, or nil if there is none. It does not call
// the parser of net/http, which the forwarder calls.
func readOracle(answer []byte) *oracleResponse {
	text := make([]rune, len(answer))
	for i, value := range answer {
		text[i] = rune(value)
	}
	rest := string(text)
	for head := informationalHead.FindString(rest); head != ""; head = informationalHead.FindString(rest) {
		rest = rest[len(head):]
	}
	match := finalHead.FindStringSubmatch(rest)
	if match == nil {
		return nil
	}
	response := &oracleResponse{header: make(http.Header)}
	response.status, _ = strconv.Atoi(match[2]) // three digits
	for line := range strings.Lines(fold.ReplaceAllString(match[3], " ")) {
		name, value, _ := strings.Cut(strings.TrimRight(line, "\r\n"), ":")
		response.header.Add(name, strings.Trim(value, "\t "))
	}
	codings, lengths := response.header["Transfer-Encoding"], response.header["Content-Length"]
	content := answer[len(answer)-utf8.RuneCountInString(rest[len(match[0]):]):]
	switch {
	case response.status == http.StatusNoContent || response.status == http.StatusNotModified:
		response.complete = true
	case codings != nil && match[1] == "0": // RFC 9112, section 6.1
		return nil
	case codings != nil:
		if len(codings) != 1 || !strings.EqualFold(strings.TrimSpace(codings[0]), "chunked") {
			return nil
		}
		response.body, response.complete = readChunks(content)
	case lengths != nil:
		length, err := strconv.ParseUint(strings.TrimSpace(lengths[0]), 10, 63)
		if err != nil || slices.ContainsFunc(lengths, func(other string) bool { return strings.TrimSpace(other) != strings.TrimSpace(lengths[0]) }) {
			return nil
		}
		response.complete = uint64(len(content)) >= length
		response.body = content[:min(uint64(len(content)), length)]
	default:
		response.body, response.complete = content, true
	}
	return response
}

// readChunks returns the content of a chunked body, and whether the body is complete.
func readChunks(rest []byte) (body []byte, complete bool) {
	for {
		match := chunkSize.FindSubmatch(rest)
		if match == nil {
			return body, false
		}
		size, _ := strconv.ParseUint(string(match[1]), 16, 64) // at most 16 digits
		rest = rest[len(match[0]):]
		if size == 0 {
			return body, trailerEnd.Match(rest)
		}
		chunk := rest[:min(uint64(len(rest)), size)]
		body = append(body, chunk...)
		var ended bool
		if rest, ended = bytes.CutPrefix(rest[len(chunk):], []byte("\r\n")); !ended {
			return body, false
		}
	}
}

// isAnswer reports whether the response is complete, answers the request with the id "id" and,
// if it is a success, has a seal.
func (response *oracleResponse) isAnswer() bool {
	id := response.header.Get("Attempt-Id")
	sealed := response.status >= http.StatusMultipleChoices || response.header.Get("Server-Seal") != ""
	return response.complete && sealed && (id == "" || id == "id")
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
	"HTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\nid: 1\ndata: b\n\nid: 3\n\n",
	"HTTP/1.1 000 Broken\r\n\r\nHTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Type: text/event-stream\r\nContent-Length: 2\r\n\r\n\n\n",
	"HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nServer-Seal: s\r\n\r\nhello",
	"HTTP/2.0 200 OK\r\nServer-Seal: s\r\n\r\nhello",
	"HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK\r\nServer-Seal: s\r\n\r\nhello",
	"HTTP/1.1 200 OK\r\nServer-Seal: s\r\nX Y: z\r\n\r\nhello",
	"HTTP/1.1 200 OK\r\nServer-Seal : s\r\nContent-Length: 5\r\n\r\nhello",
	"HTTP/1.1 200\nServer-Seal: a\n \tb\nX-\xe9: z\nX: \xe9\n\nhello",
	"HTTP/1.0 200 OK\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
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
		response := readOracle(answer)
		if response == nil || !response.isAnswer() || response.status != got.status || got.complete && got.body != string(response.body) {
			t.Fatalf("%.300q: the caller got %d %.100q", answer, got.status, got.body)
		}
	})
}

// FuzzStreamResponse checks that a caller gets the events of the replica's stream up to the first
// bytes that are none, and a complete response only for a complete stream.
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
		response := readOracle(answer)
		if response == nil {
			t.Fatalf("%.300q: the caller got %d %.100q", answer, got.status, got.body)
		}
		body, complete := string(response.body), response.isAnswer()
		sound := string(hatchstandin.SoundEvents(response.body, "weight-versions"))
		switch {
		case !isEventStream(response.header):
			if !complete || got.complete && got.body != body {
				t.Fatalf("%.300q: the caller got %d %.100q", answer, got.status, got.body)
			}
		case got.complete && (!complete || got.body != body || sound != body):
			t.Fatalf("%.300q: complete, but with %.100q", answer, got.body)
		case !got.complete && got.body != sound:
			t.Fatalf("%.300q: the caller got %.100q", answer, got.body)
		}
	})
}
