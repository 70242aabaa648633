package hatchpath

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dragonflyhatch"
)

// Query is what a choice needs to know of a request.
type Query struct {
	Service string
	Site    string   // of this daemon
	Tokens  int      // of prompt and answer
	Exclude []string // addresses that have failed this request
	Heads   []string // addresses that may run the first stage; all if empty
	Daemons int      // that send work to the same engines, 1 at least
	Random  *rand.Rand
	AnySite bool // no site is preferred: many requests look for a new pipeline at once
}

// mayHead says whether the node may run the first stage.
func (query *Query) mayHead(node *Node) bool {
	return len(query.Heads) == 0 || slices.Contains(query.Heads, node.Address)
}

// Pipeline is a choice: stages that cover the layers once and in order.
type Pipeline struct {
	Stages []dragonflyhatch.Stage
	Nodes  []*Node // of the stages
	Tokens int
}

// Begin notes at each engine that the request has been sent.
func (pipeline *Pipeline) Begin() {
	for _, node := range pipeline.Nodes {
		node.Begin(pipeline.Tokens)
	}
}

// End notes at each engine that the request is over.
func (pipeline *Pipeline) End() {
	for _, node := range pipeline.Nodes {
		node.End(pipeline.Tokens)
	}
}

const (
	// crossingCost is that of a token's way to another site, in units of the
	// time that the fastest engine takes for all layers.
	crossingCost = 2
	// stageCost is that of each further stage, in the same unit.
	stageCost = 0.1
	// fillWeight weighs the share of an engine's KV memory that is in use, so that
	// engines that hold the same layers share the requests.
	fillWeight = 1
	// readWeight weighs the time for the prompt against that for the answer.
	readWeight = 0.3
	// remoteFill is by how much more of a pipeline's KV memory must be in use in
	// this daemon's site for a request to go to another one.
	remoteFill = 0.15
	// headLoadAge is how long the head's word on its load counts: about the time
	// in which this daemon sends it some requests.
	headLoadAge = time.Second
	// mixedFill is the same for a pipeline over several sites, whose links must
	// carry each token's activations.
	mixedFill = 1.5
	// slowWeight weighs by how much longer than usual a pipeline takes because of
	// engines that have turned slow, against KV memory in use.
	slowWeight = 0.5
	// waitWeight weighs the seconds that streams of a pipeline's head have lately
	// taken to their first event, against KV memory in use.
	waitWeight = 1
	// copiesSpread is by how much of its cost an engine may look dearer to a request,
	// at random, for each copy of the layers that a site has beyond plainCopies, and
	// maxSpread bounds it. A daemon knows the load of an engine by its own requests, so
	// hundreds of daemons would all begin with the same of many equal engines.
	copiesSpread = 0.1
	plainCopies  = 2.0
	maxSpread    = 1.0
	// siteSpread is the range of a random share that is added to the KV memory in
	// use, so that the daemons that lose a pipeline at once do not all choose the
	// same other one.
	siteSpread = 0.3
)

// Pipeline returns a pipeline for the request, or a Failure of
// KindUpstreamUnavailable. Engines that have just refused for want of room are
// used only if there is no way round them.
func (view *View) Pipeline(now time.Time, query Query) (*Pipeline, error) {
	set := view.engines[query.Service]
	if set == nil {
		return nil, dragonflyhatch.Fail(dragonflyhatch.KindUpstreamUnavailable, "no engine of %s holds layers", query.Service)
	}
	for _, avoidFull := range []bool{true, false} {
		usable := func(node *Node) bool {
			return !node.Down(now) && !(avoidFull && node.IsFull(now)) && !slices.Contains(query.Exclude, node.Address)
		}
		if pipeline := set.choose(now, query, usable); pipeline != nil {
			return pipeline, nil
		}
	}
	return nil, dragonflyhatch.Fail(dragonflyhatch.KindUpstreamUnavailable, "no usable engines of %s cover all layers", query.Service)
}

