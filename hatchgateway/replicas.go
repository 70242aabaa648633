package hatchgateway

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"dragonflyhatch"
)

// reregistrationGrace is how long a registration that is missing from the store is
// kept after an outage of the store: live replicas register again within two
// seconds.
const reregistrationGrace = 2200 * time.Millisecond

const (
	// restoredEntryDelay is how long a registration is not used that the store had removed and has
	// again after it came back from an older copy. The store removes it once more after three
	// intervals of renewals, unless the replica lives.
	restoredEntryDelay = 4 * time.Second
	// removalMemory is for how long a removal is kept for that. It is far above the age of a copy.
	removalMemory = time.Minute
	// maxRemovals bounds the removals that are kept.
	maxRemovals = 4096
)

// replicaSet holds the registrations that a daemon knows. A change that it learns in
// any way, from the store or from a peer, goes on to peers through apply. It has no clock of its
// own: methods that depend on the time have it as a parameter.
type replicaSet struct {
	version         uint64    // of the newest change; may be above completeVersion
	completeVersion uint64    // store version up to which all changes are known
	knownSince      time.Time // when the first listing or snapshot of the era was applied
	byID            map[string]dragonflyhatch.Replica
	expireAt        map[string]time.Time // by id, of replicas missing from the store
	graceUntil      time.Time            // until then removals are deferred, as the replicas may be live
	recent          []recentChange       // to send to peers, oldest first
	recentBase      uint64               // version directly before the recent changes
	cachedDigest    uint64               // 0 if stale

	removals  map[string]removal  // by id, of replicas that are not registered
	overrides map[string]override // by id
}

// removal is a process whose registration was removed, and when.
type removal struct {
	process dragonflyhatch.ReplicaProcess
	at      time.Time
}

// override is what is used in place of a registration that may be older than what is known, as
// the store has come back from a copy.
type override struct {
	known *dragonflyhatch.Replica // the registration before; nil if it had been removed
	until time.Time
}

