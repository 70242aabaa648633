package hatchforward

import (
	"io"
	"log/slog"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch/hatchretry"
	"dragonflyhatch/hatchstandin"
	"dragonflyhatch/platform"
)

// TestStop guards against requests that a stopping daemon takes although they cannot end
// before it stops, and against cut requests that are logged as left by their callers.
func TestStop(t *testing.T) {
	convey.Convey("Given a daemon with an engine and a plain replica", t, func() {
		engine, replica := newFakeReplica(t, "e-1"), newFakeReplica(t, "r-1")
		start := func(fleet *fakeFleet) (*Forwarder, *httptest.Server, *hatchstandin.OutputBuffer) {
			log := new(hatchstandin.OutputBuffer)
			forwarder := New(fleet, platform.Dialect{}, WithPipelineWait(50*time.Millisecond), WithLogger(slog.New(slog.NewTextHandler(log, nil))))
			server := httptest.NewServer(forwarder)
			t.Cleanup(server.Close)
			return forwarder, server, log
		}
		convey.Convey("An order that may last longer than the daemon is refused at once and not run", func() {
			forwarder, server, _ := start(newFleet("desk", replica))
			forwarder.StopAt(time.Now().Add(testTimeout / 2))
			got := sendRequest(server, "POST", "/unsafe/", "s1")
			convey.So(got.status, convey.ShouldEqual, 503)
			convey.So(got.header.Get("Retry-After"), convey.ShouldEqual, "0.00")
			convey.So(replica.runsOf("s1"), convey.ShouldEqual, 0)
			convey.So(sendRequest(server, "POST", "/unsafe/", "s2", "Deadline-Ms", "200").status, convey.ShouldEqual, 200)
			convey.So(sendRequest(server, "GET", "/safe/", "s3").status, convey.ShouldEqual, 200)
		})
		convey.Convey("A stream that is expected to last longer is refused, a shorter one is served", func() {
			forwarder, server, _ := start(newFleet("lm", engine))
			engine.setStream(endsComplete, 0)
			convey.So(sendRequest(server, "POST", "/stream/", "s4", "Token-Count", "10,10").status, convey.ShouldEqual, 200)
			forwarder.StopAt(time.Now().Add(3 * time.Second))
			got := sendRequest(server, "POST", "/stream/", "s5", "Token-Count", "10,1000000")
			convey.So(got.status, convey.ShouldEqual, 503)
			convey.So(engine.runsOf("s5"), convey.ShouldEqual, 0)
			got = sendRequest(server, "POST", "/stream/", "s6", "Token-Count", "10,10")
			convey.So(got.status, convey.ShouldEqual, 200)
			convey.So(got.body, convey.ShouldEqual, expectedStream(0))
		})
		convey.Convey("A request that is in progress at the end gets a response, and the log gives the reason", func() {
			forwarder, server, log := start(newFleet("desk", replica))
			replica.setBehaviour(neverAnswers)
			time.AfterFunc(50*time.Millisecond, func() { forwarder.StopAt(time.Now().Add(100 * time.Millisecond)) })
			got := sendRequest(server, "POST", "/unsafe/", "s7")
			convey.So(got.status, convey.ShouldEqual, 504)
			convey.So(got.latency, convey.ShouldBeLessThan, testTimeout/2)
			convey.So(log.String(), convey.ShouldContainSubstring, errStopped.Error())
			convey.So(forwarder.Cut(), convey.ShouldEqual, 1)
			convey.So(log.String(), convey.ShouldNotContainSubstring, "caller disconnected")
		})
		convey.Convey("A response is the last one of its connection, also if the request was taken before the stop", func() {
			forwarder, server, _ := start(newFleet("desk", replica))
			replica.setBehaviour(answersLate)
			time.AfterFunc(10*time.Millisecond, func() { forwarder.StopAt(time.Now().Add(testTimeout)) })
			got := sendRequest(server, "GET", "/safe/", "s10")
			convey.So(got.status, convey.ShouldEqual, 200)
			convey.So(got.last, convey.ShouldBeTrue)
		})
		convey.Convey("Requests after the last accepted one are refused and not run", func() {
			forwarder, server, _ := start(newFleet("desk", replica))
			forwarder.StopAt(time.Now().Add(testTimeout))
			forwarder.StopAccepting()
			got := sendRequest(server, "GET", "/safe/", "s11")
			convey.So(got.status, convey.ShouldEqual, 503)
			convey.So(got.last, convey.ShouldBeTrue)
			convey.So(replica.runsOf("s11"), convey.ShouldEqual, 0)
		})
		convey.Convey("A begun stream that waits for a retry token at the end is aborted and counted", func() {
			log := new(hatchstandin.OutputBuffer)
			engine.setStream(resetsInsideEvent, 5)
			forwarder := New(newFleet("lm", engine, newFakeReplica(t, "e-2")), platform.Dialect{}, WithLogger(slog.New(slog.NewTextHandler(log, nil))),
				WithRetryLimits(hatchretry.SharedLimits{Window: 10 * time.Second}))
			server := httptest.NewServer(forwarder)
			defer server.Close()
			time.AfterFunc(50*time.Millisecond, func() { forwarder.StopAt(time.Now().Add(400 * time.Millisecond)) })
			got := sendRequest(server, "POST", "/stream/", "s12", "Token-Count", "10,10")
			convey.So(got.complete, convey.ShouldBeFalse)
			convey.So(forwarder.Cut(), convey.ShouldEqual, 1)
			convey.So(log.String(), convey.ShouldContainSubstring, errStopped.Error())
		})
		convey.Convey("A stream that is aborted for another reason meanwhile is counted apart", func() {
			forwarder, server, _ := start(newFleet("lm", engine))
			engine.setStream(goesSilent, 5)
			time.AfterFunc(50*time.Millisecond, func() { forwarder.StopAt(time.Now().Add(testTimeout)) })
			got := sendRequest(server, "POST", "/stream/", "s13", "Token-Count", "10,10", "Deadline-Ms", "400")
			convey.So(got.complete, convey.ShouldBeFalse)
			convey.So(forwarder.Cut(), convey.ShouldEqual, 0)
			convey.So(forwarder.Aborted(), convey.ShouldEqual, 1)
		})
		convey.Convey("A stream that is in progress at the end is aborted, and the log gives the reason", func() {
			forwarder, server, log := start(newFleet("lm", engine))
			engine.setStream(goesSilent, 5)
			time.AfterFunc(50*time.Millisecond, func() { forwarder.StopAt(time.Now().Add(50 * time.Millisecond)) })
			got := sendRequest(server, "POST", "/stream/", "s8", "Token-Count", "10,10")
			convey.So(got.complete, convey.ShouldBeFalse)
			convey.So(log.String(), convey.ShouldNotContainSubstring, "caller disconnected")
		})
		convey.Convey("An upload that is in progress at the end is refused", func() {
			forwarder, server, _ := start(newFleet("desk", replica))
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			convey.So(err, convey.ShouldBeNil)
			defer conn.Close()
			_, err = io.WriteString(conn, "POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: s9\r\nAuthorization: Bearer secret\r\nContent-Length: 9\r\n\r\nhalf")
			convey.So(err, convey.ShouldBeNil)
			forwarder.StopAt(time.Now().Add(100 * time.Millisecond))
			answer, err := io.ReadAll(conn)
			convey.So(err, convey.ShouldBeNil)
			convey.So(string(answer), convey.ShouldStartWith, "HTTP/1.1 503 ")
			convey.So(replica.runsOf("s9"), convey.ShouldEqual, 0)
		})
	})
}
