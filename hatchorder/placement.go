package hatchorder

import (
	"cmp"
	"slices"

	"dragonflyhatch"
)

const (
	// layerMemoryShare is the share of an engine's memory that a placement
	// fills with layers. The rest is KV memory: about 130,000 tokens for a
	// model with 1,750 MB and 7.4 kB per token in each layer. It is that large
	// because a site must be able to serve half of another site's requests in
	// addition to its own. Small engines hold less because they hold whole layers;
	// with a greater share the large ones are the first whose KV memory is full.
	layerMemoryShare = 0.65
	// maxLayerMemoryShare is the share for an engine that takes over layers of
	// a lost one.
	maxLayerMemoryShare = 0.9
	// maxEngineLayers bounds the layers of one engine, so that sums over engines do not
	// overflow.
	maxEngineLayers = 1 << 20
)

// PlacedEngine is the planner's view of an engine that is alive and not
// leaving.
type PlacedEngine struct {
	Replica        dragonflyhatch.Replica
	Layers         dragonflyhatch.LayerRange // held, or assigned by the latest layer command; empty if none
	CommandPending bool                      // a layer command is in flight
}

func (engine *PlacedEngine) layerCount() int {
	return engine.Layers.End - engine.Layers.First
}

// Placement assigns a range of layers to an engine.
type Placement struct {
	Replica dragonflyhatch.Replica
	Layers  dragonflyhatch.LayerRange
}

// PlanLayers returns new placements for the engines whose layers must change.
// Each site with enough memory gets its own pipeline, a chain of its fastest
// engines; its other engines are spares, which hold copies of layers of the
// chain. Existing placements are kept if possible. Layers that no engine holds
// any more are assigned to spares, or else to the engines of the chain that are
// nearest to the gap. The result does not depend on the order of the engines. It
// is empty if nothing must change, or if the model has no layers to place. Engines
// with layers that the model does not have are not planned for.
func PlanLayers(model *dragonflyhatch.EngineModel, engines []PlacedEngine) []Placement {
	if model.Layers <= 0 || !(model.LayerMB > 0) {
		return nil
	}
	engines = slices.DeleteFunc(slices.Clone(engines), func(engine PlacedEngine) bool { return !model.Contains(engine.Layers) })
	var plan []Placement
	for _, group := range groupBySite(model, engines) {
		plan = append(plan, group.plan()...)
	}
	return plan
}

// placementGroup is a set of engines that together hold one pipeline.
type placementGroup struct {
	model      *dragonflyhatch.EngineModel
	engines    []*PlacedEngine
	placements []Placement
}

// groupBySite returns a group for each site whose engines have enough memory for
// the complete model. The engines of all other sites form one more group, whose
// memory may be too small.
func groupBySite(model *dragonflyhatch.EngineModel, engines []PlacedEngine) []*placementGroup {
	bySite := make(map[string]*placementGroup)
	var sites []string
	for i := range engines {
		engine := &engines[i]
		if bySite[engine.Replica.Site] == nil {
			bySite[engine.Replica.Site] = &placementGroup{model: model}
			sites = append(sites, engine.Replica.Site)
		}
		group := bySite[engine.Replica.Site]
		group.engines = append(group.engines, engine)
	}
	slices.Sort(sites)
	var groups []*placementGroup
	remainder := &placementGroup{model: model}
	for _, site := range sites {
		if group := bySite[site]; group.totalCapacity(maxLayerMemoryShare) >= model.Layers {
			groups = append(groups, group)
		} else {
			remainder.engines = append(remainder.engines, group.engines...)
		}
	}
	if len(remainder.engines) > 0 {
		groups = append(groups, remainder)
	}
	for _, group := range groups {
		slices.SortFunc(group.engines, group.compareSpeed)
	}
	return groups
}

// compareSpeed orders engines by the sum of the factors on the times for a token
// and for a prompt, the fastest first; among equals, those with more memory come
// first.
func (group *placementGroup) compareSpeed(a, b *PlacedEngine) int {
	timeFactor := func(engine *PlacedEngine) float64 {
		accelerator := group.model.Accelerators[engine.Replica.Accelerator]
		return accelerator.StepFactor + accelerator.PrefillFactor
	}
	return cmp.Or(
		cmp.Compare(timeFactor(a), timeFactor(b)),
		cmp.Compare(group.memoryMB(b), group.memoryMB(a)),
		cmp.Compare(a.Replica.ID, b.Replica.ID),
	)
}

func (group *placementGroup) memoryMB(engine *PlacedEngine) float64 {
	return group.model.Accelerators[engine.Replica.Accelerator].MemoryMB
}

