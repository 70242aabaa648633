package hatchforward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch/hatchpath"
	"dragonflyhatch/hatchroute"
)

// answer is what a replica that keeps connections open writes for one request of a
// connection, counted from 1, and whether it goes on.
type answer func(conn net.Conn, id string, number int) (goOn bool)

func sealed(id, headers, body string) string {
	return fmt.Sprintf(sealedHeaders+"%sContent-Length: %d\r\n\r\n%s", id, headers, len(body), body)
}

// answerWell is the answer of a sound replica; its body is the id.
func answerWell(conn net.Conn, id string, _ int) bool {
	_, err := io.WriteString(conn, sealed(id, "", id))
	return err == nil
}

// setKeepAlive makes the replica answer any number of requests on a connection, and counts
// the connections with requests.
func (replica *fakeReplica) setKeepAlive(reply answer) *atomic.Int32 {
	conns := new(atomic.Int32)
	replica.mu.Lock()
	defer replica.mu.Unlock()
	replica.stream = func(conn net.Conn, request *http.Request) {
		conns.Add(1)
		reader := bufio.NewReader(conn)
		for number := 1; ; number++ {
			id := request.Header.Get("Attempt-Id")
			replica.mu.Lock()
			replica.runs[id]++
			replica.mu.Unlock()
			if !reply(conn, id, number) {
				return
			}
			var err error
			if request, err = http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.ReadAll(request.Body) // the requests are short
		}
	}
	return conns
}

// TestKeptConnections guards against answers to another request, and against failures of
// requests because of the state of a kept connection.
func TestKeptConnections(t *testing.T) {
	const requests = 6
	settled := make(chan struct{}, requests) // receives a value when the replica has done what the test is about
	after := func(delay time.Duration, what func(conn net.Conn, id string)) answer {
		return func(conn net.Conn, id string, number int) bool {
			answerWell(conn, id, number)
			time.AfterFunc(delay, func() {
				what(conn, id)
				select {
				case settled <- struct{}{}:
				default: // the last case, which does not wait
				}
			})
			return true
		}
	}
	again := func(conn net.Conn, id string) { answerWell(conn, id, 0) }
	for _, test := range []struct {
		name  string
		reply answer
		wait  bool // for settled, between requests
		conns int  // with requests; 0 is any number
	}{
		{"answers well", answerWell, false, 1},
		{"chunked", func(conn net.Conn, id string, _ int) bool {
			fmt.Fprintf(conn, sealedHeaders+"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, len(id), id)
			return true
		}, false, 1},
		{"trailer that is no field", func(conn net.Conn, id string, _ int) bool {
			fmt.Fprintf(conn, sealedHeaders+"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX Filler: x\r\n\r\n", id, len(id), id)
			return true
		}, false, requests},
		{"second copy at once", after(0, again), true, requests},
		{"second copy while the next request waits", func(conn net.Conn, id string, number int) bool {
			if number > 1 { // the copy of the first answer is sent when the second request has arrived
				answerWell(conn, "k-0", number)
				time.Sleep(time.Millisecond)
			}
			return answerWell(conn, id, number)
		}, false, 0},
		{"second copy in an idle connection", after(5*time.Millisecond, again), true, requests},
		{"closes idle connections", after(5*time.Millisecond, func(conn net.Conn, _ string) { conn.Close() }), true, requests},
		{"half-closes", after(0, func(conn net.Conn, _ string) {
			_ = conn.(*net.TCPConn).CloseWrite() // fails only if the router has closed the connection
		}), true, requests},
		{"closes when the next request arrives", func(conn net.Conn, id string, number int) bool {
			return number == 1 && answerWell(conn, id, number)
		}, false, 0},
		{"Connection: close", func(conn net.Conn, id string, _ int) bool {
			io.WriteString(conn, sealed(id, "Connection: close\r\n", id))
			return true
		}, false, requests},
		{"Keep-Alive time nearly over", func(conn net.Conn, id string, _ int) bool {
			io.WriteString(conn, sealed(id, "Keep-Alive: timeout=0, max=9\r\n", id))
			return true
		}, false, requests},
		{"leaving", func(conn net.Conn, id string, _ int) bool {
			io.WriteString(conn, sealed(id, "Server-Leaving: 1\r\n", id))
			return true
		}, false, 1},
		{"second copies at any time", after(time.Millisecond, again), false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			replica, registry := newFakeReplica(t, "r-1"), metrics.NewRegistry()
			conns := replica.setKeepAlive(test.reply)
			fleet := newUnhedgedFleet(replica)
			server := newServer(t, fleet, WithMetrics(registry))
			served := 0
			for i := range requests {
				id := fmt.Sprint("k-", i)
				got := sendRequest(server, "GET", "/safe/", id)
				if got.status == http.StatusOK {
					served++
				}
				if got.status == http.StatusOK && got.body != id || replica.runsOf(id) > 2 {
					t.Errorf("request %s: body %q, ran %d times", id, got.body, replica.runsOf(id))
				}
				if test.wait {
					<-settled
				}
			}
			if want := requests; served != want && (test.name != "leaving" || served != 1) {
				t.Errorf("%d of %d requests were served", served, want)
			}
			if test.conns > 0 && int(conns.Load()) != test.conns {
				t.Errorf("%d connections, want %d", conns.Load(), test.conns)
			}
			if opened := metrics.GetOrRegisterCounter("connections.attempt", registry).Count(); opened != int64(conns.Load()) {
				t.Errorf("%d connections counted, %d opened", opened, conns.Load())
			}
		})
	}
}

