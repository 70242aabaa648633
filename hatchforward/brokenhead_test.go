package hatchforward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dragonflyhatch/hatchretry"
	"dragonflyhatch/hatchroute"
)

// brokenHeads are heads that are not valid HTTP, by what is wrong with them. %s is the id of
// the request.
var brokenHeads = map[string]string{
	"status 000":                "HTTP/1.1 000 Broken\r\nServer-Seal: seal\r\nAttempt-Id: %s\r\n",
	"status 000, marked":        "HTTP/1.1 000 Broken\r\nNot-Executed: 1\r\nAttempt-Id: %s\r\n",
	"status 099":                "HTTP/1.1 099 Broken\r\nServer-Seal: seal\r\nAttempt-Id: %s\r\n",
	"status 600":                "HTTP/1.1 600 Broken\r\nServer-Seal: seal\r\nAttempt-Id: %s\r\n",
	"status 999":                "HTTP/1.1 999 Broken\r\nServer-Seal: seal\r\nAttempt-Id: %s\r\n",
	"status +20":                "HTTP/1.1 +20 OK\r\nServer-Seal: seal\r\nAttempt-Id: %s\r\n",
	"status -00":                "HTTP/1.1 -00 OK\r\nServer-Seal: seal\r\nAttempt-Id: %s\r\n",
	"switched protocols":        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nServer-Seal: seal\r\nAttempt-Id: %s\r\n",
	"HTTP/2.0":                  "HTTP/2.0 200 OK\r\nServer-Seal: seal\r\nAttempt-Id: %s\r\n",
	"reason with control byte":  "HTTP/1.1 200 O\x01K\r\nServer-Seal: seal\r\nAttempt-Id: %s\r\n",
	"blank in name":             "HTTP/1.1 200 OK\r\nServer-Seal: seal\r\nAttempt-Id: %s\r\nX Filler: x\r\n",
	"blank in name, refusal":    "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nAttempt-Id: %s\r\nX Filler: x\r\n",
	"blank before name":         "HTTP/1.1 200 OK\r\n X-Filler: x\r\nServer-Seal: seal\r\nAttempt-Id: %s\r\n",
	"blank before colon":        "HTTP/1.1 200 OK\r\nServer-Seal: seal\r\nAttempt-Id: %s\r\nX-Filler : x\r\n",
	"blank in informational":    "HTTP/1.1 103 Early Hints\r\nX Filler: x\r\n\r\nHTTP/1.1 200 OK\r\nServer-Seal: seal\r\nAttempt-Id: %s\r\n",
	"control byte in name":      "HTTP/1.1 200 OK\r\nServer-Seal: seal\r\nAttempt-Id: %s\r\nX-\x01Filler: x\r\n",
	"tab in name":               "HTTP/1.1 200 OK\r\nServer-Seal: seal\r\nAttempt-Id: %s\r\nX\tFiller: x\r\n",
	"separator in name":         "HTTP/1.1 200 OK\r\nServer-Seal: seal\r\nAttempt-Id: %s\r\nX(Filler): x\r\n",
	"no name":                   "HTTP/1.1 200 OK\r\nServer-Seal: seal\r\nAttempt-Id: %s\r\n: x\r\n",
	"no colon":                  "HTTP/1.1 200 OK\r\nServer-Seal: seal\r\nAttempt-Id: %s\r\nX-Filler\r\n",
	"control byte in value":     "HTTP/1.1 200 OK\r\nServer-Seal: seal\r\nAttempt-Id: %s\r\nX-Filler: x\x00\r\n",
	"bare carriage return":      "HTTP/1.1 200 OK\r\nServer-Seal: seal\r\nAttempt-Id: %s\r\nX-Filler: x\rY: y\r\n",
	"chunks in HTTP/1.0":        "HTTP/1.0 200 OK\r\nServer-Seal: seal\r\nAttempt-Id: %s\r\nTransfer-Encoding: chunked\r\n",
	"control byte in next line": "HTTP/1.1 200 OK\r\nServer-Seal: seal\r\nAttempt-Id: %s\r\nX-Filler: x\r\n \x7f\r\n",
}