// engineCapacity returns how many layers fit into the share of the engine's
// memory.
func (group *placementGroup) engineCapacity(engine *PlacedEngine, share float64) int {
	return int(min(share*group.memoryMB(engine)/group.model.LayerMB, maxEngineLayers))
}

// totalCapacity returns how many layers fit into the share of the memory of all
// engines.
func (group *placementGroup) totalCapacity(share float64) int {
	return group.combinedCapacity(group.engines, share)
}

// plan returns the placements that fill the coverage gaps, restore the KV memory of
// engines that hold too many layers, and add copies. Gaps are filled by moving few
// engines if possible. All layers are placed from scratch only if no engine holds
// layers, or if a gap cannot be filled and no engine is busy.
func (group *placementGroup) plan() []Placement {
	if !slices.ContainsFunc(group.engines, func(engine *PlacedEngine) bool { return engine.layerCount() > 0 }) {
		if !group.placeFromScratch() {
			return nil // there is no placement to extend
		}
	}
	for _, gap := range group.coverageGaps() {
		if !group.fillGap(gap) && !slices.ContainsFunc(group.engines, func(engine *PlacedEngine) bool { return engine.CommandPending }) {
			group.placeFromScratch()
			break
		}
	}
	group.rebalance()
	group.addCopies()
	return group.placements
}

// placeFromScratch assigns all layers regardless of the existing placements, to
// the fastest engines first and as many as fit on each. It returns false if the
// engines cannot hold the model.
func (group *placementGroup) placeFromScratch() bool {
	share := layerMemoryShare
	if group.totalCapacity(share) < group.model.Layers {
		share = maxLayerMemoryShare
	}
	if group.totalCapacity(share) < group.model.Layers {
		return false
	}
	first := 0
	for _, engine := range group.engines {
		count := min(group.engineCapacity(engine, share), group.model.Layers-first)
		if count == 0 {
			continue
		}
		layers := dragonflyhatch.LayerRange{First: first, End: first + count}
		first = layers.End
		if layers != engine.Layers {
			group.addPlacement(engine, layers)
		}
	}
	return true
}

// holderCounts returns for each layer the number of engines that hold it.
func (group *placementGroup) holderCounts() []int {
	holderCounts := make([]int, group.model.Layers)
	for _, engine := range group.engines {
		for layer := engine.Layers.First; layer < min(engine.Layers.End, len(holderCounts)); layer++ {
			holderCounts[layer]++
		}
	}
	return holderCounts
}

// coverageGaps returns the ranges of layers that no engine of the group holds.
func (group *placementGroup) coverageGaps() []dragonflyhatch.LayerRange {
	return rangesWithHolders(group.holderCounts(), 0)
}

// rangesWithHolders returns the ranges of layers whose number of holders is
// count.
func rangesWithHolders(holderCounts []int, count int) []dragonflyhatch.LayerRange {
	var found []dragonflyhatch.LayerRange
	for layer := 0; layer < len(holderCounts); layer++ {
		if holderCounts[layer] != count {
			continue
		}
		run := dragonflyhatch.LayerRange{First: layer}
		for layer < len(holderCounts) && holderCounts[layer] == count {
			layer++
		}
		run.End = layer
		found = append(found, run)
	}
	return found
}

// fillGap assigns the layers of the gap to spares, and those that exceed the
// capacity of the spares to the neighbours of the gap in the chain. It returns
// false, and places nothing, if their capacity is not sufficient.
func (group *placementGroup) fillGap(gap dragonflyhatch.LayerRange) bool {
	size := gap.End - gap.First
	spares, share := group.sparesFor(size), layerMemoryShare
	if group.combinedCapacity(spares, share) < size {
		share = maxLayerMemoryShare
	}
	excess := max(size-group.combinedCapacity(spares, share), 0)
	shift, ok := group.shift(gap, excess, spares)
	if !ok {
		return false
	}
	for _, move := range shift.moves {
		group.addPlacement(move.engine, move.layers)
	}
	gap.First += shift.fromBelow
	gap.End -= excess - shift.fromBelow
	// The spares get equal parts as far as their capacities allow, so that they
	// finish loading at about the same time.
	for i, spare := range spares {
		remaining := gap.End - gap.First
		part := (remaining + len(spares) - i - 1) / (len(spares) - i)
		count := min(group.engineCapacity(spare, share), part)
		group.addPlacement(spare, dragonflyhatch.LayerRange{First: gap.First, End: gap.First + count})
		gap.First += count
	}
	return true
}

// combinedCapacity returns how many layers fit into the share of the engines'
// memory.
func (group *placementGroup) combinedCapacity(engines []*PlacedEngine, share float64) int {
	total := 0
	for _, engine := range engines {
		total += group.engineCapacity(engine, share)
	}
	return total
}

