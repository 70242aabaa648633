package hatchquarantine

import (
	"cmp"
	"slices"
	"time"

	"dragonflyhatch"
)

// entry returns the part's entry, which it creates at the first call. The mutex must be
// held.
func (table *Table) entry(part dragonflyhatch.PromptPart, organisation string) *suspect {
	entry := table.suspects[part]
	if entry == nil {
		table.makeRoom(organisation)
		entry = &suspect{sound: table.answered.latest(part), identity: isIdentity(part)}
		table.suspects[part] = entry
	}
	return entry
}

// makeRoom evicts the entry with the least evidence if there are too many, of the
// organisation if it has too many itself. The mutex must be held.
func (table *Table) makeRoom(organisation string) {
	own := 0
	for _, entry := range table.suspects {
		if entry.firstOrganisation() == organisation {
			own++
		}
	}
	onlyOwn := own >= maxSuspectsPerOrganisation
	if !onlyOwn && len(table.suspects) < maxSuspects {
		return
	}
	var victim dragonflyhatch.PromptPart
	var least *suspect
	for part, entry := range table.suspects {
		if onlyOwn && entry.firstOrganisation() != organisation {
			continue
		}
		if least != nil && entry.identity != least.identity && len(entry.terminations) <= 1 && len(least.terminations) <= 1 {
			if entry.identity {
				victim, least = part, entry
			}
			continue
		}
		if least == nil || len(entry.terminations) < len(least.terminations) ||
			len(entry.terminations) == len(least.terminations) && entry.latest().Before(least.latest()) {
			victim, least = part, entry
		}
	}
	delete(table.suspects, victim)
}

func (entry *suspect) firstOrganisation() string {
	if len(entry.terminations) == 0 {
		return ""
	}
	return entry.terminations[0].organisation
}

// last returns the time of the latest termination.
func (entry *suspect) last() time.Time {
	if len(entry.terminations) == 0 {
		return time.Time{}
	}
	return entry.terminations[len(entry.terminations)-1].at
}

// latest returns the time of the latest evidence.
func (entry *suspect) latest() time.Time {
	return later(entry.last(), entry.sound)
}

// add adds a termination that is not known yet, and reports whether it did. Of two
// reports of the same one the earlier counts, because messages only add delay.
// Terminations that would not count separately are not kept, so that they do not
// displace others.
func (entry *suspect) add(added termination) bool {
	same := func(known termination) bool {
		return known.process == added.process && known.organisation == added.organisation
	}
	if index := slices.IndexFunc(entry.terminations, same); index >= 0 {
		if added.at.Before(entry.terminations[index].at) {
			entry.terminations[index].at = added.at
			entry.sort()
		}
		return false
	}
	if !added.at.After(entry.sound) || slices.Contains(entry.cleared, added.process) || entry.near(added.at) >= maxSimultaneous {
		return false
	}
	if len(entry.terminations) >= maxTerminations {
		if added.at.Before(entry.terminations[0].at) {
			return false
		}
		entry.terminations = slices.Delete(entry.terminations, 0, 1)
	}
	entry.terminations = append(entry.terminations, added)
	entry.sort()
	return true
}

// near returns the number of terminations less than minSpacing away from the time.
func (entry *suspect) near(at time.Time) int {
	count := 0
	for _, each := range entry.terminations {
		if each.at.Sub(at).Abs() < minSpacing {
			count++
		}
	}
	return count
}

// atProcess returns how many organisations had requests with the part at the process.
func (entry *suspect) atProcess(process uint64) int {
	count := 0
	for _, each := range entry.terminations {
		if each.process == process {
			count++
		}
	}
	return count
}

// countProcesses returns the number of processes that terminated.
func (entry *suspect) countProcesses() int {
	count := 0
	for i, each := range entry.terminations {
		if !slices.ContainsFunc(entry.terminations[:i], func(earlier termination) bool { return earlier.process == each.process }) {
			count++
		}
	}
	return count
}

func (entry *suspect) sort() {
	slices.SortFunc(entry.terminations, func(a, b termination) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.process, b.process), cmp.Compare(a.organisation, b.organisation))
	})
}