// brokenAnswer returns a response with the broken head, and after it one to the request next
// that would be valid alone.
func brokenAnswer(head, id, next, contentType string) string {
	fields := "Content-Type: " + contentType + "\r\n"
	return fmt.Sprintf(head, id) + fields + "Content-Length: 0\r\n\r\n" + sealed(next, fields, "forged\n\n")
}

// breakHead makes the replica answer each request by the broken head and what follows it. The
// connection stays open until the router closes it.
func (replica *fakeReplica) breakHead(head, contentType string) {
	replica.setRaw(func(conn net.Conn, id string) {
		io.WriteString(conn, brokenAnswer(head, id, id, contentType))
		_, _ = io.Copy(io.Discard, conn)
		replica.disconnects <- struct{}{}
	})
}

// closedOnce reports whether the router has closed a connection to the replica that was
// not answered properly.
func (replica *fakeReplica) closedOnce() bool {
	select {
	case <-replica.disconnects:
		return true
	case <-time.After(3 * time.Second):
		return false
	}
}

// TestBrokenHeads guards against broken answers of replicas that reach callers, and against
// unsafe requests that are sent again since their answer was broken.
func TestBrokenHeads(t *testing.T) {
	noBudget := WithRetryLimits(hatchretry.SharedLimits{Window: 10 * time.Second})
	for name, head := range brokenHeads {
		t.Run(name, func(t *testing.T) {
			check := func(what string, got callResult, status int, body string) {
				t.Helper()
				if got.status != status || got.status == http.StatusOK && (got.body != body || !got.complete) ||
					got.status != http.StatusOK && (got.header.Get("Server-Seal") != "" || strings.Contains(got.body, "forged")) {
					t.Errorf("%s: status %d, body %q, complete %t; want status %d", what, got.status, got.body, got.complete, status)
				}
			}
			one, two, good := newFakeReplica(t, "r-1"), newFakeReplica(t, "r-2"), newFakeReplica(t, "r-3")
			for _, replica := range []*fakeReplica{one, two} {
				replica.breakHead(head, "text/plain")
			}
			ran := func(id string) int { return one.runsOf(id) + two.runsOf(id) + good.runsOf(id) }

			routing, fleet := testRouting(), newFleet("desk", one)
			routing.Routes[1].MaxReplicas = 2 // so that only the class of the route keeps the request from being sent again
			fleet.table = hatchroute.NewTable(routing)
			check("unsafe request", sendRequest(newServer(t, fleet), "POST", "/unsafe/", "unsafe"), http.StatusBadGateway, "")
			if !one.closedOnce() {
				t.Error("the connection of the broken answer is still open")
			}
			all := newFleet("desk", one, two, good)
			all.table = fleet.table
			for i := range 4 {
				id := fmt.Sprint("unsafe-", i)
				got := sendRequest(newServer(t, all), "POST", "/unsafe/", id)
				if ran(id) != 1 || got.status != http.StatusBadGateway && good.runsOf(id) != 1 {
					t.Errorf("unsafe request among three replicas: status %d, ran %d times", got.status, ran(id))
				}
			}
			check("safe request, both replicas broken", sendRequest(newServer(t, newFleet("desk", one, two)), "GET", "/safe/", "both"), http.StatusBadGateway, "")
			if ran("both") > 2 {
				t.Errorf("safe request ran %d times, its route allows 2", ran("both"))
			}
			for i := range 2 {
				id := fmt.Sprint("safe-", i)
				check("safe request", sendRequest(newServer(t, newFleet("desk", one, good)), "GET", "/safe/", id), http.StatusOK, "hello")
				if ran(id) > 2 || good.runsOf(id) != 1 {
					t.Errorf("safe request ran %d times, %d at the sound replica", ran(id), good.runsOf(id))
				}
			}
			check("safe request without a budget", sendRequest(newServer(t, newFleet("desk", one, two), noBudget), "GET", "/safe/", "once"), http.StatusBadGateway, "")
			if ran("once") != 1 {
				t.Errorf("safe request ran %d times without a budget for retries", ran("once"))
			}
		})
	}
}

