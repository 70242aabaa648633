package hatchorder

import (
	"slices"

	"dragonflyhatch"
)

// rangeMove replaces the layers of an engine in the chain.
type rangeMove struct {
	engine *PlacedEngine
	layers dragonflyhatch.LayerRange
}

// shift is a set of moves of engines on both sides of a gap, after which they hold
// some of its layers.
type shift struct {
	moves     []rangeMove
	fromBelow int // number of layers at the start of the gap that the engines below it get; those above it get layers at its end
}

// shift returns the moves by which the engines on both sides of the gap take over
// the given number of its layers, some from its start and the others from its end.
// The nearest engines extend their ranges into the gap. If they exceed their
// capacity, they drop layers at their other ends, which the next engines take
// over. Of all such shifts it returns one that moves the fewest engines, and of
// these the one with the lowest maximum utilization; false if there is none.
// Excluded engines are not moved.
func (group *placementGroup) shift(gap dragonflyhatch.LayerRange, layers int, excluded []*PlacedEngine) (shift, bool) {
	var best shift
	found := false
	for fromBelow := range layers + 1 {
		below, ok := group.extendNeighbours(dragonflyhatch.LayerRange{First: gap.First, End: gap.First + fromBelow}, excluded, false)
		if !ok {
			break // more layers do not fit either
		}
		mirrored := group.mirror(dragonflyhatch.LayerRange{First: gap.End - (layers - fromBelow), End: gap.End}, true)
		above, ok := group.extendNeighbours(mirrored, excluded, true)
		if !ok {
			continue
		}
		candidate := shift{append(below, above...), fromBelow}
		if !found || len(candidate.moves) < len(best.moves) || len(candidate.moves) == len(best.moves) && group.maxUtilization(candidate) < group.maxUtilization(best) {
			best, found = candidate, true
		}
	}
	return best, found
}

// maxUtilization returns the highest share of its layer capacity that any moved
// engine uses after the shift.
func (group *placementGroup) maxUtilization(shift shift) float64 {
	maxUtilization := 0.0
	for _, move := range shift.moves {
		count := float64(move.layers.End - move.layers.First)
		maxUtilization = max(maxUtilization, count/float64(group.engineCapacity(move.engine, maxLayerMemoryShare)))
	}
	return maxUtilization
}

// extendNeighbours returns the moves after which engines hold the open range, the
// layers that need a holder. It extends the engine whose range ends where the open
// range begins. Layers that this engine must drop, and that no other holds, become
// the open range for the next engine, so that every layer that had a holder keeps
// one. It returns false if the engines on that side of the gap lack the capacity.
//
// If mirrored is set, layers are counted from the last one down, so that the
// engines above the gap are extended.
func (group *placementGroup) extendNeighbours(open dragonflyhatch.LayerRange, excluded []*PlacedEngine, mirrored bool) ([]rangeMove, bool) {
	var moves []rangeMove
	moved := slices.Clone(excluded)
	for open.First < open.End {
		engine := group.engineEndingAt(open.First, moved, mirrored)
		if engine == nil {
			return nil, false
		}
		held := group.mirror(engine.Layers, mirrored)
		layers := dragonflyhatch.LayerRange{First: max(held.First, open.End-group.engineCapacity(engine, maxLayerMemoryShare)), End: open.End}
		moves = append(moves, rangeMove{engine, group.mirror(layers, mirrored)})
		moved = append(moved, engine)
		open = group.trimHeld(dragonflyhatch.LayerRange{First: held.First, End: layers.First}, moved, mirrored)
	}
	return moves, true
}

// engineEndingAt returns the engine whose range ends at the boundary and that is
// neither busy nor in moved; of several, the one with the most free capacity. It
// returns nil if there is none.
func (group *placementGroup) engineEndingAt(boundary int, moved []*PlacedEngine, mirrored bool) *PlacedEngine {
	var best *PlacedEngine
	for _, engine := range group.engines {
		if held := group.mirror(engine.Layers, mirrored); engine.layerCount() == 0 || held.First >= boundary || held.End != boundary {
			continue
		}
		if !engine.CommandPending && !slices.Contains(moved, engine) && (best == nil || group.freeCapacity(engine) > group.freeCapacity(best)) {
			best = engine
		}
	}
	return best
}

// freeCapacity returns how many more layers fit into the engine's memory.
func (group *placementGroup) freeCapacity(engine *PlacedEngine) int {
	return group.engineCapacity(engine, maxLayerMemoryShare) - engine.layerCount()
}

// trimHeld removes the layers at both ends of the range that are held by
// engines other than the moved ones.
func (group *placementGroup) trimHeld(layers dragonflyhatch.LayerRange, moved []*PlacedEngine, mirrored bool) dragonflyhatch.LayerRange {
	isHeld := func(layer int) bool {
		return slices.ContainsFunc(group.engines, func(engine *PlacedEngine) bool {
			held := group.mirror(engine.Layers, mirrored)
			return !slices.Contains(moved, engine) && held.First <= layer && layer < held.End
		})
	}
	for layers.First < layers.End && isHeld(layers.First) {
		layers.First++
	}
	for layers.First < layers.End && isHeld(layers.End-1) {
		layers.End--
	}
	return layers
}

// mirror returns the range counted from the last layer down if mirrored is set,
// and unchanged otherwise.
func (group *placementGroup) mirror(layers dragonflyhatch.LayerRange, mirrored bool) dragonflyhatch.LayerRange {
	if !mirrored {
		return layers
	}
	return dragonflyhatch.LayerRange{First: group.model.Layers - layers.End, End: group.model.Layers - layers.First}
}
