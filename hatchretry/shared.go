package hatchretry

import (
	"sync"
	"time"
)

// A window is divided into windowSlots slots, and requests and retries are counted
// by slot. One more slot is kept, so that the slots cover every sliding window
// completely.
const (
	windowSlots = 20
	keptSlots   = windowSlots + 1
)

// safetyFactor is the fraction of the fleet's budget that the daemons spend. The
// rest is a margin, because their counts of live daemons may be outdated and their
// slots begin at different times.
const safetyFactor = 0.7

// reserveFactor is the fraction of a daemon's share that is kept for streams that have
// begun: a request that has not can still be refused.
const reserveFactor = 0.3

// grantLifetime is how long retry tokens granted by other daemons may be spent. The
// granting daemon counts them at the time of the grant, so they must not be kept
// for a later window.
const grantLifetime = 200 * time.Millisecond

// SharedLimits are the limits of a budget that the daemons of a fleet share: in
// any window all daemons together may make at most Ratio times as many retries as
// requests, plus Extra.
type SharedLimits struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

// SharedBudget is one daemon's share of a fleet's retry budget for one service. All
// it needs to know of the other daemons is their number. Its methods may be called
// concurrently.
type SharedBudget struct {
	limits  SharedLimits
	created time.Time // monotonic origin of the slots, so that clock steps have no effect

	mu        sync.Mutex
	granted   int            // unspent retry tokens granted by other daemons
	grantedAt time.Time      // time of the last grant
	slot      int64          // number of the newest slot
	requests  [keptSlots]int // by slot
	retries   [keptSlots]int // tokens of this daemon's share that were spent or granted to other daemons, by slot
}

// NewSharedBudget returns a budget with nothing spent.
func NewSharedBudget(limits SharedLimits) *SharedBudget {
	return &SharedBudget{limits: limits, created: time.Now()}
}

// RecordRequest records the first attempt at a request.
func (budget *SharedBudget) RecordRequest(now time.Time) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.requests[budget.advance(now)]++
}

// Spend takes one retry token from this daemon's share or from those granted by
// other daemons, and reports whether there was one. The parameter daemons is the
// number of daemons that share the budget.
func (budget *SharedBudget) Spend(now time.Time, daemons int) bool {
	return budget.spend(now, daemons, 1)
}

// SpendUnreserved is like Spend, but leaves the reserve of this daemon's share.
func (budget *SharedBudget) SpendUnreserved(now time.Time, daemons int) bool {
	return budget.spend(now, daemons, 1-reserveFactor)
}

// spend takes one retry token from the given fraction of this daemon's share or from
// those granted by other daemons, and reports whether there was one.
func (budget *SharedBudget) spend(now time.Time, daemons int, fraction float64) bool {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	index := budget.advance(now)
	if float64(sum(budget.retries)+1) <= fraction*budget.allowed(daemons) {
		budget.retries[index]++
		return true
	}
	if budget.granted == 0 || now.Sub(budget.grantedAt) > grantLifetime {
		return false
	}
	budget.granted-- // counted by the granting daemon
	return true
}

// GrantRetryTokens takes up to wanted retry tokens out of this daemon's share to
// grant them to another daemon. It returns their number, which is at most half of
// the remaining tokens, rounded up.
func (budget *SharedBudget) GrantRetryTokens(now time.Time, daemons, wanted int) int {
	return budget.grant(now, daemons, wanted, 1)
}

// GrantUnreserved is like GrantRetryTokens, but leaves the reserve of this daemon's share.
func (budget *SharedBudget) GrantUnreserved(now time.Time, daemons, wanted int) int {
	return budget.grant(now, daemons, wanted, 1-reserveFactor)
}

// grant takes up to wanted retry tokens out of the given fraction of this daemon's share.
func (budget *SharedBudget) grant(now time.Time, daemons, wanted int, fraction float64) int {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	index := budget.advance(now)
	remaining := int(fraction*budget.allowed(daemons)) - sum(budget.retries)
	count := max(min(wanted, (remaining+1)/2), 0)
	budget.retries[index] += count
	return count
}

// AddGrant adds retry tokens that another daemon has granted. They expire after
// grantLifetime.
func (budget *SharedBudget) AddGrant(now time.Time, count int) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	if now.Sub(budget.grantedAt) > grantLifetime {
		budget.granted = 0
	}
	budget.granted += count
	budget.grantedAt = now
}

// Remaining returns the number of retry tokens that are left in this daemon's
// share.
func (budget *SharedBudget) Remaining(now time.Time, daemons int) int {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.advance(now)
	return budget.remaining(daemons)
}

// remaining is like Remaining, but does not advance the window. mu must be held.
func (budget *SharedBudget) remaining(daemons int) int {
	return max(int(budget.allowed(daemons))-sum(budget.retries), 0)
}

// allowed returns the number of retries that this daemon's share allows in the
// window. Requests in the oldest slot, which is partly outside the window, earn
// nothing. mu must be held.
func (budget *SharedBudget) allowed(daemons int) float64 {
	oldest := budget.requests[(budget.slot+1)%keptSlots]
	return safetyFactor * (budget.limits.Ratio*float64(sum(budget.requests)-oldest) + budget.limits.Extra/float64(max(daemons, 1)))
}

// advance moves the window forward to now and returns the index of the newest
// slot. mu must be held.
func (budget *SharedBudget) advance(now time.Time) int {
	slot := int64(now.Sub(budget.created)) / int64(budget.limits.Window/windowSlots)
	switch {
	case slot <= budget.slot: // the newest slot, or another goroutine has advanced past now
	case slot-budget.slot >= keptSlots:
		clear(budget.requests[:])
		clear(budget.retries[:])
		budget.slot = slot
	default:
		for budget.slot < slot {
			budget.slot++
			index := budget.slot % keptSlots
			budget.requests[index], budget.retries[index] = 0, 0
		}
	}
	return int(budget.slot % keptSlots)
}

func sum(counts [keptSlots]int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}
