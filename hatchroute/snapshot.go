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
	nextTurn atomic.Uint32 // counter of the ChooseRoundRobin policy
}

// ringPoint is one of a replica's points on the consistent-hashing ring that assigns
// prompt prefixes to replicas.
type ringPoint struct {
	hash    uint64
	replica *Replica
}

const (
	pointsPerReplica = 16 // on the consistent-hashing ring
	maxChains        = 32 // per version of a model; bounds the search for covers
)

// Drained reports whether the upstream at an address is drained, that is, must not get
// new requests.
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
		snapshot.models[name] = nil // Choose distinguishes a model without replicas from an unknown one
		for _, version := range slices.Sorted(maps.Keys(groups[name])) {
			candidates := groups[name][version]
			for _, cover := range findCovers(candidates, 0, model.Layers, nil, nil) {
				snapshot.models[name] = append(snapshot.models[name], chain{version, cover})
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
	created := &group{layers: engine.Layers(), replicas: []*Replica{replica}}
	groups[engine.Model][engine.Version] = append(list, created)
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

// findCovers extends the groups of prefix, which cover the layers before first, by all
// sequences of groups that cover the layers from first to end. It appends the results
// to found, until that has maxChains entries.
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
	var targets []Target
	for _, name := range slices.Sorted(maps.Keys(service.Replicas)) {
		replica := service.Replicas[name]
		if drained(replica.Address) {
			continue
		}
		targets = append(targets, Target{Name: name, Address: replica.Address, Local: replica.Site == site, Health: healths.Get(replica.Address)})
	}
	return targets
}