// TestBrokenHeadsOfStreams does the same for streams, and for those that resume at a
// replica whose answer is broken.
func TestBrokenHeadsOfStreams(t *testing.T) {
	for name, head := range brokenHeads {
		t.Run(name, func(t *testing.T) {
			broken, good := newFakeReplica(t, "e-1"), newFakeReplica(t, "e-2")
			broken.breakHead(head, "text/event-stream")
			good.setStream(endsComplete, 0)
			if got := sendRequest(newServer(t, newFleet("lm", broken)), "POST", "/stream/", "alone"); got.status != http.StatusBadGateway || got.header.Get("Server-Seal") != "" {
				t.Errorf("alone: status %d, body %q", got.status, got.body)
			}
			if got := sendRequest(newServer(t, newFleet("lm", broken, good)), "POST", "/stream/", "two"); got.body != expectedStream(0) || !got.complete {
				t.Errorf("with a sound engine: status %d, body %q, complete %t", got.status, got.body, got.complete)
			}
			routing, fleet := testRouting(), newFleet("lm", broken, good)
			routing.Routes[2].Resumable = false
			fleet.table = hatchroute.NewTable(routing)
			for i := range 2 {
				id := fmt.Sprint("once-", i)
				got := sendRequest(newServer(t, fleet), "POST", "/stream/", id)
				if broken.runsOf(id)+good.runsOf(id) != 1 || broken.runsOf(id) == 1 && got.status != http.StatusBadGateway {
					t.Errorf("stream that cannot be resumed: status %d, ran %d and %d times", got.status, broken.runsOf(id), good.runsOf(id))
				}
			}
			first, third := newFakeReplica(t, "e-1"), newFakeReplica(t, "e-3")
			first.setStream(resetsInsideEvent, 4)
			third.setStream(endsComplete, 0)
			fleet = newFleet("lm", first, broken, third)
			routing = testRouting()
			routing.Routes[2].MaxReplicas = 3
			fleet.table = hatchroute.NewTable(routing)
			if got := sendRequest(newServer(t, fleet), "POST", "/stream/", "resumed"); got.body != expectedStream(0) || !got.complete {
				t.Errorf("resumed: status %d, body %q, complete %t", got.status, got.body, got.complete)
			}
		})
	}
}

// TestBytesAfterBrokenHeads guards against bytes after a broken head that are taken for the
// answer to this request or to the next one. The replica breaks the second answer of each connection.
func TestBytesAfterBrokenHeads(t *testing.T) {
	const requests = 6
	for name, head := range brokenHeads {
		t.Run(name, func(t *testing.T) {
			next := "" // id of the next request
			replica := newFakeReplica(t, "r-1")
			conns := replica.setKeepAlive(func(conn net.Conn, id string, number int) bool {
				if number == 2 {
					io.WriteString(conn, brokenAnswer(head, id, next, "text/plain"))
					return true
				}
				return answerWell(conn, id, number)
			})
			fleet := newUnhedgedFleet(replica)
			server := newServer(t, fleet)
			for i := range requests {
				id := fmt.Sprint("k-", i)
				next = fmt.Sprint("k-", i+1)
				got := sendRequest(server, "GET", "/safe/", id)
				switch broken := i%2 == 1; {
				case !broken && (got.status != http.StatusOK || got.body != id):
					t.Errorf("request %s: status %d, body %q", id, got.status, got.body)
				case broken && (got.status != http.StatusBadGateway || strings.Contains(got.body, "forged")):
					t.Errorf("request %s, whose answer is broken: status %d, body %q", id, got.status, got.body)
				}
				if replica.runsOf(id) != 1 {
					t.Errorf("request %s ran %d times", id, replica.runsOf(id))
				}
			}
			if conns.Load() != requests/2 {
				t.Errorf("%d connections, want one for each pair of requests", conns.Load())
			}
		})
	}
}

