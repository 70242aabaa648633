package hatchforward

import (
	"testing"
	"time"

	"dragonflyhatch"
	"dragonflyhatch/hatchlimit"
	"dragonflyhatch/hatchroute"
	"dragonflyhatch/platform"
)

// newRankedFleet returns a fleet with a service of two ranks and one head, and a stream of
// the less urgent rank.
func newRankedFleet(t *testing.T) (*fakeFleet, *stream) {
	fleet := newFleet("lm", newFakeReplica(t, "head"))
	routing := testRouting()
	urgent := routing.Routes[2]
	urgent.Name, urgent.Prefix, urgent.Priority = "urgent", "/urgent/", 0
	routing.Routes[2].Priority = 1
	routing.Routes = append(routing.Routes, urgent)
	fleet.table = hatchroute.NewTable(routing)
	route := &fleet.table.Routes[2]
	return fleet, &stream{call: &call{
		forwarder: New(fleet, platform.Dialect{}), table: fleet.table, route: route, service: fleet.table.Services["lm"],
		deadline: time.Now().Add(route.Timeout),
	}}
}

// TestRefusedWithoutTime guards against callers that do not say how long they wait and are
// all told to return at once, while there is still no room.
func TestRefusedWithoutTime(t *testing.T) {
	fleet, stream := newRankedFleet(t)
	head := fleet.view.Replicas()[0].Address
	node, refused := fleet.view.NodeAt(head), 0
	node.RecordHeadLoad(time.Now(), 8, 100)
	rank, ranks := stream.rank()
	stream.forwarder.ranked.get("lm", ranks).Demand().Merge(time.Now(), dragonflyhatch.ServiceDemand{Ranks: []float64{1e6, 1e6}})
	for range 50 {
		err := stream.checkRank(node, rank, ranks)
		if err == nil {
			continue
		}
		refused++
		if after := dragonflyhatch.FailureOf(err).RetryAfter; after < 500*time.Millisecond || after > hatchlimit.ReturnDelay(stream.route.Timeout, 1) {
			t.Fatalf("told to return after %s of %s", after, stream.route.Timeout)
		}
	}
	if refused == 0 {
		t.Error("no stream was refused")
	}
}

// TestDemandOfRemovedRanks guards against demand that a daemon sends for a service without
// ranks: a peer with the previous configuration would adopt it and admit too much.
func TestDemandOfRemovedRanks(t *testing.T) {
	fleet, stream := newRankedFleet(t)
	_, ranks := stream.rank()
	stream.forwarder.ranked.get("lm", ranks)
	if got := stream.forwarder.Demand(time.Now()); len(got) != 1 {
		t.Fatalf("got %v, want the demand of one service", got)
	}
	fleet.table = hatchroute.NewTable(testRouting())
	if got := stream.forwarder.Demand(time.Now()); len(got) != 0 {
		t.Errorf("got %v after the ranks were removed", got)
	}
}
