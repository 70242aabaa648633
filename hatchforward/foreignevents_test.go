package hatchforward

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"dragonflyhatch"
	"dragonflyhatch/hatchpath"
	"dragonflyhatch/hatchroute"
)

// foreignBytes are bytes that are no events after the event with the id 3, by their kind.
func foreignBytes() map[string]string {
	random, source := make([]byte, 64<<10), rand.New(rand.NewPCG(1, 1))
	for i := range random {
		random[i] = byte(source.Uint32())
	}
	return map[string]string{
		"random":           string(random),
		"text":             strings.Repeat("a line of text\n\n", 100),
		"head":             "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Length: 5\r\n\r\nhello\n\n",
		"the same id":      "id: 3\ndata: foreign\n\n",
		"lower id":         "id: 1\ndata: foreign\n\n",
		"no number":        "id: x\ndata: foreign\n\n",
		"no id":            "data: foreign\n\n",
		"control byte":     "id: 4\ndata: foreign\x00\n\n",
		"no UTF-8":         "id: 4\ndata: foreign\xff\n\n",
		"events within it": "foreign\n\n" + eventText(4) + eventText(5),
	}
}

// sendForeign makes the replica send the events before the given one and then the foreign bytes,
// in one write, on streams from the beginning. It keeps the connection open.
func (replica *fakeReplica) sendForeign(before int, foreign string, chunked bool) {
	replica.setRaw(func(conn net.Conn, id string) {
		body := strings.TrimSuffix(expectedStream(0), expectedStream(before-1)) + foreign
		head := fmt.Sprintf(sealedHeaders, id) + "Content-Type: text/event-stream\r\n"
		if chunked {
			fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(body), body)
		} else {
			io.WriteString(conn, head+"\r\n"+body)
		}
		_, _ = io.Copy(io.Discard, conn)
		replica.disconnects <- struct{}{}
	})
}

// TestForeignEvents guards against bytes of a replica in trouble that reach callers as events of
// their streams.
func TestForeignEvents(t *testing.T) {
	for kind, foreign := range foreignBytes() {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, chunked %t", kind, chunked), func(t *testing.T) {
				for _, before := range []int{1, 4} {
					bad, good := newFakeReplica(t, "e-1"), newFakeReplica(t, "e-2")
					good.setStream(endsComplete, 0)
					sound := strings.TrimSuffix(expectedStream(0), expectedStream(before-1))
					if before == 1 && strings.HasPrefix(foreign, "id: ") && !strings.Contains(foreign, "id: x") {
						continue // which would be valid as the first event, or is tried after others
					}
					bad.sendForeign(before, foreign, chunked)

					got := sendRequest(newServer(t, newFleet("lm", bad, good)), "POST", "/stream/", "resumed")
					if got.body != expectedStream(0) || !got.complete {
						t.Errorf("resumable stream: %.300q, complete %t", got.body, got.complete)
					}
					if after := good.lastRequest().Header.Get("Last-Event-Id"); before > 1 && after != fmt.Sprint(before-1) {
						t.Errorf("resumed after %q", after)
					}
					if !bad.closedOnce() {
						t.Error("the connection with the foreign bytes is still open")
					}

					routing, fleet := testRouting(), newFleet("lm", bad, good)
					routing.Routes[2].Resumable = false
					fleet.table = hatchroute.NewTable(routing)
					got = sendRequest(newServer(t, fleet), "POST", "/stream/", "not-resumable")
					switch runs := bad.runsOf("not-resumable") + good.runsOf("not-resumable"); {
					case runs != 1:
						t.Errorf("a stream that cannot be resumed ran %d times", runs)
					case good.runsOf("not-resumable") == 1: // the choice may fall on it
					case before > 1 && (got.body != sound || got.complete):
						t.Errorf("stream that cannot be resumed: %.300q, complete %t", got.body, got.complete)
					case before == 1 && got.status != 502:
						t.Errorf("stream that cannot be resumed: status %d", got.status)
					}
				}
			})
		}
	}
}

// TestForeignEventsOfResumedStreams guards against a replica that repeats the events before the
// position at which a stream resumes.
func TestForeignEventsOfResumedStreams(t *testing.T) {
	bad, good := newFakeReplica(t, "e-1"), newFakeReplica(t, "e-2")
	bad.sendForeign(streamEvents, "", false) // from the first event on, whatever is asked for
	good.setStream(endsComplete, 0)
	for i := range 4 {
		got := sendRequest(newServer(t, newFleet("lm", bad, good)), "POST", "/stream/", fmt.Sprint("again-", i), "Last-Event-Id", "2")
		if got.body != expectedStream(2) || !got.complete {
			t.Errorf("stream resumed by its caller: %.300q, complete %t", got.body, got.complete)
		}
	}
}

// TestForeignEventsCount guards against a replica that is chosen as often as sound ones although
// its streams go on with bytes that are no events.
func TestForeignEventsCount(t *testing.T) {
	replica := newFakeReplica(t, "r-1")
	routing, fleet := testRouting(), newFleet("desk", replica)
	routing.Routes[2].Services = []dragonflyhatch.WeightedService{{Name: "desk", Weight: 1}}
	fleet.table = hatchroute.NewTable(routing)
	server := newServer(t, fleet)
	cost := func() float64 {
		comparison, err := fleet.view.CompareReplicas(time.Now(), hatchpath.Query{Service: "desk", Site: "site-0", Daemons: 1, Random: rand.New(rand.NewPCG(1, 1))})
		if err != nil {
			t.Fatal(err)
		}
		return comparison.Candidates[0].Cost
	}
	replica.setStream(endsComplete, 0)
	sendRequest(server, "POST", "/stream/", "sound")
	sound := cost()
	replica.sendForeign(4, "foreign\n\n", false)
	sendRequest(server, "POST", "/stream/", "foreign")
	foreign := cost()
	replica.setStream(endsComplete, 0)
	sendRequest(server, "POST", "/stream/", "sound again")
	if again := cost(); foreign <= sound || again >= foreign {
		t.Errorf("cost %g after a sound stream, %g after one with foreign bytes, %g after a sound one again", sound, foreign, again)
	}
}

// TestUnusualEvents guards against sound events that are refused.
func TestUnusualEvents(t *testing.T) {
	stream := ": ping\n\nweight-versions: 2\nid: 3\ndata: a\ndata:b\n\nevent: token\r\nid:9\r\nretry: 20\r\ndata: \u00e4\U0001f600 c d\r\n\r\n: end\n\n"
	for name, pieces := range map[string][]string{"whole": {stream}, "byte by byte": strings.Split(stream, "")} {
		replica := newFakeReplica(t, "e-1")
		replica.setRaw(func(conn net.Conn, id string) {
			io.WriteString(conn, fmt.Sprintf(sealedHeaders, id)+"Content-Type: text/event-stream\r\n\r\n")
			for _, piece := range pieces {
				io.WriteString(conn, piece)
			}
		})
		got := sendRequest(newServer(t, newFleet("lm", replica)), "POST", "/stream/", "unusual")
		if got.body != stream || !got.complete {
			t.Errorf("%s: %q, complete %t", name, got.body, got.complete)
		}
	}
}
