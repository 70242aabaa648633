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
	recent   []recentChange       // for peers, oldest first
	recentOf uint64               // version that the recent changes follow on
}

// recentChange is a change that peers may not know yet.
type recentChange struct {
	dragonflyhatch.ReplicaChange
	at time.Time
}

const (
	// newsAge is how long a change is told to peers as such: some rounds of
	// gossip. A peer that has missed it asks for all replicas.
	newsAge = 2 * time.Second
	// maxNews bounds the changes in one message.
	maxNews = 24
)

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

// note keeps a change for peers.
func (set *replicaSet) note(change dragonflyhatch.ReplicaChange, now time.Time) {
	set.recent = append(set.recent, recentChange{change, now})
	set.dropNews(now)
}

// dropNews forgets old changes and those beyond the bound.
func (set *replicaSet) dropNews(now time.Time) {
	for len(set.recent) > maxNews || len(set.recent) > 0 && now.Sub(set.recent[0].at) > newsAge {
		set.recentOf = max(set.recentOf, set.recent[0].Replica.Revision)
		set.recent = set.recent[1:]
	}
}

// news returns the recent changes and the version that they follow on.
func (set *replicaSet) news(now time.Time) ([]dragonflyhatch.ReplicaChange, uint64) {
	set.dropNews(now)
	var changes []dragonflyhatch.ReplicaChange
	for _, change := range set.recent {
		changes = append(changes, change.ReplicaChange)
	}
	return changes, set.recentOf
}

// follow applies a peer's recent changes if all earlier ones are known, and says
// whether they were news.
func (set *replicaSet) follow(changes []dragonflyhatch.ReplicaChange, from uint64, now time.Time) bool {
	if len(changes) == 0 || set.seen < from {
		return false
	}
	news := false
	for _, change := range changes {
		if change.Replica.Revision <= set.seen {
			continue
		}
		if change.Removed {
			set.remove(change.Replica.ID, change.Replica.Revision, now)
		} else {
			set.put(change.Replica)
		}
		set.note(change, now)
		news = true
	}
	set.saw(set.version)
	return news
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
	if news {
		set.recent, set.recentOf = nil, set.version // peers must ask for all
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
