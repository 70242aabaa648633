package hatchorder

import (
	"cmp"
	"math"
	"slices"

	"dragonflyhatch"
)

// maxWeightShare is the share of an engine's memory that its layers may take when
// it stands in for a lost one; the rest is KV memory.
const maxWeightShare = 0.85

// minimumSlack is how much larger than the model a site's memory must be for a
// pipeline of its own: KV memory needs the rest.
const minimumSlack = 1.25

// PlacedEngine is an engine as the planner sees it: alive and not leaving.
type PlacedEngine struct {
	Replica dragonflyhatch.Replica
	Layers  dragonflyhatch.LayerRange // held, or ordered; empty if none
	Busy    bool                      // an order is under way
}

func (engine *PlacedEngine) count() int {
	return engine.Layers.End - engine.Layers.First
}

// Placement is a range that an engine is to hold.
type Placement struct {
	Replica dragonflyhatch.Replica
	Layers  dragonflyhatch.LayerRange
}

// PlanLayers decides which engines are to hold other layers than they do. It
// gives each site a pipeline of its own if its memory allows, keeps what stands,
// and has lost layers taken over by idle engines or by the neighbours. The same
// engines always give the same plan, and a plan that was carried out gives none.
func PlanLayers(model *dragonflyhatch.EngineModel, engines []PlacedEngine) []Placement {
	var plan []Placement
	for _, group := range groupBySite(model, engines) {
		plan = append(plan, group.plan()...)
	}
	return plan
}

// placementGroup is engines that hold one pipeline together.
type placementGroup struct {
	model   *dragonflyhatch.EngineModel
	engines []*PlacedEngine
	plans   []Placement
}

// groupBySite makes a group of each site with memory for a pipeline. The engines
// of the other sites form one group together, which may be unable to hold one.
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
	rest := &placementGroup{model: model}
	for _, site := range sites {
		group := bySite[site]
		if group.memory() >= minimumSlack*float64(model.Layers)*model.LayerMB {
			groups = append(groups, group)
			continue
		}
		rest.engines = append(rest.engines, group.engines...)
	}
	if len(rest.engines) > 0 {
		groups = append(groups, rest)
	}
	for _, group := range groups {
		slices.SortFunc(group.engines, func(a, b *PlacedEngine) int {
			return cmp.Or(
				cmp.Compare(a.Layers.First, b.Layers.First),
				cmp.Compare(b.memory(model), a.memory(model)),
				cmp.Compare(a.Replica.ID, b.Replica.ID),
			)
		})
	}
	return groups
}

func (engine *PlacedEngine) memory(model *dragonflyhatch.EngineModel) float64 {
	return model.Accelerators[engine.Replica.Accelerator].MemoryMB
}

// capacity returns how many layers the engine may hold at most.
func (engine *PlacedEngine) capacity(model *dragonflyhatch.EngineModel) int {
	return int(maxWeightShare * engine.memory(model) / model.LayerMB)
}

func (group *placementGroup) memory() float64 {
	total := 0.0
	for _, engine := range group.engines {
		total += engine.memory(group.model)
	}
	return total
}

func (group *placementGroup) plan() []Placement {
	if !slices.ContainsFunc(group.engines, func(engine *PlacedEngine) bool { return engine.count() > 0 }) {
		return group.layOut(group.engines)
	}
	for _, gap := range group.gaps() {
		if !group.fill(gap) {
			return group.layOut(group.engines)
		}
	}
	group.support()
	return group.plans
}

// layOut divides the layers among the engines by their memory, in their order,
// so that all have KV memory for about the same number of tokens.
func (group *placementGroup) layOut(engines []*PlacedEngine) []Placement {
	counts := group.shares(engines)
	if counts == nil {
		return nil
	}
	var plan []Placement
	first := 0
	for i, engine := range engines {
		layers := dragonflyhatch.LayerRange{First: first, End: first + counts[i]}
		first = layers.End
		if counts[i] > 0 && layers != engine.Layers && !engine.Busy {
			plan = append(plan, Placement{engine.Replica, layers})
		}
	}
	return plan
}

// shares returns how many layers each engine is to hold, by largest remainder,
// or nil if the engines cannot hold all.
func (group *placementGroup) shares(engines []*PlacedEngine) []int {
	total := 0.0
	for _, engine := range engines {
		total += engine.memory(group.model)
	}
	counts := make([]int, len(engines))
	remainders := make([]float64, len(engines))
	left := group.model.Layers
	for i, engine := range engines {
		exact := float64(group.model.Layers) * engine.memory(group.model) / total
		counts[i] = min(int(exact), engine.capacity(group.model))
		remainders[i] = exact - float64(counts[i])
		left -= counts[i]
	}
	for left > 0 {
		best := -1
		for i, engine := range engines {
			if counts[i] < engine.capacity(group.model) && (best < 0 || remainders[i] > remainders[best]) {
				best = i
			}
		}
		if best < 0 {
			return nil
		}
		counts[best]++
		remainders[best]--
		left--
	}
	return counts
}

