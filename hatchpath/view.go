package hatchpath

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dragonflyhatch"
)

// Node is a replica together with what this daemon has observed of it.
type Node struct {
	dragonflyhatch.Replica
	*Health
}

// View is an immutable index of the registered replicas.
type View struct {
	replicas  []dragonflyhatch.Replica // sorted by id, including those that are leaving
	version   uint64                   // revision of the newest registration
	byService map[string][]*Node       // by service, without leaving replicas
	byAddress map[string]*Node         // by address, without leaving replicas
	engines   map[string]*engineSet    // by service
}

// engineSet is the set of a service's engines that hold layers.
type engineSet struct {
	model    *dragonflyhatch.EngineModel
	sites    []string
	bySite   map[string][]*Node
	all      []*Node
	heads    []*Node // those of all that hold the first layer
	versions []int   // of the model's weights, newest first
}

// NewView returns a View of the replicas, without those whose address another one has
// taken. Services holds the configured services by name; those with a model are served by
// pipelines of engines.
func NewView(replicas []dragonflyhatch.Replica, services map[string]dragonflyhatch.UpstreamService, healths *HealthSet) *View {
	view := &View{
		replicas:  slices.Clone(replicas),
		byService: make(map[string][]*Node),
		byAddress: make(map[string]*Node),
		engines:   make(map[string]*engineSet),
	}
	slices.SortFunc(view.replicas, func(a, b dragonflyhatch.Replica) int { return cmp.Compare(a.ID, b.ID) })
	for _, replica := range view.replicas {
		view.version = max(view.version, replica.Revision)
	}
	view.replicas = removeReplaced(view.replicas, services)
	for _, replica := range view.replicas {
		if replica.Leaving {
			continue
		}
		node := &Node{Replica: replica, Health: healths.Get(replica)}
		view.byService[replica.Service] = append(view.byService[replica.Service], node)
		view.byAddress[replica.Address] = node
	}
	for name, nodes := range view.byService {
		if model := services[name].Model; model != nil {
			view.engines[name] = newEngineSet(model, nodes)
		}
	}
	return view
}

// removeReplaced removes the replicas at whose address a process of a configured service
// started later. The registration of a process that has ended expires seconds after that;
// with both of them a pipeline could name the address twice.
func removeReplaced(replicas []dragonflyhatch.Replica, services map[string]dragonflyhatch.UpstreamService) []dragonflyhatch.Replica {
	latest := make(map[string]dragonflyhatch.Replica, len(replicas))
	for _, replica := range replicas {
		if _, ok := services[replica.Service]; !ok {
			continue
		}
		other, ok := latest[replica.Address]
		if !ok || cmp.Or(cmp.Compare(replica.Started, other.Started), cmp.Compare(replica.Revision, other.Revision)) > 0 {
			latest[replica.Address] = replica
		}
	}
	return slices.DeleteFunc(replicas, func(replica dragonflyhatch.Replica) bool {
		last, ok := latest[replica.Address]
		return ok && last.ID != replica.ID
	})
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
		if node.Held.First == 0 {
			set.heads = append(set.heads, node)
		}
		if !slices.Contains(set.versions, node.Held.Version) {
			set.versions = append(set.versions, node.Held.Version)
		}
	}
	slices.Sort(set.sites)
	slices.SortFunc(set.versions, func(a, b int) int { return cmp.Compare(b, a) })
	return set
}

// Replicas returns all replicas in order of their ids, including those that are
// leaving, but without those whose address another one has taken.
func (view *View) Replicas() []dragonflyhatch.Replica {
	return view.replicas
}

// Version returns the revision of the newest registration in the view.
func (view *View) Version() uint64 {
	return view.version
}

// UnreachableAddresses returns the addresses of replicas that could not be reached, at
// most limit of them.
func (view *View) UnreachableAddresses(now time.Time, limit int) []string {
	var addresses []string
	for _, name := range slices.Sorted(maps.Keys(view.byService)) {
		for _, node := range view.byService[name] {
			if node.DownFor(now) > 0 && len(addresses) < limit {
				addresses = append(addresses, node.Address)
			}
		}
	}
	return addresses
}

// LeavingProcesses returns the registered processes that stated in a response that
// they are leaving, at most limit of them.
func (view *View) LeavingProcesses(limit int) []dragonflyhatch.ReplicaProcess {
	var processes []dragonflyhatch.ReplicaProcess
	for _, name := range slices.Sorted(maps.Keys(view.byService)) {
		for _, node := range view.byService[name] {
			if node.IsLeaving() && len(processes) < limit {
				processes = append(processes, node.Process())
			}
		}
	}
	return processes
}

// QueueWaits returns the expected waits in the queues of engines that are known, the
// latest first, at most limit of them.
func (view *View) QueueWaits(now time.Time, limit int) []dragonflyhatch.QueueWait {
	var waits []dragonflyhatch.QueueWait
	for _, set := range view.engines {
		for _, node := range set.all {
			if node.Held.First > 0 {
				continue // only an engine that holds the first layer is a head
			}
			if wait, observed, ok := node.LatestQueueWait(now); ok {
				entry := dragonflyhatch.QueueWait{Address: node.Address, Wait: wait, Age: now.Sub(observed)}
				if load := node.headLoad.Load(); load != nil && load.at.Equal(observed) {
					entry.Running, entry.Waiting = load.running, load.waiting
				}
				waits = append(waits, entry)
			}
		}
	}
	slices.SortFunc(waits, func(a, b dragonflyhatch.QueueWait) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Address, b.Address))
	})
	return waits[:min(len(waits), limit)]
}

// limitNewsTime is how long it is reported that a replica no longer names a limit.
const limitNewsTime = 5 * time.Second

// Limits returns the limits that replicas name, or have ceased to name lately, the latest
// first, at most limit of them.
func (view *View) Limits(now time.Time, limit int) []dragonflyhatch.ReplicaLimit {
	var limits []dragonflyhatch.ReplicaLimit
	for _, node := range view.byAddress {
		named := node.limit.Load()
		if named == nil || named.perSecond == noLimit && now.Sub(named.at) > limitNewsTime {
			continue
		}
		limits = append(limits, dragonflyhatch.ReplicaLimit{Process: node.Process(), PerSecond: named.perSecond, Age: max(now.Sub(named.at), 0)})
	}
	slices.SortFunc(limits, func(a, b dragonflyhatch.ReplicaLimit) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Process.Address, b.Process.Address))
	})
	return limits[:min(len(limits), limit)]
}

// NodeAt returns the node with the address, or nil if there is none or it is leaving.
func (view *View) NodeAt(address string) *Node {
	return view.byAddress[address]
}

// MostRecentlySeen returns the node, other than the excluded ones, that most recently
// showed that it is alive, or nil if all of them are down.
func (view *View) MostRecentlySeen(now time.Time, exclude []*Node) *Node {
	var latest *Node
	for _, nodes := range view.byService {
		for _, node := range nodes {
			if node.IsDown(now) || slices.ContainsFunc(exclude, func(other *Node) bool { return other.Health == node.Health }) {
				continue
			}
			if latest == nil || node.SinceLastSeen(now) < latest.SinceLastSeen(now) {
				latest = node
			}
		}
	}
	return latest
}
