package hatchgateway

import (
	"context"
	"time"

	"dragonflyhatch"
	"dragonflyhatch/hatchmember"
	"dragonflyhatch/platform"
)

const (
	// pollerCount is the number of daemons that poll, a subset of those that follow
	// the store. If one or two of them lose the connection to it, at least one still
	// polls.
	pollerCount = 3
	// stalenessShare is the share of the time within which a configuration or a drain
	// must take effect after which a daemon reads the store itself, if neither it nor a
	// peer has done so. The rest of that time is for the read.
	stalenessShare = 0.75
	// maxStalenessLimit bounds that time where the platform sets no bounds.
	maxStalenessLimit = 5 * time.Second
	// slowCall is the time after which a call for the configuration counts as failed until
	// it ends. If the store does not respond at all, the fleet learns that before the
	// time-out of the call, that is, before all daemons find their knowledge too old.
	slowCall = 400 * time.Millisecond
	// rankCheckInterval is the longest pause between two checks of the daemon's rank.
	rankCheckInterval = 400 * time.Millisecond
)

// newFreshness returns the freshness of a daemon with the bounds.
func (gateway *Gateway) newFreshness(bounds platform.Bounds) *hatchmember.Freshness {
	limit := maxStalenessLimit
	for _, bound := range []time.Duration{bounds.ConfigurationDelay, bounds.DrainDelay} {
		if bound > 0 {
			limit = min(limit, time.Duration(stalenessShare*float64(bound)))
		}
	}
	return hatchmember.NewFreshness(limit, gateway.random, time.Now())
}

// runPolling reads the store beside the watches until ctx is done: periodically if
// this daemon polls, as a watch may deliver no events for seconds although the store
// serves reads, and whenever no daemon is known to have read the store lately.
func (gateway *Gateway) runPolling(ctx context.Context) {
	var lastVersion uint64 // of the configuration object
	for ctx.Err() == nil {
		isPoller, next := gateway.nextStoreRead()
		if wait := time.Until(next); wait > 0 {
			sleep(ctx, min(wait, rankCheckInterval))
			continue
		}
		lastVersion = gateway.pollOnce(ctx, lastVersion, isPoller)
	}
}

// nextStoreRead returns whether polling is this daemon's duty, and when it reads the
// store next. Before the first configuration only a poller does: runFollower gets that,
// unless the store serves nobody and all calls are paced.
func (gateway *Gateway) nextStoreRead() (isPoller bool, next time.Time) {
	now := time.Now()
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	rank := gateway.roster.Rank(storeRankName)
	isPoller = rank >= 0 && rank < pollerCount
	if gateway.routing.version == 0 && !isPoller && !gateway.freshness.IsPaced(now) {
		return false, now.Add(rankCheckInterval)
	}
	return isPoller, gateway.freshness.NextCall(now, isPoller, gateway.roster.Self().StoreLost)
}

// pollOnce polls the store once and returns the version of the configuration object.
// An object that still has lastVersion is not decoded again. A failed read marks the
// daemon as unable to reach the store only if polling is its duty.
func (gateway *Gateway) pollOnce(ctx context.Context, lastVersion uint64, isPoller bool) uint64 {
	started := time.Now()
	version, err := gateway.readStore(ctx, lastVersion)
	gateway.firstCall.Do(func() { close(gateway.storeCalled) })
	if err != nil {
		gateway.logger.Debug("polling store failed", "error", err) // an outage is logged by runFollower
	}
	if err == nil || isPoller {
		gateway.recordStoreReachable(err == nil)
	}
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if age := gateway.freshness.Age(started); !isPoller && err == nil {
		gateway.logger.Info("store read by a daemon that does not poll", "age", age, "version", gateway.routing.version)
	}
	gateway.reportOutage(gateway.freshness.RecordRead(started, time.Now(), err == nil))
	return version
}

// recordStoreCall records a call to the store other than a poll. A call that ended because
// of this daemon must not be recorded.
func (gateway *Gateway) recordStoreCall(started time.Time, reached bool) {
	gateway.firstCall.Do(func() { close(gateway.storeCalled) })
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	gateway.reportOutage(gateway.freshness.RecordCall(started, time.Now(), reached))
}

// reportOutage logs the beginning or the end of an outage of the store and pushes it to
// peers, if it is news. The mutex must be held.
func (gateway *Gateway) reportOutage(news bool) {
	if !news {
		return
	}
	now := time.Now()
	gateway.logger.Info("state of the store has changed", "failing", gateway.freshness.FailureAge(now) > 0,
		"paced", gateway.freshness.IsPaced(now), "age", gateway.freshness.Age(now))
	gateway.requestPush()
}

// readStore applies the store's configuration and its replicas. All objects share one
// version counter, so the replicas are listed only if something has changed.
func (gateway *Gateway) readStore(ctx context.Context, lastVersion uint64) (uint64, error) {
	slow := time.AfterFunc(slowCall, func() { gateway.recordStoreCall(time.Now(), false) })
	objects, version, err := gateway.store.List(ctx, platform.RoutingKind+"/")
	slow.Stop()
	if err != nil {
		return lastVersion, err
	}
	for _, object := range objects {
		if object.Name == platform.RoutingName && object.Version != lastVersion {
			gateway.applyRouting(object.Value, "poll")
			lastVersion = object.Version
		}
	}
	if version <= gateway.versions().ReplicasVersion {
		return lastVersion, nil
	}
	replicas, version, err := gateway.store.List(ctx, platform.ReplicaKind+"/")
	if err != nil {
		return lastVersion, err
	}
	replicaFollower{gateway}.applyPolledListing(replicas, version)
	return lastVersion, nil
}

// confirmFreshness records that a peer's knowledge of the store, confirmed at the time,
// is known here too, unless the peer has a newer configuration or other registrations.
func (gateway *Gateway) confirmFreshness(peer dragonflyhatch.Gossip, confirmedAt time.Time) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if peer.StoreAge >= 0 && peer.RoutingVersion <= gateway.routing.version && peer.ReplicasDigest == gateway.replicas.digest() {
		gateway.freshness.Confirm(confirmedAt)
	}
}
