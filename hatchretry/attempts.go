package hatchretry

import (
	"slices"
	"time"

	"dragonflyhatch"
)

const (
	// maxAttempts is the largest number of attempts at one request.
	maxAttempts = 6
	// minBackoff and maxBackoff bound the mean pause between attempts that bring the
	// caller nothing.
	minBackoff = 25 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// maxTerminations is the number of replicas that may terminate under one request
	// before they have answered it.
	maxTerminations = 2
)

// Backoff returns the pause before the next attempt at a request whose last attempts,
// fruitless in number, have brought the caller nothing: exponential, with a random part
// given as a number from 0 to 1.
func Backoff(fruitless int, random float64) time.Duration {
	if fruitless == 0 {
		return 0
	}
	mean := maxBackoff
	if fruitless < 5 { // below, minBackoff is doubled to maxBackoff
		mean = minBackoff << (fruitless - 1)
	}
	return time.Duration((0.5 + random) * float64(mean))
}

// NextAttemptNumber returns the number of the attempt that follows last. Of several
// attempts at the same request, an engine serves the one with the highest number.
// When a caller reconnects, another daemon may resume the stream from the same
// position. The numbers are therefore based on the time in milliseconds: the
// later daemon's number is higher, and two daemons rarely use the same number.
func NextAttemptNumber(last int, now time.Time) int {
	return max(last+1, int(now.UnixMilli()))
}

// Spender is a retry budget.
type Spender interface {
	// Spend takes one retry token from the budget, and reports whether there was
	// one.
	Spend() bool
}

// Attempts tracks the attempts at one request. It decides whether a failure is
// followed by another attempt and which failure the caller receives at the end.
// Unless WithMaxRuns sets a lower limit, several attempts may run the request: only
// what is delivered to the caller must not be repeated.
type Attempts struct {
	deadline          time.Time
	count             int      // failed attempts; after a delivery only those that may have run
	runs              int      // attempts that may have run
	terminations      int      // replicas that terminated before they answered
	delivered         bool     // the caller has received a part of the response
	maxRuns           int      // limit of runs and of the length of replicasRun
	mayHaveRun        bool     // some attempt may have run
	excluded          []string // addresses
	replicasRun       []string // replicas that may have run the request, from HandleReplicaFailure
	lastFailedReplica string   // replica of the last call of HandleReplicaFailure
}

// Option sets a limit of Attempts.
type Option func(*Attempts)

// WithMaxRuns limits the number of attempts that may have run. For failures that are
// passed to HandleReplicaFailure, it limits the number of replicas that may have
// run the request instead. With a limit of one attempt, no attempt follows one
// that may have run.
func WithMaxRuns(runs int) Option {
	return func(attempts *Attempts) { attempts.maxRuns = runs }
}

// NewAttempts returns the attempts at a request whose response must be complete by
// the deadline. The flag resumed means that another daemon sent the beginning of
// the response, so that the request may have run already.
func NewAttempts(deadline time.Time, resumed bool, options ...Option) *Attempts {
	attempts := &Attempts{deadline: deadline, mayHaveRun: resumed, maxRuns: maxAttempts}
	for _, option := range options {
		option(attempts)
	}
	return attempts
}

// MayHaveRun reports whether some attempt may have run.
func (attempts *Attempts) MayHaveRun() bool {
	return attempts.mayHaveRun
}

// RemainingRuns returns how many attempts may still run, including those in
// progress.
func (attempts *Attempts) RemainingRuns() int {
	return attempts.maxRuns - attempts.runs
}

// Count returns the number of failed attempts.
func (attempts *Attempts) Count() int {
	return attempts.count
}

// Excluded returns the addresses that failed and should not be tried again while
// others are available.
func (attempts *Attempts) Excluded() []string {
	return attempts.excluded
}

// AllowedReplicas returns the replicas that further attempts must use because the
// request may not run on any others, or nil if there is no such restriction.
// Replicas that are gone do not count towards the limit.
func (attempts *Attempts) AllowedReplicas(gone func(replica string) bool) []string {
	var live []string
	for _, replica := range attempts.replicasRun {
		if !gone(replica) {
			live = append(live, replica)
		}
	}
	if len(live) < attempts.maxRuns {
		return nil
	}
	return live
}

