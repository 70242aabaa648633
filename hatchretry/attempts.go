package hatchretry

import (
	"slices"
	"time"

	"dragonflyhatch"
)

// maxAttempts is the largest number of attempts at one answer.
const maxAttempts = 6

// NextAttemptNumber returns the number of the attempt that follows last. Engines serve
// the attempt with the highest number. When a caller reconnects, another daemon
// may resume the answer from the same position. The numbers are based on the
// time in milliseconds, so that the later daemon's number is higher, and two
// daemons rarely use the same number.
func NextAttemptNumber(last int, now time.Time) int {
	return max(last+1, int(now.UnixMilli()))
}

// Spender is a budget for retries.
type Spender interface {
	// Spend takes one retry from the budget, or returns false if none is left.
	Spend() bool
}

// Attempts tracks the attempts at one answer. It decides whether a failure is
// followed by another attempt and which failure the caller receives at the end.
// Unless an option limits them, several attempts may run: only what is delivered
// to the caller counts.
type Attempts struct {
	deadline          time.Time
	count             int
	runs              int // attempts that may have run
	maxRuns           int
	mayHaveRun        bool // some attempt may have run
	excluded          []string
	replicasRun       []string // replicas that may have run it, from RunFailed
	lastFailedReplica string   // replica of the last call of RunFailed
}

// Option sets a limit of Attempts.
type Option func(*Attempts)

// WithMaxRuns limits the attempts that may have run, or the replicas that may have
// run the request if failures are reported by HandleReplicaFailure. With a limit of one
// attempt, no attempt follows one that may have run.
func WithMaxRuns(runs int) Option {
	return func(attempts *Attempts) { attempts.maxRuns = runs }
}

// NewAttempts returns the attempts at an answer that must be complete by the
// deadline. The flag resumed means that another daemon began the answer.
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

// RemainingRuns returns how many more attempts may run, including those in progress.
func (attempts *Attempts) RemainingRuns() int {
	return attempts.maxRuns - attempts.runs
}

// Excluded returns the addresses that failed and should not be tried again while
// others are available.
func (attempts *Attempts) Excluded() []string {
	return attempts.excluded
}

// AllowedReplicas returns the replicas that further attempts must use because the request
// may not run on any others, or nil if there is no such restriction. Replicas
// that are gone do not count.
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

// LastFailedReplica returns the replica passed to the last call of HandleReplicaFailure.
func (attempts *Attempts) LastFailedReplica() string {
	return attempts.lastFailedReplica
}

// ClearExcluded empties the list of excluded addresses.
func (attempts *Attempts) ClearExcluded() {
	attempts.excluded = nil
}

// RecordAbandoned records that an attempt was abandoned while it was waiting at its
// engine. The engine may have started it at the same time.
func (attempts *Attempts) RecordAbandoned() {
	attempts.mayHaveRun = true
}

// HandleFailure handles the failure of an attempt. The culprits are the addresses known
// to be at fault. It returns nil if another attempt is to follow, for which it
// spends one retry from the budget; otherwise it returns the failure for the
// caller.
func (attempts *Attempts) HandleFailure(now time.Time, failure *dragonflyhatch.Failure, culprits []string, budget Spender) error {
	if failure.Kind.ErrorResponse().Ran == dragonflyhatch.RanUnknown {
		attempts.mayHaveRun = true
		attempts.runs++
	}
	return attempts.retryOrEnd(now, failure, culprits, budget)
}

// HandleReplicaFailure handles the failure of an attempt at a request that may run any
// number of times, but on at most as many replicas as WithMaxRuns sets: a replica
// that has run it may run it again. Parameters and result are otherwise the same.
func (attempts *Attempts) HandleReplicaFailure(now time.Time, failure *dragonflyhatch.Failure, replica string, culprits []string, budget Spender) error {
	attempts.lastFailedReplica = replica
	if failure.Kind.ErrorResponse().Ran == dragonflyhatch.RanUnknown {
		attempts.mayHaveRun = true
		if !slices.Contains(attempts.replicasRun, replica) {
			attempts.replicasRun = append(attempts.replicasRun, replica)
		}
	}
	return attempts.retryOrEnd(now, failure, culprits, budget)
}

// retryOrEnd returns nil if another attempt follows the failure, or the failure
// for the caller.
func (attempts *Attempts) retryOrEnd(now time.Time, failure *dragonflyhatch.Failure, culprits []string, budget Spender) error {
	attempts.count++
	attempts.excluded = append(attempts.excluded, culprits...)
	switch {
	case !now.Before(attempts.deadline):
		return attempts.FinalFailure(deadlineFailure(failure))
	case attempts.count >= maxAttempts || attempts.runs >= attempts.maxRuns || !retryable(failure.Kind):
		return attempts.FinalFailure(failure)
	case !budget.Spend():
		return attempts.FinalFailure(failure)
	}
	return nil
}

// FinalFailure returns the failure for the caller. If any attempt may have run, it is a
// kind whose outcome is unknown, never one that reports the request as not run.
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
