package hatchroute

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"dragonflyhatch"
	"dragonflyhatch/hatchconfig"
)

// Replica is an engine as a candidate for a stage.
type Replica struct {
	Name    string
	Address string
	Slots   int
	Local   bool // in the daemon's own site
	Track   *Track
}

// Snapshot is all that a choice reads; it never changes.
type Snapshot struct {
	models   map[string][]chain // by model, all versions
	services map[string][]Target
}

// Target is a replica of a plain service.
type Target struct {
	Name    string
	Address string
	Local   bool
	Track   *Track
}

// chain is a list of groups whose ranges cover the layers of one version of a
// model exactly once.
type chain struct {
	version string
	groups  []*group
}

// group is the replicas that hold the same layers of the same version.
type group struct {
	layers   dragonflyhatch.LayerRange
	replicas []*Replica
	ring     []point
	turn     atomic.Uint32 // of ChooseInTurn
}

// point is a place on the ring that spreads prompt prefixes over replicas.
type point struct {
	hash    uint64
	replica *Replica
}

const (
	pointsPerReplica = 16
	maxChains        = 32 // of one version of a model
)

// Drained says whether an address must get no new work.
type Drained func(address string) bool

// NewSnapshot returns the snapshot of a configuration without the drained
// upstreams.
func NewSnapshot(configuration *hatchconfig.Configuration, drained Drained, tracks *Tracks) *Snapshot {
	snapshot := &Snapshot{
		models:   make(map[string][]chain),
		services: make(map[string][]Target),
	}
	groups := groupEngines(configuration, drained, tracks)
	for name, model := range configuration.Models {
		snapshot.models[name] = nil // the model is known, whether or not replicas cover it
		for _, version := range slices.Sorted(maps.Keys(groups[name])) {
			held := groups[name][version]
			for _, list := range covers(held, 0, model.Layers, nil, nil) {
				snapshot.models[name] = append(snapshot.models[name], chain{version, list})
			}
		}
	}
	for name, service := range configuration.Services {
		snapshot.services[name] = targets(service, configuration.Site, drained, tracks)
	}
	return snapshot
}

// modelGroups holds the groups of each version of each model.
type modelGroups map[string]map[string][]*group

func groupEngines(configuration *hatchconfig.Configuration, drained Drained, tracks *Tracks) modelGroups {
	groups := make(modelGroups)
	for _, name := range slices.Sorted(maps.Keys(configuration.Engines)) {
		engine := configuration.Engines[name]
		if drained(engine.Address) {
			continue
		}
		replica := &Replica{
			Name: name, Address: engine.Address, Slots: engine.Slots,
			Local: engine.Site == configuration.Site, Track: tracks.Of(engine.Address),
		}
		groups.add(engine, replica)
	}
	for _, versions := range groups {
		for _, list := range versions {
			for _, group := range list {
				group.buildRing()
			}
		}
	}
	return groups
}

func (groups modelGroups) add(engine hatchconfig.Engine, replica *Replica) {
	if groups[engine.Model] == nil {
		groups[engine.Model] = make(map[string][]*group)
	}
	list := groups[engine.Model][engine.Version]
	for _, known := range list {
		if known.layers == engine.Layers() {
			known.replicas = append(known.replicas, replica)
			return
		}
	}
	added := &group{layers: engine.Layers(), replicas: []*Replica{replica}}
	groups[engine.Model][engine.Version] = append(list, added)
}

func (group *group) buildRing() {
	for _, replica := range group.replicas {
		for i := range pointsPerReplica {
			hash := xxhash.Sum64String(replica.Address + "#" + strconv.Itoa(i))
			group.ring = append(group.ring, point{hash, replica})
		}
	}
	slices.SortFunc(group.ring, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
}

// covers lists the chains of groups that cover the layers from first to end.
func covers(groups []*group, first, end int, prefix []*group, found [][]*group) [][]*group {
	if first == end {
		return append(found, slices.Clone(prefix))
	}
	for _, group := range groups {
		if group.layers.First == first && len(found) < maxChains {
			found = covers(groups, group.layers.End, end, append(prefix, group), found)
		}
	}
	return found
}

func targets(service hatchconfig.Service, site string, drained Drained, tracks *Tracks) []Target {
	var list []Target
	for _, name := range slices.Sorted(maps.Keys(service.Replicas)) {
		replica := service.Replicas[name]
		if drained(replica.Address) {
			continue
		}
		list = append(list, Target{Name: name, Address: replica.Address, Local: replica.Site == site, Track: tracks.Of(replica.Address)})
	}
	return list
}