// Clone returns an independent copy.
func (attempts *Attempts) Clone() *Attempts {
	clone := *attempts
	clone.excluded, clone.replicasRun = slices.Clone(attempts.excluded), slices.Clone(attempts.replicasRun)
	return &clone
}

// RecordRun records that the request may have run on the replica and failed there.
func (attempts *Attempts) RecordRun(replica string) {
	attempts.mayHaveRun, attempts.lastFailedReplica = true, replica
	if !slices.Contains(attempts.replicasRun, replica) {
		attempts.replicasRun = append(attempts.replicasRun, replica)
	}
}

// LastFailedReplica returns the replica passed to the last call of HandleReplicaFailure.
func (attempts *Attempts) LastFailedReplica() string {
	return attempts.lastFailedReplica
}

// Exclude adds addresses that should not be tried again while others are available.
func (attempts *Attempts) Exclude(addresses ...string) {
	attempts.excluded = append(attempts.excluded, addresses...)
}

// ClearExcluded empties the list of excluded addresses.
func (attempts *Attempts) ClearExcluded() {
	attempts.excluded = nil
}

// RecordAbandoned records that an attempt was abandoned while it was queued at its
// engine. The engine may have started it in the meantime.
func (attempts *Attempts) RecordAbandoned() {
	attempts.mayHaveRun = true
}

// RecordTermination records that a replica terminated before it answered the request.
// After several of them no other attempt follows: the request may be the cause.
func (attempts *Attempts) RecordTermination() {
	attempts.terminations++
}

// RecordDelivery records that the caller has received a part of the response. The
// request can no longer be refused, so from then on attempts that did not run are limited
// only by the deadline and the retry tokens.
func (attempts *Attempts) RecordDelivery() {
	attempts.delivered = true
}

// HandleFailure handles the failure of an attempt. The culprits are the addresses
// known to be at fault. If another attempt is to follow, HandleFailure spends one
// retry token from the budget and returns nil; otherwise it returns the failure
// for the caller.
func (attempts *Attempts) HandleFailure(now time.Time, failure *dragonflyhatch.Failure, culprits []string, budget Spender) error {
	if failure.Kind.ErrorResponse().Ran == dragonflyhatch.RanUnknown {
		attempts.mayHaveRun = true
		attempts.runs++
	}
	return attempts.retryOrEnd(now, failure, culprits, budget)
}

// HandleReplicaFailure handles the failure of an attempt at a request that may run
// any number of times, but on at most as many replicas as WithMaxRuns sets: a
// replica that has run it may run it again. Its other parameters and its result
// are those of HandleFailure.
func (attempts *Attempts) HandleReplicaFailure(now time.Time, failure *dragonflyhatch.Failure, replica string, culprits []string, budget Spender) error {
	attempts.lastFailedReplica = replica
	if failure.Kind.ErrorResponse().Ran == dragonflyhatch.RanUnknown {
		attempts.RecordRun(replica)
	}
	return attempts.retryOrEnd(now, failure, culprits, budget)
}

// retryOrEnd returns nil if another attempt is to follow, and otherwise the failure
// for the caller.
func (attempts *Attempts) retryOrEnd(now time.Time, failure *dragonflyhatch.Failure, culprits []string, budget Spender) error {
	if !attempts.delivered || failure.Kind.ErrorResponse().Ran == dragonflyhatch.RanUnknown {
		attempts.count++
	}
	attempts.Exclude(culprits...)
	switch {
	case !now.Before(attempts.deadline):
		return attempts.FinalFailure(deadlineFailure(failure))
	case attempts.count >= maxAttempts || attempts.runs >= attempts.maxRuns || attempts.terminations >= maxTerminations || !retryable(failure.Kind):
		return attempts.FinalFailure(failure)
	case !budget.Spend():
		return attempts.FinalFailure(&dragonflyhatch.Failure{
			Kind: failure.Kind, Detail: "no retry token after: " + failure.Detail, Cause: failure, RetryAfter: failure.RetryAfter,
		})
	}
	return nil
}

// FinalFailure returns the failure for the caller. If any attempt may have run, the
// kind of this failure reports an unknown outcome, never that the request did not
// run.
func (attempts *Attempts) FinalFailure(failure *dragonflyhatch.Failure) error {
	if !attempts.mayHaveRun || failure.Kind.ErrorResponse().Ran == dragonflyhatch.RanUnknown {
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
