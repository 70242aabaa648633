package hatchclaim

import (
	"fmt"
	"slices"
	"time"

	"dragonflyhatch"
)

// step does all that can be done now and returns the actions.
func (shard *Shard) step(now time.Time) []Action {
	shard.expire(now)
	shard.commits.refill(now, shard.options.CommitInterval, shard.options.CommitBurst)
	if shard.transfer == idle && !now.Before(shard.notBefore) {
		shard.advance(now)
	}
	return shard.take()
}

// advance starts the next platform call, if one is needed.
func (shard *Shard) advance(now time.Time) {
	if !shard.wanted() {
		return
	}
	if !shard.fresh {
		shard.readHead()
		return
	}
	if name, ok := shard.unloaded(); ok {
		shard.transfer = readingSegment
		shard.act(ReadSegment{name})
		return
	}
	shard.settle(now)
	if shard.awaitsForeign() && !now.Before(shard.nextRead) {
		shard.readHead()
		return
	}
	shard.write(now)
}

func (shard *Shard) readHead() {
	shard.transfer = readingHead
	shard.asked++
	shard.act(ReadHead{})
}

// wanted says whether any entry needs the platform.
func (shard *Shard) wanted() bool {
	for _, entry := range shard.entries {
		if entry.phase != running && entry.phase != lost {
			return true
		}
	}
	return false
}

func (shard *Shard) unloaded() (string, bool) {
	for _, segment := range shard.head.Segments {
		if !shard.loaded[segment.Name] {
			return segment.Name, true
		}
	}
	return "", false
}

// settle compares the entries that have no claim of their own with the head.
// It runs only while the head is fresh and no write is outstanding.
func (shard *Shard) settle(now time.Time) {
	for _, entry := range shard.ordered() {
		switch entry.phase {
		case waiting, committing:
			shard.settleUnclaimed(now, entry)
		case released:
			shard.settleReleased(now, entry)
		case finished:
			shard.settleFinished(entry)
		}
	}
}

func (shard *Shard) settleUnclaimed(now time.Time, entry *entry) {
	claim, found := shard.lookup(entry.id)
	switch {
	case !found && entry.keyTime.Before(shard.head.Horizon):
		shard.failAll(entry, dragonflyhatch.KindKeyForgotten, "records of that time are no longer kept")
		shard.drop(entry)
	case !found:
		entry.phase = waiting
		entry.foreign = time.Time{}
		if len(entry.waiters) == 0 {
			shard.drop(entry)
		}
	case claim.Outcome != nil:
		shard.reject(entry, claim.Digest)
		shard.succeed(entry, claim.Outcome, true)
		shard.drop(entry)
	case claim.Owner == shard.self:
		// This process made the claim and remembers no dispatch, so
		// there was none: a write of unsure result was applied.
		entry.digest = claim.Digest
		shard.granted(entry)
	default:
		shard.rejectOpen(entry, claim.Digest)
		shard.settleForeign(now, entry)
	}
}

// settleForeign deals with an open claim of another process. That process may
// still record the outcome, so the head is read again for a while.
func (shard *Shard) settleForeign(now time.Time, entry *entry) {
	entry.phase = waiting
	if entry.foreign.IsZero() {
		entry.foreign = now
		shard.nextRead = now.Add(shard.options.ReadInterval)
	}
	if now.Sub(entry.foreign) >= shard.options.UnknownGrace {
		shard.failAll(entry, dragonflyhatch.KindOutcomeUnknown, "an earlier attempt has left no outcome")
		shard.drop(entry)
	}
}

// settleReleased finds out that a release was applied though its reply was
// lost. A claim that is still in place is not used again: a late release could
// drop it while the request runs.
func (shard *Shard) settleReleased(now time.Time, entry *entry) {
	claim, found := shard.lookup(entry.id)
	if !found || claim.Owner != shard.self {
		entry.phase = waiting
		shard.settleUnclaimed(now, entry)
	}
}

// settleFinished answers at once where the record is already in place, or can
// no longer be made because the horizon has passed the key.
func (shard *Shard) settleFinished(entry *entry) {
	claim, found := shard.lookup(entry.id)
	if !found || claim.Outcome != nil {
		shard.succeed(entry, entry.outcome, false)
		shard.drop(entry)
	}
}

