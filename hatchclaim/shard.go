package hatchclaim

import (
	"fmt"
	"time"

	"dragonflyhatch"
)

// Options are the parameters of a shard.
type Options struct {
	RecordGrace    time.Duration // longest wait for the record of a known outcome
	UnknownGrace   time.Duration // longest wait for the outcome of another process's claim
	ReadInterval   time.Duration // between reads while waiting for such an outcome
	RetryInterval  time.Duration // after a call that the platform did not answer
	CommitInterval time.Duration // average time between writes under load
	CommitBurst    int           // writes that may follow each other at once
	SealBytes      int           // size of finished claims that starts a new segment
	Retention      time.Duration // how long finished claims are kept
}

// DefaultOptions returns the options that docs/DECISIONS.md gives reasons for.
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

// WithSealBytes sets the size of finished claims that starts a new segment.
func WithSealBytes(size int) Option {
	return func(options *Options) { options.SealBytes = size }
}

// WithRetention sets how long finished claims are kept.
func WithRetention(retention time.Duration) Option {
	return func(options *Options) { options.Retention = retention }
}

// phase is how far this process has come with a request.
type phase int

const (
	waiting    phase = iota // no claim of this process is known
	committing              // the outstanding write, or one of unsure result, adds the claim
	running                 // claimed and dispatched
	finished                // ran, and the outcome is not recorded yet
	lost                    // dispatched, and nobody will learn the outcome
	released                // claimed, surely not run, and the claim is to be dropped
)

// entry is what this process knows of a request beyond the head.
type entry struct {
	id         ID
	digest     string // of the claimed request; not set while waiting
	keyTime    time.Time
	phase      phase
	writing    bool // the outstanding write concerns the entry
	waiters    []waiter
	outcome    *Outcome
	finishedAt time.Time
	foreign    time.Time // when another process's open claim was first seen
}

type waiter struct {
	name     uint64
	digest   string
	deadline time.Time
	since    int // reads of the head asked for when the waiter came
	repeated bool
}

// transfer is the platform call that is outstanding.
type transfer int

const (
	idle transfer = iota
	readingHead
	readingSegment
	writingHead
	creatingSegment
)

// Shard is the state machine of one claim shard in one process.
type Shard struct {
	number  int
	self    string // name of this process, never used by another
	options Options

	transfer  transfer
	notBefore time.Time // of the next platform call, after a failure
	troubled  bool      // the last platform call was not answered

	fresh    bool // head is as current as this process can know
	head     Head
	version  uint64
	asked    int             // reads of the head asked for
	seen     int             // number of the read that the head comes from
	sealed   map[ID]Claim    // claims of the loaded segments
	loaded   map[string]bool // segments that sealed covers
	sealing  []Claim         // claims of the segment being created
	sealName string
	seals    int

	written  Head // value of the outstanding write
	commits  bucket
	nextRead time.Time

	entries map[ID]*entry
	order   []ID // of the entries, by arrival, so that runs are reproducible
	actions []Action
}

// NewShard returns the shard's state machine for a process whose name is used
// by no other process, earlier or later.
func NewShard(number int, self string, options ...Option) *Shard {
	shard := &Shard{
		number:  number,
		self:    self,
		options: DefaultOptions(),
		sealed:  make(map[ID]Claim),
		loaded:  make(map[string]bool),
		entries: make(map[ID]*entry),
	}
	for _, option := range options {
		option(&shard.options)
	}
	shard.commits = bucket{tokens: float64(shard.options.CommitBurst)}
	return shard
}

// Submit takes an order. The order is answered once by an Answer action.
func (shard *Shard) Submit(now time.Time, order Order) []Action {
	waiter := waiter{name: order.Waiter, digest: order.Digest, deadline: order.Deadline, since: shard.asked}
	known, ok := shard.entries[order.ID]
	if !ok {
		known = &entry{id: order.ID, keyTime: order.KeyTime}
		shard.entries[order.ID] = known
		shard.order = append(shard.order, order.ID)
	}
	switch {
	case !known.takes(order.Digest):
		shard.fail(waiter, dragonflyhatch.KindKeyReused, reusedDetail)
	case known.phase == lost:
		shard.fail(waiter, dragonflyhatch.KindOutcomeUnknown, "the run under this key was lost")
	default:
		waiter.repeated = known.phase == running || known.phase == finished
		known.waiters = append(known.waiters, waiter)
	}
	return shard.step(now)
}

const reusedDetail = "the key was first used for another request"

// takes says whether a submission with the digest may wait for the entry. As
// long as no request has been dispatched under the key, any may.
func (entry *entry) takes(digest string) bool {
	switch entry.phase {
	case running, finished, lost:
		return entry.digest == digest
	}
	return true
}

