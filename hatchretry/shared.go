package hatchretry

import (
	"sync"
	"time"
)

// A window is counted in windowSlots slots. One more slot is kept, so that every
// sliding window is fully covered by the counted slots.
const (
	windowSlots = 20
	keptSlots   = windowSlots + 1
)

// safetyFactor is the fraction of the fleet's budget that the daemons spend. The
// rest covers that their counts of live daemons lag, and that their slots begin
// at different times.
const safetyFactor = 0.7

// grantLifetime is how long retries granted by other daemons may be spent. The
// granting daemon counts them at the time of the grant, so they must not be kept
// for a later window.
const grantLifetime = 200 * time.Millisecond

// SharedLimits are the limits of a budget that the daemons of a fleet share: in
// any window the retries of all daemons may be Ratio times the requests, plus
// Extra.
type SharedLimits struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

// SharedBudget is one daemon's part of a fleet's budget for one service. All it
// needs to know of the other daemons is their number. Its methods may be called
// concurrently.
type SharedBudget struct {
	limits  SharedLimits
	created time.Time // monotonic origin of the slots, so that clock steps have no effect

	mu        sync.Mutex
	granted   int       // retries granted by other daemons
	grantedAt time.Time // time of the last grant
	slot      int64     // number of the newest slot
	requests  [keptSlots]int
	retries   [keptSlots]int
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

// Spend takes one retry from this daemon's part or from the granted retries, or
// returns false if none is left. The parameter daemons is the number of daemons
// that share the budget.
func (budget *SharedBudget) Spend(now time.Time, daemons int) bool {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	index := budget.advance(now)
	if float64(sum(budget.retries)+1) <= budget.allowed(daemons) {
		budget.retries[index]++
		return true
	}
	if budget.granted == 0 || now.Sub(budget.grantedAt) > grantLifetime {
		return false
	}
	budget.granted-- // counted by the granting daemon
	return true
}

// GrantRetryTokens grants up to wanted retries from this daemon's part to another
// daemon. It returns the number granted, at most half of the remaining retries,
// rounded up.
func (budget *SharedBudget) GrantRetryTokens(now time.Time, daemons, wanted int) int {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	index := budget.advance(now)
	count := max(min(wanted, (budget.remaining(daemons)+1)/2), 0)
	budget.retries[index] += count
	return count
}

// AddGrant adds retries that another daemon has granted. They expire after
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

// Remaining returns the retries that are left in this daemon's part.
func (budget *SharedBudget) Remaining(now time.Time, daemons int) int {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.advance(now)
	return budget.remaining(daemons)
}

// remaining returns the retries that are left, without advancing the window. The
// caller must hold mu.
func (budget *SharedBudget) remaining(daemons int) int {
	return max(int(budget.allowed(daemons))-sum(budget.retries), 0)
}

// allowed returns the retries that this daemon may make in a window. Requests in
// the oldest slot, which is partly outside the window, earn nothing.
func (budget *SharedBudget) allowed(daemons int) float64 {
	oldest := budget.requests[(budget.slot+1)%keptSlots]
	return safetyFactor * (budget.limits.Ratio*float64(sum(budget.requests)-oldest) + budget.limits.Extra/float64(max(daemons, 1)))
}

// advance moves the window forward to now and returns the index of the newest
// slot.
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