// granted dispatches the request of the entry's claim, or gives the claim back
// if nobody waits for that request any more.
func (shard *Shard) granted(entry *entry) {
	entry.foreign = time.Time{}
	waiter, wanted := entry.first(entry.digest)
	if !wanted {
		entry.phase = released
		return
	}
	entry.phase = running
	shard.reject(entry, entry.digest)
	shard.act(Dispatch{ID: entry.id, Waiter: waiter.name})
}

func (shard *Shard) awaitsForeign() bool {
	for _, entry := range shard.entries {
		if entry.phase == waiting && !entry.foreign.IsZero() {
			return true
		}
	}
	return false
}

// write commits all that is pending in one conditional write.
func (shard *Shard) write(now time.Time) {
	next, changed := shard.pending(now)
	if !changed || shard.commits.wait(shard.options.CommitInterval) > 0 {
		return
	}
	if shard.head.sealableSize() >= shard.options.SealBytes {
		shard.seal()
		return
	}
	for _, entry := range shard.entries {
		entry.writing = entry.pending() && !entry.keyTime.Before(next.Horizon)
		if entry.writing && entry.phase == waiting {
			entry.phase = committing
			entry.digest = entry.waiters[0].digest
		}
	}
	shard.commits.tokens--
	shard.transfer = writingHead
	shard.written = next
	shard.act(WriteHead{Head: next, Version: shard.version})
}

// pending says whether the next write concerns the entry.
func (entry *entry) pending() bool {
	switch entry.phase {
	case waiting, committing:
		return entry.foreign.IsZero() && len(entry.waiters) > 0
	case finished, released:
		return true
	}
	return false
}

// pending returns the head with all pending changes, and whether there are any.
func (shard *Shard) pending(now time.Time) (Head, bool) {
	next := shard.head.copied()
	shard.forget(&next, now)
	changed := false
	for _, entry := range shard.ordered() {
		if !entry.pending() {
			continue
		}
		changed = true
		switch entry.phase {
		case waiting, committing:
			if entry.keyTime.Before(next.Horizon) {
				continue // answered once the horizon is written
			}
			shard.own(&next)
			next.Claims = append(next.Claims, Claim{
				ID: entry.id, Digest: entry.waiters[0].digest, KeyTime: entry.keyTime, Owner: shard.self,
			})
		case finished:
			shard.setOutcome(next.Claims, entry.id, entry.outcome)
		case released:
			next.Claims = slices.DeleteFunc(next.Claims, func(claim Claim) bool { return shard.mine(claim, entry.id) })
		}
	}
	return next, changed
}

// own makes this process the owner in the head.
func (shard *Shard) own(next *Head) {
	if next.Owner != shard.self {
		next.Owner = shard.self
		next.Epoch++
	}
}

// mine says whether the claim is this process's own for the request.
func (shard *Shard) mine(claim Claim, id ID) bool {
	return claim.ID == id && claim.Owner == shard.self
}

func (shard *Shard) setOutcome(claims []Claim, id ID, outcome *Outcome) {
	for i := range claims {
		if shard.mine(claims[i], id) {
			claims[i].Outcome = outcome.recorded()
		}
	}
}

// forget raises the horizon past the segments that are older than the
// retention, and drops with them every claim below the horizon.
func (shard *Shard) forget(next *Head, now time.Time) {
	limit := now.Add(-shard.options.Retention)
	for len(next.Segments) > 0 && next.Segments[0].Newest.Before(limit) {
		passed := next.Segments[0].Newest.Add(time.Millisecond)
		if passed.After(next.Horizon) {
			next.Horizon = passed
		}
		next.Segments = next.Segments[1:]
	}
	next.Claims = slices.DeleteFunc(next.Claims, func(claim Claim) bool { return claim.KeyTime.Before(next.Horizon) })
}

// seal moves the finished claims of the head into a new segment.
func (shard *Shard) seal() {
	shard.sealing = nil
	for _, claim := range shard.head.Claims {
		if claim.Outcome != nil {
			shard.sealing = append(shard.sealing, claim)
		}
	}
	shard.seals++
	shard.sealName = fmt.Sprintf("claims/%02d/segment/%s-%d", shard.number, shard.self, shard.seals)
	shard.transfer = creatingSegment
	shard.act(CreateSegment{Name: shard.sealName, Claims: shard.sealing})
}