// first returns the first waiter with the digest.
func (entry *entry) first(digest string) (waiter, bool) {
	for _, waiter := range entry.waiters {
		if waiter.digest == digest {
			return waiter, true
		}
	}
	return waiter{}, false
}

// RunDone takes the end of a dispatched request.
func (shard *Shard) RunDone(now time.Time, id ID, result RunResult) []Action {
	entry := shard.entries[id]
	switch {
	case result.Outcome != nil:
		entry.phase = finished
		entry.outcome = result.Outcome
		entry.finishedAt = now
	case result.Kind.Answer().Ran == dragonflyhatch.RanNo:
		entry.phase = released
		shard.failAll(entry, result.Kind, result.Detail)
	default:
		entry.phase = lost
		shard.failAll(entry, result.Kind, result.Detail)
	}
	return shard.step(now)
}

// Tick lets time pass. The driver calls it when Wake says so, or later.
func (shard *Shard) Tick(now time.Time) []Action {
	return shard.step(now)
}

// Idle says whether the shard has nothing to do and nobody waiting.
func (shard *Shard) Idle() bool {
	if shard.transfer != idle {
		return false
	}
	for _, entry := range shard.entries {
		if entry.phase != lost {
			return false
		}
	}
	return true
}

// Owned says whether this process was the shard's owner when it last looked.
func (shard *Shard) Owned() bool {
	return shard.head.Owner == shard.self
}

// take returns the collected actions.
func (shard *Shard) take() []Action {
	actions := shard.actions
	shard.actions = nil
	return actions
}

func (shard *Shard) act(action Action) {
	shard.actions = append(shard.actions, action)
}

func (shard *Shard) fail(waiter waiter, kind dragonflyhatch.Kind, format string, args ...any) {
	shard.act(Answer{Waiter: waiter.name, Kind: kind, Detail: fmt.Sprintf(format, args...)})
}

// failAll answers all waiters of the entry.
func (shard *Shard) failAll(entry *entry, kind dragonflyhatch.Kind, detail string) {
	for _, waiter := range entry.waiters {
		shard.fail(waiter, kind, "%s", detail)
	}
	entry.waiters = nil
}

// reject answers the waiters whose request is not the one of the digest.
func (shard *Shard) reject(entry *entry, digest string) {
	shard.rejectIf(entry, digest, func(waiter) bool { return true })
}

// rejectOpen answers them by another process's open claim. Such a claim may be
// given back and replaced, so only a head read since the waiter came counts.
func (shard *Shard) rejectOpen(entry *entry, digest string) {
	shard.rejectIf(entry, digest, func(waiter waiter) bool { return waiter.since < shard.seen })
}

func (shard *Shard) rejectIf(entry *entry, digest string, certain func(waiter) bool) {
	kept := entry.waiters[:0]
	for _, waiter := range entry.waiters {
		if waiter.digest == digest || !certain(waiter) {
			kept = append(kept, waiter)
			continue
		}
		shard.fail(waiter, dragonflyhatch.KindKeyReused, reusedDetail)
	}
	entry.waiters = kept
}

// succeed answers all waiters of the entry with the outcome.
func (shard *Shard) succeed(entry *entry, outcome *Outcome, repeated bool) {
	for _, waiter := range entry.waiters {
		shard.act(Answer{Waiter: waiter.name, Outcome: outcome, Repeated: repeated || waiter.repeated})
	}
	entry.waiters = nil
}

// drop forgets the entry.
func (shard *Shard) drop(entry *entry) {
	delete(shard.entries, entry.id)
}

// lookup finds the request's claim in the head and the loaded segments.
func (shard *Shard) lookup(id ID) (Claim, bool) {
	if claim, ok := shard.head.find(id); ok {
		return claim, true
	}
	claim, ok := shard.sealed[id]
	return claim, ok
}

// ordered returns the entries by arrival and forgets the dropped ones.
func (shard *Shard) ordered() []*entry {
	entries := make([]*entry, 0, len(shard.entries))
	kept := shard.order[:0]
	seen := make(map[ID]bool, len(shard.entries))
	for _, id := range shard.order {
		if entry, ok := shard.entries[id]; ok && !seen[id] {
			seen[id] = true
			kept = append(kept, id)
			entries = append(entries, entry)
		}
	}
	shard.order = kept
	return entries
}

// bucket lets writes through at an average rate with short bursts.
type bucket struct {
	tokens float64
	last   time.Time
}

// refill adds what has come in since the last call.
func (bucket *bucket) refill(now time.Time, interval time.Duration, burst int) {
	if !bucket.last.IsZero() && now.After(bucket.last) {
		bucket.tokens = min(float64(burst), bucket.tokens+float64(now.Sub(bucket.last))/float64(interval))
	}
	bucket.last = now
}

// wait is how long until a write may go.
func (bucket *bucket) wait(interval time.Duration) time.Duration {
	if bucket.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - bucket.tokens) * float64(interval))
}
