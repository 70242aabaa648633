package hatchclaim

import (
	"fmt"
	"slices"
	"time"

	"dragonflyhatch"
)

// step performs every transition that is possible now and returns the actions.
func (shard *Shard) step(now time.Time) []Action {
	shard.expireWaiters(now)
	shard.commitBucket.refill(now, shard.options.CommitInterval, shard.options.CommitBurst)
	if shard.platformCall == noCall && !now.Before(shard.notBefore) {
		shard.startPlatformCall(now)
	}
	return shard.takeActions()
}

// startPlatformCall starts the next platform call, if one is needed.
func (shard *Shard) startPlatformCall(now time.Time) {
	if !shard.needsPlatform() {
		return
	}
	if !shard.headCurrent {
		shard.readHead()
		return
	}
	if name, ok := shard.unloadedSegment(); ok {
		shard.platformCall = readingSegment
		shard.emit(ReadSegment{name})
		return
	}
	shard.reconcileEntries(now)
	if shard.awaitsForeignOutcome() && !now.Before(shard.nextHeadRead) {
		shard.readHead()
		return
	}
	shard.commit(now)
}

func (shard *Shard) readHead() {
	shard.platformCall = readingHead
	shard.headReadsStarted++
	shard.emit(ReadHead{})
}

// needsPlatform reports whether any entry needs the platform.
func (shard *Shard) needsPlatform() bool {
	for _, entry := range shard.entries {
		if entry.phase != running && entry.phase != lost {
			return true
		}
	}
	return false
}

// unloadedSegment returns the first segment of the head that is not loaded yet.
func (shard *Shard) unloadedSegment() (string, bool) {
	for _, segment := range shard.head.Segments {
		if !shard.loadedSegments[segment.Name] {
			return segment.Name, true
		}
	}
	return "", false
}

// reconcileEntries updates the entries that are neither running nor lost from
// the head. It runs only while the head is current and no write is outstanding.
func (shard *Shard) reconcileEntries(now time.Time) {
	for _, entry := range shard.entriesByArrival() {
		switch entry.phase {
		case waiting, committing:
			shard.reconcileUnclaimed(now, entry)
		case released:
			shard.reconcileReleased(now, entry)
		case finished:
			shard.reconcileFinished(entry)
		}
	}
}

// reconcileUnclaimed handles an entry for which no claim of this process is known
// to exist.
func (shard *Shard) reconcileUnclaimed(now time.Time, entry *entry) {
	claim, found := shard.lookup(entry.id)
	switch {
	case !found && entry.keyTime.Before(shard.head.Horizon):
		shard.failAll(entry, dragonflyhatch.KindKeyForgotten, "the records of requests this old have been deleted")
		shard.removeEntry(entry)
	case !found:
		entry.phase = waiting
		entry.foreignSince = time.Time{}
		if len(entry.waiters) == 0 {
			shard.removeEntry(entry)
		}
	case claim.Outcome != nil:
		shard.rejectOthers(entry, claim.Digest)
		shard.succeedAll(entry, claim.Outcome, true)
		shard.removeEntry(entry)
	case claim.Owner == shard.self:
		// This process made the claim and has not dispatched it, so a
		// write whose result was unknown has been applied.
		entry.digest = claim.Digest
		shard.dispatchOrRelease(entry)
	default:
		shard.rejectByOpenClaim(entry, claim.Digest)
		shard.reconcileForeign(now, entry)
	}
}

// reconcileForeign handles another process's claim that has no outcome yet.
// That process may still record the outcome, so the head is read again until
// UnknownGrace has passed.
func (shard *Shard) reconcileForeign(now time.Time, entry *entry) {
	entry.phase = waiting
	if entry.foreignSince.IsZero() {
		entry.foreignSince = now
		shard.nextHeadRead = now.Add(shard.options.ReadInterval)
	}
	if now.Sub(entry.foreignSince) >= shard.options.UnknownGrace {
		shard.failAll(entry, dragonflyhatch.KindOutcomeUnknown, "an earlier attempt has recorded no outcome")
		shard.removeEntry(entry)
	}
}

// reconcileReleased detects that a release was applied although its reply was
// lost. A claim that still exists is not used again: a delayed release could
// remove it while the request runs.
func (shard *Shard) reconcileReleased(now time.Time, entry *entry) {
	claim, found := shard.lookup(entry.id)
	if !found || claim.Owner != shard.self {
		entry.phase = waiting
		shard.reconcileUnclaimed(now, entry)
	}
}

// reconcileFinished answers the waiters if the outcome is already recorded, or
// can no longer be recorded because the horizon has passed the key.
func (shard *Shard) reconcileFinished(entry *entry) {
	claim, found := shard.lookup(entry.id)
	if !found || claim.Outcome != nil {
		shard.succeedAll(entry, entry.outcome, false)
		shard.removeEntry(entry)
	}
}

