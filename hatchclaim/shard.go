package hatchclaim

import (
	"fmt"
	"time"

	"dragonflyhatch"
)

// Options are the parameters of a shard.
type Options struct {
	RecordGrace    time.Duration // longest delay of an answer until its outcome is recorded
	UnknownGrace   time.Duration // longest wait for the outcome of another process's claim
	ReadInterval   time.Duration // time between reads of the head while waiting for such an outcome
	RetryInterval  time.Duration // delay after a call that the platform did not answer
	CommitInterval time.Duration // average time between writes under load
	CommitBurst    int           // writes that may follow each other without delay
	SealBytes      int           // size of claims with an outcome, in bytes, at which they are moved to a new segment
	Retention      time.Duration // how long claims with an outcome are kept
}

// DefaultOptions returns the default options; docs/DECISIONS.md explains them.
func DefaultOptions() Options {
	return Options{
		RecordGrace:    250 * time.Millisecond,
		UnknownGrace:   time.Second,
		ReadInterval:   200 * time.Millisecond,
		RetryInterval:  100 * time.Millisecond,
		CommitInterval: 150 * time.Millisecond,
		CommitBurst:    4,
		SealBytes:      128 << 10,
		Retention:      24 * time.Hour,
	}
}

// Option changes the options of a shard.
type Option func(*Options)

// WithCommitInterval sets the average time between writes under load.
func WithCommitInterval(interval time.Duration) Option {
	return func(options *Options) { options.CommitInterval = interval }
}

// WithSealBytes sets the size of claims with an outcome, in bytes, at which
// they are moved to a new segment.
func WithSealBytes(size int) Option {
	return func(options *Options) { options.SealBytes = size }
}

// WithRetention sets how long claims with an outcome are kept.
func WithRetention(retention time.Duration) Option {
	return func(options *Options) { options.Retention = retention }
}

// phase is the state of a request in this process.
type phase int

const (
	waiting    phase = iota // no claim of this process is known to exist
	committing              // the outstanding write, or one whose result is unknown, adds the claim
	running                 // claimed and dispatched
	finished                // ran, and the outcome is not yet known to be recorded
	lost                    // dispatched, and the outcome will never be known
	released                // claimed and certainly not run; the claim is to be removed
)

// entry is the state of a request that this process handles, beyond its claim
// in the head.
type entry struct {
	id           ID
	digest       string // of the claimed request; not set while waiting
	keyTime      time.Time
	phase        phase
	writing      bool // the outstanding write changes the entry's claim
	waiters      []waiter
	outcome      *Outcome
	finishedAt   time.Time
	foreignSince time.Time // when another process's claim without an outcome was first seen; zero if none
}

type waiter struct {
	handle         uint64 // Order.Waiter
	digest         string
	deadline       time.Time
	readsAtArrival int  // reads of the head started before the submission
	repeated       bool // the request had been dispatched before the submission
}

// platformCall is the kind of platform call that is outstanding.
type platformCall int

const (
	noCall platformCall = iota
	readingHead
	readingSegment
	writingHead
	creatingSegment
)

// Shard is the state machine of one claim shard in one process.
type Shard struct {
	number  int
	self    string // name of this process, unique over all processes ever started
	options Options

	platformCall    platformCall
	notBefore       time.Time // earliest time of the next platform call, after a failure
	platformFailing bool      // the last platform call was not answered

	headCurrent      bool // no newer head is known to exist
	head             Head
	version          uint64
	headReadsStarted int             // reads of the head started
	headReadNumber   int             // number of the read that returned the head
	segmentClaims    map[ID]Claim    // claims of the loaded segments
	loadedSegments   map[string]bool // segments whose claims are in segmentClaims
	sealingClaims    []Claim         // claims of the segment being created
	sealName         string
	sealCount        int // segments created, part of their names

	writtenHead  Head // value of the outstanding WriteHead
	commitBucket bucket
	nextHeadRead time.Time

	entries  map[ID]*entry
	arrivals []ID // IDs of entries by arrival, so that the actions are deterministic
	actions  []Action
}

// NewShard returns the state machine of a shard. The name self must identify
// this process and must never be used by another one, earlier or later.
func NewShard(number int, self string, options ...Option) *Shard {
	shard := &Shard{
		number:         number,
		self:           self,
		options:        DefaultOptions(),
		segmentClaims:  make(map[ID]Claim),
		loadedSegments: make(map[string]bool),
		entries:        make(map[ID]*entry),
	}
	for _, option := range options {
		option(&shard.options)
	}
	shard.commitBucket = bucket{tokens: float64(shard.options.CommitBurst)}
	return shard
}

// Submit accepts an order, which is answered by exactly one Answer action.
func (shard *Shard) Submit(now time.Time, order Order) []Action {
	waiter := waiter{handle: order.Waiter, digest: order.Digest, deadline: order.Deadline, readsAtArrival: shard.headReadsStarted}
	known, ok := shard.entries[order.ID]
	if !ok {
		known = &entry{id: order.ID, keyTime: order.KeyTime}
		shard.entries[order.ID] = known
		shard.arrivals = append(shard.arrivals, order.ID)
	}
	switch {
	case !known.accepts(order.Digest):
		shard.failWaiter(waiter, dragonflyhatch.KindKeyReused, reusedDetail)
	case known.phase == lost:
		shard.failWaiter(waiter, dragonflyhatch.KindOutcomeUnknown, "the outcome of the run under this key was lost")
	default:
		waiter.repeated = known.phase == running || known.phase == finished
		known.waiters = append(known.waiters, waiter)
	}
	return shard.step(now)
}

const reusedDetail = "the key has already been used for another request"

