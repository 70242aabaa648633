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
// object; one that was read already is not decoded again. The store has one
// counter of versions for all objects, so the replicas are read only if something
// has changed.
func (gateway *Gateway) pollOnce(ctx context.Context, read uint64) uint64 {
	objects, version, err := gateway.store.List(ctx, platform.RoutingKind+"/")
	gateway.storeAnswered(err == nil)
	if err != nil {
		gateway.logger.Debug("poll failed", "error", err) // the watches tell when the store is lost
		return read
	}
	for _, object := range objects {
		if object.Name == platform.RoutingName && object.Version != read {
			gateway.adoptRouting(object.Value, "poll")
			read = object.Version
		}
	}
	if version <= gateway.versions().ReplicasVersion {
		return read
	}
	replicas, version, err := gateway.store.List(ctx, platform.ReplicaKind+"/")
	if err != nil {
		gateway.logger.Debug("poll failed", "error", err)
		return read
	}
	replicaFollower{gateway}.polled(replicas, version)
	return read
}
