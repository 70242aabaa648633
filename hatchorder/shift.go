package hatchorder

import (
	"slices"

	"dragonflyhatch"
)

// move is a range that an engine of the chain is to hold instead of its own.
type move struct {
	engine *PlacedEngine
	layers dragonflyhatch.LayerRange
}

// shift is moves of engines around a gap, by which they hold some of its layers.
type shift struct {
	moves     []move
	fromBelow int // layers at the gap's beginning; the others are at its end
}

// shift has engines of the chain hold so many layers of the gap, at its beginning
// and at its end: the nearest take them, give up layers at their other ends if
// they have no room, and the next ones take those. It returns the shift that
// moves fewest engines and leaves most room on them, and false if there is none.
// The taken engines are to hold something else.
func (group *placementGroup) shift(gap dragonflyhatch.LayerRange, layers int, taken []*PlacedEngine) (shift, bool) {
	var best shift
	found := false
	for fromBelow := range layers + 1 {
		below, ok := group.grow(dragonflyhatch.LayerRange{First: gap.First, End: gap.First + fromBelow}, taken, false)
		if !ok {
			break // more of them have no room either
		}
		mirrored := group.mirror(dragonflyhatch.LayerRange{First: gap.End - (layers - fromBelow), End: gap.End}, true)
		above, ok := group.grow(mirrored, taken, true)
		if !ok {
			continue
		}
		next := shift{append(below, above...), fromBelow}
		if !found || len(next.moves) < len(best.moves) || len(next.moves) == len(best.moves) && group.fullest(next) < group.fullest(best) {
			best, found = next, true
		}
	}
	return best, found
}

// fullest returns the largest share of its room that an engine holds after the
// shift.
func (group *placementGroup) fullest(shift shift) float64 {
	fullest := 0.0
	for _, move := range shift.moves {
		count := float64(move.layers.End - move.layers.First)
		fullest = max(fullest, count/float64(group.room(move.engine, standInShare)))
	}
	return fullest
}

// grow has the engines with the layers below the open ones hold these too. The
// ranges are mirrored if the engines are those above. It returns false if the
// engines have no room as far as the chain goes.
//
// No layer that some engine held is left without one: what an engine gives up
// and no other holds is open for the next.
func (group *placementGroup) grow(open dragonflyhatch.LayerRange, taken []*PlacedEngine, mirrored bool) ([]move, bool) {
	var moves []move
	moved := slices.Clone(taken)
	for open.First < open.End {
		engine := group.endingAt(open.First, moved, mirrored)
		if engine == nil {
			return nil, false
		}
		held := group.mirror(engine.Layers, mirrored)
		layers := dragonflyhatch.LayerRange{First: max(held.First, open.End-group.room(engine, standInShare)), End: open.End}
		moves = append(moves, move{engine, group.mirror(layers, mirrored)})
		moved = append(moved, engine)
		open = group.unheld(dragonflyhatch.LayerRange{First: held.First, End: layers.First}, moved, mirrored)
	}
	return moves, true
}

// endingAt returns the engine with most room of those that may be moved and hold
// the layer before the boundary, but not the one after it; nil if there is none.
func (group *placementGroup) endingAt(boundary int, moved []*PlacedEngine, mirrored bool) *PlacedEngine {
	var best *PlacedEngine
	for _, engine := range group.engines {
		if held := group.mirror(engine.Layers, mirrored); engine.count() == 0 || held.First >= boundary || held.End != boundary {
			continue
		}
		if !engine.Busy && !slices.Contains(moved, engine) && (best == nil || group.left(engine) > group.left(best)) {
			best = engine
		}
	}
	return best
}

// left returns how many more layers the engine has memory for.
func (group *placementGroup) left(engine *PlacedEngine) int {
	return group.room(engine, standInShare) - engine.count()
}

// unheld drops the layers at both ends of the range that engines hold that were
// not moved.
func (group *placementGroup) unheld(layers dragonflyhatch.LayerRange, moved []*PlacedEngine, mirrored bool) dragonflyhatch.LayerRange {
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

// mirror returns the range counted from the last layer down, if it is to be
// mirrored.
func (group *placementGroup) mirror(layers dragonflyhatch.LayerRange, mirrored bool) dragonflyhatch.LayerRange {
	if !mirrored {
		return layers
	}
	return dragonflyhatch.LayerRange{First: group.model.Layers - layers.End, End: group.model.Layers - layers.First}
}
