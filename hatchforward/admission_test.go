package hatchforward

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// streamWithLoad makes the replica answer with the stream after the caller's resume position and
// the load header.
func (replica *fakeReplica) streamWithLoad(load string) {
	replica.setRaw(func(conn net.Conn, id string) {
		after, err := strconv.Atoi(replica.lastRequest().Header.Get("Last-Event-Id"))
		if err != nil {
			after = 0 // the stream starts at its beginning
		}
		io.WriteString(conn, fmt.Sprintf(sealedHeaders, id)+"Replica-Load: "+load+"\r\nContent-Type: text/event-stream\r\n\r\n"+expectedStream(after))
	})
}

func TestAdmissionOfStreams(t *testing.T) {
	convey.Convey("Given an engine that reports a long queue with a stream", t, func() {
		one := newFakeReplica(t, "e-1")
		one.streamWithLoad("120,60,120")
		fleet := newFleet("lm", one)
		server := newServer(t, fleet)
		convey.So(sendRequest(server, "POST", "/stream/", "first", "Deadline-Ms", "5000").status, convey.ShouldEqual, 200)
		convey.Convey("New streams are refused at once, and have not run", func() {
			for i := range 5 {
				id := fmt.Sprint("new-", i)
				got := sendRequest(server, "POST", "/stream/", id, "Deadline-Ms", "5000")
				convey.So(got.status, convey.ShouldEqual, 503)
				convey.So(got.latency, convey.ShouldBeLessThan, 300*time.Millisecond)
				after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				convey.So(err, convey.ShouldBeNil)
				convey.So(after, convey.ShouldBeBetween, 0.7, 5.0/3) // 16 to 30 in 100 of the time left
				convey.So(one.runsOf(id), convey.ShouldEqual, 0)
			}
		})
		convey.Convey("A stream that goes on after an event which its caller has is not refused", func() {
			convey.So(sendRequest(server, "POST", "/stream/", "resumed", "Last-Event-Id", "3", "Deadline-Ms", "5000").status, convey.ShouldEqual, 200)
		})
		convey.Convey("Streams are admitted again once the report is old", func() {
			fleet.view.NodeAt(one.address()).RecordQueueWait(time.Now(), 0)
			fleet.view.NodeAt(one.address()).RecordQueueWait(time.Now().Add(3*time.Second), 0)
			one.streamWithLoad("120,0,120")
			convey.So(sendRequest(server, "POST", "/stream/", "later", "Deadline-Ms", "5000").status, convey.ShouldEqual, 200)
		})
	})
	convey.Convey("A caller that has returned gives way to new ones, but is served where nothing waits", t, func() {
		one := newFakeReplica(t, "e-1")
		one.streamWithLoad("120,9,120") // about 0.3 s, of a target of 2 s
		server := newServer(t, newFleet("lm", one))
		sendRequest(server, "POST", "/stream/", "first", "Deadline-Ms", "5000")
		refused := map[string]int{}
		for i := range 60 {
			for _, left := range []string{"5000", "3000"} {
				if sendRequest(server, "POST", "/stream/", fmt.Sprint(left, "-", i), "Deadline-Ms", left).status == 503 {
					refused[left]++
				}
			}
		}
		convey.So(refused["3000"], convey.ShouldBeGreaterThan, refused["5000"])
		one.streamWithLoad("120,0,120")
		for i := range 10 {
			sendRequest(server, "POST", "/stream/", fmt.Sprint("calm-", i), "Deadline-Ms", "5000")
		}
		convey.So(sendRequest(server, "POST", "/stream/", "back", "Deadline-Ms", "3000").status, convey.ShouldEqual, 200)
	})
}
