package hatchforward

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dragonflyhatch"
	"dragonflyhatch/hatchpath"
	"dragonflyhatch/hatchretry"
	"dragonflyhatch/hatchroute"
	"dragonflyhatch/platform"
)

// TestRetryAfterKeptConnection guards against a request that is not retried elsewhere after a
// failure on a kept connection, because a second copy has taken the last run of the route:
// one that was never sent, or one to a replica that refuses.
func TestRetryAfterKeptConnection(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	for _, test := range []struct {
		name  string
		reply func(replica *fakeReplica) answer // once the kept connections are in use
	}{
		{"the process ends with the request in progress", func(replica *fakeReplica) answer {
			return func(net.Conn, string, int) bool {
				replica.listener.Close()
				return false
			}
		}},
		{"refusals without an id, as from a full replica", func(*fakeReplica) answer {
			return func(conn net.Conn, _ string, _ int) bool {
				io.WriteString(conn, refusal)
				return true
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			replica, other := newFakeReplica(t, "r-1"), newFakeReplica(t, "r-2")
			var broken atomic.Bool
			brokenReply := test.reply(replica)
			replica.setKeepAlive(func(conn net.Conn, id string, number int) bool {
				if broken.Load() {
					return brokenReply(conn, id, number)
				}
				return answerWell(conn, id, number)
			})
			other.setKeepAlive(answerWell)
			fleet := newUnhedgedFleet(replica)
			server := newServer(t, fleet)
			if got := sendRequest(server, "GET", "/safe/", "before"); got.status != http.StatusOK {
				t.Fatalf("status %d", got.status)
			}
			broken.Store(true)
			both := newFleet("desk", replica, other)
			// The first attempt goes to the replica with the kept connection.
			otherNode := both.view.NodeAt(other.address())
			fleet.view, fleet.healths = both.view, both.healths
			for range 50 {
				otherNode.RecordResponse(time.Now(), 5*time.Second, false)
			}
			got := sendRequest(server, "GET", "/safe/", "after")
			if got.status != http.StatusOK || got.body != "after" || other.runsOf("after") != 1 {
				t.Errorf("status %d, body %q, ran %d times at the other replica", got.status, got.body, other.runsOf("after"))
			}
			if replica.runsOf("after") != 1 {
				t.Errorf("%d copies on the kept connection, want 1", replica.runsOf("after"))
			}
			if node := both.view.NodeAt(replica.address()); !node.IsDown(time.Now()) && !node.IsFull(time.Now()) {
				t.Error("the replica is neither down nor full")
			}
		})
	}
}

// fullListener returns the address of a listener that opens no more connections, so that a
// dial to it waits.
func fullListener(t *testing.T) string {
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(descriptor) })
	if err := syscall.Bind(descriptor, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(descriptor, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(descriptor)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprint("127.0.0.1:", name.(*syscall.SockaddrInet4).Port)
	for range 8 {
		conn, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { conn.Close() })
	}
	t.Fatal("the listener opens connections without bound")
	return ""
}

// TestDeadlineDuringSecondCopy guards against a request that may have run on a kept
// connection being reported as not run, because its deadline passes or the daemon stops
// while the connection for the second copy is opened.
func TestDeadlineDuringSecondCopy(t *testing.T) {
	address := fullListener(t)
	routing := testRouting()
	fleet := &fakeFleet{table: hatchroute.NewTable(routing), healths: hatchpath.NewHealthSet()}
	fleet.view = hatchpath.NewView([]dragonflyhatch.Replica{{ID: "r-1", Service: "desk", Address: address, Slots: 8}}, fleet.table.Services, fleet.healths)
	forwarder := New(fleet, platform.Dialect{}, WithLogger(slog.New(slog.DiscardHandler)))
	node := fleet.view.NodeAt(address)

	// The kept connection takes the request and ends.
	kept, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { kept.Close() })
	var received atomic.Int32
	go func() {
		conn, err := kept.Accept()
		if err != nil {
			return
		}
		count, _ := conn.Read(make([]byte, readBufferSize)) // 0 if the router has closed the connection
		received.Store(int32(count))
		conn.Close()
	}()
	conn, err := net.Dial("tcp", kept.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	forwarder.conns.put(time.Now(), &keptConn{conn: conn, process: node.Process(), ids: []string{"before"}}, 1, nil)

	now := time.Now()
	call := &call{
		forwarder: forwarder, request: httptest.NewRequest(http.MethodGet, "http://h.example/safe/", nil), route: &routing.Routes[0],
		info: dragonflyhatch.RequestInfo{ID: "k-1"}, started: now, deadline: now.Add(testTimeout), logger: forwarder.logger,
		attempts: hatchretry.NewAttempts(now.Add(testTimeout), false, hatchretry.WithMaxRuns(2)),
	}
	call.runs.begin(call.attempts.RemainingRuns())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	timer := time.AfterFunc(dialTimeout/4, cancel)
	defer timer.Stop()
	_, err = call.exchangePlain(ctx, node)
	if received.Load() == 0 || ctx.Err() == nil {
		t.Fatalf("%d bytes of the first copy arrived, context: %v, error: %v", received.Load(), ctx.Err(), err)
	}
	if kind := dragonflyhatch.KindOf(err); kind.ErrorResponse().Ran != dragonflyhatch.RanUnknown {
		t.Errorf("reported as %s: %v", kind, err)
	}
}

// TestProbeAfterAnswers guards against a dead replica that is found late because earlier
// probes, during slow requests that were answered, have made the pauses between probes long.
func TestProbeAfterAnswers(t *testing.T) {
	replica := newFakeReplica(t, "r-1")
	var dark atomic.Bool
	replica.setKeepAlive(func(conn net.Conn, id string, number int) bool {
		if dark.Load() {
			replica.listener.Close()
			_, _ = io.Copy(io.Discard, conn) // until the router closes the connection
			return false
		}
		return answerWell(conn, id, number)
	})
	fleet := newUnhedgedFleet(replica)
	server := newServer(t, fleet)
	node, now := fleet.view.NodeAt(replica.address()), time.Now()
	node.RecordProgress(now.Add(-2 * time.Second))               // times before the start of the process are not due otherwise
	for _, ago := range []time.Duration{1400, 1300, 1000, 100} { // the next one is due 1.9 s from now
		if !node.TryStartProbe(now.Add(-ago * time.Millisecond)) {
			t.Fatalf("no probe %d ms ago", ago)
		}
	}
	if got := sendRequest(server, "GET", "/safe/", "alive"); got.status != http.StatusOK {
		t.Fatalf("status %d", got.status)
	}
	dark.Store(true)
	const limit = time.Second // 0.2 s is usual
	if got := sendRequest(server, "GET", "/safe/", "dead"); got.status != http.StatusBadGateway || got.latency > limit {
		t.Errorf("status %d after %v", got.status, got.latency)
	}
}
