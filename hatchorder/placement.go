package hatchorder

import (
	"cmp"
	"slices"

	"dragonflyhatch"
)

const (
	// weightShare is the share of an engine's memory that layers take when they
	// are laid out. The rest is KV memory, for about 110,000 tokens of a model of
	// 1,750 MB and 7.4 kB a token in a layer: a site must carry half of another's
	// requests besides its own.
	weightShare = 0.69
	// standInShare is the same for an engine that stands in for a lost one.
	standInShare = 0.9
)

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
// gives each site a pipeline of its own if its memory allows: a chain of the
// fastest engines. The others hold layers of the chain a second time. What
// stands is kept. Layers that are lost are loaded by engines whose own layers
// others hold too, or by the nearest engines of the chain. The same engines always
// give the same plan, and a plan that was carried out gives none.
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

// groupBySite makes a group of each site whose engines can hold the model. The
// engines of the other sites form one group together, which may be unable to.
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
		if group := bySite[site]; group.capacity(standInShare) >= model.Layers {
			groups = append(groups, group)
		} else {
			rest.engines = append(rest.engines, group.engines...)
		}
	}
	if len(rest.engines) > 0 {
		groups = append(groups, rest)
	}
	for _, group := range groups {
		slices.SortFunc(group.engines, group.compare)
	}
	return groups
}

// compare orders engines by what they take for a token and for a prompt, the
// fastest first.
func (group *placementGroup) compare(a, b *PlacedEngine) int {
	slowness := func(engine *PlacedEngine) float64 {
		accelerator := group.model.Accelerators[engine.Replica.Accelerator]
		return accelerator.Pace + accelerator.ReadFactor
	}
	return cmp.Or(
		cmp.Compare(slowness(a), slowness(b)),
		cmp.Compare(group.memory(b), group.memory(a)),
		cmp.Compare(a.Replica.ID, b.Replica.ID),
	)
}

func (group *placementGroup) memory(engine *PlacedEngine) float64 {
	return group.model.Accelerators[engine.Replica.Accelerator].MemoryMB
}

// room returns how many layers the engine holds in the share of its memory.
func (group *placementGroup) room(engine *PlacedEngine, share float64) int {
	return int(share * group.memory(engine) / group.model.LayerMB)
}

// capacity returns how many layers all engines hold in the share of their
// memory.
func (group *placementGroup) capacity(share float64) int {
	return group.roomOf(group.engines, share)
}

func (group *placementGroup) plan() []Placement {
	if !slices.ContainsFunc(group.engines, func(engine *PlacedEngine) bool { return engine.count() > 0 }) {
		if !group.layOut() {
			return nil // there is nothing to add to
		}
	}
	for _, gap := range group.gaps() {
		if !group.fill(gap) && !slices.ContainsFunc(group.engines, func(engine *PlacedEngine) bool { return engine.Busy }) {
			group.layOut()
			break
		}
	}
	group.relieve()
	group.double()
	return group.plans
}

// layOut gives the layers to the fastest engines, as many as fit on each. It
// returns false if they do not fit on all.
func (group *placementGroup) layOut() bool {
	share := weightShare
	if group.capacity(share) < group.model.Layers {
		share = standInShare
	}
	if group.capacity(share) < group.model.Layers {
		return false
	}
	first := 0
	for _, engine := range group.engines {
		count := min(group.room(engine, share), group.model.Layers-first)
		if count == 0 {
			continue
		}
		layers := dragonflyhatch.LayerRange{First: first, End: first + count}
		first = layers.End
		if layers != engine.Layers {
			group.place(engine, layers)
		}
	}
	return true
}

// holders returns for each layer how many engines hold it.
func (group *placementGroup) holders() []int {
	holders := make([]int, group.model.Layers)
	for _, engine := range group.engines {
		for layer := engine.Layers.First; layer < min(engine.Layers.End, len(holders)); layer++ {
			holders[layer]++
		}
	}
	return holders
}

// gaps returns the ranges that no engine of the group holds.
func (group *placementGroup) gaps() []dragonflyhatch.LayerRange {
	return runs(group.holders(), 0)
}

// runs returns the ranges of layers that so many engines hold.
func runs(holders []int, count int) []dragonflyhatch.LayerRange {
	var found []dragonflyhatch.LayerRange
	for layer := 0; layer < len(holders); layer++ {
		if holders[layer] != count {
			continue
		}
		run := dragonflyhatch.LayerRange{First: layer}
		for layer < len(holders) && holders[layer] == count {
			layer++
		}
		run.End = layer
		found = append(found, run)
	}
	return found
}

