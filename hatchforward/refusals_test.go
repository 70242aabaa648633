package hatchforward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch"
	"dragonflyhatch/hatchpath"
)

// TestRefusingLaterStage guards against streams that are sent through a later stage which
// refuses all of them, and against one that is never tried again.
func TestRefusingLaterStage(t *testing.T) {
	convey.Convey("Given a head and two engines for the last layers, of which the first refuses", t, func() {
		head, one, two := newFakeReplica(t, "head"), newFakeReplica(t, "t-1"), newFakeReplica(t, "t-2")
		head.setStream(endsComplete, 0)
		var refuses atomic.Bool
		var refused, through atomic.Int32
		refuses.Store(true)
		stream := head.stream
		head.stream = func(conn net.Conn, request *http.Request) {
			uses := strings.Contains(request.Header.Get("Hop-Count"), one.address())
			if uses && refuses.Load() {
				refused.Add(1)
				io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nAt-Server: "+one.address()+"\r\nContent-Length: 0\r\n\r\n")
				return
			}
			if uses {
				through.Add(1)
			}
			stream(conn, request)
		}
		fleet := newFleet("lm", head, one, two)
		replicas := fleet.view.Replicas()
		for i := range replicas {
			replicas[i].Site = "site-0"
			if replicas[i].ID == "head" {
				replicas[i].Held.End = 2
			} else {
				replicas[i].Held.First = 2
			}
		}
		fleet.view = hatchpath.NewView(replicas, fleet.table.Services, fleet.healths)
		node, server := fleet.view.NodeAt(one.address()), newServer(t, fleet)
		sent := 0
		sendUntil := func(limit time.Duration, done func() bool) {
			for end := time.Now().Add(limit); time.Now().Before(end) && !done(); sent++ {
				got := sendRequest(server, "POST", "/stream/", fmt.Sprint("s", sent))
				convey.So(got.body, convey.ShouldEqual, expectedStream(0))
			}
		}
		sendUntil(4*time.Second, func() bool { return node.IsRefusing(time.Now()) })
		convey.So(node.IsRefusing(time.Now()), convey.ShouldBeTrue)
		convey.So(fleet.view.NodeAt(head.address()).IsRefusing(time.Now()), convey.ShouldBeFalse)
		convey.So(fleet.refusalReports.Load(), convey.ShouldBeBetweenOrEqual, 2, 4) // the first refusal, lasting ones, a later one
		before := refused.Load()
		time.Sleep(150 * time.Millisecond)
		node.RankTrial(time.Now(), func(int) int { return 0 })
		sendUntil(1500*time.Millisecond, func() bool { return refused.Load() > before })
		convey.So(refused.Load(), convey.ShouldEqual, before+1) // the trial
		sendUntil(300*time.Millisecond, func() bool { return false })
		convey.So(refused.Load(), convey.ShouldEqual, before+1)
		convey.Convey("It is used again when another daemon reports that it took a request", func() {
			refuses.Store(false)
			report := dragonflyhatch.ReplicaRefusals{Process: node.Process(), Accepted: 0}
			convey.So(node.MergeRefusals(time.Now(), report), convey.ShouldBeTrue)
			sendUntil(time.Second, func() bool { return through.Load() > 0 })
			convey.So(through.Load(), convey.ShouldBeGreaterThan, 0)
		})
	})
}
