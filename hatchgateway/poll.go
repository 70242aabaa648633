package hatchgateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyhatch"
	"dragonflyhatch/platform"
)

const (
	// pollInterval is the pause between the polls of a daemon that polls. With
	// pollers beside each other a change is seen in a part of that, well within
	// the bounds on drains and configurations.
	pollInterval = 900 * time.Millisecond
	// pollers is the number of daemons that poll, of those that follow the store:
	// the loss of one or two of their ways to it leaves one.
	pollers = 3
)

// poll reads the store now and then beside the watches, which may hear nothing
// for seconds though the store serves.
func (gateway *Gateway) poll(ctx context.Context) {
	var read uint64 // version of the configuration's object that was read last
	for ctx.Err() == nil {
		gateway.pause(ctx, pollInterval)
		gateway.mu.Lock()
		rank := gateway.roster.Rank(storeDuty)
		gateway.mu.Unlock()
		if rank >= 0 && rank < pollers {
			read = gateway.pollOnce(ctx, read)
		}
	}
}

// pollOnce reads the store once. It returns the version of the configuration's
// object; one that was read already is not decoded again.
func (gateway *Gateway) pollOnce(ctx context.Context, read uint64) uint64 {
	object, err := gateway.store.Get(ctx, platform.RoutingName)
	gateway.storeAnswered(err == nil || errors.Is(err, dragonflyhatch.ErrObjectMissing))
	if err != nil {
		gateway.logger.Debug("poll failed", "error", err) // the watches tell when the store is lost
		return read
	}
	if object.Version != read {
		gateway.adoptRouting(object.Value, "poll")
	}
	objects, version, err := gateway.store.List(ctx, platform.ReplicaKind+"/")
	if err != nil {
		gateway.logger.Debug("poll failed", "error", err)
		return object.Version
	}
	replicaFollower{gateway}.polled(objects, version)
	return object.Version
}