// recentChange is an update that peers may not have yet.
type recentChange struct {
	dragonflyhatch.ReplicaChange
	at       time.Time
	expireAt time.Time // of a removal
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
		byID:      make(map[string]dragonflyhatch.Replica),
		expireAt:  make(map[string]time.Time),
		removals:  make(map[string]removal),
		overrides: make(map[string]override),
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

// usable returns the replicas that may be used, ordered by id.
func (set *replicaSet) usable(now time.Time) []dragonflyhatch.Replica {
	var list []dragonflyhatch.Replica
	for _, replica := range set.list() {
		if override, ok := set.overrides[replica.ID]; ok && now.Before(override.until) {
			if override.known == nil {
				continue
			}
			replica.Held = override.known.Held
		}
		list = append(list, replica)
	}
	return list
}

// drop removes a replica.
func (set *replicaSet) drop(id string, now time.Time) {
	if len(set.removals) >= maxRemovals {
		maps.DeleteFunc(set.removals, func(_ string, removal removal) bool { return now.Sub(removal.at) > removalMemory })
	}
	if len(set.removals) < maxRemovals {
		set.removals[id] = removal{set.byID[id].Process(), now}
	}
	delete(set.byID, id)
	delete(set.expireAt, id)
	delete(set.overrides, id)
}

// beginEra prepares the set for a complete listing of a later era. The store has come back from a
// copy, so that registrations may be missing although their replicas live, and older than what is
// known. In the grace period engines are used with the layers that are known of them. Registrations
// of processes that were removed are not used unless they are written again.
func (set *replicaSet) beginEra(listed []dragonflyhatch.Replica, now time.Time) {
	set.startGrace(now)
	set.knownSince = now
	for id := range set.expireAt { // what its replica has written again since may be lost too
		set.expireAt[id] = set.graceUntil
	}
	maps.DeleteFunc(set.overrides, func(_ string, override override) bool { return !now.Before(override.until) })
	for id, current := range set.overrides {
		if current.until = set.graceUntil; current.known == nil {
			current.until = now.Add(restoredEntryDelay)
		}
		set.overrides[id] = current
	}
	for _, replica := range listed {
		if removal, ok := set.removals[replica.ID]; ok && removal.process == replica.Process() && now.Sub(removal.at) <= removalMemory {
			set.overrides[replica.ID] = override{until: now.Add(restoredEntryDelay)}
		}
	}
}

// startGrace begins the grace period after an outage of the store that ended at the time,
// in which removals are deferred. A later end of the period stays.
func (set *replicaSet) startGrace(end time.Time) {
	if until := end.Add(reregistrationGrace); until.After(set.graceUntil) {
		set.graceUntil = until
	}
}

// put applies a registration and reports whether it was new or newer than the known
// one. An older one does not replace it.
func (set *replicaSet) put(replica dragonflyhatch.Replica) bool {
	set.version = max(set.version, replica.Revision)
	known, ok := set.byID[replica.ID]
	if ok && known.Revision > replica.Revision {
		return false
	}
	if ok && known.Revision < replica.Revision {
		current, isOverridden := set.overrides[replica.ID]
		delete(set.overrides, replica.ID)
		if known.Process() == replica.Process() && dragonflyhatch.EraOf(known.Revision) < dragonflyhatch.EraOf(replica.Revision) {
			replica.Leaving = replica.Leaving || known.Leaving // which a process does not take back
			if !isOverridden {
				current = override{&known, set.graceUntil}
			}
			set.overrides[replica.ID] = current
		}
	}
	set.byID[replica.ID] = replica
	delete(set.expireAt, replica.ID)
	delete(set.removals, replica.ID)
	set.cachedDigest = 0
	return !ok || known.Revision < replica.Revision
}

// apply applies a change that is newer than completeVersion and keeps it for peers.
// Changes are applied in the order of their revisions.
func (set *replicaSet) apply(change dragonflyhatch.ReplicaChange, now time.Time) {
	if change.Removed {
		set.removeAt(change.Replica.ID, change.Replica.Revision, now.Add(change.Expiry), now)
	} else {
		set.put(change.Replica)
	}
	set.recordChange(change, now)
}

// applyWatched applies all changes up to the version, as a watch delivers them. Those
// that a listing or a peer has told before are passed over.
func (set *replicaSet) applyWatched(changes []dragonflyhatch.ReplicaChange, version uint64, now time.Time) {
	for _, change := range changes {
		if change.Replica.Revision <= set.completeVersion {
			known, ok := set.byID[change.Replica.ID]
			if !change.Removed || !ok || known.Revision > change.Replica.Revision {
				continue
			}
			change.Replica.Revision = version // the registration is known, so that its removal is news
		}
		set.apply(change, now)
	}
	set.markComplete(version)
}

// announced returns the version that this daemon has in the sense of its messages to
// peers: that of the newest change, if all changes before it are known.
func (set *replicaSet) announced() uint64 {
	return min(set.version, set.completeVersion)
}

// observeVersion records that a peer has announced the version. A daemon that began with
// a listing has not seen the changes before it, but knows their result.
func (set *replicaSet) observeVersion(version uint64) {
	if version > set.version && version <= set.completeVersion {
		set.version = version
		set.recent, set.recentBase = nil, version // peers must fetch the snapshot
	}
}

// digest returns a hash of the registrations that do not expire. Daemons with the same
// registrations in the same revisions have the same digest; it is never 0.
func (set *replicaSet) digest() uint64 {
	if set.cachedDigest != 0 {
		return set.cachedDigest
	}
	digest := uint64(1)
	for id, replica := range set.byID {
		if _, expires := set.expireAt[id]; !expires {
			digest ^= xxhash.Sum64String(id + "\x00" + strconv.FormatUint(replica.Revision, 10))
		}
	}
	set.cachedDigest = max(digest, 1)
	return set.cachedDigest
}

// recordChange keeps a change to send to peers.
func (set *replicaSet) recordChange(change dragonflyhatch.ReplicaChange, now time.Time) {
	set.recent = append(set.recent, recentChange{change, now, set.expireAt[change.Replica.ID]})
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
		if change.Replica.Revision <= peerVersion {
			continue
		}
		if change.Removed {
			change.Expiry = max(change.expireAt.Sub(now), 0)
		}
		changes = append(changes, change.ReplicaChange)
	}
	return changes, max(set.recentBase, peerVersion)
}

