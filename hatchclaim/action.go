package hatchclaim

import (
	"time"

	"dragonflyhatch"
)

// Order is one submission of a non-idempotent request to the shard.
type Order struct {
	ID
	Digest   string    // of the request, as returned by the function Digest
	KeyTime  time.Time // time in the idempotency key
	Deadline time.Time
	Waiter   uint64 // the driver's identifier of the caller that waits for the answer
}

// Action is an instruction of the shard to its driver, which is the code that
// passes the events to the shard. At most one of the actions that access the
// platform is outstanding at a time, apart from DeleteSegment. The driver reports
// the result of each by the matching event: ReadHead by HeadRead, and so on.
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

// CreateSegment creates a segment. If an object of that name already exists,
// the segment counts as created, since names are never reused.
type CreateSegment struct {
	Name   string
	Claims []Claim
}

// DeleteSegment deletes a segment that the head no longer refers to. The
// driver does not report its result.
type DeleteSegment struct{ Name string }

// Dispatch sends the claimed request, as submitted by the waiter, to its
// upstream. The driver reports the result by RunDone.
type Dispatch struct {
	ID     ID
	Waiter uint64
}

// Answer gives a waiter the result of its order: a reply, or a failure.
type Answer struct {
	Waiter   uint64
	Outcome  *Outcome // nil on a failure
	Repeated bool     // the outcome belongs to an earlier submission
	Kind     dragonflyhatch.Kind
	Detail   string
}

// TookOver reports that this process has become the owner of the shard.
type TookOver struct {
	From  string // previous owner, empty for a new shard
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
	WriteApplied WriteResult = iota // the head was replaced
	WriteRefused                    // the stored version was not the expected one
	WriteUnknown                    // result unknown: the write may have been applied, or may still be
)

// RunResult is what is known of a dispatched request.
type RunResult struct {
	Outcome *Outcome            // set if the upstream ran the request and replied
	Kind    dragonflyhatch.Kind // otherwise the kind of failure; its ErrorResponse().Ran states whether the request may have run
	Detail  string
}
