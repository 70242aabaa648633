package hatchforward

import (
	"sync"
	"time"

	"dragonflyhatch/hatchretry"
)

// tokenRequestPause is the pause after a round in which nobody has lent anything: as long
// as a part of the budget's window, so that an overload does not turn into
// questions between daemons.
const tokenRequestPause = 500 * time.Millisecond

// serviceBudget is the daemon's part of the budget of repeats at a service. A
// part that is spent borrows: daemons lose unequal numbers of streams with a
// replica.
type serviceBudget struct {
	*hatchretry.SharedBudget

	requestMu   sync.Mutex
	nextRequest time.Time
}

// budget returns the budget of repeats at the service.
func (forwarder *Forwarder) budget(service string) *serviceBudget {
	forwarder.mu.Lock()
	defer forwarder.mu.Unlock()
	budget, ok := forwarder.budgets[service]
	if !ok {
		budget = &serviceBudget{SharedBudget: hatchretry.NewSharedBudget(forwarder.budgetTerms)}
		forwarder.budgets[service] = budget
	}
	return budget
}

// spendLocal takes one repeat from this daemon's part of the service's budget.
func (forwarder *Forwarder) spendLocal(service string) bool {
	return forwarder.budget(service).Spend(time.Now(), forwarder.fleet.Daemons())
}

// spend takes one repeat from the service's budget, or one that another daemon
// lends, which may take loanTimeout of hatchpeer.
func (forwarder *Forwarder) spend(service string) bool {
	budget, daemons := forwarder.budget(service), forwarder.fleet.Daemons()
	if budget.Spend(time.Now(), daemons) {
		return true
	}
	budget.requestMu.Lock()
	defer budget.requestMu.Unlock()
	now := time.Now()
	if budget.Spend(now, daemons) { // of what was borrowed meanwhile
		return true
	}
	if now.Before(budget.nextRequest) {
		return false
	}
	forwarder.fleet.Borrow(service, func(lent int) { budget.Credit(time.Now(), lent) })
	now = time.Now()
	if budget.Spend(now, daemons) {
		return true
	}
	budget.nextRequest = now.Add(tokenRequestPause)
	return false
}

// Lend takes up to so many repeats out of this daemon's part of the service's
// budget for another daemon, and returns how many.
func (forwarder *Forwarder) Lend(service string, wanted int) int {
	return forwarder.budget(service).Lend(time.Now(), forwarder.fleet.Daemons(), wanted)
}
