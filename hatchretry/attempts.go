package hatchretry

import (
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

// Attempts follows the attempts at one answer, which may be repeated: only the
// tokens that are delivered count. It decides what follows a failure and what
// the caller may be told at the end.
type Attempts struct {
	deadline time.Time
	count    int
	maybeRan bool // some attempt may have run
	excluded []string
}

// NewAttempts returns the attempts at an answer wanted by the deadline; resumed
// says that an earlier daemon began it.
func NewAttempts(deadline time.Time, resumed bool) *Attempts {
	return &Attempts{deadline: deadline, maybeRan: resumed}
}

// Excluded returns the addresses that failed and are not to be tried again
// while others are left.
func (attempts *Attempts) Excluded() []string {
	return attempts.excluded
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
func (attempts *Attempts) Failed(now time.Time, failure *dragonflyhatch.Failure, culprits []string, budget *Budget) error {
	attempts.count++
	if failure.Kind.Answer().Ran == dragonflyhatch.RanUnknown {
		attempts.maybeRan = true
	}
	attempts.excluded = append(attempts.excluded, culprits...)
	switch {
	case !now.Before(attempts.deadline):
		return attempts.End(deadlineFailure(failure))
	case attempts.count >= maxAttempts || !retryable(failure.Kind):
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
