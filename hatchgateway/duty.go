package hatchgateway

import "time"

const (
	// storeDuty is the name by which daemons are ranked for following the store.
	storeDuty = "store"
	// storeFollowers is the number of daemons that watch the store; the others
	// hear from them, so that calls to the store do not grow with the fleet.
	storeFollowers = 4
	// isolatedAfter is how long a daemon may hear from no peer until it follows
	// the store itself: some rounds of gossip.
	isolatedAfter = 1500 * time.Millisecond
	// dutyCheck is the pause between looks at whether the store is to be followed.
	dutyCheck = 200 * time.Millisecond
)

// followsStore says whether this daemon follows the store: if it is one of the
// first by rank, if it places layers, if it has no configuration, or if it hears
// from nobody.
func (gateway *Gateway) followsStore(now time.Time) bool {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if gateway.routing.version == 0 || gateway.leader.own || now.Sub(gateway.lastHeard) > isolatedAfter {
		return true
	}
	rank := gateway.roster.Rank(storeDuty)
	return rank >= 0 && rank < storeFollowers
}

// storeAnswered notes whether the store was reached, so that others take the duty
// of following it if it was not.
func (gateway *Gateway) storeAnswered(reached bool) {
	gateway.mu.Lock()
	changed := gateway.roster.SetStoreLost(!reached)
	gateway.mu.Unlock()
	if changed && !reached {
		gateway.tellNews()
	}
}
