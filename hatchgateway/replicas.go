package hatchgateway

import (
	"maps"
	"slices"
	"time"

	"dragonflyhatch"
)

// reregistrationGrace is how long a registration that is missing from the store is
// kept after an outage of the store: live replicas register again within two
// seconds.
const reregistrationGrace = 2200 * time.Millisecond

// replicaSet holds the registrations that a daemon knows. It has no clock of its
// own: methods that depend on the time have it as a parameter.
type replicaSet struct {
	version         uint64    // of the newest change
	completeVersion uint64    // store version up to which all changes are known
	knownSince      time.Time // when the first listing or snapshot was applied
	byID            map[string]dragonflyhatch.Replica
	expireAt        map[string]time.Time // by id, of replicas missing from the store
	graceUntil      time.Time            // until then removals are deferred, as the replicas may be live
	recent          []recentChange       // to send to peers, oldest first
	recentBase      uint64               // version directly before the recent changes
}

// recentChange is an update that peers may not have yet.
type recentChange struct {
	dragonflyhatch.ReplicaChange
	at time.Time
}

const (
	// recentChangeTTL is how long a change is sent to peers as an update: a few gossip
	// intervals. A peer that has missed it fetches the snapshot of all replicas.
	recentChangeTTL = 2 * time.Second
	// maxRecentChanges bounds the changes in one gossip message.
	maxRecentChanges = 24
)

func newReplicaSet() replicaSet {
	return replicaSet{
		byID:     make(map[string]dragonflyhatch.Replica),
		expireAt: make(map[string]time.Time),
	}
}

// list returns the replicas ordered by id.
func (set *replicaSet) list() []dragonflyhatch.Replica {
	var list []dragonflyhatch.Replica
	for _, id := range slices.Sorted(maps.Keys(set.byID)) {
		list = append(list, set.byID[id])
	}
	return list
}

// startGrace begins the grace period after an outage of the store, in which removals
// are deferred.
func (set *replicaSet) startGrace(now time.Time) {
	set.graceUntil = now.Add(reregistrationGrace)
}

// put applies a registration and reports whether it was new or newer than the known
// one. An older one does not replace it.
func (set *replicaSet) put(replica dragonflyhatch.Replica) bool {
	set.version = max(set.version, replica.Revision)
	known, ok := set.byID[replica.ID]
	if ok && known.Revision > replica.Revision {
		return false
	}
	set.byID[replica.ID] = replica
	delete(set.expireAt, replica.ID)
	return !ok || known.Revision < replica.Revision
}

// recordChange keeps a change to send to peers.
func (set *replicaSet) recordChange(change dragonflyhatch.ReplicaChange, now time.Time) {
	set.recent = append(set.recent, recentChange{change, now})
	set.trimRecent(now)
}

// trimRecent drops recent changes that are too old or too many.
func (set *replicaSet) trimRecent(now time.Time) {
	for len(set.recent) > maxRecentChanges || len(set.recent) > 0 && now.Sub(set.recent[0].at) > recentChangeTTL {
		set.recentBase = max(set.recentBase, set.recent[0].Replica.Revision)
		set.recent = set.recent[1:]
	}
}

// recentUpdates returns the recent changes after the version that the peer is known to
// have, and the version that the peer needs in order to apply them.
func (set *replicaSet) recentUpdates(now time.Time, peerVersion uint64) ([]dragonflyhatch.ReplicaChange, uint64) {
	set.trimRecent(now)
	var changes []dragonflyhatch.ReplicaChange
	for _, change := range set.recent {
		if change.Replica.Revision > peerVersion {
			changes = append(changes, change.ReplicaChange)
		}
	}
	return changes, max(set.recentBase, peerVersion)
}

// applyUpdates applies a peer's recent changes if all changes up to the base version
// are known, and reports whether any of them was new.
func (set *replicaSet) applyUpdates(changes []dragonflyhatch.ReplicaChange, base uint64, now time.Time) bool {
	if len(changes) == 0 || set.completeVersion < base {
		return false
	}
	updated := false
	for _, change := range changes {
		if change.Replica.Revision <= set.completeVersion {
			continue
		}
		if change.Removed {
			set.remove(change.Replica.ID, change.Replica.Revision, now)
		} else {
			set.put(change.Replica)
		}
		set.recordChange(change, now)
		updated = true
	}
	set.markComplete(set.version)
	return updated
}

