package hatchforward

import (
	"sync"
	"time"

	"dragonflyhatch/hatchretry"
)

// tokenRequestPause is the pause after a round of token requests that no daemon
// granted. It is a fraction of the budget's window, and long enough that an overload
// does not cause a flood of requests between daemons.
const tokenRequestPause = 500 * time.Millisecond

// serviceBudget is this daemon's share of a service's retry budget. When it is
// exhausted, retry tokens are requested from other daemons, because the loss of a
// replica breaks unequal numbers of streams at the daemons.
type serviceBudget struct {
	*hatchretry.SharedBudget

	requestMu   sync.Mutex // held during a request for tokens
	nextRequest time.Time  // earliest time of the next request for tokens
}

// budget returns this daemon's share of the service's retry budget.
func (forwarder *Forwarder) budget(service string) *serviceBudget {
	forwarder.mu.Lock()
	defer forwarder.mu.Unlock()
	budget, ok := forwarder.budgets[service]
	if !ok {
		budget = &serviceBudget{SharedBudget: hatchretry.NewSharedBudget(forwarder.retryLimits)}
		forwarder.budgets[service] = budget
	}
	return budget
}

// spendLocal takes one retry token from this daemon's share of the service's
// budget, and reports whether there was one.
func (forwarder *Forwarder) spendLocal(service string) bool {
	return forwarder.budget(service).Spend(time.Now(), forwarder.fleet.Daemons())
}

// spend takes one retry token from this daemon's share of the service's budget,
// or one that another daemon grants, and reports whether it got one. It may block
// for as long as hatchpeer allows a token request to take.
func (forwarder *Forwarder) spend(service string) bool {
	budget, daemons := forwarder.budget(service), forwarder.fleet.Daemons()
	if budget.Spend(time.Now(), daemons) {
		return true
	}
	budget.requestMu.Lock()
	defer budget.requestMu.Unlock()
	now := time.Now()
	if budget.Spend(now, daemons) { // tokens granted to a concurrent request
		return true
	}
	if now.Before(budget.nextRequest) {
		return false
	}
	forwarder.fleet.RequestRetryTokens(service, func(granted int) { budget.AddGrant(time.Now(), granted) })
	now = time.Now()
	if budget.Spend(now, daemons) {
		return true
	}
	budget.nextRequest = now.Add(tokenRequestPause)
	return false
}

// GrantRetryTokens takes up to wanted retry tokens out of this daemon's share of
// the service's budget to grant them to another daemon, and returns their number.
func (forwarder *Forwarder) GrantRetryTokens(service string, wanted int) int {
	return forwarder.budget(service).GrantRetryTokens(time.Now(), forwarder.fleet.Daemons(), wanted)
}
