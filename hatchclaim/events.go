package hatchclaim

import (
	"time"

	"dragonflyhatch"
)

// HeadRead handles the result of ReadHead: the head and its version. The
// version is 0 if the object does not exist; ok is false if the platform did
// not answer.
func (shard *Shard) HeadRead(now time.Time, head Head, version uint64, ok bool) []Action {
	shard.platformCall = noCall
	// A head older than the known one counts as no answer.
	if !ok || version < shard.version {
		shard.recordPlatformFailure(now)
		return shard.step(now)
	}
	shard.platformFailing = false
	shard.headCurrent = true
	shard.head, shard.version = head, version
	shard.headReadNumber = shard.headReadsStarted
	shard.nextHeadRead = now.Add(shard.options.ReadInterval)
	return shard.step(now)
}

// SegmentRead handles the result of ReadSegment; ok is false if the platform
// did not answer. A segment that no longer exists was passed by the horizon, so
// the head is read again.
func (shard *Shard) SegmentRead(now time.Time, name string, claims []Claim, exists, ok bool) []Action {
	shard.platformCall = noCall
	switch {
	case !ok:
		shard.recordPlatformFailure(now)
	case !exists:
		shard.headCurrent = false
		shard.recordPlatformFailure(now)
	default:
		shard.loadSegment(name, claims)
	}
	return shard.step(now)
}

func (shard *Shard) loadSegment(name string, claims []Claim) {
	shard.loadedSegments[name] = true
	for _, claim := range claims {
		shard.segmentClaims[claim.ID] = claim
	}
}

