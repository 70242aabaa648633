package hatchforward

import (
	"context"
	"sync/atomic"
	"time"

	"dragonflyhatch/hatchretry"
)

// tokenRequestPause is the pause after a round of token requests that no daemon
// granted. It is a fraction of the budget's window, and long enough that an overload
// does not cause a flood of requests between daemons.
const tokenRequestPause = 500 * time.Millisecond

// tokenPollInterval is the mean pause between two attempts of a stream that has begun to
// get a retry token.
const tokenPollInterval = 50 * time.Millisecond

// serviceBudget is this daemon's share of a service's retry budget. When it is
// exhausted, retry tokens are requested from other daemons, because the loss of a
// replica breaks unequal numbers of streams at the daemons.
type serviceBudget struct {
	*hatchretry.SharedBudget

	waiting     atomic.Int32  // streams that have begun and wait for a token
	requesting  chan struct{} // holds an item during a request for tokens
	nextRequest time.Time     // earliest time of the next request for tokens; guarded by requesting
}

// take takes one retry token that this daemon has, and reports whether there was one. A
// request that is not urgent can still be refused: it leaves the reserve, and gets none
// while streams that have begun wait for tokens.
func (budget *serviceBudget) take(daemons int, urgent bool) bool {
	if urgent {
		return budget.Spend(time.Now(), daemons)
	}
	return budget.waiting.Load() == 0 && budget.SpendUnreserved(time.Now(), daemons)
}

// budget returns this daemon's share of the service's retry budget.
func (forwarder *Forwarder) budget(service string) *serviceBudget {
	forwarder.mu.Lock()
	defer forwarder.mu.Unlock()
	budget, ok := forwarder.budgets[service]
	if !ok {
		budget = &serviceBudget{SharedBudget: hatchretry.NewSharedBudget(forwarder.retryLimits), requesting: make(chan struct{}, 1)}
		forwarder.budgets[service] = budget
	}
	return budget
}

// spendLocal takes one retry token from this daemon's share of the service's
// budget for a request that is not urgent, and reports whether there was one.
func (forwarder *Forwarder) spendLocal(service string) bool {
	return forwarder.budget(service).take(forwarder.fleet.Daemons(), false)
}

// spend takes one retry token from this daemon's share of the service's budget, or one
// that another daemon grants, and reports whether it got one. It may block for as long as
// hatchpeer allows a token request to take, but not after ctx is done.
func (forwarder *Forwarder) spend(ctx context.Context, service string, urgent bool) bool {
	budget, daemons := forwarder.budget(service), forwarder.fleet.Daemons()
	if budget.take(daemons, urgent) {
		return true
	}
	if !urgent && budget.waiting.Load() > 0 {
		return false
	}
	select {
	case budget.requesting <- struct{}{}:
		defer func() { <-budget.requesting }()
	case <-ctx.Done():
		return false
	}
	if budget.take(daemons, urgent) { // tokens granted to a concurrent request
		return true
	}
	if time.Now().Before(budget.nextRequest) || ctx.Err() != nil {
		return false
	}
	wanted := max(int(budget.waiting.Load()), 1)
	forwarder.fleet.RequestRetryTokens(service, wanted, urgent, func(granted int) { budget.AddGrant(time.Now(), granted) })
	if budget.take(daemons, urgent) {
		return true
	}
	budget.nextRequest = time.Now().Add(tokenRequestPause)
	return false
}

// awaitToken takes one retry token for a stream that has begun. It waits for one until ctx
// is done.
func (forwarder *Forwarder) awaitToken(ctx context.Context, service string) bool {
	budget := forwarder.budget(service)
	budget.waiting.Add(1)
	defer budget.waiting.Add(-1)
	for ctx.Err() == nil {
		if forwarder.spend(ctx, service, true) {
			return true
		}
		sleep(ctx, time.Duration((0.5+forwarder.random.Float64())*float64(tokenPollInterval)))
	}
	return false
}

// GrantRetryTokens takes up to wanted retry tokens out of this daemon's share of
// the service's budget to grant them to another daemon, and returns their number.
func (forwarder *Forwarder) GrantRetryTokens(service string, wanted int, urgent bool) int {
	budget, now, daemons := forwarder.budget(service), time.Now(), forwarder.fleet.Daemons()
	switch {
	case urgent:
		return budget.GrantRetryTokens(now, daemons, wanted)
	case budget.waiting.Load() > 0:
		return 0
	}
	return budget.GrantUnreserved(now, daemons, wanted)
}

// sleep pauses for the duration, but not after ctx is done.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
