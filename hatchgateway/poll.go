package hatchgateway

import (
	"context"
	"time"

	"dragonflyhatch/platform"
)

const (
	// pollInterval is the pause between two polls of one daemon. As several daemons
	// poll independently, one of them sees a change in a fraction of that time, well
	// within the time in which a drain or a configuration must take effect.
	pollInterval = 900 * time.Millisecond
	// pollerCount is the number of daemons that poll, a subset of those that follow
	// the store. If one or two of them lose the connection to it, at least one still
	// polls.
	pollerCount = 3
)

// runPolling periodically reads the store beside the watches until ctx is done, as a
// watch may deliver no events for seconds although the store serves reads.
func (gateway *Gateway) runPolling(ctx context.Context) {
	var lastVersion uint64 // of the configuration object
	for ctx.Err() == nil {
		gateway.pause(ctx, pollInterval)
		gateway.mu.Lock()
		rank := gateway.roster.Rank(storeRankName)
		gateway.mu.Unlock()
		if rank >= 0 && rank < pollerCount {
			lastVersion = gateway.pollOnce(ctx, lastVersion)
		}
	}
}

// pollOnce polls the store once and returns the version of the configuration object.
// An object that still has lastVersion is not decoded again. All objects share one
// version counter, so the replicas are listed only if something has changed.
func (gateway *Gateway) pollOnce(ctx context.Context, lastVersion uint64) uint64 {
	objects, version, err := gateway.store.List(ctx, platform.RoutingKind+"/")
	gateway.recordStoreReachable(err == nil)
	if err != nil {
		gateway.logger.Debug("polling store failed", "error", err) // an outage is logged by runFollower
		return lastVersion
	}
	for _, object := range objects {
		if object.Name == platform.RoutingName && object.Version != lastVersion {
			gateway.applyRouting(object.Value, "poll")
			lastVersion = object.Version
		}
	}
	if version <= gateway.versions().ReplicasVersion {
		return lastVersion
	}
	replicas, version, err := gateway.store.List(ctx, platform.ReplicaKind+"/")
	if err != nil {
		gateway.logger.Debug("polling store failed", "error", err)
		return lastVersion
	}
	replicaFollower{gateway}.applyPolledListing(replicas, version)
	return lastVersion
}
