package hatchforward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch"
	"dragonflyhatch/hatchpath"
	"dragonflyhatch/hatchretry"
)

// setRaw makes the replica answer each request by the function.
func (replica *fakeReplica) setRaw(answer func(conn net.Conn, id string)) {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	replica.stream = func(conn net.Conn, request *http.Request) {
		id := request.Header.Get("Attempt-Id")
		replica.mu.Lock()
		replica.runs[id]++
		replica.mu.Unlock()
		answer(conn, id)
	}
}

// sendEndlessly writes the head and then the filler until the router closes the
// connection.
func sendEndlessly(conn net.Conn, head, filler string) {
	_, err := io.WriteString(conn, head)
	for err == nil {
		_, err = io.WriteString(conn, filler)
	}
}

// endlessBytes returns answers of a replica without an end, by the place of the bytes.
func endlessBytes(contentType string) map[string]func(conn net.Conn, id string) {
	filler := strings.Repeat("x", 32<<10)
	head := func(id string) string {
		return fmt.Sprintf(sealedHeaders, id) + "Content-Type: " + contentType + "\r\n"
	}
	return map[string]func(conn net.Conn, id string){
		"status line": func(conn net.Conn, _ string) { sendEndlessly(conn, "HTTP/1.1 200 ", filler) },
		"header":      func(conn net.Conn, id string) { sendEndlessly(conn, head(id)+"X-Filler: ", filler) },
		"headers":     func(conn net.Conn, id string) { sendEndlessly(conn, head(id), strings.Repeat("X-Filler: x\r\n", 1000)) },
		"informational": func(conn net.Conn, _ string) {
			sendEndlessly(conn, "", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1000))
		},
		"body": func(conn net.Conn, id string) { sendEndlessly(conn, head(id)+"\r\n", filler) },
		"long body": func(conn net.Conn, id string) {
			sendEndlessly(conn, head(id)+"Content-Length: 1099511627776\r\n\r\n", filler)
		},
		"chunked body": func(conn net.Conn, id string) {
			sendEndlessly(conn, head(id)+"Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(filler), filler))
		},
		"chunk extension": func(conn net.Conn, id string) {
			sendEndlessly(conn, head(id)+"Transfer-Encoding: chunked\r\n\r\n5;", filler)
		},
		"trailer": func(conn net.Conn, id string) {
			sendEndlessly(conn, head(id)+"Transfer-Encoding: chunked\r\n\r\n0\r\nX-Filler: ", filler)
		},
	}
}

// peakHeap samples the heap until stop is called, which returns its largest size in
// bytes. It includes the heap of the fakes and of their callers.
func peakHeap() (stop func() uint64) {
	runtime.GC()
	done, peak := make(chan struct{}), make(chan uint64)
	go func() {
		var highest uint64
		for {
			select {
			case <-done:
				peak <- highest
				return
			case <-time.After(5 * time.Millisecond):
				var now runtime.MemStats
				runtime.ReadMemStats(&now)
				highest = max(highest, now.HeapAlloc)
			}
		}
	}()
	return func() uint64 {
		close(done)
		return <-peak
	}
}

// TestEndlessBytes answers forty requests at once by bytes without an end. Each
// request must end, elsewhere or with a failure, and a daemon of the smallest machine
// must have the memory for it beside its own.
func TestEndlessBytes(t *testing.T) {
	const (
		atOnce     = 40
		allowed    = 136 << 20 // the memory of the smallest machine
		bodyMemory = allowed / 8
	)
	for name, answer := range endlessBytes("text/plain") {
		bad, good := newFakeReplica(t, "r-1"), newFakeReplica(t, "r-2")
		bad.setRaw(answer)
		for _, alone := range []bool{true, false} {
			fleet := newFleet("desk", bad, good)
			if alone {
				fleet = newFleet("desk", bad)
			}
			server := newServer(t, fleet, WithBodyMemory(bodyMemory))
			stop := peakHeap()
			var group sync.WaitGroup
			var served, complete atomic.Int32
			for i := range atOnce {
				group.Go(func() {
					got := sendRequest(server, "GET", "/safe/", fmt.Sprintf("%s-%t-%d", name, alone, i))
					if got.status == http.StatusOK {
						served.Add(1)
					}
					if got.complete {
						complete.Add(1)
					}
				})
			}
			group.Wait()
			if peak := stop(); peak > allowed {
				t.Errorf("endless %s, alone %t: %d MB of heap, want at most %d", name, alone, peak>>20, allowed>>20)
			}
			if alone && served.Load() > 0 || !alone && served.Load() < atOnce || complete.Load() < atOnce {
				t.Errorf("endless %s, alone %t: %d of %d requests were served, %d answered", name, alone, served.Load(), atOnce, complete.Load())
			}
		}
	}
}

