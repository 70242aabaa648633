package hatchmember

import (
	"cmp"
	"slices"

	"dragonflyhatch"
)

// Facts holds what is known of leaving upstreams, by address and source.
type Facts struct {
	drains map[factKey]dragonflyhatch.Drain
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
	return true
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