// SegmentCreated handles the result of CreateSegment. It then writes a head
// that refers to the segment instead of containing its claims.
func (shard *Shard) SegmentCreated(now time.Time, ok bool) []Action {
	shard.platformCall = noCall
	if !ok {
		shard.recordPlatformFailure(now)
		return shard.step(now)
	}
	shard.platformFailing = false
	next := shard.head.clone()
	ref := SegmentRef{Name: shard.sealName}
	sealed := make(map[ID]bool, len(shard.sealingClaims))
	for _, claim := range shard.sealingClaims {
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
	shard.loadSegment(ref.Name, shard.sealingClaims)
	shard.platformCall = writingHead
	shard.writtenHead = next
	shard.emit(WriteHead{Head: next, Version: shard.version})
	return shard.step(now)
}

// HeadWritten handles the result of WriteHead. The version is the new one if
// the write was applied.
func (shard *Shard) HeadWritten(now time.Time, version uint64, result WriteResult) []Action {
	shard.platformCall = noCall
	if result != WriteApplied {
		// The head is read again also after a refusal, since it may be due
		// to an earlier write of this process whose reply was lost.
		shard.headCurrent = false
		if result == WriteUnknown {
			shard.recordPlatformFailure(now)
		}
		for _, entry := range shard.entries {
			entry.writing = false
		}
		return shard.step(now)
	}
	shard.platformFailing = false
	shard.expireWaiters(now) // a process that was paused must not dispatch late
	shard.applyWritten(version)
	return shard.step(now)
}

// applyWritten makes the written head the current one and advances the entries
// whose claims the write changed.
func (shard *Shard) applyWritten(version uint64) {
	before := shard.head
	shard.head, shard.version = shard.writtenHead, version
	if shard.head.Owner != before.Owner {
		shard.emit(TookOver{From: before.Owner, Epoch: shard.head.Epoch})
	}
	shard.forgetBelowHorizon(before.Segments)
	for _, entry := range shard.entriesByArrival() {
		if !entry.writing {
			continue
		}
		entry.writing = false
		switch entry.phase {
		case committing:
			shard.dispatchOrRelease(entry)
		case finished:
			shard.succeedAll(entry, entry.outcome, false)
			shard.removeEntry(entry)
		case released:
			entry.phase = waiting
			if len(entry.waiters) == 0 {
				shard.removeEntry(entry)
			}
		}
	}
}

// forgetBelowHorizon deletes the segments that the horizon has passed, and
// removes the claims and the lost entries below it.
func (shard *Shard) forgetBelowHorizon(before []SegmentRef) {
	kept := make(map[string]bool)
	for _, segment := range shard.head.Segments {
		kept[segment.Name] = true
	}
	for _, segment := range before {
		if kept[segment.Name] {
			continue
		}
		delete(shard.loadedSegments, segment.Name)
		shard.emit(DeleteSegment{segment.Name})
	}
	for id, claim := range shard.segmentClaims {
		if claim.KeyTime.Before(shard.head.Horizon) {
			delete(shard.segmentClaims, id)
		}
	}
	for _, entry := range shard.entriesByArrival() {
		if entry.phase == lost && entry.keyTime.Before(shard.head.Horizon) {
			shard.removeEntry(entry)
		}
	}
}

// recordPlatformFailure records that a platform call failed, and delays the next
// one by RetryInterval.
func (shard *Shard) recordPlatformFailure(now time.Time) {
	shard.platformFailing = true
	shard.notBefore = now.Add(shard.options.RetryInterval)
}

// expireWaiters answers the waiters whose deadline has passed, and those of
// entries whose RecordGrace has passed, with what is known.
func (shard *Shard) expireWaiters(now time.Time) {
	for _, entry := range shard.entriesByArrival() {
		if entry.phase == finished && now.Sub(entry.finishedAt) >= shard.options.RecordGrace {
			shard.succeedAll(entry, entry.outcome, false)
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
			shard.removeEntry(entry)
		}
	}
}

func (shard *Shard) expireWaiter(entry *entry, waiter waiter) {
	switch {
	case entry.phase == finished:
		shard.emit(Answer{Waiter: waiter.handle, Outcome: entry.outcome, Repeated: waiter.repeated})
	case entry.phase == running:
		shard.failWaiter(waiter, dragonflyhatch.KindDeadlineUnknown, "the upstream did not respond in time")
	case !entry.foreignSince.IsZero():
		shard.failWaiter(waiter, dragonflyhatch.KindOutcomeUnknown, "an earlier attempt has recorded no outcome")
	case shard.platformFailing:
		shard.failWaiter(waiter, dragonflyhatch.KindPlatformUnavailable, "the claim could not be recorded in time")
	default:
		shard.failWaiter(waiter, dragonflyhatch.KindDeadlineNotRun, "the claim was not recorded in time")
	}
}

// NextTick returns when Tick is next needed, but no later than latest.
func (shard *Shard) NextTick(now, latest time.Time) time.Time {
	wake := latest
	wakeBy := func(at time.Time) {
		if at.Before(wake) {
			wake = at
		}
	}
	for _, entry := range shard.entries {
		for _, waiter := range entry.waiters {
			wakeBy(waiter.deadline)
		}
		if entry.phase == finished && len(entry.waiters) > 0 {
			wakeBy(entry.finishedAt.Add(shard.options.RecordGrace))
		}
		if !entry.foreignSince.IsZero() {
			wakeBy(entry.foreignSince.Add(shard.options.UnknownGrace))
		}
	}
	if shard.platformCall != noCall || !shard.needsPlatform() {
		return wake
	}
	_, unloadedSegment := shard.unloadedSegment()
	if !shard.headCurrent || unloadedSegment {
		wakeBy(later(shard.notBefore, now))
		return wake
	}
	if shard.awaitsForeignOutcome() {
		wakeBy(later(shard.notBefore, shard.nextHeadRead))
	}
	if shard.hasPendingWrite() {
		wakeBy(later(shard.notBefore, now.Add(shard.commitBucket.wait(shard.options.CommitInterval))))
	}
	return wake
}

func (shard *Shard) hasPendingWrite() bool {
	for _, entry := range shard.entries {
		if entry.hasPendingWrite() {
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
