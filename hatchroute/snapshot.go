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

// Replica is an engine that is a candidate for a stage.
type Replica struct {
	Name    string
	Address string
	Slots   int
	Local   bool // in the daemon's own site
	Health  *Health
}

// Snapshot holds the candidates of one configuration. It is immutable except for
// atomic counters.
type Snapshot struct {
	models   map[string][]chain // by model; chains of all versions
	services map[string][]Target
}

// Target is a replica of a plain service.
type Target struct {
	Name    string
	Address string
	Local   bool
	Health  *Health
}

// chain is a list of groups whose ranges cover the layers of one version of a
// model exactly once.
type chain struct {
	version string
	groups  []*group
}

// group holds the replicas that hold the same layers of the same version.
type group struct {
	layers   dragonflyhatch.LayerRange
	replicas []*Replica
	ring     []ringPoint   // sorted by hash
	nextTurn atomic.Uint32 // round-robin counter of ChooseInTurn
}

// ringPoint is one of a replica's points on the consistent-hashing ring that assigns
// prompt prefixes to replicas.
type ringPoint struct {
	hash    uint64
	replica *Replica
}

const (
	pointsPerReplica = 16 // on the ring
	maxChains        = 32 // per version of a model; bounds the search for covers
)

// Drained reports whether the upstream at an address must not get new requests.
type Drained func(address string) bool

// NewSnapshot returns a Snapshot of the configuration without the drained
// upstreams.
func NewSnapshot(configuration *hatchconfig.Configuration, drained Drained, healths *HealthSet) *Snapshot {
	snapshot := &Snapshot{
		models:   make(map[string][]chain),
		services: make(map[string][]Target),
	}
	groups := groupEngines(configuration, drained, healths)
	for name, model := range configuration.Models {
		snapshot.models[name] = nil // lets Choose know the model even if no replicas cover it
		for _, version := range slices.Sorted(maps.Keys(groups[name])) {
			held := groups[name][version]
			for _, list := range findCovers(held, 0, model.Layers, nil, nil) {
				snapshot.models[name] = append(snapshot.models[name], chain{version, list})
			}
		}
	}
	for name, service := range configuration.Services {
		snapshot.services[name] = serviceTargets(service, configuration.Site, drained, healths)
	}
	return snapshot
}

// modelGroups holds the groups of each model, by model and version.
type modelGroups map[string]map[string][]*group

// groupEngines returns the engines that are not drained, grouped by the layers that
// they hold.
func groupEngines(configuration *hatchconfig.Configuration, drained Drained, healths *HealthSet) modelGroups {
	groups := make(modelGroups)
	for _, name := range slices.Sorted(maps.Keys(configuration.Engines)) {
		engine := configuration.Engines[name]
		if drained(engine.Address) {
			continue
		}
		replica := &Replica{
			Name: name, Address: engine.Address, Slots: engine.Slots,
			Local: engine.Site == configuration.Site, Health: healths.Get(engine.Address),
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

// add adds the replica to the group of its engine's layers.
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

// buildRing places each replica at several points of the consistent-hashing ring.
func (group *group) buildRing() {
	for _, replica := range group.replicas {
		for i := range pointsPerReplica {
			hash := xxhash.Sum64String(replica.Address + "#" + strconv.Itoa(i))
			group.ring = append(group.ring, ringPoint{hash, replica})
		}
	}
	slices.SortFunc(group.ring, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
}

// findCovers appends to found the lists of groups that begin with prefix and cover the
// layers from first to end, until it holds maxChains lists.
func findCovers(groups []*group, first, end int, prefix []*group, found [][]*group) [][]*group {
	if first == end {
		return append(found, slices.Clone(prefix))
	}
	for _, group := range groups {
		if group.layers.First == first && len(found) < maxChains {
			found = findCovers(groups, group.layers.End, end, append(prefix, group), found)
		}
	}
	return found
}

// serviceTargets returns the replicas of the service that are not drained, in order
// of their names.
func serviceTargets(service hatchconfig.Service, site string, drained Drained, healths *HealthSet) []Target {
	var list []Target
	for _, name := range slices.Sorted(maps.Keys(service.Replicas)) {
		replica := service.Replicas[name]
		if drained(replica.Address) {
			continue
		}
		list = append(list, Target{Name: name, Address: replica.Address, Local: replica.Site == site, Health: healths.Get(replica.Address)})
	}
	return list
}