// gaps returns the ranges that no engine of the group holds.
func (group *placementGroup) gaps() []dragonflyhatch.LayerRange {
	held := make([]bool, group.model.Layers)
	for _, engine := range group.engines {
		for layer := engine.Layers.First; layer < min(engine.Layers.End, len(held)); layer++ {
			held[layer] = true
		}
	}
	var gaps []dragonflyhatch.LayerRange
	for layer := 0; layer < len(held); layer++ {
		if held[layer] {
			continue
		}
		gap := dragonflyhatch.LayerRange{First: layer}
		for layer < len(held) && !held[layer] {
			layer++
		}
		gap.End = layer
		gaps = append(gaps, gap)
	}
	return gaps
}

// fill has the gap held: by idle engines, and for the rest by the engines that
// hold the layers before and after. It returns false if these have no room.
func (group *placementGroup) fill(gap dragonflyhatch.LayerRange) bool {
	for gap.First < gap.End {
		idle := group.idle()
		if idle == nil {
			break
		}
		count := min(idle.capacity(group.model), gap.End-gap.First)
		if count == 0 {
			break
		}
		group.place(idle, dragonflyhatch.LayerRange{First: gap.First, End: gap.First + count})
		gap.First += count
	}
	if gap.First == gap.End {
		return true
	}
	before, after := group.neighbours(gap)
	roomBefore, roomAfter := group.room(before), group.room(after)
	size := gap.End - gap.First
	if roomBefore+roomAfter < size {
		// Engines that are carrying out an order may have room when it is done.
		return before != nil && before.Busy || after != nil && after.Busy
	}
	fromBefore := int(math.Round(float64(size) * float64(roomBefore) / float64(roomBefore+roomAfter)))
	fromBefore = max(fromBefore, size-roomAfter)
	if fromBefore > 0 {
		group.place(before, dragonflyhatch.LayerRange{First: before.Layers.First, End: gap.First + fromBefore})
	}
	if fromBefore < size {
		group.place(after, dragonflyhatch.LayerRange{First: gap.First + fromBefore, End: after.Layers.End})
	}
	return true
}

// idle returns the largest engine that holds nothing and has no order, or nil.
func (group *placementGroup) idle() *PlacedEngine {
	var largest *PlacedEngine
	for _, engine := range group.engines {
		if engine.count() > 0 || engine.Busy || engine.capacity(group.model) == 0 {
			continue
		}
		if largest == nil || engine.memory(group.model) > largest.memory(group.model) {
			largest = engine
		}
	}
	return largest
}

// neighbours returns the engines with most room whose layers end where the gap
// begins, and begin where it ends.
func (group *placementGroup) neighbours(gap dragonflyhatch.LayerRange) (before, after *PlacedEngine) {
	for _, engine := range group.engines {
		if engine.count() == 0 {
			continue
		}
		if engine.Layers.End == gap.First && group.room(engine) >= group.room(before) {
			before = engine
		}
		if engine.Layers.First == gap.End && group.room(engine) >= group.room(after) {
			after = engine
		}
	}
	return before, after
}

// room returns how many more layers the engine may be ordered to hold now.
func (group *placementGroup) room(engine *PlacedEngine) int {
	if engine == nil || engine.Busy {
		return 0
	}
	return max(engine.capacity(group.model)-engine.count(), 0)
}

// support gives each idle engine layers of the engine that has least KV memory
// for each of its own, so that requests can pass by that one.
func (group *placementGroup) support() {
	for {
		idle := group.idle()
		weakest := group.weakest()
		if idle == nil || weakest == nil {
			return
		}
		count := min(idle.capacity(group.model)/2, weakest.count())
		if count == 0 {
			return
		}
		group.place(idle, dragonflyhatch.LayerRange{First: weakest.Layers.First, End: weakest.Layers.First + count})
	}
}

// weakest returns the engine with the least KV memory a layer, of those whose
// layers nobody else holds too.
func (group *placementGroup) weakest() *PlacedEngine {
	var weakest *PlacedEngine
	least := math.Inf(1)
	for _, engine := range group.engines {
		if engine.count() == 0 || group.isShared(engine) {
			continue
		}
		free := engine.memory(group.model) - float64(engine.count())*group.model.LayerMB
		if perLayer := free / float64(engine.count()); perLayer < least {
			weakest, least = engine, perLayer
		}
	}
	return weakest
}

// isShared says whether another engine holds the engine's first layer too.
func (group *placementGroup) isShared(engine *PlacedEngine) bool {
	return slices.ContainsFunc(group.engines, func(other *PlacedEngine) bool {
		return other != engine && other.Layers.First <= engine.Layers.First && engine.Layers.First < other.Layers.End
	})
}

// place adds an order to the plan and takes it for carried out.
func (group *placementGroup) place(engine *PlacedEngine, layers dragonflyhatch.LayerRange) {
	engine.Layers, engine.Busy = layers, true
	group.plans = append(group.plans, Placement{engine.Replica, layers})
}
