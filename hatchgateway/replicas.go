package hatchgateway

import (
	"maps"
	"slices"
	"time"

	"dragonflyhatch"
)

// returnTime is how long a registration that a listing lacks is kept after the
// store was away: live replicas are back in the store within two seconds.
const returnTime = 2200 * time.Millisecond

// replicaSet is the registrations that a daemon knows. Decisions take the time
// and return what changed; the set has no clock of its own.
type replicaSet struct {
	version  uint64 // of the newest change
	seen     uint64 // version of the store up to which all changes are known
	byID     map[string]dragonflyhatch.Replica
	missing  map[string]time.Time // when to forget replicas that a listing lacked
	awayTill time.Time            // until then removals may be of replicas that live
}

func newReplicaSet() replicaSet {
	return replicaSet{
		byID:    make(map[string]dragonflyhatch.Replica),
		missing: make(map[string]time.Time),
	}
}

// list returns the replicas by id.
func (set *replicaSet) list() []dragonflyhatch.Replica {
	var list []dragonflyhatch.Replica
	for _, id := range slices.Sorted(maps.Keys(set.byID)) {
		list = append(list, set.byID[id])
	}
	return list
}

// returned notes that the store serves again after it was away.
func (set *replicaSet) returned(now time.Time) {
	set.awayTill = now.Add(returnTime)
}

// put takes a registration and says whether it was news; an older one than is
// known changes nothing.
func (set *replicaSet) put(replica dragonflyhatch.Replica) bool {
	set.version = max(set.version, replica.Revision)
	known, ok := set.byID[replica.ID]
	if ok && known.Revision > replica.Revision {
		return false
	}
	set.byID[replica.ID] = replica
	delete(set.missing, replica.ID)
	return !ok || known.Revision < replica.Revision
}

// remove takes the end of a registration.
func (set *replicaSet) remove(id string, revision uint64, now time.Time) {
	set.version = max(set.version, revision)
	if now.Before(set.awayTill) {
		set.miss(id, now)
		return
	}
	delete(set.byID, id)
	delete(set.missing, id)
}

func (set *replicaSet) miss(id string, now time.Time) {
	if _, waiting := set.missing[id]; waiting {
		return
	}
	until := set.awayTill
	if until.Before(now) {
		until = now
	}
	set.missing[id] = until
}

// saw notes that all changes up to the version are known.
func (set *replicaSet) saw(version uint64) {
	set.seen = max(set.seen, version, set.version)
}

// replace takes a whole listing as of the version, and says whether it held
// news. One that is older than what is known changes nothing.
func (set *replicaSet) replace(list []dragonflyhatch.Replica, version uint64, now time.Time) bool {
	if version < set.seen {
		return set.expire(now)
	}
	news := false
	listed := make(map[string]bool, len(list))
	for _, replica := range list {
		listed[replica.ID] = true
		news = set.put(replica) || news
	}
	for id := range set.byID {
		if !listed[id] {
			set.miss(id, now)
		}
	}
	set.saw(version)
	return set.expire(now) || news
}

// expire forgets the replicas that did not come back in time, and says whether
// there were any.
func (set *replicaSet) expire(now time.Time) bool {
	expired := false
	for id, until := range set.missing {
		if !now.Before(until) {
			delete(set.byID, id)
			delete(set.missing, id)
			expired = true
		}
	}
	return expired
}
