package hatchgateway

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch"
	"dragonflyhatch/hatchstandin"
	"dragonflyhatch/platform"
)

func TestPoll(t *testing.T) {
	convey.Convey("Given a store with a configuration and a replica, and a daemon that has read both", t, func() {
		server := httptest.NewServer(hatchstandin.NewPlatform().Handler())
		defer server.Close()
		ctx := context.Background()
		gateway := New(&platform.Settings{Host: "b", PeerAddress: "127.0.0.1:1", StoreAddress: server.Listener.Addr().String()})
		register := func(id, address string) {
			_, err := gateway.store.Create(ctx, platform.ReplicaKind+"/"+id,
				[]byte(`{"service":"desk","address":"`+address+`","zone":"a","slots":4,"state":"ready"}`))
			convey.So(err, convey.ShouldBeNil)
		}
		_, err := gateway.store.Create(ctx, platform.RoutingName, []byte(`{"version":1}`))
		convey.So(err, convey.ShouldBeNil)
		register("r-1", "127.0.0.1:9")
		lastVersion := gateway.pollOnce(ctx, 0, true)
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
			gateway.pollOnce(ctx, lastVersion, true)
			convey.So(reads()-before, convey.ShouldEqual, 1)
		})
		convey.Convey("A poll applies a new replica and a new configuration", func() {
			register("r-2", "127.0.0.1:10")
			lastVersion = gateway.pollOnce(ctx, lastVersion, true)
			convey.So(len(gateway.View().Replicas()), convey.ShouldEqual, 2)
			_, err := gateway.store.Update(ctx, platform.RoutingName, 0, []byte(`{"version":2}`))
			convey.So(err, convey.ShouldBeNil)
			gateway.pollOnce(ctx, lastVersion, true)
			convey.So(gateway.Table().Version, convey.ShouldEqual, 2)
		})
	})
}

// TestStaleDaemonReadsStore guards against a daemon that keeps a withdrawn key because
// the daemons that are to read the store have lost it and no other takes over.
func TestStaleDaemonReadsStore(t *testing.T) {
	convey.Convey("Given a daemon that is not to read the store, whose peers know nothing new", t, func() {
		server := httptest.NewServer(hatchstandin.NewPlatform().Handler())
		defer server.Close()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		bounds := platform.Bounds{ConfigurationDelay: time.Second, DrainDelay: time.Second}
		gateway := New(&platform.Settings{
			Host: "b", PeerAddress: "127.0.0.1:1", StoreAddress: server.Listener.Addr().String(), MilliCores: 100, Bounds: bounds,
		})
		_, err := gateway.store.Create(ctx, platform.RoutingName, []byte(`{"version":1}`))
		convey.So(err, convey.ShouldBeNil)
		gateway.applyRouting([]byte(`{"version":1}`), "test")
		gateway.mu.Lock()
		for i := range 2 * storeFollowerCount {
			gateway.roster.Merge(dragonflyhatch.Member{Host: "h-" + strconv.Itoa(i), PeerAddress: "127.0.0.1:1", MilliCores: 200, Version: 1})
		}
		gateway.mu.Unlock()
		gossip := func(age time.Duration) {
			gateway.mergeGossip(dragonflyhatch.Gossip{
				From: dragonflyhatch.Member{Host: "h-1", PeerAddress: "127.0.0.1:1", MilliCores: 200, Version: 1}, RoutingVersion: 1, ReplicasDigest: gateway.replicas.digest(), StoreAge: age,
			})
		}
		go gateway.runPolling(ctx)
		_, err = gateway.store.Update(ctx, platform.RoutingName, 0, []byte(`{"version":2}`))
		convey.So(err, convey.ShouldBeNil)
		changed := time.Now()
		convey.Convey("It reads the store within the bound", func() {
			for gateway.Table().Version < 2 && time.Since(changed) < 2*bounds.ConfigurationDelay {
				gossip(time.Since(changed))
				time.Sleep(20 * time.Millisecond)
			}
			convey.So(gateway.Table().Version, convey.ShouldEqual, 2)
			convey.So(time.Since(changed), convey.ShouldBeLessThan, bounds.ConfigurationDelay)
		})
		convey.Convey("It does not while its peers have read the store lately", func() {
			for time.Since(changed) < 2*bounds.ConfigurationDelay {
				gossip(100 * time.Millisecond)
				time.Sleep(20 * time.Millisecond)
			}
			convey.So(gateway.Table().Version, convey.ShouldEqual, 1)
		})
	})
}
