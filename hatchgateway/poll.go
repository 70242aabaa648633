package hatchgateway

import (
	"context"
	"time"

	"dragonflyhatch/platform"
)

const (
	// pollInterval is the pause between two polls of one daemon. As several daemons
	// poll independently, one of them sees a change in a fraction of that time, well
	// within the bounds on drains and configurations.
	pollInterval = 900 * time.Millisecond
	// pollerCount is the number of daemons that poll, a subset of those that follow
	// the store. If one or two of them lose the connection to it, one is left.
	pollerCount = 3
)

// runPolling periodically reads the store beside the watches until ctx is done, as a
// watch may deliver no events for seconds although the store serves reads.
func (gateway *Gateway) runPolling(ctx context.Context) {
	var read uint64 // version of the configuration object read last
	for ctx.Err() == nil {
		gateway.pause(ctx, pollInterval)
		gateway.mu.Lock()
		rank := gateway.roster.Rank(storeRankName)
		gateway.mu.Unlock()
		if rank >= 0 && rank < pollerCount {
			read = gateway.pollOnce(ctx, read)
		}
	}
}

// pollOnce reads the store once and returns the version of the configuration object.
// An object with the version read is not decoded again. All objects share one
// version counter, so the replicas are listed only if something has changed.
func (gateway *Gateway) pollOnce(ctx context.Context, read uint64) uint64 {
	objects, version, err := gateway.store.List(ctx, platform.RoutingKind+"/")
	gateway.recordStoreReachable(err == nil)
	if err != nil {
		gateway.logger.Debug("polling store failed", "error", err) // an outage is logged by runFollower
		return read
	}
	for _, object := range objects {
		if object.Name == platform.RoutingName && object.Version != read {
			gateway.applyRouting(object.Value, "poll")
			read = object.Version
		}
	}
	if version <= gateway.versions().ReplicasVersion {
		return read
	}
	replicas, version, err := gateway.store.List(ctx, platform.ReplicaKind+"/")
	if err != nil {
		gateway.logger.Debug("polling store failed", "error", err)
		return read
	}
	replicaFollower{gateway}.applyPolledListing(replicas, version)
	return read
}
