package hatchgateway

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch"
	"dragonflyhatch/hatchpeer"
	"dragonflyhatch/platform"
)

// TestSnapshotSource guards against a configuration that is fetched from another site
// although a daemon of the own site has it, and against one that is not fetched because
// that daemon does not answer.
func TestSnapshotSource(t *testing.T) {
	convey.Convey("Given a daemon, a peer of its site and one of another site with version 5", t, func() {
		daemon := func(host, site string) (*Gateway, *httptest.Server) {
			gateway := New(&platform.Settings{Host: host, Site: site, PeerAddress: "127.0.0.1:1"})
			return gateway, httptest.NewServer(hatchpeer.NewFleetHandler(gateway))
		}
		gateway, own := daemon("a", "x")
		defer own.Close()
		announce := map[string]dragonflyhatch.Gossip{}
		servers := map[string]*httptest.Server{}
		for host, site := range map[string]string{"near": "x", "far": "y"} {
			peer, server := daemon(host, site)
			defer server.Close()
			peer.applyRouting([]byte(`{"version":5}`), "test")
			announce[host] = dragonflyhatch.Gossip{From: dragonflyhatch.Member{Host: host, Site: site, PeerAddress: server.Listener.Addr().String()}, RoutingVersion: 5}
			servers[host] = server
		}
		source := func() string {
			_, _, host, err := gateway.fetchSnapshot(context.Background(), announce["far"], dragonflyhatch.SnapshotRouting)
			convey.So(err, convey.ShouldBeNil)
			return host
		}
		convey.Convey("It fetches from the peer that announces it if no other is known", func() {
			convey.So(source(), convey.ShouldEqual, "far")
		})
		convey.Convey("It fetches from the peer of its site that has announced it too, unless that does not answer", func() {
			gateway.sources.record(announce["near"], "x", gateway.timeOfDay())
			convey.So(source(), convey.ShouldEqual, "near")
			servers["near"].Close()
			convey.So(source(), convey.ShouldEqual, "far")
		})
	})
}