// TestEndlessStreams answers streams by bytes without an end that complete no event.
func TestEndlessStreams(t *testing.T) {
	for name, answer := range endlessBytes("text/event-stream") {
		bad, good := newFakeReplica(t, "e-1"), newFakeReplica(t, "e-2")
		bad.setRaw(answer)
		good.setStream(endsComplete, 0)
		server := newServer(t, newFleet("lm", bad, good))
		stop := peakHeap()
		if got := sendRequest(server, "POST", "/stream/", "s-"+name); got.body != expectedStream(0) || got.latency > 3*time.Second {
			t.Errorf("endless %s: received %d bytes with status %d in %s", name, len(got.body), got.status, got.latency)
		}
		if peak := stop(); peak > 32<<20 {
			t.Errorf("endless %s: %d MB of heap with one stream", name, peak>>20)
		}
	}
}

func TestStalledAndSlowStreams(t *testing.T) {
	streamHead := func(id string) string {
		return fmt.Sprintf(sealedHeaders, id) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	}
	trickle := func(piece string) func(conn net.Conn, id string) {
		return func(conn net.Conn, id string) {
			io.WriteString(conn, streamHead(id))
			writeChunk(conn, eventText(1))
			if !strings.HasSuffix(piece, "\n") {
				writeChunk(conn, "data: ") // of an event without an end
			}
			for {
				time.Sleep(20 * time.Millisecond)
				if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece); err != nil {
					return
				}
			}
		}
	}
	sound := func(pause time.Duration) func(conn net.Conn, id string) {
		return func(conn net.Conn, id string) {
			io.WriteString(conn, streamHead(id))
			for event := 1; event <= 2; event++ {
				time.Sleep(pause)
				writeChunk(conn, eventText(event))
			}
			io.WriteString(conn, "0\r\n\r\n")
		}
	}
	convey.Convey("A stalled stream that sends a byte now and then moves to another engine", t, func() {
		for name, piece := range map[string]string{"byte": "x", "comment": ": ping\n\n"} {
			one, two := newFakeReplica(t, "e-1"), newFakeReplica(t, "e-2")
			one.setRaw(trickle(piece))
			two.setStream(endsComplete, 0)
			got := sendRequest(newServer(t, newFleet("lm", one, two)), "POST", "/stream/", "stalled-"+name)
			convey.So(got.complete, convey.ShouldBeTrue)
			convey.So(strings.HasSuffix(got.body, expectedStream(1)), convey.ShouldBeTrue)
			convey.So(got.latency, convey.ShouldBeLessThan, 3*maxSilence)
		}
	})
	convey.Convey("A slow stream whose engine is alive stays whole where there is no other engine", t, func() {
		one := newFakeReplica(t, "e-1")
		one.setRaw(sound(maxSilence + 300*time.Millisecond))
		got := sendRequest(newServer(t, newFleet("lm", one)), "POST", "/stream/", "slow")
		convey.So(got.body, convey.ShouldEqual, eventText(1)+eventText(2))
		convey.So(got.complete, convey.ShouldBeTrue)
		convey.So(one.runsOf("slow"), convey.ShouldEqual, 1)
	})
	convey.Convey("A slow stream whose engine is alive stays whole where there is no retry token", t, func() {
		one, two := newFakeReplica(t, "e-1"), newFakeReplica(t, "e-2")
		one.setRaw(sound(maxSilence + 300*time.Millisecond))
		two.setStream(endsComplete, 0)
		server := newServer(t, newFleet("lm", one, two), WithRetryLimits(hatchretry.SharedLimits{Window: 10 * time.Second}))
		got := sendRequest(server, "POST", "/stream/", "slow")
		convey.So(got.body, convey.ShouldEqual, eventText(1)+eventText(2))
		convey.So(got.complete, convey.ShouldBeTrue)
		convey.So(two.runsOf("slow"), convey.ShouldEqual, 0)
	})
}