// fill has the gap held by engines that nobody would miss where they are, and
// what these have no room for by the engines of the chain around it. It returns
// false, and places nothing, if there is no room.
func (group *placementGroup) fill(gap dragonflyhatch.LayerRange) bool {
	size := gap.End - gap.First
	spares, share := group.sparesFor(size), weightShare
	if group.roomOf(spares, share) < size {
		share = standInShare
	}
	rest := max(size-group.roomOf(spares, share), 0)
	shift, ok := group.shift(gap, rest, spares)
	if !ok {
		return false
	}
	for _, move := range shift.moves {
		group.place(move.engine, move.layers)
	}
	gap.First += shift.fromBelow
	gap.End -= rest - shift.fromBelow
	// Each spare takes its part of what is left, so that all are done at about the
	// same time.
	for i, spare := range spares {
		left := gap.End - gap.First
		part := (left + len(spares) - i - 1) / (len(spares) - i)
		count := min(group.room(spare, share), part)
		group.place(spare, dragonflyhatch.LayerRange{First: gap.First, End: gap.First + count})
		gap.First += count
	}
	return true
}

// roomOf returns how many layers the engines hold in the share of their memory.
func (group *placementGroup) roomOf(engines []*PlacedEngine, share float64) int {
	total := 0
	for _, engine := range engines {
		total += group.room(engine, share)
	}
	return total
}

// sparesFor returns as many spares as are needed to hold so many layers, or all
// there are; the smallest come first, so that larger ones can take what these
// leave.
func (group *placementGroup) sparesFor(layers int) []*PlacedEngine {
	var spares []*PlacedEngine
	for layers > 0 {
		spare := group.spare(layers, spares)
		if spare == nil {
			break
		}
		spares = append(spares, spare)
		layers -= group.room(spare, weightShare)
	}
	slices.SortStableFunc(spares, func(a, b *PlacedEngine) int {
		return cmp.Compare(group.room(a, weightShare), group.room(b, weightShare))
	})
	return spares
}

// spare returns an engine without an order that holds nothing, or only what
// faster engines hold too; nil if there is none. Requests pass by such engines,
// so that they need not wait to give up their layers. It prefers one that holds
// nothing, then the smallest that takes the wanted layers, then the largest. The
// taken ones are passed over.
func (group *placementGroup) spare(wanted int, taken []*PlacedEngine) *PlacedEngine {
	held := make([]bool, group.model.Layers) // by engines that are faster
	var best *PlacedEngine
	better := func(a, b *PlacedEngine) bool {
		roomA, roomB := min(group.room(a, weightShare), wanted), min(group.room(b, weightShare), wanted)
		return cmp.Or(
			cmp.Compare(min(a.count(), 1), min(b.count(), 1)),
			cmp.Compare(roomB, roomA),
			cmp.Compare(group.memory(a), group.memory(b)),
		) < 0
	}
	for _, engine := range group.engines {
		if needed := cover(held, engine.Layers); needed || engine.Busy || slices.Contains(taken, engine) || group.room(engine, weightShare) == 0 {
			continue
		}
		if best == nil || better(engine, best) {
			best = engine
		}
	}
	return best
}

// cover marks the layers as held and says whether one of them was not.
func cover(held []bool, layers dragonflyhatch.LayerRange) bool {
	needed := false
	for layer := layers.First; layer < min(layers.End, len(held)); layer++ {
		needed = needed || !held[layer]
		held[layer] = true
	}
	return needed
}

// relieve gives KV memory back to engines that stand in for others: layers at
// the ends of their ranges that others hold too are given up, and for those that
// no one else holds a spare is sought.
func (group *placementGroup) relieve() {
	for _, engine := range group.engines {
		excess := engine.count() - group.room(engine, weightShare)
		if engine.Busy || excess <= 0 {
			continue
		}
		holders := group.holders()
		trimmed := engine.Layers
		for ; excess > 0 && holders[trimmed.End-1] > 1; excess-- {
			trimmed.End--
		}
		for ; excess > 0 && holders[trimmed.First] > 1; excess-- {
			trimmed.First++
		}
		if trimmed != engine.Layers {
			group.place(engine, trimmed)
			continue
		}
		if spare := group.spare(excess, nil); spare != nil {
			// What room it has beyond the excess relieves the next in the chain.
			first := max(trimmed.End-excess, trimmed.End-group.room(spare, weightShare))
			end := min(first+group.room(spare, weightShare), group.model.Layers)
			group.place(spare, dragonflyhatch.LayerRange{First: first, End: end})
		}
	}
}

// double has the engines that hold nothing hold the layers that fewest others
// hold, from the last layer down: the slowest engines of the chain have those.
func (group *placementGroup) double() {
	for _, engine := range group.engines {
		room := group.room(engine, weightShare)
		if engine.count() > 0 || engine.Busy || room == 0 {
			continue
		}
		holders := group.holders()
		fewest := runs(holders, slices.Min(holders))
		last := fewest[len(fewest)-1]
		group.place(engine, dragonflyhatch.LayerRange{First: max(last.First, last.End-room), End: last.End})
	}
}

// place adds an order to the plan and takes it for carried out.
func (group *placementGroup) place(engine *PlacedEngine, layers dragonflyhatch.LayerRange) {
	engine.Layers, engine.Busy = layers, true
	group.plans = append(group.plans, Placement{engine.Replica, layers})
}