// dispatchOrRelease dispatches the request of the entry's claim, or releases
// the claim if no waiter for that request is left.
func (shard *Shard) dispatchOrRelease(entry *entry) {
	entry.foreignSince = time.Time{}
	waiter, wanted := entry.firstWaiter(entry.digest)
	if !wanted {
		entry.phase = released
		return
	}
	entry.phase = running
	shard.rejectOthers(entry, entry.digest)
	shard.emit(Dispatch{ID: entry.id, Waiter: waiter.handle})
}

// awaitsForeignOutcome reports whether any entry waits for the outcome of another
// process's claim.
func (shard *Shard) awaitsForeignOutcome() bool {
	for _, entry := range shard.entries {
		if entry.phase == waiting && !entry.foreignSince.IsZero() {
			return true
		}
	}
	return false
}

// commit commits all pending changes in one conditional write.
func (shard *Shard) commit(now time.Time) {
	next, changed := shard.nextHead(now)
	if !changed || shard.commitBucket.wait(shard.options.CommitInterval) > 0 {
		return
	}
	if shard.head.sealableSize() >= shard.options.SealBytes {
		shard.seal()
		return
	}
	for _, entry := range shard.entries {
		entry.writing = entry.hasPendingWrite() && !entry.keyTime.Before(next.Horizon)
		if entry.writing && entry.phase == waiting {
			entry.phase = committing
			entry.digest = entry.waiters[0].digest
		}
	}
	shard.commitBucket.tokens--
	shard.platformCall = writingHead
	shard.writtenHead = next
	shard.emit(WriteHead{Head: next, Version: shard.version})
}

// hasPendingWrite reports whether the next write changes the entry's claim.
func (entry *entry) hasPendingWrite() bool {
	switch entry.phase {
	case waiting, committing:
		return entry.foreignSince.IsZero() && len(entry.waiters) > 0
	case finished, released:
		return true
	}
	return false
}

// nextHead returns the head with all pending changes, and whether there are any.
func (shard *Shard) nextHead(now time.Time) (Head, bool) {
	next := shard.head.clone()
	shard.raiseHorizon(&next, now)
	changed := false
	for _, entry := range shard.entriesByArrival() {
		if !entry.hasPendingWrite() {
			continue
		}
		changed = true
		switch entry.phase {
		case waiting, committing:
			if entry.keyTime.Before(next.Horizon) {
				continue // rejected once the horizon is written
			}
			shard.takeOwnership(&next)
			next.Claims = append(next.Claims, Claim{
				ID: entry.id, Digest: entry.waiters[0].digest, KeyTime: entry.keyTime, Owner: shard.self,
			})
		case finished:
			shard.setOutcome(next.Claims, entry.id, entry.outcome)
		case released:
			next.Claims = slices.DeleteFunc(next.Claims, func(claim Claim) bool { return shard.isOwnClaim(claim, entry.id) })
		}
	}
	return next, changed
}

// takeOwnership makes this process the owner in the head.
func (shard *Shard) takeOwnership(next *Head) {
	if next.Owner != shard.self {
		next.Owner = shard.self
		next.Epoch++
	}
}

// isOwnClaim reports whether the claim is this process's claim for the request.
func (shard *Shard) isOwnClaim(claim Claim, id ID) bool {
	return claim.ID == id && claim.Owner == shard.self
}

func (shard *Shard) setOutcome(claims []Claim, id ID, outcome *Outcome) {
	for i := range claims {
		if shard.isOwnClaim(claims[i], id) {
			claims[i].Outcome = outcome.recorded()
		}
	}
}

// raiseHorizon raises the horizon past the segments that are older than the
// retention, and removes these segments and every claim below the horizon.
func (shard *Shard) raiseHorizon(next *Head, now time.Time) {
	limit := now.Add(-shard.options.Retention)
	for len(next.Segments) > 0 && next.Segments[0].Newest.Before(limit) {
		horizon := next.Segments[0].Newest.Add(time.Millisecond)
		if horizon.After(next.Horizon) {
			next.Horizon = horizon
		}
		next.Segments = next.Segments[1:]
	}
	next.Claims = slices.DeleteFunc(next.Claims, func(claim Claim) bool { return claim.KeyTime.Before(next.Horizon) })
}

// seal starts to move the claims with an outcome from the head into a new
// segment.
func (shard *Shard) seal() {
	shard.sealingClaims = nil
	for _, claim := range shard.head.Claims {
		if claim.Outcome != nil {
			shard.sealingClaims = append(shard.sealingClaims, claim)
		}
	}
	shard.sealCount++
	shard.sealName = fmt.Sprintf("claims/%02d/segment/%s-%d", shard.number, shard.self, shard.sealCount)
	shard.platformCall = creatingSegment
	shard.emit(CreateSegment{Name: shard.sealName, Claims: shard.sealingClaims})
}
