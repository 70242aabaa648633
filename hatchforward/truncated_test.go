package hatchforward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// TestTruncatedHeads guards against a response that is cut inside its head and delivered as a complete one.
func TestTruncatedHeads(t *testing.T) {
	convey.Convey("A replica that closes anywhere inside the head of its response gives no success", t, func() {
		bad := newFakeReplica(t, "bad")
		cut := 0
		head := fmt.Sprintf(sealedHeaders, "x") + "Content-Length: 5\r\n\r\n"
		bad.setRaw(func(conn net.Conn, _ string) { io.WriteString(conn, head[:cut]) })
		server := newServer(t, newFleet("desk", bad))
		for cut = range len(head) {
			got := sendRequest(server, "POST", "/unsafe/", "x")
			convey.So(got.status, convey.ShouldEqual, http.StatusBadGateway)
		}
	})
	convey.Convey("A stream that broke off is not continued by another replica's error or by the head of its response", t, func() {
		const text = "an error of the second replica"
		for name, answer := range map[string]string{
			"error":     "HTTP/1.1 500 Internal Server Error\r\nServer-Seal: s\r\nContent-Length: " + fmt.Sprint(len(text)) + "\r\n\r\n" + text,
			"refusal":   "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: " + fmt.Sprint(len(text)) + "\r\n\r\n" + text,
			"success":   "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Type: text/plain\r\nContent-Length: " + fmt.Sprint(len(text)) + "\r\n\r\n" + text,
			"half head": "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Type: text/event-stream\r\n",
		} {
			first, second := newFakeReplica(t, "first"), newFakeReplica(t, "second")
			first.setStream(resetsInsideEvent, 4)
			second.setRaw(func(conn net.Conn, _ string) { io.WriteString(conn, answer) })
			got := sendRequest(newServer(t, newFleet("lm", first, second)), "POST", "/stream/", "broken-"+strings.ReplaceAll(name, " ", "-"))
			convey.So(got.complete, convey.ShouldBeFalse)
			convey.So(strings.HasPrefix(expectedStream(0), got.body), convey.ShouldBeTrue)
		}
	})
	convey.Convey("A stream without a length or chunks is complete if its connection ends between events, not inside one", t, func() {
		for _, test := range []struct {
			body     string
			complete bool
		}{{expectedStream(0), true}, {expectedStream(0)[:len(expectedStream(0))-3], false}} {
			replica := newFakeReplica(t, "only")
			replica.setRaw(func(conn net.Conn, id string) {
				fmt.Fprintf(conn, sealedHeaders+"Content-Type: text/event-stream\r\n\r\n%s", id, test.body)
			})
			got := sendRequest(newServer(t, newFleet("lm", replica)), "POST", "/stream/", "unframed")
			convey.So(got.complete, convey.ShouldEqual, test.complete)
		}
	})
}
