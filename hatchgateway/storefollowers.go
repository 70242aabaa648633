package hatchgateway

import (
	"context"
	"slices"
	"time"

	"dragonflyhatch/platform"
)

const (
	// storeRankName is the name under which daemons are ranked for following the
	// store.
	storeRankName = "store"
	// storeFollowerCount is the number of daemons that watch the store. The others
	// receive updates from them, so that the load on the store does not grow with
	// the fleet.
	storeFollowerCount = 4
	// isolationTimeout is how long a daemon may go without gossip from a peer before
	// it follows the store itself: a few gossip intervals.
	isolationTimeout = 1500 * time.Millisecond
	// bootstrapDelay is how long a daemon that is no seed waits for the first
	// configuration from a peer when all daemons start for the first time, before it
	// reads the store itself. Half as much again is added at random.
	bootstrapDelay = time.Second
	// firstContactWait is how long a daemon that starts again waits for its first gossip
	// before it reads the store: some round trips. A fleet that restarts while the store
	// is unavailable would otherwise call it as often as it has daemons.
	firstContactWait = 100 * time.Millisecond
	// followCheckInterval is the pause between checks whether to follow the store.
	followCheckInterval = 200 * time.Millisecond
	// unfollowDelay is how long a daemon must not have needed to follow the store
	// before it ends its watches. They would otherwise last for watchTimeout.
	unfollowDelay = 2 * time.Second
)

// shouldFollowStore reports whether this daemon begins to follow the store: if that is its
// duty, unless the store serves nobody. Then runPolling makes the only calls.
func (gateway *Gateway) shouldFollowStore(now time.Time) bool {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return gateway.hasStoreDuty(now) && !gateway.freshness.IsPaced(now)
}

// goesOnFollowing reports whether this daemon keeps its watches on the store open. An
// outage ends those that it affects.
func (gateway *Gateway) goesOnFollowing(now time.Time) bool {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return gateway.hasStoreDuty(now)
}

// hasStoreDuty reports whether following the store is this daemon's duty: because it is one
// of the first by rank, is the leader and reaches the store, has no configuration, or
// receives no gossip. The mutex must be held.
func (gateway *Gateway) hasStoreDuty(now time.Time) bool {
	if gateway.routing.version == 0 && now.Before(gateway.earliestRead) {
		return false
	}
	if gateway.routing.version == 0 || gateway.leader.isSelf && !gateway.roster.Self().StoreLost || now.Sub(gateway.lastPeerContact) > isolationTimeout {
		return true
	}
	rank := gateway.roster.Rank(storeRankName)
	return rank >= 0 && rank < storeFollowerCount
}

// awaitFirstCall waits until the daemon may first call the store for objects of the kind:
// once a peer has answered, if there are other seeds, and for registrations once the call
// for the configuration has shown whether the store responds.
func (gateway *Gateway) awaitFirstCall(ctx context.Context, kind string) {
	if seeds := *gateway.seeds.Load(); len(seeds) > 0 && !slices.Contains(seeds, gateway.settings.PeerAddress) {
		contact, cancel := context.WithTimeout(ctx, firstContactWait)
		defer cancel()
		select {
		case <-gateway.peerContact:
		case <-contact.Done():
		}
	}
	if kind == platform.RoutingKind {
		return
	}
	select {
	case <-gateway.storeCalled:
	case <-ctx.Done():
	}
}

// recordStoreReachable publishes whether the store was reached in this daemon's
// member entry. Daemons that do not reach it rank last, so that others follow it.
func (gateway *Gateway) recordStoreReachable(reached bool) {
	gateway.mu.Lock()
	changed := gateway.roster.SetStoreLost(!reached)
	gateway.mu.Unlock()
	if changed && !reached {
		gateway.requestPush()
	}
}
