package hatchclaim

import (
	"time"

	"dragonflyhatch"
)

// HeadRead takes the result of ReadHead: the head and its version, version 0
// if there is no such object, or ok false if the platform did not answer.
func (shard *Shard) HeadRead(now time.Time, head Head, version uint64, ok bool) []Action {
	shard.transfer = idle
	// An answer older than what this process has seen is no answer.
	if !ok || version < shard.version {
		shard.trouble(now)
		return shard.step(now)
	}
	shard.troubled = false
	shard.fresh = true
	shard.head, shard.version = head, version
	shard.seen = shard.asked
	shard.nextRead = now.Add(shard.options.ReadInterval)
	return shard.step(now)
}

// SegmentRead takes the result of ReadSegment; ok is false if the platform did
// not answer. A segment that no longer exists was passed by the horizon, so
// the head is read again.
func (shard *Shard) SegmentRead(now time.Time, name string, claims []Claim, exists, ok bool) []Action {
	shard.transfer = idle
	switch {
	case !ok:
		shard.trouble(now)
	case !exists:
		shard.fresh = false
		shard.trouble(now)
	default:
		shard.load(name, claims)
	}
	return shard.step(now)
}

func (shard *Shard) load(name string, claims []Claim) {
	shard.loaded[name] = true
	for _, claim := range claims {
		shard.sealed[claim.ID] = claim
	}
}

// SegmentCreated takes the result of CreateSegment.
func (shard *Shard) SegmentCreated(now time.Time, ok bool) []Action {
	shard.transfer = idle
	if !ok {
		shard.trouble(now)
		return shard.step(now)
	}
	shard.troubled = false
	next := shard.head.copied()
	ref := SegmentRef{Name: shard.sealName}
	sealed := make(map[ID]bool, len(shard.sealing))
	for _, claim := range shard.sealing {
		sealed[claim.ID] = true
		if claim.KeyTime.After(ref.Newest) {
			ref.Newest = claim.KeyTime
		}
	}
	next.Claims = next.Claims[:0]
	for _, claim := range shard.head.Claims {
		if !sealed[claim.ID] {
			next.Claims = append(next.Claims, claim)
		}
	}
	next.Segments = append(next.Segments, ref)
	shard.load(ref.Name, shard.sealing)
	shard.transfer = writingHead
	shard.written = next
	shard.act(WriteHead{Head: next, Version: shard.version})
	return shard.step(now)
}

// HeadWritten takes the result of WriteHead, with the new version if it was
// applied.
func (shard *Shard) HeadWritten(now time.Time, version uint64, result WriteResult) []Action {
	shard.transfer = idle
	if result != WriteApplied {
		// Either way the head is read again: a refusal may come from an
		// earlier write of this process whose reply was lost.
		shard.fresh = false
		if result == WriteUnsure {
			shard.trouble(now)
		}
		for _, entry := range shard.entries {
			entry.writing = false
		}
		return shard.step(now)
	}
	shard.troubled = false
	shard.expire(now) // a process that was paused must not dispatch late
	shard.applied(version)
	return shard.step(now)
}

func (shard *Shard) applied(version uint64) {
	before := shard.head
	shard.head, shard.version = shard.written, version
	if shard.head.Owner != before.Owner {
		shard.act(TookOver{From: before.Owner, Epoch: shard.head.Epoch})
	}
	shard.unload(before.Segments)
	for _, entry := range shard.ordered() {
		if !entry.writing {
			continue
		}
		entry.writing = false
		switch entry.phase {
		case committing:
			shard.granted(entry)
		case finished:
			shard.succeed(entry, entry.outcome, false)
			shard.drop(entry)
		case released:
			entry.phase = waiting
			if len(entry.waiters) == 0 {
				shard.drop(entry)
			}
		}
	}
}

// unload forgets the segments that the horizon has passed.
func (shard *Shard) unload(before []SegmentRef) {
	kept := make(map[string]bool)
	for _, segment := range shard.head.Segments {
		kept[segment.Name] = true
	}
	for _, segment := range before {
		if kept[segment.Name] {
			continue
		}
		delete(shard.loaded, segment.Name)
		shard.act(DeleteSegment{segment.Name})
	}
	for id, claim := range shard.sealed {
		if claim.KeyTime.Before(shard.head.Horizon) {
			delete(shard.sealed, id)
		}
	}
	for _, entry := range shard.ordered() {
		if entry.phase == lost && entry.keyTime.Before(shard.head.Horizon) {
			shard.drop(entry)
		}
	}
}

// trouble notes a call that the platform did not answer.
func (shard *Shard) trouble(now time.Time) {
	shard.troubled = true
	shard.notBefore = now.Add(shard.options.RetryInterval)
}

// expire answers the waiters whose time is up with what is known by then.
func (shard *Shard) expire(now time.Time) {
	for _, entry := range shard.ordered() {
		if entry.phase == finished && now.Sub(entry.finishedAt) >= shard.options.RecordGrace {
			shard.succeed(entry, entry.outcome, false)
		}
		kept := entry.waiters[:0]
		for _, waiter := range entry.waiters {
			if now.Before(waiter.deadline) {
				kept = append(kept, waiter)
				continue
			}
			shard.expireWaiter(entry, waiter)
		}
		entry.waiters = kept
		if entry.phase == waiting && len(kept) == 0 {
			shard.drop(entry)
		}
	}
}

func (shard *Shard) expireWaiter(entry *entry, waiter waiter) {
	switch {
	case entry.phase == finished:
		shard.act(Answer{Waiter: waiter.name, Outcome: entry.outcome, Repeated: waiter.repeated})
	case entry.phase == running:
		shard.fail(waiter, dragonflyhatch.KindDeadlineUnknown, "the upstream has not answered in time")
	case !entry.foreign.IsZero():
		shard.fail(waiter, dragonflyhatch.KindOutcomeUnknown, "an earlier attempt has left no outcome")
	case shard.troubled:
		shard.fail(waiter, dragonflyhatch.KindPlatformUnavailable, "the claim could not be recorded in time")
	default:
		shard.fail(waiter, dragonflyhatch.KindDeadlineNotRun, "the claim was not recorded in time")
	}
}

// Wake returns when Tick is next needed, latest at the most.
func (shard *Shard) Wake(now, latest time.Time) time.Time {
	wake := latest
	earlier := func(at time.Time) {
		if at.Before(wake) {
			wake = at
		}
	}
	for _, entry := range shard.entries {
		for _, waiter := range entry.waiters {
			earlier(waiter.deadline)
		}
		if entry.phase == finished && len(entry.waiters) > 0 {
			earlier(entry.finishedAt.Add(shard.options.RecordGrace))
		}
		if !entry.foreign.IsZero() {
			earlier(entry.foreign.Add(shard.options.UnknownGrace))
		}
	}
	if shard.transfer != idle || !shard.wanted() {
		return wake
	}
	_, unloaded := shard.unloaded()
	if !shard.fresh || unloaded {
		earlier(later(shard.notBefore, now))
		return wake
	}
	if shard.awaitsForeign() {
		earlier(later(shard.notBefore, shard.nextRead))
	}
	if shard.awaitsWrite() {
		earlier(later(shard.notBefore, now.Add(shard.commits.wait(shard.options.CommitInterval))))
	}
	return wake
}

func (shard *Shard) awaitsWrite() bool {
	for _, entry := range shard.entries {
		if entry.pending() {
			return true
		}
	}
	return false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