// applyUpdates applies the recent changes of a peer's gossip if all changes up to the
// base version are known, and reports whether any of them was new. A comparison of
// listings passes over changes that cancel each other, so the peer's version is known
// here only if the result is what the peer knows.
func (set *replicaSet) applyUpdates(peer dragonflyhatch.Gossip, now time.Time) bool {
	changes := peer.ReplicaUpdates
	if len(changes) == 0 || set.completeVersion < peer.ReplicaUpdatesFrom {
		return false
	}
	updated := false
	for _, change := range changes {
		if change.Replica.Revision > set.completeVersion {
			change.Expiry = min(max(change.Expiry, 0), reregistrationGrace)
			set.apply(change, now)
			updated = true
		}
	}
	if set.digest() == peer.ReplicasDigest {
		set.markComplete(peer.ReplicasVersion)
	}
	return updated
}

// remove applies the removal of a registration, deferred in the grace period.
func (set *replicaSet) remove(id string, revision uint64, now time.Time) {
	set.removeAt(id, revision, now, now)
}

// removeAt applies the removal of a registration, deferred until the expiry and in
// the grace period. A newer registration is kept. An expiry that is set stays.
func (set *replicaSet) removeAt(id string, revision uint64, expiry, now time.Time) {
	set.version = max(set.version, revision)
	known, ok := set.byID[id]
	if !ok || known.Revision > revision {
		return
	}
	if expiry.Before(set.graceUntil) {
		expiry = set.graceUntil
	}
	set.cachedDigest = 0
	if !now.Before(expiry) {
		set.drop(id, now)
	} else if _, scheduled := set.expireAt[id]; !scheduled {
		set.expireAt[id] = expiry
	}
}

// markComplete records that all changes up to the version are known.
func (set *replicaSet) markComplete(version uint64) {
	set.completeVersion = max(set.completeVersion, version)
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
		if entry.Expiry > 0 && set.byID[entry.ID].Revision <= version {
			set.apply(dragonflyhatch.ReplicaChange{
				Replica: dragonflyhatch.Replica{ID: entry.ID, Revision: version}, Removed: true,
				Expiry: min(entry.Expiry, reregistrationGrace),
			}, now)
			updated = true
		}
	}
	return updated
}

// isSettled reports whether all live replicas have had the time to register again
// since this process first learned of any, or of the store's era. The store may have been
// restored just before, and then lists only some of them.
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
	isFirst := set.completeVersion == 0
	if !isFirst && dragonflyhatch.EraOf(version) > dragonflyhatch.EraOf(set.completeVersion) {
		set.beginEra(list, now)
		isFirst = true
	}
	changes := set.changesTo(list, version)
	updated := false
	for _, change := range changes {
		if change.Replica.Revision > version { // read on a later page; the changes before it may not be known
			updated = set.put(change.Replica) || updated
			continue
		}
		set.apply(change, now)
		updated = true
	}
	if isFirst {
		set.recent, set.recentBase = nil, version // peers must fetch the snapshot
	}
	set.markComplete(version)
	return set.expire(now) || updated
}

// changesTo returns the changes that lead from the set to a complete listing as of the
// version, ordered by revision. A replica that is not listed has been removed by then.
func (set *replicaSet) changesTo(list []dragonflyhatch.Replica, version uint64) []dragonflyhatch.ReplicaChange {
	var changes []dragonflyhatch.ReplicaChange
	listed := make(map[string]bool, len(list))
	for _, replica := range list {
		listed[replica.ID] = true
		known, ok := set.byID[replica.ID]
		if !ok || known.Revision < replica.Revision {
			changes = append(changes, dragonflyhatch.ReplicaChange{Replica: replica})
		} else if known.Revision == replica.Revision {
			delete(set.expireAt, replica.ID)
			set.cachedDigest = 0
		}
	}
	for id := range set.byID {
		if _, scheduled := set.expireAt[id]; !listed[id] && !scheduled {
			changes = append(changes, dragonflyhatch.ReplicaChange{
				Replica: dragonflyhatch.Replica{ID: id, Revision: version}, Removed: true,
			})
		}
	}
	slices.SortFunc(changes, func(a, b dragonflyhatch.ReplicaChange) int {
		return cmp.Or(cmp.Compare(a.Replica.Revision, b.Replica.Revision), cmp.Compare(a.Replica.ID, b.Replica.ID))
	})
	return changes
}

// expire drops the replicas that are due to expire, and reports whether there were
// any.
func (set *replicaSet) expire(now time.Time) bool {
	expired := false
	for id, expiry := range set.expireAt {
		if !now.Before(expiry) {
			set.drop(id, now)
			expired = true
		}
	}
	return expired
}
