package hatchmember

import (
	"cmp"
	"slices"

	"dragonflyhatch"
)

// DrainSet is the set of known drains, by address of the upstream and source.
type DrainSet struct {
	drains      map[drainKey]dragonflyhatch.Drain
	sendQueue   []drainKey // drains to send to peers, the latest updates last
	olderCursor int        // position in sendQueue of the next older drain to send
}

type drainKey struct {
	address string
	source  dragonflyhatch.DrainSource
}

// NewDrainSet returns an empty set.
func NewDrainSet() *DrainSet {
	return &DrainSet{drains: make(map[drainKey]dragonflyhatch.Drain)}
}

// Merge applies the drain if none is known for its address and source or if it
// supersedes the known one, and reports whether it was applied. Merging is
// commutative, associative and idempotent.
func (set *DrainSet) Merge(drain dragonflyhatch.Drain) bool {
	key := drainKey{drain.Address, drain.Source}
	known, ok := set.drains[key]
	if ok && !supersedes(drain, known) {
		return false
	}
	set.drains[key] = drain
	// A drain without Leaving set is sent to peers only if an earlier one had it set.
	if index := slices.Index(set.sendQueue, key); index >= 0 {
		set.sendQueue = slices.Delete(set.sendQueue, index, index+1)
	} else if !drain.Leaving {
		return true
	}
	set.sendQueue = append(set.sendQueue, key)
	return true
}

// NextBatch returns at most count drains to send to a peer. If there are more, half
// of them are the latest updates and the rest are older ones in turn.
func (set *DrainSet) NextBatch(count int) []dragonflyhatch.Drain {
	if len(set.sendQueue) <= count {
		return set.list(set.sendQueue)
	}
	older := len(set.sendQueue) - count/2
	keys := slices.Clone(set.sendQueue[older:])
	for range count - count/2 {
		keys = append(keys, set.sendQueue[set.olderCursor%older])
		set.olderCursor = (set.olderCursor + 1) % older
	}
	return set.list(keys)
}

func (set *DrainSet) list(keys []drainKey) []dragonflyhatch.Drain {
	list := make([]dragonflyhatch.Drain, len(keys))
	for i, key := range keys {
		list[i] = set.drains[key]
	}
	return list
}

// supersedes reports whether a replaces b, a drain of the same address and source:
// the higher version wins, and of equal versions the one with Leaving set.
func supersedes(a, b dragonflyhatch.Drain) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return a.Leaving && !b.Leaving
}

// Leaving reports whether the upstream is leaving according to any source.
func (set *DrainSet) Leaving(address string) bool {
	for source := range dragonflyhatch.DrainSourceCount {
		if set.drains[drainKey{address, source}].Leaving {
			return true
		}
	}
	return false
}

// NextVersion returns the version for a new drain of the source that supersedes the
// known one. It is at least milliseconds, the current Unix time, so that versions
// increase across restarts.
func (set *DrainSet) NextVersion(address string, source dragonflyhatch.DrainSource, milliseconds uint64) uint64 {
	return max(milliseconds, set.drains[drainKey{address, source}].Version+1)
}

// Get returns the drain of the source for the address, or a zero Drain if there
// is none.
func (set *DrainSet) Get(address string, source dragonflyhatch.DrainSource) dragonflyhatch.Drain {
	return set.drains[drainKey{address, source}]
}

// List returns all drains, sorted by address and source.
func (set *DrainSet) List() []dragonflyhatch.Drain {
	list := make([]dragonflyhatch.Drain, 0, len(set.drains))
	for _, drain := range set.drains {
		list = append(list, drain)
	}
	slices.SortFunc(list, func(a, b dragonflyhatch.Drain) int {
		return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(a.Source, b.Source))
	})
	return list
}
