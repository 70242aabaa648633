package hatchretry

import (
	"sync"
	"time"
)

// windowParts is how many parts a window is counted in. One more is kept, so that
// the repeats of every window that slides over them are counted whole.
const (
	windowParts = 20
	keptParts   = windowParts + 1
)

// safetyShare is the part of the fleet's budget that daemons spend: their counts
// of each other lag, and they divide the window at different moments.
const safetyShare = 0.7

// creditTime is how long what others have lent may be spent: they count it from
// when they lend it, so that it must not be kept for a later window.
const creditTime = 200 * time.Millisecond

// SharedTerms are the terms of a budget that a fleet of daemons shares: in any
// window the repeats of all daemons may be Ratio times the requests and Extra.
type SharedTerms struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

// SharedBudget is one daemon's part of a fleet's budget for one service. It
// needs no word from the others but their number. Its methods may be called by
// several goroutines.
type SharedBudget struct {
	terms SharedTerms
	epoch time.Time // of the process's own time, which the clock's steps do not touch

	mu       sync.Mutex
	credit   int       // repeats that others have lent
	lentAt   time.Time // when the last of them were
	part     int64     // number of the newest part of the window
	requests [keptParts]int
	repeats  [keptParts]int
}

// NewSharedBudget returns a budget in which nothing has been spent.
func NewSharedBudget(terms SharedTerms) *SharedBudget {
	return &SharedBudget{terms: terms, epoch: time.Now()}
}

// Earn notes the first attempt at a request.
func (budget *SharedBudget) Earn(now time.Time) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.requests[budget.turn(now)]++
}

// Spend takes one repeat out of this daemon's part, or returns false. Daemons is
// the number of those that share the budget.
func (budget *SharedBudget) Spend(now time.Time, daemons int) bool {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	index := budget.turn(now)
	if float64(sum(budget.repeats)+1) <= budget.allowed(daemons) {
		budget.repeats[index]++
		return true
	}
	if budget.credit == 0 || now.Sub(budget.lentAt) > creditTime {
		return false
	}
	budget.credit-- // the lender has counted it
	return true
}

// Lend takes up to so many repeats out of this daemon's part for another one to
// spend, and returns how many: about half of what is left at most.
func (budget *SharedBudget) Lend(now time.Time, daemons, wanted int) int {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	index := budget.turn(now)
	lent := max(min(wanted, (budget.left(daemons)+1)/2), 0)
	budget.repeats[index] += lent
	return lent
}

// Credit adds repeats that another daemon has lent. They are to be spent at once.
func (budget *SharedBudget) Credit(now time.Time, lent int) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	if now.Sub(budget.lentAt) > creditTime {
		budget.credit = 0
	}
	budget.credit += lent
	budget.lentAt = now
}

// Left returns the repeats that are left in this daemon's part.
func (budget *SharedBudget) Left(now time.Time, daemons int) int {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.turn(now)
	return budget.left(daemons)
}

// left is Left for the window as it is; the mutex must be held.
func (budget *SharedBudget) left(daemons int) int {
	return max(int(budget.allowed(daemons))-sum(budget.repeats), 0)
}

// allowed returns the repeats of a window. The requests of its oldest, partly
// past, part earn nothing.
func (budget *SharedBudget) allowed(daemons int) float64 {
	oldest := budget.requests[(budget.part+1)%keptParts]
	return safetyShare * (budget.terms.Ratio*float64(sum(budget.requests)-oldest) + budget.terms.Extra/float64(max(daemons, 1)))
}

// turn moves the window on to now and returns the index of its newest part.
func (budget *SharedBudget) turn(now time.Time) int {
	part := int64(now.Sub(budget.epoch)) / int64(budget.terms.Window/windowParts)
	switch {
	case part <= budget.part: // the newest part, or a moment read before another goroutine's
	case part-budget.part >= keptParts:
		clear(budget.requests[:])
		clear(budget.repeats[:])
		budget.part = part
	default:
		for budget.part < part {
			budget.part++
			index := budget.part % keptParts
			budget.requests[index], budget.repeats[index] = 0, 0
		}
	}
	return int(budget.part % keptParts)
}

func sum(counts [keptParts]int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}
