package hatchretry

import (
	"slices"
	"time"

	"dragonflyhatch"
)

// maxAttempts bounds the attempts at one answer.
const maxAttempts = 6

// NextAttempt numbers the attempt that follows last. Engines let the highest
// attempt at a request win, and a caller that reconnects makes another daemon
// go on from the same place; by counting in milliseconds the later daemon's
// attempt is the higher one, and two daemons hardly ever use the same number.
func NextAttempt(last int, now time.Time) int {
	return max(last+1, int(now.UnixMilli()))
}

// Spender is a budget that each repeat of a request is taken from.
type Spender interface {
	// Spend takes one repeat from the budget, or returns false.
	Spend() bool
}

// Attempts follows the attempts at one answer. It decides what follows a
// failure and what the caller may be told at the end. Unless limited by an
// option, attempts may be repeated at will: only what is delivered counts.
type Attempts struct {
	deadline time.Time
	count    int
	runs     int // attempts that may have run
	maxRuns  int
	maybeRan bool // some attempt may have run
	excluded []string
	ranAt    []string // replicas that may have run it, as RunFailed was told
	failedAt string   // replica of the last attempt that RunFailed was told of
}

// Option limits attempts.
type Option func(*Attempts)

// WithMaxRuns bounds the attempts that may have run; 1 makes every attempt that
// may have run the last one.
func WithMaxRuns(runs int) Option {
	return func(attempts *Attempts) { attempts.maxRuns = runs }
}

// NewAttempts returns the attempts at an answer wanted by the deadline; resumed
// says that an earlier daemon began it.
func NewAttempts(deadline time.Time, resumed bool, options ...Option) *Attempts {
	attempts := &Attempts{deadline: deadline, maybeRan: resumed, maxRuns: maxAttempts}
	for _, option := range options {
		option(attempts)
	}
	return attempts
}

// MaybeRan says whether some attempt may have run.
func (attempts *Attempts) MaybeRan() bool {
	return attempts.maybeRan
}

// RunsLeft returns how many more attempts may run, those under way included.
func (attempts *Attempts) RunsLeft() int {
	return attempts.maxRuns - attempts.runs
}

// Excluded returns the addresses that failed and are not to be tried again
// while others are left.
func (attempts *Attempts) Excluded() []string {
	return attempts.excluded
}

// Only returns the replicas to which further attempts are limited because no
// more may run the request, or nil if there is no such limit. Those that are gone
// do not count.
func (attempts *Attempts) Only(gone func(replica string) bool) []string {
	var live []string
	for _, replica := range attempts.ranAt {
		if !gone(replica) {
			live = append(live, replica)
		}
	}
	if len(live) < attempts.maxRuns {
		return nil
	}
	return live
}

// FailedAt returns the replica of the last attempt that RunFailed was told of.
func (attempts *Attempts) FailedAt() string {
	return attempts.failedAt
}

// Forgive empties the list of excluded addresses.
func (attempts *Attempts) Forgive() {
	attempts.excluded = nil
}

// Moved notes an attempt that was given up while it waited at its engine. The
// engine may have begun it in that moment.
func (attempts *Attempts) Moved() {
	attempts.maybeRan = true
}

// Failed takes the failure of an attempt, and the addresses at fault as far as
// they are known. It returns nil if another attempt is to follow; budget is asked
// once for it.
func (attempts *Attempts) Failed(now time.Time, failure *dragonflyhatch.Failure, culprits []string, budget Spender) error {
	if failure.Kind.Answer().Ran == dragonflyhatch.RanUnknown {
		attempts.maybeRan = true
		attempts.runs++
	}
	return attempts.next(now, failure, culprits, budget)
}

// RunFailed is Failed for a request that may run any number of times, but on a
// limited number of replicas: one that has run it may run it again.
func (attempts *Attempts) RunFailed(now time.Time, failure *dragonflyhatch.Failure, replica string, culprits []string, budget Spender) error {
	attempts.failedAt = replica
	if failure.Kind.Answer().Ran == dragonflyhatch.RanUnknown {
		attempts.maybeRan = true
		if !slices.Contains(attempts.ranAt, replica) {
			attempts.ranAt = append(attempts.ranAt, replica)
		}
	}
	return attempts.next(now, failure, culprits, budget)
}

// next decides whether another attempt follows the failure.
func (attempts *Attempts) next(now time.Time, failure *dragonflyhatch.Failure, culprits []string, budget Spender) error {
	attempts.count++
	attempts.excluded = append(attempts.excluded, culprits...)
	switch {
	case !now.Before(attempts.deadline):
		return attempts.End(deadlineFailure(failure))
	case attempts.count >= maxAttempts || attempts.runs >= attempts.maxRuns || !retryable(failure.Kind):
		return attempts.End(failure)
	case !budget.Spend():
		return attempts.End(failure)
	}
	return nil
}

// End returns the failure to tell the caller: if any attempt may have run, the
// answer does not say that none did.
func (attempts *Attempts) End(failure *dragonflyhatch.Failure) error {
	if !attempts.maybeRan || failure.Kind.Answer().Ran == dragonflyhatch.RanUnknown {
		return failure
	}
	kind := dragonflyhatch.KindUpstreamLost
	if failure.Kind == dragonflyhatch.KindDeadlineNotRun {
		kind = dragonflyhatch.KindDeadlineUnknown
	}
	return &dragonflyhatch.Failure{Kind: kind, Detail: failure.Detail, Cause: failure}
}

func deadlineFailure(failure *dragonflyhatch.Failure) *dragonflyhatch.Failure {
	return &dragonflyhatch.Failure{
		Kind:   dragonflyhatch.KindDeadlineNotRun,
		Detail: "the deadline passed after: " + failure.Detail,
		Cause:  failure,
	}
}

func retryable(kind dragonflyhatch.Kind) bool {
	switch kind {
	case dragonflyhatch.KindUpstreamLost, dragonflyhatch.KindUpstreamRefused, dragonflyhatch.KindUpstreamUnavailable:
		return true
	}
	return false
}