// TestLeavingReplicas guards against requests to a replica that has stated that it is
// leaving.
func TestLeavingReplicas(t *testing.T) {
	leaving := "HTTP/1.1 200 OK\r\nServer-Seal: seal\r\nServer-Leaving: 1\r\nContent-Length: 5\r\n\r\nhello"
	convey.Convey("A replica that states that it is leaving gets no further request", t, func() {
		one, two := newFakeReplica(t, "r-1"), newFakeReplica(t, "r-2")
		one.setRaw(func(conn net.Conn, _ string) { io.WriteString(conn, leaving) })
		fleet := newFleet("desk", one, two)
		server := newServer(t, fleet)
		// The first request finds the leaving replica alone, and its route has no hedge.
		// Otherwise the choice and the hedge may leave that replica without a response.
		both := fleet.view
		fleet.view = hatchpath.NewView(both.Replicas()[:1], fleet.table.Services, fleet.healths)
		convey.So(sendRequest(server, "POST", "/unsafe/", "first").status, convey.ShouldEqual, 200)
		fleet.view = both
		for i := range 30 {
			convey.So(sendRequest(server, "GET", "/safe/", fmt.Sprint("l", i)).status, convey.ShouldEqual, 200)
		}
		runs, _ := one.runCounts()
		convey.So(runs, convey.ShouldEqual, 1)
		convey.So(fleet.leavingReports.Load(), convey.ShouldEqual, 1)
		convey.Convey("also if its registration was missing for a while", func() {
			now, replicas := time.Now(), fleet.view.Replicas()
			fleet.healths.Retain(now, nil)
			fleet.view = hatchpath.NewView(replicas, fleet.table.Services, fleet.healths)
			for i := range 10 {
				sendRequest(server, "GET", "/safe/", fmt.Sprint("again", i))
			}
			runs, _ := one.runCounts()
			convey.So(runs, convey.ShouldEqual, 1)
		})
		convey.Convey("but a new process at its address does", func() {
			var replicas []dragonflyhatch.Replica
			for _, replica := range fleet.view.Replicas() {
				replica.Started++
				replicas = append(replicas, replica)
			}
			fleet.view = hatchpath.NewView(replicas[:1], fleet.table.Services, fleet.healths)
			convey.So(sendRequest(server, "GET", "/safe/", "new").status, convey.ShouldEqual, 200)
		})
	})
	convey.Convey("A stream that is under way at a leaving engine ends there, and the next one runs elsewhere", t, func() {
		one, two := newFakeReplica(t, "e-1"), newFakeReplica(t, "e-2")
		one.setRaw(func(conn net.Conn, id string) {
			io.WriteString(conn, fmt.Sprintf(sealedHeaders, id)+"Server-Leaving: 1\r\nContent-Type: text/event-stream\r\n\r\n"+expectedStream(0))
		})
		two.setStream(endsComplete, 0)
		server := newServer(t, newFleet("lm", one, two))
		convey.So(sendRequest(server, "POST", "/stream/", "s1").body, convey.ShouldEqual, expectedStream(0))
		convey.So(sendRequest(server, "POST", "/stream/", "s2").body, convey.ShouldEqual, expectedStream(0))
		convey.So(one.runsOf("s2"), convey.ShouldEqual, 0)
		convey.So(two.runsOf("s2"), convey.ShouldEqual, 1)
	})
}

