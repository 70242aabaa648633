package hatchpath

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Exclusion -linecomment -output=enums_string.go

// Exclusion is why a replica is left out of a choice.
type Exclusion int

// The values of Exclusion.
const (
	ExclusionDown     Exclusion = iota // down
	ExclusionLeaving                   // leaving
	ExclusionRefusing                  // refusing
	ExclusionFull                      // full
	ExclusionPausing                   // pausing
	ExclusionLimit                     // limit
)

// Candidate is a pipeline that was compared with others. A replica of a plain service is
// a pipeline of one node without stages.
type Candidate struct {
	*Pipeline
	Site    string  // empty if the pipeline spans several sites
	Version int     // of the model's weights
	Cost    float64 // by which the candidates are compared
	Chosen  bool
}

// LeftOut is a replica that could not be chosen, and why.
type LeftOut struct {
	Address string
	Site    string
	Reason  Exclusion
	For     time.Duration // until it may be chosen again; 0 if that is not known
}

// Comparison is what a choice was made from.
type Comparison struct {
	Candidates []Candidate
	UsesFull   bool // engines that are full or pausing were considered, as there is no pipeline without them
	LeftOut    []LeftOut
}

// Chosen returns the pipeline that was chosen, or nil if there is none.
func (comparison *Comparison) Chosen() *Pipeline {
	for _, candidate := range comparison.Candidates {
		if candidate.Chosen {
			return candidate.Pipeline
		}
	}
	return nil
}

// comparedCover is a cover that was compared with others.
type comparedCover struct {
	*cover
	site    string // empty if the cover spans several sites
	version int
	cost    float64
}

// ComparePipelines makes the choice of Pipeline and returns what it was made from, also
// with an error.
func (view *View) ComparePipelines(now time.Time, query Query) (*Comparison, error) {
	var covers []comparedCover
	best, avoidsFull, err := view.chooseCover(now, query, func(cover comparedCover) { covers = append(covers, cover) })
	comparison := &Comparison{UsesFull: err == nil && !avoidsFull}
	for _, compared := range covers {
		comparison.Candidates = append(comparison.Candidates, Candidate{
			Pipeline: compared.pipeline(query.Tokens), Site: compared.site, Version: compared.version,
			Cost: compared.cost, Chosen: compared.cover == best,
		})
	}
	comparison.LeftOut = view.leftOut(query, func(node *Node) (Exclusion, time.Duration, bool) {
		return node.exclusion(now, query.Resumed, avoidsFull, node.Held.First == 0)
	})
	return comparison, err
}

// CompareReplicas makes the choice of Service and returns what it was made from, also with
// an error: of each site the replica with the lowest cost.
func (view *View) CompareReplicas(now time.Time, query Query) (*Comparison, error) {
	cheapest := make(map[string]Candidate)
	best, err := view.chooseReplica(now, query, func(node *Node, cost float64) {
		if other, ok := cheapest[node.Site]; !ok || cost < other.Cost {
			cheapest[node.Site] = Candidate{Pipeline: &Pipeline{Nodes: []*Node{node}}, Site: node.Site, Cost: cost}
		}
	})
	// A replica of a plain service that is full costs more, but is not left out.
	comparison := &Comparison{LeftOut: view.leftOut(query, func(node *Node) (Exclusion, time.Duration, bool) {
		return node.exclusion(now, query.Resumed, false, true)
	})}
	for _, site := range slices.Sorted(maps.Keys(cheapest)) {
		candidate := cheapest[site]
		candidate.Chosen = candidate.Nodes[0] == best
		comparison.Candidates = append(comparison.Candidates, candidate)
	}
	return comparison, err
}

// exclusion returns why the replica is left out of a choice and for how long, or false if
// it is not. Pauses count if full replicas are avoided, and always for one that would
// receive the request from a daemon, as do limits.
func (node *Node) exclusion(now time.Time, resumed, avoidsFull, isHead bool) (reason Exclusion, left time.Duration, ok bool) {
	switch {
	case node.IsLeaving():
		return ExclusionLeaving, 0, true
	case node.IsDown(now):
		return ExclusionDown, 0, true
	case avoidsFull && node.IsFull(now):
		if node.IsRefusing(now) {
			return ExclusionRefusing, 0, true
		}
		return ExclusionFull, 0, true
	case (avoidsFull || isHead) && node.PausedFor(now) > 0:
		return ExclusionPausing, node.PausedFor(now), true
	case isHead && node.ClosedFor(now, resumed) > 0:
		return ExclusionLimit, node.ClosedFor(now, resumed), true
	}
	return 0, 0, false
}

// leftOut returns the registered replicas of the service that are leaving or that
// exclusion excludes, in order of their addresses.
func (view *View) leftOut(query Query, exclusion func(*Node) (Exclusion, time.Duration, bool)) []LeftOut {
	var list []LeftOut
	for _, replica := range view.replicas {
		if replica.Service == query.Service && replica.Leaving {
			list = append(list, LeftOut{Address: replica.Address, Site: replica.Site, Reason: ExclusionLeaving})
		}
	}
	nodes := view.byService[query.Service]
	if set := view.engines[query.Service]; set != nil {
		nodes = set.all // the others hold no layers
	}
	for _, node := range nodes {
		if reason, left, ok := exclusion(node); ok {
			list = append(list, LeftOut{Address: node.Address, Site: node.Site, Reason: reason, For: left})
		}
	}
	slices.SortFunc(list, func(a, b LeftOut) int { return cmp.Compare(a.Address, b.Address) })
	return list
}