func TestKeptConnectionsAreForSafeRequests(t *testing.T) {
	convey.Convey("Given a replica with a kept connection", t, func() {
		replica := newFakeReplica(t, "r-1")
		conns := replica.setKeepAlive(answerWell)
		fleet := newFleet("desk", replica)
		forwarderServer := newServer(t, fleet)
		convey.So(sendRequest(forwarderServer, "GET", "/safe/", "s-1").status, convey.ShouldEqual, 200)
		convey.Convey("An unsafe request and one with the same id use others", func() {
			sendRequest(forwarderServer, "POST", "/unsafe/", "u-1")
			sendRequest(forwarderServer, "POST", "/unsafe/", "u-2")
			convey.So(conns.Load(), convey.ShouldEqual, 3)
			sendRequest(forwarderServer, "GET", "/safe/", "s-1")
			convey.So(conns.Load(), convey.ShouldEqual, 4)
		})
		convey.Convey("A new process at the address gets none of the old one's connections", func() {
			replicas := slices.Clone(fleet.view.Replicas())
			replicas[0].Started++
			fleet.view = hatchpath.NewView(replicas, fleet.table.Services, fleet.healths)
			convey.So(sendRequest(forwarderServer, "GET", "/safe/", "s-2").status, convey.ShouldEqual, 200)
			convey.So(conns.Load(), convey.ShouldEqual, 2)
		})
	})
	convey.Convey("A request to a replica that was restarted as another instance at its address is served elsewhere", t, func() {
		var mu sync.Mutex
		var open []net.Conn
		replica, other := newFakeReplica(t, "r-1"), newFakeReplica(t, "r-2")
		replica.setKeepAlive(func(conn net.Conn, id string, number int) bool {
			mu.Lock()
			defer mu.Unlock()
			open = append(open, conn)
			return answerWell(conn, id, number)
		})
		other.setKeepAlive(answerWell)
		fleet := newFleet("desk", replica)
		server := newServer(t, fleet)
		convey.So(sendRequest(server, "GET", "/safe/", "before").status, convey.ShouldEqual, 200)
		both := newFleet("desk", replica, other)
		fleet.view, fleet.healths = both.view, both.healths
		replica.setKeepAlive(func(conn net.Conn, _ string, _ int) bool {
			io.WriteString(conn, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
			return true
		})
		mu.Lock()
		for _, conn := range open {
			reset(conn)
		}
		mu.Unlock()
		for i := range 10 {
			id := fmt.Sprint("after-", i)
			got := sendRequest(server, "GET", "/safe/", id)
			convey.So(got.status, convey.ShouldEqual, 200)
			convey.So(got.body, convey.ShouldEqual, id)
			convey.So(other.runsOf(id), convey.ShouldEqual, 1)
		}
	})
	convey.Convey("A request that may run only once uses a new connection, since it could not be sent again", t, func() {
		replica := newFakeReplica(t, "r-1")
		conns := replica.setKeepAlive(answerWell)
		fleet, routing := newFleet("desk", replica), testRouting()
		routing.Routes[0].MaxReplicas = 1
		fleet.table = hatchroute.NewTable(routing)
		server := newServer(t, fleet)
		for i := range 3 {
			convey.So(sendRequest(server, "GET", "/safe/", fmt.Sprint("once-", i)).status, convey.ShouldEqual, 200)
		}
		convey.So(conns.Load(), convey.ShouldEqual, 3)
	})
	convey.Convey("A replica that has died is found although a connection to it is kept", t, func() {
		replica := newFakeReplica(t, "r-1")
		replica.setKeepAlive(func(conn net.Conn, id string, number int) bool {
			if number > 1 {
				replica.listener.Close()
				_, _ = io.Copy(io.Discard, conn) // until the router closes the connection
				return false
			}
			return answerWell(conn, id, number)
		})
		fleet := newUnhedgedFleet(replica)
		server := newServer(t, fleet)
		convey.So(sendRequest(server, "GET", "/safe/", "alive").status, convey.ShouldEqual, 200)
		got := sendRequest(server, "GET", "/safe/", "dead")
		convey.So(got.status, convey.ShouldEqual, 502)
		convey.So(got.latency, convey.ShouldBeBetween, keptProbeDelay, 2*time.Second)
		convey.So(fleet.view.NodeAt(replica.address()).IsDown(time.Now()), convey.ShouldBeTrue)
	})
	convey.Convey("A request whose kept connection and the new one fail has run twice at most, and is not said not to have run", t, func() {
		replica, other := newFakeReplica(t, "r-1"), newFakeReplica(t, "r-2")
		var broken atomic.Bool
		reply := func(conn net.Conn, id string, number int) bool {
			if broken.Load() && number == 1 { // on a new connection
				io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
				return false
			}
			return !broken.Load() && answerWell(conn, id, number)
		}
		replica.setKeepAlive(reply)
		other.setKeepAlive(reply)
		server := newServer(t, newFleet("desk", replica, other))
		for i := range 20 { // until both have a kept connection
			convey.So(sendRequest(server, "GET", "/safe/", fmt.Sprint("w-", i)).status, convey.ShouldEqual, 200)
		}
		broken.Store(true)
		got := sendRequest(server, "GET", "/safe/", "twice")
		convey.So(replica.runsOf("twice")+other.runsOf("twice"), convey.ShouldBeLessThanOrEqualTo, 2)
		convey.So(notRunStatuses[got.status], convey.ShouldBeFalse)
	})
}

// TestKeptConnectionLimits guards against connections that are kept without bound or for
// longer than the replica wants them.
func TestKeptConnectionLimits(t *testing.T) {
	convey.Convey("Given a keeper of connections to 30 replicas", t, func() {
		var replicas []*fakeReplica
		for i := range 30 {
			replicas = append(replicas, newFakeReplica(t, fmt.Sprint("r-", i)))
		}
		fleet := newFleet("desk", replicas...)
		keeper, now := newConnKeeper(fleet), time.Now()
		put := func(index int) {
			conn, err := net.Dial("tcp", replicas[index].address())
			convey.So(err, convey.ShouldBeNil)
			process := fleet.view.NodeAt(replicas[index].address()).Process()
			keeper.put(now, &keptConn{conn: conn, process: process, ids: []string{"k"}}, keptPerReplica(0, 1), nil)
		}
		for index := range replicas {
			for range maxKeptPerReplica + 1 {
				put(index)
			}
		}
		count := func() int {
			keeper.mu.Lock()
			defer keeper.mu.Unlock()
			return len(keeper.kept)
		}
		convey.So(count(), convey.ShouldEqual, maxKeptConns)
		last := fleet.view.NodeAt(replicas[len(replicas)-1].address())
		convey.So(keeper.take(now, last, "k"), convey.ShouldBeNil)
		convey.So(keeper.take(now.Add(maxKeptIdle), last, "other"), convey.ShouldBeNil)
		convey.So(count(), convey.ShouldEqual, maxKeptConns-maxKeptPerReplica)
		node := fleet.view.NodeAt(replicas[len(replicas)-2].address())
		node.MarkLeaving(now)
		keeper.check()
		convey.So(count(), convey.ShouldEqual, maxKeptConns-2*maxKeptPerReplica)
		keeper.closeAll()
		put(0)
		convey.So(count(), convey.ShouldEqual, 0)
	})
	for _, limit := range []struct{ maxConns, daemons, want int }{{0, 300, maxKeptPerReplica}, {64, 30, 1}, {64, 40, 0}, {1000, 30, maxKeptPerReplica}} {
		if got := keptPerReplica(limit.maxConns, limit.daemons); got != limit.want {
			t.Errorf("%d connections allowed from %d daemons: %d kept, want %d", limit.maxConns, limit.daemons, got, limit.want)
		}
	}
	for header, want := range map[string]time.Duration{
		"": maxKeptIdle, "timeout=5, max=100": 4500 * time.Millisecond, "timeout=600": maxKeptIdle, "max=0": 0, "timeout=-1": 0, "timeout=99999999999999": maxKeptIdle, "x": maxKeptIdle,
	} {
		if got := keepAliveTime(http.Header{"Keep-Alive": {header}}); got != want {
			t.Errorf("Keep-Alive %q: %s, want %s", header, got, want)
		}
	}
}