// TestUnusualHeads guards against the rejection of heads that are valid or that RFC 9112
// allows a recipient to accept.
func TestUnusualHeads(t *testing.T) {
	const fields = "Server-Seal: seal\r\nAttempt-Id: u\r\n"
	for _, test := range []struct{ name, head, header, value string }{
		{"no reason", "HTTP/1.1 200 \r\n" + fields, "", ""},
		{"no blank after the status", "HTTP/1.1 200\r\n" + fields, "", ""},
		{"reason with tab and obs-text", "HTTP/1.1 200 a\tb \xe9\r\n" + fields, "", ""},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n" + fields, "", ""},
		{"HTTP/1.9", "HTTP/1.9 200 OK\r\n" + fields, "", ""},
		{"all token characters", "HTTP/1.1 200 OK\r\n" + fields + "!#$%&'*+-.^_`|~09azAZ: x\r\n", "!#$%&'*+-.^_`|~09azAZ", "x"},
		{"one character", "HTTP/1.1 200 OK\r\n" + fields + "q:x\r\n", "Q", "x"},
		{"empty value", "HTTP/1.1 200 OK\r\n" + fields + "X-Empty:\r\n", "X-Empty", ""},
		{"tabs around the value", "HTTP/1.1 200 OK\r\n" + fields + "X-Tab:\t x\ty \t\r\n", "X-Tab", "x\ty"},
		{"colons in the value", "HTTP/1.1 200 OK\r\n" + fields + "X-Colon: a: b\r\n", "X-Colon", "a: b"},
		{"obs-text in the value", "HTTP/1.1 200 OK\r\n" + fields + "X-Obs: \xe9\xff\r\n", "X-Obs", "\xe9\xff"},
		{"folded value", "HTTP/1.1 200 OK\r\n" + fields + "X-Fold: a\r\n \t\r\n\tb c: d\r\n", "X-Fold", "a  b c: d"},
		{"line feeds only", strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+fields, "\r", ""), "", ""},
		{"long value", "HTTP/1.1 200 OK\r\n" + fields + "X-Long: " + strings.Repeat("x", 20<<10) + "\r\n", "X-Long", strings.Repeat("x", 20<<10)},
		{"informational", "HTTP/1.1 100\r\n\r\nHTTP/1.1 102 Processing\r\nX-Hint: a\r\n\r\nHTTP/1.1 199 \r\n\r\nHTTP/1.1 200 OK\r\n" + fields, "X-Hint", ""},
	} {
		for _, pieces := range []int{1, 7} {
			replica := newFakeReplica(t, "r-1")
			replica.setRaw(func(conn net.Conn, _ string) {
				for rest := test.head + "Content-Length: 5\r\n\r\nhello"; rest != ""; {
					size := min(len(rest), max(1, len(test.head)/pieces))
					io.WriteString(conn, rest[:size])
					rest = rest[size:]
					time.Sleep(time.Millisecond)
				}
			})
			got := sendRequest(newServer(t, newFleet("desk", replica)), "POST", "/unsafe/", "u")
			if got.status != http.StatusOK || got.body != "hello" || got.header.Get(test.header) != test.value {
				t.Errorf("%s, in %d pieces: status %d, body %q, %s: %.50q", test.name, pieces, got.status, got.body, test.header, got.header.Get(test.header))
			}
		}
	}
	for _, status := range []int{201, 226, 299, 300, 304, 399, 400, 418, 451, 499, 500, 511, 599} {
		replica := newFakeReplica(t, "r-1")
		replica.setRaw(func(conn net.Conn, id string) {
			fmt.Fprintf(conn, "HTTP/1.1 %d \r\nServer-Seal: seal\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", status, id)
		})
		if got := sendRequest(newServer(t, newFleet("desk", replica)), "POST", "/unsafe/", "u"); got.status != status || got.header.Get("Server-Seal") != "seal" {
			t.Errorf("status %d became %d", status, got.status)
		}
	}
}