// remove applies the removal of a registration, deferred in the grace period.
func (set *replicaSet) remove(id string, revision uint64, now time.Time) {
	set.version = max(set.version, revision)
	if now.Before(set.graceUntil) {
		set.scheduleExpiry(id, now)
		return
	}
	delete(set.byID, id)
	delete(set.expireAt, id)
}

// scheduleExpiry sets when the replica expires, at the end of the grace period or
// now, unless it is set already.
func (set *replicaSet) scheduleExpiry(id string, now time.Time) {
	if _, scheduled := set.expireAt[id]; scheduled {
		return
	}
	expiry := set.graceUntil
	if expiry.Before(now) {
		expiry = now
	}
	set.expireAt[id] = expiry
}

// markComplete records that all changes up to the version are known.
func (set *replicaSet) markComplete(version uint64) {
	set.completeVersion = max(set.completeVersion, version, set.version)
}

// listedReplica is a replica in a snapshot for peers.
type listedReplica struct {
	dragonflyhatch.Replica
	Expiry time.Duration `json:"expiry,omitempty"` // nanoseconds until it expires unless it registers again, or 0
}

// snapshot returns the replicas for peers, ordered by id, with the time that is left
// to those which are missing from the store.
func (set *replicaSet) snapshot(now time.Time) []listedReplica {
	var listed []listedReplica
	for _, replica := range set.list() {
		entry := listedReplica{Replica: replica}
		if expiry, ok := set.expireAt[replica.ID]; ok {
			entry.Expiry = max(expiry.Sub(now), 1)
		}
		listed = append(listed, entry)
	}
	return listed
}

// applySnapshot applies a peer's snapshot as of the version like replace. A replica
// that is missing from the store expires here when it expires at the peer.
func (set *replicaSet) applySnapshot(listed []listedReplica, version uint64, now time.Time) bool {
	if version < set.completeVersion {
		return set.expire(now)
	}
	var list []dragonflyhatch.Replica
	for _, entry := range listed {
		list = append(list, entry.Replica)
	}
	updated := set.replace(list, version, now)
	for _, entry := range listed {
		if known := set.byID[entry.ID]; entry.Expiry > 0 && known.Revision == entry.Revision {
			set.expireAt[entry.ID] = now.Add(min(entry.Expiry, reregistrationGrace))
		}
	}
	return updated
}

// isSettled reports whether all live replicas have had the time to register again
// since this process first learned of any. The store may have been restored just
// before, and then lists only some of them.
func (set *replicaSet) isSettled(now time.Time) bool {
	return !set.knownSince.IsZero() && now.Sub(set.knownSince) >= reregistrationGrace
}

// replace applies a complete listing as of the version and reports whether it
// changed the set. A listing older than completeVersion is not applied.
func (set *replicaSet) replace(list []dragonflyhatch.Replica, version uint64, now time.Time) bool {
	if version < set.completeVersion {
		return set.expire(now)
	}
	if set.knownSince.IsZero() {
		set.knownSince = now
	}
	updated := false
	listed := make(map[string]bool, len(list))
	for _, replica := range list {
		listed[replica.ID] = true
		updated = set.put(replica) || updated
	}
	for id := range set.byID {
		if !listed[id] {
			set.scheduleExpiry(id, now)
		}
	}
	if updated {
		set.recent, set.recentBase = nil, set.version // peers must fetch the snapshot
	}
	set.markComplete(version)
	return set.expire(now) || updated
}

// expire drops the replicas that are due to expire, and reports whether there were
// any.
func (set *replicaSet) expire(now time.Time) bool {
	expired := false
	for id, expiry := range set.expireAt {
		if !now.Before(expiry) {
			delete(set.byID, id)
			delete(set.expireAt, id)
			expired = true
		}
	}
	return expired
}
