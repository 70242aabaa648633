package hatchretry

import "sync/atomic"

// The parameters of a Budget, in hundredths of a retry token. Each request earns a
// fraction of a token, and the balance is bounded, so that retries do not exceed
// a fixed fraction of the requests for long.
const (
	retryCost        = 100
	earnedPerRequest = 10   // a tenth of retryCost, so retries are at most a tenth of the requests
	maxBalance       = 5000 // 50 retries
)

// Budget bounds the retries of one daemon. Its methods may be called
// concurrently.
type Budget struct {
	balance atomic.Int64
}

// NewBudget returns a budget with the maximum balance.
func NewBudget() *Budget {
	budget := new(Budget)
	budget.balance.Store(maxBalance)
	return budget
}

// RecordRequest records the first attempt at a request.
func (budget *Budget) RecordRequest() {
	if budget.balance.Load() < maxBalance {
		budget.balance.Add(earnedPerRequest)
	}
}

// Spend takes one retry token from the budget, and reports whether there was one.
func (budget *Budget) Spend() bool {
	for {
		balance := budget.balance.Load()
		if balance < retryCost {
			return false
		}
		if budget.balance.CompareAndSwap(balance, balance-retryCost) {
			return true
		}
	}
}