func (set *engineSet) choose(now time.Time, query Query, usable func(*Node) bool) *Pipeline {
	for _, version := range set.versions {
		var best *cover
		bestFill := math.Inf(1)
		local := false // the daemon's own site has a pipeline
		for _, site := range set.sites {
			found := set.cover(now, set.bySite[site], version, query, usable)
			if found == nil {
				continue
			}
			local = local || site == query.Site
			fill := set.load(now, found, query.Daemons) + slowWeight*found.slowness(now)
			if site != query.Site && !query.AnySite {
				fill += remoteFill
			}
			if query.AnySite {
				fill += siteSpread * query.Random.Float64()
			}
			if fill < bestFill {
				best, bestFill = found, fill
			}
		}
		if !local {
			if found := set.cover(now, set.all, version, query, usable); found != nil && set.load(now, found, query.Daemons)+mixedFill < bestFill {
				best = found
			}
		}
		if best != nil {
			return best.pipeline(query.Tokens)
		}
	}
	return nil
}

// cover is a cheapest way from layer 0 to the last.
type cover struct {
	cost   float64
	stages []coverStage
}

type coverStage struct {
	node   *Node
	layers dragonflyhatch.LayerRange
	cost   float64
}

func (cover *cover) pipeline(tokens int) *Pipeline {
	pipeline := &Pipeline{Tokens: tokens}
	for _, stage := range cover.stages {
		pipeline.Nodes = append(pipeline.Nodes, stage.node)
		pipeline.Stages = append(pipeline.Stages, dragonflyhatch.Stage{
			Upstream: stage.node.ID, Address: stage.node.Address, Layers: stage.layers,
		})
	}
	return pipeline
}

// slowness returns by how much longer than usual the pipeline takes because of
// engines that have turned slow, as a share of the usual time, 0 if none has.
func (cover *cover) slowness(now time.Time) float64 {
	usual, extra := 0.0, 0.0
	for _, stage := range cover.stages {
		pace := stage.node.Pace(now)
		usual += stage.cost / pace
		extra += stage.cost * (1 - 1/pace)
	}
	return extra / usual
}

// step is the cheapest way known to a layer boundary.
type step struct {
	cost float64
	from int // boundary that the last stage begins at
	node *Node
}

// cover finds the cheapest cover of the layers by the nodes, by dynamic
// programming over layer boundaries. It returns nil if there is none.
func (set *engineSet) cover(now time.Time, nodes []*Node, version int, query Query, usable func(*Node) bool) *cover {
	layers := set.model.Layers
	var spans []span
	boundary := make([]bool, layers+1)
	boundary[0], boundary[layers] = true, true
	spread := set.spread(nodes)
	for _, node := range nodes {
		if node.Held.Version != version || node.Held.First >= layers || !usable(node) {
			continue
		}
		one := span{node: node, LayerRange: node.Held.LayerRange}
		one.End = min(one.End, layers)
		one.perLayer = set.layerCost(node) * node.Pace(now) * (1 + fillWeight*set.nodeFill(node, query.Daemons))
		if spread > 0 {
			one.perLayer *= 1 + spread*query.Random.Float64()
		}
		spans = append(spans, one)
		boundary[one.First], boundary[one.End] = true, true
	}
	steps := make([]step, layers+1)
	for i := range steps {
		steps[i].cost = math.Inf(1)
	}
	steps[0].cost = 0
	for at := 0; at < layers; at++ {
		if !boundary[at] || math.IsInf(steps[at].cost, 1) {
			continue
		}
		for i := range spans {
			if at == 0 && !query.mayHead(spans[i].node) {
				continue
			}
			set.extend(steps, boundary, at, &spans[i])
		}
	}
	return traceCover(steps, layers)
}

// spread returns by how much of its cost an engine among the nodes may look dearer
// at random.
func (set *engineSet) spread(nodes []*Node) float64 {
	held := 0
	for _, node := range nodes {
		held += node.Held.End - node.Held.First
	}
	copies := float64(held) / float64(set.model.Layers)
	return min(max(copiesSpread*(copies-plainCopies), 0), maxSpread)
}