// sparesFor returns as many spares as are needed to hold the number of layers,
// or all spares if they are not enough. The smallest come first, so that larger
// ones can take the layers that these cannot hold.
func (group *placementGroup) sparesFor(layers int) []*PlacedEngine {
	var spares []*PlacedEngine
	for layers > 0 {
		spare := group.spare(layers, spares)
		if spare == nil {
			break
		}
		spares = append(spares, spare)
		layers -= group.engineCapacity(spare, layerMemoryShare)
	}
	slices.SortStableFunc(spares, func(a, b *PlacedEngine) int {
		return cmp.Compare(group.engineCapacity(a, layerMemoryShare), group.engineCapacity(b, layerMemoryShare))
	})
	return spares
}

// spare returns an idle engine that holds nothing, or only layers that faster
// engines hold too; nil if there is none. Requests are not routed to such
// engines, so they can drop their layers immediately. An engine that holds
// nothing is preferred, then the smallest one with capacity for the wanted number
// of layers, then the one with the largest capacity. Excluded engines are not
// considered.
func (group *placementGroup) spare(wanted int, excluded []*PlacedEngine) *PlacedEngine {
	held := make([]bool, group.model.Layers) // by faster engines
	var best *PlacedEngine
	better := func(a, b *PlacedEngine) bool {
		usableA, usableB := min(group.engineCapacity(a, layerMemoryShare), wanted), min(group.engineCapacity(b, layerMemoryShare), wanted)
		return cmp.Or(
			cmp.Compare(min(a.layerCount(), 1), min(b.layerCount(), 1)),
			cmp.Compare(usableB, usableA),
			cmp.Compare(group.memoryMB(a), group.memoryMB(b)),
		) < 0
	}
	for _, engine := range group.engines {
		if needed := markHeld(held, engine.Layers); needed || engine.CommandPending || slices.Contains(excluded, engine) || group.engineCapacity(engine, layerMemoryShare) == 0 {
			continue
		}
		if best == nil || better(engine, best) {
			best = engine
		}
	}
	return best
}

// markHeld marks the layers as held and reports whether any of them was not
// held before.
func markHeld(held []bool, layers dragonflyhatch.LayerRange) bool {
	needed := false
	for layer := layers.First; layer < min(layers.End, len(held)); layer++ {
		needed = needed || !held[layer]
		held[layer] = true
	}
	return needed
}

// rebalance restores the KV memory of engines that hold more layers than fit into
// layerMemoryShare of their memory. It drops layers at the ends of their ranges
// that others hold too. If there are none, it assigns copies of the excess layers
// to a spare, so that a later plan can drop them.
func (group *placementGroup) rebalance() {
	for _, engine := range group.engines {
		excess := engine.layerCount() - group.engineCapacity(engine, layerMemoryShare)
		if engine.CommandPending || excess <= 0 {
			continue
		}
		holderCounts := group.holderCounts()
		trimmed := engine.Layers
		for ; excess > 0 && holderCounts[trimmed.End-1] > 1; excess-- {
			trimmed.End--
		}
		for ; excess > 0 && holderCounts[trimmed.First] > 1; excess-- {
			trimmed.First++
		}
		if trimmed != engine.Layers {
			group.addPlacement(engine, trimmed)
			continue
		}
		if spare := group.spare(excess, nil); spare != nil {
			// A spare with capacity for more than the excess also gets copies of the
			// next layers in the chain.
			first := max(trimmed.End-excess, trimmed.End-group.engineCapacity(spare, layerMemoryShare))
			end := min(first+group.engineCapacity(spare, layerMemoryShare), group.model.Layers)
			group.addPlacement(spare, dragonflyhatch.LayerRange{First: first, End: end})
		}
	}
}

// addCopies assigns to each engine that holds nothing the layers with the
// fewest holders, the last layers first, because the slowest engines of the
// chain hold those.
func (group *placementGroup) addCopies() {
	for _, engine := range group.engines {
		engineCapacity := group.engineCapacity(engine, layerMemoryShare)
		if engine.layerCount() > 0 || engine.CommandPending || engineCapacity == 0 {
			continue
		}
		holderCounts := group.holderCounts()
		fewest := rangesWithHolders(holderCounts, slices.Min(holderCounts))
		last := fewest[len(fewest)-1]
		group.addPlacement(engine, dragonflyhatch.LayerRange{First: max(last.First, last.End-engineCapacity), End: last.End})
	}
}

// addPlacement adds a placement to the plan and records the layers at the engine,
// so that the next steps of the plan take them into account.
func (group *placementGroup) addPlacement(engine *PlacedEngine, layers dragonflyhatch.LayerRange) {
	engine.Layers, engine.CommandPending = layers, true
	group.placements = append(group.placements, Placement{engine.Replica, layers})
}
