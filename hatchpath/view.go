package hatchpath

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dragonflyhatch"
)

// Node is a replica together with what this daemon has seen of it.
type Node struct {
	dragonflyhatch.Replica
	*Health
}

// View is the replicas that may be given work; it never changes.
type View struct {
	replicas []dragonflyhatch.Replica // all, also those that are leaving
	version  uint64                   // of the newest registration
	byName   map[string][]*Node       // of a service, not leaving
	byPlace  map[string]*Node         // by address, not leaving
	engines  map[string]*engineSet
}

// engineSet is the engines of one service that hold layers.
type engineSet struct {
	model    *dragonflyhatch.EngineModel
	sites    []string
	bySite   map[string][]*Node
	all      []*Node
	versions []int // of the weights, newest first
}

// NewView returns the view of the replicas. Services describes those that run a
// model.
func NewView(replicas []dragonflyhatch.Replica, services map[string]dragonflyhatch.UpstreamService, healths *Healths) *View {
	view := &View{
		replicas: slices.Clone(replicas),
		byName:   make(map[string][]*Node),
		byPlace:  make(map[string]*Node),
		engines:  make(map[string]*engineSet),
	}
	slices.SortFunc(view.replicas, func(a, b dragonflyhatch.Replica) int { return cmp.Compare(a.ID, b.ID) })
	for _, replica := range view.replicas {
		view.version = max(view.version, replica.Revision)
		if replica.Leaving {
			continue
		}
		node := &Node{Replica: replica, Health: healths.Of(replica)}
		view.byName[replica.Service] = append(view.byName[replica.Service], node)
		view.byPlace[replica.Address] = node
	}
	for name, nodes := range view.byName {
		if model := services[name].Model; model != nil {
			view.engines[name] = newEngineSet(model, nodes)
		}
	}
	return view
}

func newEngineSet(model *dragonflyhatch.EngineModel, nodes []*Node) *engineSet {
	set := &engineSet{model: model, bySite: make(map[string][]*Node)}
	for _, node := range nodes {
		if node.Held.End == 0 {
			continue
		}
		if set.bySite[node.Site] == nil {
			set.sites = append(set.sites, node.Site)
		}
		set.bySite[node.Site] = append(set.bySite[node.Site], node)
		set.all = append(set.all, node)
		if !slices.Contains(set.versions, node.Held.Version) {
			set.versions = append(set.versions, node.Held.Version)
		}
	}
	slices.Sort(set.sites)
	slices.SortFunc(set.versions, func(a, b int) int { return cmp.Compare(b, a) })
	return set
}

// Replicas returns all replicas by id, also those that are leaving.
func (view *View) Replicas() []dragonflyhatch.Replica {
	return view.replicas
}

// Version returns the version of the newest registration in the view.
func (view *View) Version() uint64 {
	return view.version
}

// Unreachable returns the addresses of at most so many replicas that do not
// accept connections.
func (view *View) Unreachable(now time.Time, most int) []string {
	var addresses []string
	for _, name := range slices.Sorted(maps.Keys(view.byName)) {
		for _, node := range view.byName[name] {
			if node.DownFor(now) > 0 && len(addresses) < most {
				addresses = append(addresses, node.Address)
			}
		}
	}
	return addresses
}

// At returns the node at the address among all that may be given work, or nil.
func (view *View) At(address string) *Node {
	return view.byPlace[address]
}

// Alive returns the replica that has shown last that it is alive, beside the
// given ones; nil if there is none.
func (view *View) Alive(now time.Time, beside []*Node) *Node {
	var latest *Node
	for _, nodes := range view.byName {
		for _, node := range nodes {
			if node.Down(now) || slices.ContainsFunc(beside, func(other *Node) bool { return other.Health == node.Health }) {
				continue
			}
			if latest == nil || node.SinceReached(now) < latest.SinceReached(now) {
				latest = node
			}
		}
	}
	return latest
}