// span is a range that a node could run, and what a layer of it costs.
type span struct {
	node *Node
	dragonflyhatch.LayerRange
	perLayer float64
}

// extend tries the span as the stage that begins at the boundary.
func (set *engineSet) extend(steps []step, boundary []bool, at int, span *span) {
	if at < span.First || at >= span.End || onWay(steps, at, span.node) {
		return
	}
	base := steps[at].cost + stageCost
	if before := steps[at].node; before != nil && before.Site != span.node.Site {
		base += crossingCost
	}
	for end := at + 1; end <= span.End; end++ {
		if !boundary[end] {
			continue
		}
		if cost := base + float64(end-at)*span.perLayer; cost < steps[end].cost {
			steps[end] = step{cost: cost, from: at, node: span.node}
		}
	}
}

// onWay says whether the cheapest way to the boundary uses the node.
func onWay(steps []step, at int, node *Node) bool {
	for at > 0 {
		if steps[at].node == node {
			return true
		}
		at = steps[at].from
	}
	return false
}

func traceCover(steps []step, layers int) *cover {
	if math.IsInf(steps[layers].cost, 1) {
		return nil
	}
	found := &cover{cost: steps[layers].cost}
	for at := layers; at > 0; at = steps[at].from {
		found.stages = append(found.stages, coverStage{
			node:   steps[at].node,
			layers: dragonflyhatch.LayerRange{First: steps[at].from, End: at},
			cost:   steps[at].cost - steps[steps[at].from].cost,
		})
	}
	slices.Reverse(found.stages)
	return found
}

// layerCost is the cost of a layer at the node.
func (set *engineSet) layerCost(node *Node) float64 {
	accelerator, ok := set.model.Accelerators[node.Accelerator]
	if !ok || accelerator.Pace <= 0 {
		return 1 / float64(set.model.Layers)
	}
	return (accelerator.Pace + readWeight*accelerator.ReadFactor) / float64(set.model.Layers)
}

// room returns for how many tokens the engine has KV memory over all its layers.
func (set *engineSet) room(node *Node) float64 {
	return KVRoom(set.model, set.model.Accelerators[node.Accelerator], node.Held.LayerRange)
}

// nodeFill returns the share in use of the engine's KV memory, as this daemon's
// requests tell.
func (set *engineSet) nodeFill(node *Node, daemons int) float64 {
	room := set.room(node)
	if room <= 0 {
		return 0
	}
	return float64(node.tokens.Load()) * float64(daemons) / room
}

// load returns the share in use of the pipeline's KV memory, and what its streams
// wait.
func (set *engineSet) load(now time.Time, cover *cover, daemons int) float64 {
	return set.fill(now, cover, daemons) + waitWeight*cover.stages[0].node.FirstWait(now).Seconds()
}

// fill returns the share in use of the KV memory of the fullest stage. What the
// head has said of its load counts for all stages; without its word the work of
// the other daemons is taken to be like this one's.
func (set *engineSet) fill(now time.Time, cover *cover, daemons int) float64 {
	fullest, least := 0.0, math.Inf(1)
	for _, stage := range cover.stages {
		fullest = max(fullest, set.nodeFill(stage.node, daemons))
		if room := set.room(stage.node); room > 0 {
			least = min(least, room)
		}
	}
	head := cover.stages[0].node.load.Load()
	if head == nil || now.Sub(head.at) > headLoadAge {
		return fullest
	}
	return float64((head.Running+head.Waiting)*set.model.UsualTokens) / least
}

// KVRoom returns for how many tokens an engine of the accelerator that holds the
// layers has KV memory, over all of these layers.
func KVRoom(model *dragonflyhatch.EngineModel, accelerator dragonflyhatch.Accelerator, held dragonflyhatch.LayerRange) float64 {
	count := held.End - held.First
	if count == 0 || model.KVBytes <= 0 {
		return 0
	}
	free := (accelerator.MemoryMB - float64(count)*model.LayerMB) * 1e6
	return free / (model.KVBytes / float64(model.Layers) * float64(count))
}
