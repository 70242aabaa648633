package hatchgateway

import (
	"context"
	"time"

	"dragonflyhatch/platform"
)

const (
	// pollInterval is the pause between the polls of a daemon that polls. With
	// pollers beside each other a change is seen in a part of that, well within
	// the bounds on drains and configurations.
	pollInterval = 900 * time.Millisecond
	// pollers is the number of daemons that poll, so that the loss of one or two
	// of their ways to the store leaves one.
	pollers = 3
	// pollRank is the name by which daemons are ranked for polling.
	pollRank = "poll"
)

// poll reads the store now and then beside the watches, which may hear nothing
// for seconds though the store serves. Few daemons poll; the others hear of
// changes by gossip.
func (gateway *Gateway) poll(ctx context.Context) {
	for ctx.Err() == nil {
		gateway.pause(ctx, pollInterval)
		gateway.mu.Lock()
		rank := gateway.roster.Rank(pollRank)
		gateway.mu.Unlock()
		if rank < 0 || rank >= pollers {
			continue
		}
		gateway.pollOnce(ctx)
	}
}

func (gateway *Gateway) pollOnce(ctx context.Context) {
	object, err := gateway.store.Get(ctx, platform.RoutingName)
	if err != nil {
		gateway.logger.Debug("poll failed", "error", err) // the watches tell when the store is lost
		return
	}
	gateway.adoptRouting(object.Value, "poll")
	objects, version, err := gateway.store.List(ctx, platform.ReplicaKind+"/")
	if err != nil {
		gateway.logger.Debug("poll failed", "error", err)
		return
	}
	replicaFollower{gateway}.polled(objects, version)
}
