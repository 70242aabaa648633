package hatchforward

import (
	"context"
	"sync"
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

	waiting     atomic.Int32 // streams that have begun and wait for a token
	requestMu   sync.Mutex   // held during a request for tokens
	nextRequest time.Time    // earliest time of the next request for tokens
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
// budget without its reserve, and reports whether there was one.
func (forwarder *Forwarder) spendLocal(service string) bool {
	return forwarder.budget(service).SpendUnreserved(time.Now(), forwarder.fleet.Daemons())
}

// spend takes one retry token for a request that can still be refused: from this
// daemon's share of the service's budget, or one that another daemon grants. It reports
// whether it got one. While streams that have begun wait for tokens, other requests get
// none. It may block for as long as hatchpeer allows a token request to take.
func (forwarder *Forwarder) spend(service string) bool {
	budget := forwarder.budget(service)
	if budget.waiting.Load() > 0 {
		return false
	}
	return forwarder.spendOrRequest(service, budget, budget.SpendUnreserved)
}

// awaitToken is like spend, for a stream that has begun: it may use the reserve, and
// waits for a token until ctx is done.
func (forwarder *Forwarder) awaitToken(ctx context.Context, service string) bool {
	budget := forwarder.budget(service)
	budget.waiting.Add(1)
	defer budget.waiting.Add(-1)
	for ctx.Err() == nil {
		if forwarder.spendOrRequest(service, budget, budget.Spend) {
			return true
		}
		sleep(ctx, time.Duration((0.5+forwarder.random.Float64())*float64(tokenPollInterval)))
	}
	return false
}

// spendOrRequest takes one retry token with the method spend of the budget. If there is
// none, it requests tokens from other daemons, unless none granted any a short time ago.
func (forwarder *Forwarder) spendOrRequest(service string, budget *serviceBudget, spend func(now time.Time, daemons int) bool) bool {
	daemons := forwarder.fleet.Daemons()
	if spend(time.Now(), daemons) {
		return true
	}
	budget.requestMu.Lock()
	defer budget.requestMu.Unlock()
	now := time.Now()
	if spend(now, daemons) { // tokens granted to a concurrent request
		return true
	}
	if now.Before(budget.nextRequest) {
		return false
	}
	wanted := max(int(budget.waiting.Load()), 1)
	forwarder.fleet.RequestRetryTokens(service, wanted, func(granted int) { budget.AddGrant(time.Now(), granted) })
	now = time.Now()
	if spend(now, daemons) {
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

// sleep pauses for the duration, but not after ctx is done.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
