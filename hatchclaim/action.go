package hatchclaim

import (
	"time"

	"dragonflyhatch"
)

// Order is one submission of a non-idempotent request to the shard.
type Order struct {
	ID
	Digest   string
	KeyTime  time.Time
	Deadline time.Time
	Waiter   uint64 // the driver's name for who waits for the answer
}

// Action is what the shard asks its driver to do. At most one of the actions
// that touch the platform is outstanding at a time; each is followed by the
// event of the same name with Done, ReadHead by HeadRead and so on.
type Action interface{ action() }

// ReadHead reads the shard's head.
type ReadHead struct{}

// ReadSegment reads one segment.
type ReadSegment struct{ Name string }

// WriteHead replaces the head if its version is still Version; Version 0
// creates it.
type WriteHead struct {
	Head    Head
	Version uint64
}

// CreateSegment creates a segment; an object of that name that exists already
// counts as created, since names are used once.
type CreateSegment struct {
	Name   string
	Claims []Claim
}

// DeleteSegment removes a segment that no head names any more. No event
// follows.
type DeleteSegment struct{ Name string }

// Dispatch sends the claimed request, which is the waiter's, to its upstream;
// RunDone follows.
type Dispatch struct {
	ID     ID
	Waiter uint64
}

// Answer tells a waiter the end of its order: a reply, or a failure.
type Answer struct {
	Waiter   uint64
	Outcome  *Outcome // nil on a failure
	Repeated bool     // the outcome is of an earlier submission
	Kind     dragonflyhatch.Kind
	Detail   string
}

// TookOver says that this process has become the owner of the shard.
type TookOver struct {
	From  string // earlier owner, empty for a new shard
	Epoch uint64
}

func (ReadHead) action()      {}
func (ReadSegment) action()   {}
func (WriteHead) action()     {}
func (CreateSegment) action() {}
func (DeleteSegment) action() {}
func (Dispatch) action()      {}
func (Answer) action()        {}
func (TookOver) action()      {}

// WriteResult is what is known of a write to the platform.
type WriteResult int

// The values of WriteResult.
const (
	WriteApplied WriteResult = iota // applied
	WriteRefused                    // refused
	WriteUnsure                     // unsure
)

// RunResult is what is known of a dispatched request.
type RunResult struct {
	Outcome *Outcome            // set if the upstream answered that it ran
	Kind    dragonflyhatch.Kind // otherwise why not, whose Ran says what is known
	Detail  string
}