func TestRefusalsWithRetryAfter(t *testing.T) {
	refuseFor := func(replica *fakeReplica, retryAfter string) {
		replica.setRaw(func(conn net.Conn, _ string) {
			io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRetry-After: "+retryAfter+"\r\nContent-Length: 0\r\n\r\n")
		})
	}
	for _, service := range []struct{ name, method, path string }{{"desk", "POST", "/unsafe/"}, {"lm", "POST", "/stream/"}} {
		convey.Convey("Given two replicas of "+service.name+" that refuse for a while", t, func() {
			one, two := newFakeReplica(t, "r-1"), newFakeReplica(t, "r-2")
			refuseFor(one, "1.5")
			refuseFor(two, " 2 ")
			server := newServer(t, newFleet(service.name, one, two), WithPipelineWait(time.Second))
			requests := func(replica *fakeReplica) int {
				replica.mu.Lock()
				defer replica.mu.Unlock()
				return replica.requestCount
			}
			convey.Convey("Each gets one request, and the callers are refused at once with the shorter time", func() {
				convey.So(sendRequest(server, service.method, service.path, "first").status, convey.ShouldEqual, 503)
				for i := range 20 {
					got := sendRequest(server, service.method, service.path, fmt.Sprint("next", i))
					convey.So(got.status, convey.ShouldEqual, 503)
					convey.So(got.latency, convey.ShouldBeLessThan, 300*time.Millisecond)
					after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
					convey.So(err, convey.ShouldBeNil)
					convey.So(after, convey.ShouldBeBetween, 0.9, 1.6)
				}
				convey.So(requests(one), convey.ShouldEqual, 1)
				convey.So(requests(two), convey.ShouldEqual, 1)
			})
			convey.Convey("A value that is no positive number is ignored, and a huge one bounded", func() {
				for _, value := range []string{"", "soon", "-3", "NaN", "0"} {
					refuseFor(one, value)
					refuseFor(two, value)
					before := requests(one) + requests(two)
					sendRequest(server, service.method, service.path, "v"+value)
					sendRequest(server, service.method, service.path, "w"+value)
					convey.So(requests(one)+requests(two), convey.ShouldBeGreaterThan, before+1)
				}
				refuseFor(one, "1e300")
				refuseFor(two, "1e999")
				sendRequest(server, service.method, service.path, "huge")
				got := sendRequest(server, service.method, service.path, "after")
				after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				convey.So(err, convey.ShouldBeNil)
				convey.So(after, convey.ShouldBeBetween, 55, 61)
			})
		})
	}
}

// TestSlowBodies sends requests whose bodies arrive slowly or fill the memory.
func TestSlowBodies(t *testing.T) {
	replica := newFakeReplica(t, "r-1")
	server := newServer(t, newFleet("desk", replica), WithBodyMemory(1<<20))
	open := func(length int) net.Conn {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		fmt.Fprintf(conn, "POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: b\r\nAuthorization: Bearer secret\r\nContent-Length: %d\r\n\r\n", length)
		return conn
	}
	status := func(conn net.Conn) string {
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		line := make([]byte, 12)
		_, _ = io.ReadFull(conn, line)
		return string(line)
	}
	convey.Convey("A body that does not arrive before the deadline is refused", t, func() {
		conn := open(1000)
		io.WriteString(conn, "abc")
		convey.So(status(conn), convey.ShouldEqual, "HTTP/1.1 408")
	})
	convey.Convey("Bodies that fill the memory are refused, and small ones are not", t, func() {
		var refused atomic.Int32
		var group sync.WaitGroup
		for range 12 {
			conn := open(4 << 20)
			group.Go(func() {
				go io.WriteString(conn, strings.Repeat("x", 4<<20-1))
				if status(conn) == "HTTP/1.1 503" {
					refused.Add(1)
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		got := sendRequest(server, "POST", "/unsafe/", "small")
		group.Wait()
		convey.So(got.status, convey.ShouldEqual, 200)
		convey.So(refused.Load(), convey.ShouldBeGreaterThanOrEqualTo, 8)
	})
	if runs, _ := replica.runCounts(); runs != 1 {
		t.Errorf("%d requests ran, want the small one only", runs)
	}
}
