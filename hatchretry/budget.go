package hatchretry

import "sync/atomic"

// The parameters of a budget: each request earns a part of a retry, and what
// is saved up is bounded, so that retries never exceed a fixed share of the
// requests for long.
const (
	retryCost  = 100
	requestPay = 10   // of retryCost, so retries are at most a tenth of the requests
	maxSaved   = 5000 // fifty retries
)

// Budget bounds the retries of one daemon. Its methods may be called by several
// goroutines.
type Budget struct {
	saved atomic.Int64
}

// NewBudget returns a budget that allows a first burst of retries.
func NewBudget() *Budget {
	budget := new(Budget)
	budget.saved.Store(maxSaved)
	return budget
}

// Earn notes a first attempt.
func (budget *Budget) Earn() {
	if budget.saved.Load() < maxSaved {
		budget.saved.Add(requestPay)
	}
}

// Spend takes one retry from the budget, or returns false.
func (budget *Budget) Spend() bool {
	for {
		saved := budget.saved.Load()
		if saved < retryCost {
			return false
		}
		if budget.saved.CompareAndSwap(saved, saved-retryCost) {
			return true
		}
	}
}