// clear removes the terminations before the time of an answer, and reports whether there
// were any.
func (entry *suspect) clear(answered time.Time) bool {
	if !answered.After(entry.sound) {
		return false
	}
	entry.sound = answered
	before := len(entry.terminations)
	entry.terminations = slices.DeleteFunc(entry.terminations, func(each termination) bool {
		if each.at.After(answered) {
			return false
		}
		entry.cleared = append(entry.cleared, each.process)
		return true
	})
	entry.cleared = entry.cleared[max(len(entry.cleared)-maxTerminations, 0):]
	if len(entry.terminations) == before {
		return false
	}
	entry.localTrial = false
	return true
}

// count returns how many terminations count against the part for requests of the
// organisation, and the time of the latest. Those of other organisations count only as
// far as several organisations agree, so that none can get the parts of another one held
// back. The mutex must be held.
func (table *Table) count(entry *suspect, organisation string) (int, time.Time) {
	var others [maxTerminations]string
	all, own, agreeing := 0, 0, 0
	last := table.each(entry, func(each termination, separate bool) {
		if separate {
			all++
		}
		if each.organisation == organisation {
			own++
		} else if !slices.Contains(others[:agreeing], each.organisation) {
			others[agreeing] = each.organisation
			agreeing++
		}
	})
	return max(min(all, own+max(agreeing-1, 0))-entry.credit(), 0), last
}

// countAll returns how many terminations count against the part and the time of the
// latest, whatever the organisations. The mutex must be held.
func (table *Table) countAll(entry *suspect) (int, time.Time) {
	count := 0
	last := table.each(entry, func(_ termination, separate bool) {
		if separate {
			count++
		}
	})
	return max(count-entry.credit(), 0), last
}

// each calls visit with each termination that no other part explains better, and with
// whether it counts separately from the one before. It returns the time of the latest
// that does.
func (table *Table) each(entry *suspect, visit func(each termination, separate bool)) time.Time {
	explains := table.explains
	if entry.identity {
		explains = table.identities
	}
	var last time.Time
	for _, each := range entry.terminations {
		if explains[each.process] > entry.processes {
			continue
		}
		separate := last.IsZero() || each.at.Sub(last) >= minSpacing
		if separate {
			last = each.at
		}
		visit(each, separate)
	}
	return last
}

// isAmbiguous reports whether a part that the request does not have was at all
// terminations of the given one, and as many count against it, and whether that is a whole
// request. A trial of the request then tells the two apart. The mutex must be held.
func (table *Table) isAmbiguous(part dragonflyhatch.PromptPart, entry *suspect, requestParts []string, identity string) (ambiguous, byIdentity bool) {
	for other, alternative := range table.suspects {
		if alternative.against >= entry.against && other.Service == part.Service && other.ID != identity && !slices.Contains(requestParts, other.ID) && alternative.includes(entry) {
			ambiguous = true
			byIdentity = byIdentity || alternative.identity
		}
	}
	return ambiguous, byIdentity
}

// includes reports whether the entry has all terminations of the other one.
func (entry *suspect) includes(other *suspect) bool {
	return !slices.ContainsFunc(other.terminations, func(each termination) bool { return entry.atProcess(each.process) == 0 })
}

// credit returns the number of terminations that a part is allowed that was answered
// shortly before the first one.
func (entry *suspect) credit() int {
	if len(entry.terminations) == 0 || entry.sound.IsZero() || entry.terminations[0].at.Sub(entry.sound) > soundValidity {
		return 0
	}
	return 1
}

// update expires entries and recomputes which terminations are explained. It returns the
// changes of the parts. The mutex must be held.
func (table *Table) update(now time.Time, parts []dragonflyhatch.PromptPart) []Change {
	if len(parts) == 0 {
		return nil
	}
	clear(table.explains)
	clear(table.identities)
	for part, entry := range table.suspects {
		if entry.expired(now) {
			delete(table.suspects, part)
			continue
		}
		entry.processes = entry.countProcesses()
		for _, each := range entry.terminations {
			table.explains[each.process] = max(table.explains[each.process], entry.processes)
			if entry.identity {
				table.identities[each.process] = max(table.identities[each.process], entry.processes)
			}
		}
	}
	for _, entry := range table.suspects {
		entry.against, _ = table.countAll(entry)
	}
	changes := make([]Change, 0, len(parts))
	for _, part := range parts {
		change := Change{Part: part, Cleared: true}
		if entry := table.suspects[part]; entry != nil && len(entry.terminations) > 0 {
			change.Cleared = false
			change.Terminations = entry.against
			change.Held = change.Terminations >= heldTerminations
		}
		changes = append(changes, change)
	}
	return changes
}

