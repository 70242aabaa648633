package hatchgateway

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch"
	"dragonflyhatch/hatchstandin"
	"dragonflyhatch/platform"
)

func TestLease(t *testing.T) {
	convey.Convey("Given a lease in the store and a daemon that knows no leader", t, func() {
		server := httptest.NewServer(hatchstandin.NewPlatform().Handler())
		defer server.Close()
		ctx := context.Background()
		gateway := New(&platform.Settings{Host: "b", PeerAddress: "127.0.0.1:1", StoreAddress: server.Listener.Addr().String()})
		value, err := json.Marshal(lease{Host: "a", Process: "first"})
		convey.So(err, convey.ShouldBeNil)
		term, err := gateway.store.Create(ctx, leaseName, value)
		convey.So(err, convey.ShouldBeNil)
		now := time.Now()
		becomesLeader := func() bool {
			convey.So(gateway.acquireLease(ctx, now), convey.ShouldBeNil)
			return gateway.isLeader()
		}
		convey.Convey("It does not take the lease of a process that serves", func() {
			gateway.roster.Merge(dragonflyhatch.Member{Host: "a", Process: "first", Version: 1})
			convey.So(becomesLeader(), convey.ShouldBeFalse)
			convey.So(gateway.leader.host, convey.ShouldEqual, "a")
			convey.So(gateway.leader.term, convey.ShouldEqual, term)
		})
		convey.Convey("It takes the lease of a process that has ended", func() {
			gateway.roster.Merge(dragonflyhatch.Member{Host: "a", Process: "second", Version: 2})
			convey.So(becomesLeader(), convey.ShouldBeTrue)
		})
		convey.Convey("It takes the lease of a process that is leaving", func() {
			gateway.roster.Merge(dragonflyhatch.Member{Host: "a", Process: "first", Version: 2, Leaving: true})
			convey.So(becomesLeader(), convey.ShouldBeTrue)
		})
		convey.Convey("It takes the lease of a process that it does not know once it has been unchanged for a while", func() {
			convey.So(becomesLeader(), convey.ShouldBeFalse)
			now = now.Add(unknownHolderWait - time.Millisecond)
			convey.So(becomesLeader(), convey.ShouldBeFalse)
			now = now.Add(time.Millisecond)
			convey.So(becomesLeader(), convey.ShouldBeTrue)
		})
		convey.Convey("It leaves the lease to a process that has just taken it, although it does not know it", func() {
			convey.So(becomesLeader(), convey.ShouldBeFalse)
			now = now.Add(unknownHolderWait)
			value, err := json.Marshal(lease{Host: "c", Process: "other"})
			convey.So(err, convey.ShouldBeNil)
			_, err = gateway.store.Update(ctx, leaseName, term, value)
			convey.So(err, convey.ShouldBeNil)
			convey.So(becomesLeader(), convey.ShouldBeFalse)
			gateway.roster.Merge(dragonflyhatch.Member{Host: "c", Process: "other", Version: 1})
			convey.So(becomesLeader(), convey.ShouldBeFalse)
			convey.So(gateway.leader.host, convey.ShouldEqual, "c")
		})
	})
}

// TestLeaderResigns guards against a leader whose work has failed and that nobody
// replaces.
func TestLeaderResigns(t *testing.T) {
	convey.Convey("Given a leader and another daemon", t, func() {
		server := httptest.NewServer(hatchstandin.NewPlatform().Handler())
		defer server.Close()
		ctx := context.Background()
		daemon := func(host, other string) *Gateway {
			gateway := New(&platform.Settings{Host: host, PeerAddress: "127.0.0.1:1", StoreAddress: server.Listener.Addr().String()})
			gateway.roster.Merge(dragonflyhatch.Member{Host: other, PeerAddress: "127.0.0.1:1", Version: 1})
			return gateway
		}
		leader, successor := daemon("a", "b"), daemon("b", "a")
		convey.So(leader.acquireLease(ctx, time.Now()), convey.ShouldBeNil)
		convey.So(leader.isLeader(), convey.ShouldBeTrue)
		successor.mergeLeader("a", leader.leader.term)
		convey.Convey("After it has resigned, the other takes the lease and it does not", func() {
			leader.resign(ctx)
			convey.So(leader.isLeader(), convey.ShouldBeFalse)
			successor.mergeLeader(leader.leader.host, leader.leader.term)
			start := time.Now()
			successor.shouldTakeLease(start)
			convey.So(successor.shouldTakeLease(start.Add(2*rankDelay)), convey.ShouldBeTrue)
			leader.shouldTakeLease(start)
			convey.So(leader.shouldTakeLease(start.Add(2*rankDelay)), convey.ShouldBeFalse)
			convey.So(leader.shouldTakeLease(start.Add(resignTime)), convey.ShouldBeTrue)
			convey.So(successor.acquireLease(ctx, time.Now()), convey.ShouldBeNil)
			convey.So(successor.isLeader(), convey.ShouldBeTrue)
		})
	})
	convey.Convey("A leader that knows no other daemon does not resign", t, func() {
		gateway := New(&platform.Settings{Host: "a", PeerAddress: "127.0.0.1:1", StoreAddress: "127.0.0.1:1"})
		gateway.becomeLeader(3)
		gateway.resign(context.Background())
		convey.So(gateway.isLeader(), convey.ShouldBeTrue)
	})
}

// TestLeaderNamedByPeer guards against a process that holds the lease and does not lead, as a
// peer has announced its term before it has read the lease itself.
func TestLeaderNamedByPeer(t *testing.T) {
	server := httptest.NewServer(hatchstandin.NewPlatform().Handler())
	defer server.Close()
	ctx := context.Background()
	gateway := New(&platform.Settings{Host: "a", PeerAddress: "127.0.0.1:1", StoreAddress: server.Listener.Addr().String()})
	value, err := json.Marshal(lease{Host: "a", Process: gateway.roster.Self().Process})
	if err != nil {
		t.Fatal(err)
	}
	term, err := gateway.store.Create(ctx, leaseName, value)
	if err != nil {
		t.Fatal(err)
	}
	gateway.mergeLeader("a", term)
	if err := gateway.acquireLease(ctx, time.Now()); err != nil || !gateway.isLeader() {
		t.Errorf("the holder of the lease leads: %t, %v", gateway.isLeader(), err)
	}
}
