package hatchmember

import (
	"cmp"
	"slices"

	"dragonflyhatch"
)

// Facts holds what is known of leaving upstreams, by address and source.
type Facts struct {
	drains map[factKey]dragonflyhatch.Drain
	shared []factKey // facts to tell others, the latest news last
	next   int       // place in shared that the next round of old news begins at
}

type factKey struct {
	address string
	source  dragonflyhatch.DrainSource
}

// NewFacts returns an empty set of facts.
func NewFacts() *Facts {
	return &Facts{drains: make(map[factKey]dragonflyhatch.Drain)}
}

// Merge takes a fact and says whether it was news. Merging is commutative,
// associative and idempotent.
func (facts *Facts) Merge(drain dragonflyhatch.Drain) bool {
	key := factKey{drain.Address, drain.Source}
	known, ok := facts.drains[key]
	if ok && !newer(drain, known) {
		return false
	}
	facts.drains[key] = drain
	// That an upstream is live is worth telling only after it was leaving.
	if place := slices.Index(facts.shared, key); place >= 0 {
		facts.shared = slices.Delete(facts.shared, place, place+1)
	} else if !drain.Leaving {
		return true
	}
	facts.shared = append(facts.shared, key)
	return true
}

// Share returns at most count facts to tell another daemon: the latest news in
// half of them, older ones in turn in the rest.
func (facts *Facts) Share(count int) []dragonflyhatch.Drain {
	if len(facts.shared) <= count {
		return facts.list(facts.shared)
	}
	old := len(facts.shared) - count/2
	keys := slices.Clone(facts.shared[old:])
	for range count - count/2 {
		keys = append(keys, facts.shared[facts.next%old])
		facts.next = (facts.next + 1) % old
	}
	return facts.list(keys)
}

func (facts *Facts) list(keys []factKey) []dragonflyhatch.Drain {
	list := make([]dragonflyhatch.Drain, len(keys))
	for i, key := range keys {
		list[i] = facts.drains[key]
	}
	return list
}

// newer orders facts of one source by version; of equal ones leaving wins.
func newer(a, b dragonflyhatch.Drain) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return a.Leaving && !b.Leaving
}

// Leaving says whether any source says that the upstream is leaving.
func (facts *Facts) Leaving(address string) bool {
	for source := range dragonflyhatch.DrainSourceCount {
		if facts.drains[factKey{address, source}].Leaving {
			return true
		}
	}
	return false
}

// Next returns the version for a new fact about the address that is to win
// over all that is known; at is the time in milliseconds since 1970, which
// keeps versions rising over restarts.
func (facts *Facts) Next(address string, source dragonflyhatch.DrainSource, at uint64) uint64 {
	return max(at, facts.drains[factKey{address, source}].Version+1)
}

// Of returns the fact of one source about the address, or a zero Drain.
func (facts *Facts) Of(address string, source dragonflyhatch.DrainSource) dragonflyhatch.Drain {
	return facts.drains[factKey{address, source}]
}

// List returns all facts in a fixed order.
func (facts *Facts) List() []dragonflyhatch.Drain {
	list := make([]dragonflyhatch.Drain, 0, len(facts.drains))
	for _, drain := range facts.drains {
		list = append(list, drain)
	}
	slices.SortFunc(list, func(a, b dragonflyhatch.Drain) int {
		return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(a.Source, b.Source))
	})
	return list
}