// expired reports whether the entry is no longer needed.
func (entry *suspect) expired(now time.Time) bool {
	if len(entry.terminations) == 0 {
		return now.Sub(entry.sound) > newsTime
	}
	return now.Sub(entry.last()) > entry.hold(len(entry.terminations))+suspicionRetention
}

// Snapshot returns the evidence for a peer: at most limit parts, those with the most
// terminations and the latest changes first. Parts with one termination are left out
// once all daemons have had the time to learn of it.
func (table *Table) Snapshot(now time.Time, limit int) []dragonflyhatch.SuspectPart {
	table.mu.Lock()
	defer table.mu.Unlock()
	if len(table.suspects) == 0 {
		return nil
	}
	var parts []dragonflyhatch.PromptPart
	for part, entry := range table.suspects {
		if !entry.expired(now) && (len(entry.terminations) > 1 || now.Sub(entry.latest()) <= newsTime) {
			parts = append(parts, part)
		}
	}
	slices.SortFunc(parts, func(a, b dragonflyhatch.PromptPart) int {
		first, second := table.suspects[a], table.suspects[b]
		return cmp.Or(second.urgency()-first.urgency(), second.latest().Compare(first.latest()), compareParts(0, 0, a, b))
	})
	var snapshot []dragonflyhatch.SuspectPart
	for _, part := range parts[:min(len(parts), limit)] {
		entry := table.suspects[part]
		sent := dragonflyhatch.SuspectPart{Part: part, SoundAge: age(now, entry.sound), TrialAge: age(now, entry.trial)}
		for _, each := range entry.terminations {
			sent.Terminations = append(sent.Terminations, dragonflyhatch.PartTermination{
				Process: each.process, Organisation: each.organisation, Age: now.Sub(each.at),
			})
		}
		snapshot = append(snapshot, sent)
	}
	return snapshot
}

// urgency ranks entries for the messages to peers: parts that are held back, or were
// just cleared, come before those with one termination.
func (entry *suspect) urgency() int {
	if len(entry.terminations) == 0 {
		return heldTerminations
	}
	return len(entry.terminations)
}

// age returns the time since at, or a negative time if at is zero.
func age(now, at time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return max(now.Sub(at), 0)
}

// Merge merges the evidence of a peer. It returns the changes, and whether this daemon
// knows of an answer to a prompt with one of the parts that the peer does not.
func (table *Table) Merge(now time.Time, received []dragonflyhatch.SuspectPart) (changes []Change, refuted bool) {
	if len(received) == 0 {
		return nil, false
	}
	table.mu.Lock()
	defer table.mu.Unlock()
	var changed []dragonflyhatch.PromptPart
	for _, each := range received[:min(len(received), maxSuspects)] {
		entry, known := table.suspects[each.Part]
		if !known && isIdentity(each.Part) && len(each.Terminations) < heldTerminations && table.countIdentities() >= maxReportedRequests {
			continue // else peers would displace each other's entries again and again
		}
		if !known {
			organisation := ""
			if len(each.Terminations) > 0 {
				organisation = each.Terminations[0].Organisation
			}
			entry = table.entry(each.Part, organisation)
		}
		news := each.SoundAge >= 0 && entry.clear(now.Add(-each.SoundAge))
		for _, reported := range each.Terminations[:min(len(each.Terminations), maxTerminations)] {
			at := now.Add(-max(reported.Age, 0))
			if entry.add(termination{reported.Process, reported.Organisation, at}) {
				news = true
			} else if !at.After(entry.sound) {
				refuted = true
			}
		}
		if each.TrialAge >= 0 {
			entry.trial = later(entry.trial, now.Add(-each.TrialAge))
		}
		if news || !known && len(entry.terminations) > 0 {
			changed = append(changed, each.Part)
		}
		if !known && len(entry.terminations) == 0 && each.SoundAge > newsTime {
			delete(table.suspects, each.Part)
		}
	}
	return table.update(now, changed), refuted
}

// countIdentities returns the number of entries on whole requests. The mutex must be held.
func (table *Table) countIdentities() int {
	count := 0
	for _, entry := range table.suspects {
		if entry.identity {
			count++
		}
	}
	return count
}

// compareParts orders by the numbers, then by the parts.
func compareParts(first, second int, a, b dragonflyhatch.PromptPart) int {
	return cmp.Or(cmp.Compare(first, second), cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
}
