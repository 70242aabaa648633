package hatchforward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dragonflyhatch/hatchretry"
	"dragonflyhatch/hatchroute"
)

const (
	// uploadSize is the size in bytes of a body that does not fit into the buffers of a
	// connection whose other end does not read.
	uploadSize = 4 << 20
	// cutDelay is the time in which an answer reaches the router before its connection ends.
	cutDelay = 2 * time.Millisecond
	// cutTries is the number of requests per case, since it is by chance whether a read or a
	// write of the router meets the reset.
	cutTries = 6
)

// earlyAnswer is an answer of a replica to an upload that it has not read whole.
type earlyAnswer struct {
	name  string
	head  string // %s is the id of the request; a field that frames the body and the end of the head follow
	frame string
	body  string
	read  int64               // bytes of the upload that the replica reads before it answers
	end   func(conn net.Conn) // what it does with the connection then
}

const (
	plainHead  = sealedHeaders + "Content-Type: text/plain\r\n"
	streamHead = sealedHeaders + "Content-Type: text/event-stream\r\n"
	eventCut   = 5 // number of the first event that a cut stream lacks
)

// cutAnswers returns answers whose connection is reset. Those without a frame may or may not
// be whole, which nobody can tell.
func cutAnswers(head, part string) []earlyAnswer {
	closeUnread := func(conn net.Conn) { conn.Close() }
	return []earlyAnswer{
		{"no length", head, "", part, 1, reset},
		{"no length, no part of the body", head, "", "", 1, reset},
		{"no length, half of the upload read", head, "", part, uploadSize / 2, reset},
		{"no length, closed with unread bytes", head, "", part, 1, closeUnread},
		{"no length, HTTP/1.0", strings.Replace(head, "1.1", "1.0", 1), "", part, 1, reset},
		{"no length, reset after the upload", head, "", part, uploadSize, reset},
		{"length", head, "Content-Length: 1000\r\n", part, 1, reset},
		{"chunks", head, "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(part), part), 1, reset},
	}
}

// soundAnswers returns answers that are whole, whatever their connection meets afterwards.
func soundAnswers(head, body string) []earlyAnswer {
	readOn := func(delay time.Duration) func(conn net.Conn) {
		return func(conn net.Conn) {
			_ = conn.(*net.TCPConn).CloseWrite() // fails only if the router has closed the connection
			time.Sleep(delay)
			_, _ = io.Copy(io.Discard, conn)
		}
	}
	keepOpen := func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }
	length, chunks := fmt.Sprintf("Content-Length: %d\r\n", len(body)), fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	return []earlyAnswer{
		{"no length, closed after the upload", head, "", body, uploadSize, func(conn net.Conn) { conn.Close() }},
		{"no length, half-closed, reads on", head, "", body, 1, readOn(0)},
		{"no length, half-closed, reads on late", head, "", body, 1, readOn(time.Second)},
		{"length, reset", head, length, body, 1, reset},
		{"chunks, reset", head, "Transfer-Encoding: chunked\r\n", chunks, 1, reset},
		{"length, closed with unread bytes", head, length, body, 1, func(conn net.Conn) { conn.Close() }},
		{"length, kept open", head, length, body, 1, keepOpen},
		{"chunks, kept open", head, "Transfer-Encoding: chunked\r\n", chunks, 1, keepOpen},
	}
}

// answerEarly makes the replica answer each request before it has read its body.
func (replica *fakeReplica) answerEarly(answer earlyAnswer) {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	replica.early = true
	replica.stream = func(conn net.Conn, request *http.Request) {
		id := request.Header.Get("Attempt-Id")
		replica.mu.Lock()
		replica.runs[id]++
		replica.mu.Unlock()
		_, _ = io.CopyN(io.Discard, request.Body, answer.read) // may fail only if the router closes the connection
		fmt.Fprintf(conn, answer.head+answer.frame+"\r\n%s", id, answer.body)
		time.Sleep(cutDelay)
		answer.end(conn)
	}
}

// newUploadFleet returns a fleet for uploads: its requests are not hedged and have time, and
// unsafe requests may by their limit of replicas be sent to a second one.
func newUploadFleet(service string, resumable bool, replicas ...*fakeReplica) *fakeFleet {
	fleet, routing := newFleet(service, replicas...), testRouting()
	for i := range routing.Routes {
		routing.Routes[i].Target, routing.Routes[i].Timeout, routing.Routes[i].MaxReplicas = time.Minute, time.Minute, 2
	}
	routing.Routes[2].Resumable = resumable
	fleet.table = hatchroute.NewTable(routing)
	return fleet
}

