package hatchgateway

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch/hatchstandin"
	"dragonflyhatch/platform"
)

func TestPoll(t *testing.T) {
	convey.Convey("Given a store with a configuration and a replica, and a daemon that has read both", t, func() {
		server := httptest.NewServer(hatchstandin.NewPlatform().Handler())
		defer server.Close()
		ctx := context.Background()
		gateway := New(&platform.Settings{Host: "b", PeerAddress: "127.0.0.1:1", StoreAddress: server.Listener.Addr().String()})
		register := func(id string) {
			_, err := gateway.store.Create(ctx, platform.ReplicaKind+"/"+id,
				[]byte(`{"service":"desk","address":"127.0.0.1:9","zone":"a","slots":4,"state":"ready"}`))
			convey.So(err, convey.ShouldBeNil)
		}
		_, err := gateway.store.Create(ctx, platform.RoutingName, []byte(`{"version":1}`))
		convey.So(err, convey.ShouldBeNil)
		register("r-1")
		lastVersion := gateway.pollOnce(ctx, 0)
		convey.So(gateway.Table().Version, convey.ShouldEqual, 1)
		convey.So(len(gateway.View().Replicas()), convey.ShouldEqual, 1)
		reads := func() int {
			response, err := http.Get(server.URL + "/standin/counts")
			convey.So(err, convey.ShouldBeNil)
			defer response.Body.Close()
			var counts hatchstandin.PlatformCounts
			convey.So(json.NewDecoder(response.Body).Decode(&counts), convey.ShouldBeNil)
			return counts.Reads
		}
		before := reads()
		convey.Convey("A poll without changes is one call", func() {
			gateway.pollOnce(ctx, lastVersion)
			convey.So(reads()-before, convey.ShouldEqual, 1)
		})
		convey.Convey("A poll applies a new replica and a new configuration", func() {
			register("r-2")
			lastVersion = gateway.pollOnce(ctx, lastVersion)
			convey.So(len(gateway.View().Replicas()), convey.ShouldEqual, 2)
			_, err := gateway.store.Update(ctx, platform.RoutingName, 0, []byte(`{"version":2}`))
			convey.So(err, convey.ShouldBeNil)
			gateway.pollOnce(ctx, lastVersion)
			convey.So(gateway.Table().Version, convey.ShouldEqual, 2)
		})
	})
}