// accepts reports whether a submission with the digest may wait for the entry.
// Any submission may until a request has been dispatched under the key.
func (entry *entry) accepts(digest string) bool {
	switch entry.phase {
	case running, finished, lost:
		return entry.digest == digest
	}
	return true
}

// firstWaiter returns the first waiter with the digest.
func (entry *entry) firstWaiter(digest string) (waiter, bool) {
	for _, waiter := range entry.waiters {
		if waiter.digest == digest {
			return waiter, true
		}
	}
	return waiter{}, false
}

// RunDone handles the result of a dispatched request.
func (shard *Shard) RunDone(now time.Time, id ID, result RunResult) []Action {
	entry := shard.entries[id]
	switch {
	case result.Outcome != nil:
		entry.phase = finished
		entry.outcome = result.Outcome
		entry.finishedAt = now
	case result.Kind.ErrorResponse().Ran == dragonflyhatch.RanNo:
		entry.phase = released
		shard.failAll(entry, result.Kind, result.Detail)
	default:
		entry.phase = lost
		shard.failAll(entry, result.Kind, result.Detail)
	}
	return shard.step(now)
}

// Tick handles the passing of time. The driver calls it at the time that
// NextTick returns, or later.
func (shard *Shard) Tick(now time.Time) []Action {
	return shard.step(now)
}

// IsIdle reports whether the shard has no outstanding platform call, no request
// in progress and no waiters.
func (shard *Shard) IsIdle() bool {
	if shard.platformCall != noCall {
		return false
	}
	for _, entry := range shard.entries {
		if entry.phase != lost {
			return false
		}
	}
	return true
}

// IsOwner reports whether this process owns the shard according to the last head
// that it read or wrote.
func (shard *Shard) IsOwner() bool {
	return shard.head.Owner == shard.self
}

// takeActions returns the collected actions and clears them.
func (shard *Shard) takeActions() []Action {
	actions := shard.actions
	shard.actions = nil
	return actions
}

func (shard *Shard) emit(action Action) {
	shard.actions = append(shard.actions, action)
}

func (shard *Shard) failWaiter(waiter waiter, kind dragonflyhatch.Kind, format string, args ...any) {
	shard.emit(Answer{Waiter: waiter.handle, Kind: kind, Detail: fmt.Sprintf(format, args...)})
}

// failAll answers all waiters of the entry with the failure.
func (shard *Shard) failAll(entry *entry, kind dragonflyhatch.Kind, detail string) {
	for _, waiter := range entry.waiters {
		shard.failWaiter(waiter, kind, "%s", detail)
	}
	entry.waiters = nil
}

// rejectOthers rejects the waiters whose digest differs: the key has been used
// for another request.
func (shard *Shard) rejectOthers(entry *entry, digest string) {
	shard.rejectIf(entry, digest, func(waiter) bool { return true })
}

// rejectByOpenClaim rejects the waiters whose digest differs from that of
// another process's claim without an outcome. Such a claim may be released and
// replaced, so a waiter is rejected only by a head read that started after its
// submission.
func (shard *Shard) rejectByOpenClaim(entry *entry, digest string) {
	shard.rejectIf(entry, digest, func(waiter waiter) bool { return waiter.readsAtArrival < shard.headReadNumber })
}

func (shard *Shard) rejectIf(entry *entry, digest string, certain func(waiter) bool) {
	kept := entry.waiters[:0]
	for _, waiter := range entry.waiters {
		if waiter.digest == digest || !certain(waiter) {
			kept = append(kept, waiter)
			continue
		}
		shard.failWaiter(waiter, dragonflyhatch.KindKeyReused, reusedDetail)
	}
	entry.waiters = kept
}

// succeedAll answers all waiters of the entry with the outcome.
func (shard *Shard) succeedAll(entry *entry, outcome *Outcome, repeated bool) {
	for _, waiter := range entry.waiters {
		shard.emit(Answer{Waiter: waiter.handle, Outcome: outcome, Repeated: repeated || waiter.repeated})
	}
	entry.waiters = nil
}

func (shard *Shard) removeEntry(entry *entry) {
	delete(shard.entries, entry.id)
}

// lookup finds the request's claim in the head and the loaded segments.
func (shard *Shard) lookup(id ID) (Claim, bool) {
	if claim, ok := shard.head.find(id); ok {
		return claim, true
	}
	claim, ok := shard.segmentClaims[id]
	return claim, ok
}

// entriesByArrival returns the entries in the order of their arrival, and
// removes the IDs of deleted entries from arrivals.
func (shard *Shard) entriesByArrival() []*entry {
	entries := make([]*entry, 0, len(shard.entries))
	kept := shard.arrivals[:0]
	seen := make(map[ID]bool, len(shard.entries))
	for _, id := range shard.arrivals {
		if entry, ok := shard.entries[id]; ok && !seen[id] {
			seen[id] = true
			kept = append(kept, id)
			entries = append(entries, entry)
		}
	}
	shard.arrivals = kept
	return entries
}

// bucket is a token bucket that limits the average rate of writes and allows
// short bursts.
type bucket struct {
	tokens float64
	last   time.Time
}

// refill adds the tokens accrued since the last call.
func (bucket *bucket) refill(now time.Time, interval time.Duration, burst int) {
	if !bucket.last.IsZero() && now.After(bucket.last) {
		bucket.tokens = min(float64(burst), bucket.tokens+float64(now.Sub(bucket.last))/float64(interval))
	}
	bucket.last = now
}

// wait returns the time until a write is allowed.
func (bucket *bucket) wait(interval time.Duration) time.Duration {
	if bucket.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - bucket.tokens) * float64(interval))
}