// TestCutAnswers guards against answers that are cut by a reset and reach callers as whole ones,
// and against unsafe requests that are sent again since their answer was cut.
func TestCutAnswers(t *testing.T) {
	const part = "a part of the body"
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nAttempt-Id: %s\r\n"
	upload := strings.Repeat("u", uploadSize)
	noBudget := WithRetryLimits(hatchretry.SharedLimits{Window: 10 * time.Second})
	answers := cutAnswers(plainHead, part)
	for _, answer := range cutAnswers(refusal, part) {
		answer.name += ", refusal"
		answers = append(answers, answer)
	}
	for _, answer := range answers {
		t.Run(answer.name, func(t *testing.T) {
			cut, good := newFakeReplica(t, "r-1"), newFakeReplica(t, "r-2")
			cut.answerEarly(answer)
			alone := newServer(t, newUploadFleet("desk", true, cut))
			both := func(options ...Option) *httptest.Server {
				return newServer(t, newUploadFleet("desk", true, cut, good), options...)
			}
			failures := map[string]int{} // by what failed
			check := func(what string, got callResult, id string, maxRuns int) {
				runs, runsOfGood := cut.runsOf(id), good.runsOf(id)
				switch {
				case runsOfGood > 0 && (got.status != http.StatusOK || got.body != "hello"),
					runsOfGood == 0 && got.status != http.StatusBadGateway,
					runsOfGood == 0 && (got.header.Get("Server-Seal") != "" || strings.Contains(got.body, part)):
					failures[fmt.Sprintf("%s: status %d", what, got.status)]++
				case runs+runsOfGood > maxRuns:
					failures[fmt.Sprintf("%s: %d runs", what, runs+runsOfGood)]++
				}
			}
			for i := range cutTries {
				id := func(what string) string { return fmt.Sprint(what, "-", i) }
				check("unsafe", sendBody(alone, "POST", "/unsafe/", id("alone"), upload), id("alone"), 1)
				check("unsafe, two replicas", sendBody(both(), "POST", "/unsafe/", id("unsafe"), upload), id("unsafe"), 1)
				got := sendBody(both(), "POST", "/safe/", id("safe"), upload)
				check("safe", got, id("safe"), 2)
				if got.status != http.StatusOK {
					failures["safe, not served by the sound replica"]++
				}
				check("safe, no budget", sendBody(both(noBudget), "POST", "/safe/", id("once"), upload), id("once"), 1)
			}
			for what, count := range failures {
				t.Errorf("%s: in %d of %d tries", what, count, cutTries)
			}
			if total, _ := cut.runCounts(); total == 0 {
				t.Error("no request reached the replica that cuts its answers")
			}
		})
	}
}

// TestCutStreams guards against the end of a connection that is taken for the end of the events.
func TestCutStreams(t *testing.T) {
	upload := strings.Repeat("u", uploadSize)
	for _, answer := range cutAnswers(streamHead, strings.TrimSuffix(expectedStream(0), expectedStream(eventCut-1))) {
		t.Run(answer.name, func(t *testing.T) {
			cut, good := newFakeReplica(t, "e-1"), newFakeReplica(t, "e-2")
			cut.answerEarly(answer)
			good.setStream(endsComplete, 0)
			failures := map[string]int{} // by what failed
			for i := range cutTries {
				id := fmt.Sprint("alone-", i)
				got := sendBody(newServer(t, newUploadFleet("lm", false, cut)), "POST", "/stream/", id, upload)
				if got.status == http.StatusOK && got.complete || cut.runsOf(id) != 1 {
					failures[fmt.Sprintf("cannot be resumed: status %d, %d runs", got.status, cut.runsOf(id))]++
				}
				id = fmt.Sprint("once-", i)
				got = sendBody(newServer(t, newUploadFleet("lm", false, cut, good)), "POST", "/stream/", id, upload)
				if runs := cut.runsOf(id) + good.runsOf(id); runs != 1 || cut.runsOf(id) == 1 && got.status == http.StatusOK && got.complete {
					failures[fmt.Sprintf("cannot be resumed, two engines: status %d, %d runs", got.status, runs)]++
				}
				id = fmt.Sprint("resumed-", i)
				got = sendBody(newServer(t, newUploadFleet("lm", true, cut, good)), "POST", "/stream/", id, upload)
				if got.body != expectedStream(0) || !got.complete {
					failures[fmt.Sprintf("resumed: status %d, complete %t, %d bytes", got.status, got.complete, len(got.body))]++
				}
			}
			for what, count := range failures {
				t.Errorf("%s: in %d of %d tries", what, count, cutTries)
			}
		})
	}
}

// TestSoundEarlyAnswers guards against the refusal of answers that arrive before the upload has
// been read, and are whole.
func TestSoundEarlyAnswers(t *testing.T) {
	upload := strings.Repeat("u", uploadSize)
	for _, test := range []struct{ service, head, body, path string }{
		{"desk", plainHead, "the whole body", "/unsafe/"},
		{"desk", plainHead, "the whole body", "/safe/"},
		{"lm", streamHead, expectedStream(0), "/stream/"},
	} {
		for _, answer := range soundAnswers(test.head, test.body) {
			replica := newFakeReplica(t, "r-1")
			replica.answerEarly(answer)
			server := newServer(t, newUploadFleet(test.service, true, replica))
			for i := range cutTries {
				id := fmt.Sprint("sound-", i)
				got := sendBody(server, "POST", test.path, id, upload)
				if got.status != http.StatusOK || got.body != test.body || !got.complete || replica.runsOf(id) != 1 {
					t.Errorf("%s %s: status %d, %d bytes, complete %t, ran %d times", test.path, answer.name, got.status, len(got.body), got.complete, replica.runsOf(id))
				}
			}
		}
	}
}

// TestCutAnswersOnKeptConnections guards against a kept connection that is used again after an
// answer was cut on it. The replica cuts the second answer of each connection.
func TestCutAnswersOnKeptConnections(t *testing.T) {
	const requests = 6
	replica := newFakeReplica(t, "r-1")
	conns := replica.setKeepAlive(func(conn net.Conn, id string, number int) bool {
		if number == 1 {
			return answerWell(conn, id, number)
		}
		fmt.Fprintf(conn, plainHead+"\r\na part", id)
		time.Sleep(cutDelay)
		reset(conn)
		return false
	})
	server := newServer(t, newUnhedgedFleet(replica))
	for i := range requests {
		id, want := fmt.Sprint("k-", i), []int{http.StatusOK, http.StatusBadGateway}[i%2]
		if got := sendRequest(server, "GET", "/safe/", id); got.status != want || replica.runsOf(id) != 1 {
			t.Errorf("request %s: status %d, want %d, ran %d times", id, got.status, want, replica.runsOf(id))
		}
	}
	if conns.Load() != requests/2 {
		t.Errorf("%d connections, want one for each pair of requests", conns.Load())
	}
}
