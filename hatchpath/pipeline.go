package hatchpath

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dragonflyhatch"
)

// Query describes a request for which a replica or a pipeline is to be chosen.
type Query struct {
	Service      string
	Site         string   // of this daemon
	Tokens       int      // of prompt and answer together
	Exclude      []string // addresses at which this request has already failed
	AllowedHeads []string // addresses that may run the first stage; any if empty
	Daemons      int      // number of daemons that send requests to the same engines, at least 1
	Random       *rand.Rand
	Resumed      bool // the request resumes a stream or retries an attempt
	AnySite      bool // do not prefer this daemon's site; set when many requests may need a new pipeline at the same time
}

// allowsHead reports whether the node may run the first stage.
func (query *Query) allowsHead(now time.Time, node *Node) bool {
	return node.ClosedFor(now, query.Resumed) == 0 && (len(query.AllowedHeads) == 0 || slices.Contains(query.AllowedHeads, node.Address))
}

// Pipeline is a chosen pipeline: stages that cover the layers once and in order.
type Pipeline struct {
	Stages []dragonflyhatch.Stage
	Nodes  []*Node // one for each stage
	Tokens int     // of the request

	avoidsFull bool // the engines counted as not full when it was chosen
}

// Begin records at each engine that the request was sent.
func (pipeline *Pipeline) Begin() {
	for _, node := range pipeline.Nodes {
		node.Begin(pipeline.Tokens)
	}
}

// End records at each engine that the request has ended.
func (pipeline *Pipeline) End() {
	for _, node := range pipeline.Nodes {
		node.End(pipeline.Tokens)
	}
}

// BeginTrials counts the request as this daemon's trial of those engines that are treated
// as refusing, and returns their number. It returns false if another request has become
// the trial since the pipeline was chosen, which could avoid these engines.
func (pipeline *Pipeline) BeginTrials(now time.Time) (trials int, ok bool) {
	if pipeline.avoidsFull && slices.ContainsFunc(pipeline.Nodes, func(node *Node) bool { return node.IsRefusing(now) && node.IsFull(now) }) {
		return 0, false
	}
	for _, node := range pipeline.Nodes {
		if node.BeginTrial(now) {
			trials++
		}
	}
	return trials, true
}

const (
	// siteCrossingCost is the cost of sending a token's activations to another site,
	// in units of the time that an accelerator with factor 1 takes for all layers.
	siteCrossingCost = 2
	// stageCost is the cost of each further stage, in the same unit.
	stageCost = 0.1
	// utilizationWeight is the weight of an engine's KV memory utilization in its
	// cost. It spreads requests over engines that hold the same layers.
	utilizationWeight = 1
	// prefillWeight is the weight of the time to process the prompt relative to the
	// time to generate the answer.
	prefillWeight = 0.3
	// remoteSitePenalty is added to the load cost of a pipeline in another site. A
	// request is sent there only if the KV memory utilization in this daemon's site
	// is higher by more than this share.
	remoteSitePenalty = 0.15
	// headLoadMaxAge is how long the load reported by a head is used: about the time
	// in which this daemon sends the head a few requests.
	headLoadMaxAge = time.Second
	// multiSitePenalty is added to the load cost of a pipeline that spans several
	// sites, because the links between them must carry each token's activations.
	multiSitePenalty = 1.5
	// slowdownWeight is the weight of a pipeline's relative slowdown compared to KV
	// memory utilization.
	slowdownWeight = 0.5
	// firstEventWeight is the weight, compared to KV memory utilization, of the mean
	// time in seconds to the first event of recent streams of a pipeline's head.
	firstEventWeight = 1
	// headWaitCost is the cost of each second that a stream is expected to wait at the head,
	// in the unit of siteCrossingCost. A stream that waits is late after half a second,
	// however fast its engines are: it should rather start at another copy of the first
	// layers.
	headWaitCost = 20
	// An engine's cost is increased by a random share, so that hundreds of daemons,
	// each of which knows an engine's load only from its own requests, do not all
	// start with the same one of many equal engines. The range of that share grows by
	// jitterPerCopy for each copy of the layers beyond copiesWithoutJitter, up to
	// maxJitter.
	jitterPerCopy       = 0.1
	copiesWithoutJitter = 2.0
	maxJitter           = 1.0
	// siteJitter is the range of a random amount that is added to a pipeline's load
	// cost, so that daemons that lose a pipeline at the same time do not all choose
	// the same replacement.
	siteJitter = 0.3
)

// Pipeline returns a pipeline for the request, or a Failure of
// KindUpstreamUnavailable. Engines that have recently refused a request for lack of
// capacity are used only if no pipeline is possible without them, and those that want
// no request then only for later stages, whose requests come from the head.
func (view *View) Pipeline(now time.Time, query Query) (*Pipeline, error) {
	best, avoidsFull, err := view.chooseCover(now, query, nil)
	if err != nil {
		return nil, err
	}
	pipeline := best.pipeline(query.Tokens)
	pipeline.avoidsFull = avoidsFull
	return pipeline, nil
}

// chooseCover returns the cover of the chosen pipeline, and whether engines that are full
// were avoided. It calls compared, unless that is nil, for each cover that it compares.
func (view *View) chooseCover(now time.Time, query Query, compared func(comparedCover)) (best *cover, avoidsFull bool, err error) {
	set := view.engines[query.Service]
	if set == nil {
		return nil, false, dragonflyhatch.Failf(dragonflyhatch.KindUpstreamUnavailable, "no engine of %s holds layers", query.Service)
	}
	for _, avoidFull := range []bool{true, false} {
		usable := func(node *Node) bool {
			return !node.IsDown(now) && !node.IsLeaving() && !(avoidFull && (node.IsFull(now) || node.PausedFor(now) > 0)) &&
				!slices.Contains(query.Exclude, node.Address)
		}
		if best := set.chooseCover(now, query, usable, compared); best != nil {
			return best, avoidFull, nil
		}
	}
	return nil, false, &dragonflyhatch.Failure{
		Kind: dragonflyhatch.KindUpstreamUnavailable, Detail: "no usable engines of " + query.Service + " cover all layers",
		RetryAfter: shortestPause(now, set.all, query.Resumed),
	}
}

// shortestPause returns the time until the first of the nodes that refuse requests
// for a while takes them again, or 0 if there is none.
func shortestPause(now time.Time, nodes []*Node, resumed bool) time.Duration {
	var shortest time.Duration
	for _, node := range nodes {
		pause := node.ClosedFor(now, resumed)
		if pause > 0 && (shortest == 0 || pause < shortest) && !node.IsDown(now) && !node.IsLeaving() {
			shortest = pause
		}
	}
	return shortest
}

// chooseCover returns a cover by the newest version for which there is one, or nil if
// there is none. Of the cheapest covers of the sites it takes the one with the lowest sum
// of load cost, slowdown and site penalty. Covers that span several sites are considered
// only if the daemon's own site has none. It calls compared, unless that is nil, for each
// cover that it compares.
func (set *engineSet) chooseCover(now time.Time, query Query, usable func(*Node) bool, compared func(comparedCover)) *cover {
	for _, version := range set.versions {
		var best *cover
		bestCost := math.Inf(1)
		local := false // the daemon's own site has a pipeline
		consider := func(site string, candidate *cover, cost float64) {
			if compared != nil {
				compared(comparedCover{cover: candidate, site: site, version: version, cost: cost})
			}
			if cost < bestCost {
				best, bestCost = candidate, cost
			}
		}
		for _, site := range set.sites {
			candidate := set.cover(now, set.bySite[site], version, query, usable)
			if candidate == nil {
				continue
			}
			local = local || site == query.Site
			cost := set.loadCost(now, candidate, query.Daemons) + slowdownWeight*candidate.relativeSlowdown(now)
			if site != query.Site && !query.AnySite {
				cost += remoteSitePenalty
			}
			if query.AnySite {
				cost += siteJitter * query.Random.Float64()
			}
			consider(site, candidate, cost)
		}
		if !local {
			if candidate := set.cover(now, set.all, version, query, usable); candidate != nil {
				consider("", candidate, set.loadCost(now, candidate, query.Daemons)+multiSitePenalty)
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// cover is a list of stages that run each layer once and in order, and their cost.
type cover struct {
	cost   float64
	stages []coverStage
}

// coverStage is one stage of a cover, with its share of the cost.
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

// relativeSlowdown returns the extra cost caused by the slowdown of the engines,
// relative to the pipeline's cost at its accelerators' nominal speeds.
func (cover *cover) relativeSlowdown(now time.Time) float64 {
	nominal, extra := 0.0, 0.0
	for _, stage := range cover.stages {
		slowdown := stage.node.Slowdown(now)
		nominal += stage.cost / slowdown
		extra += stage.cost * (1 - 1/slowdown)
	}
	return extra / nominal
}

// step is the last stage of the cheapest known cover of all layers before a
// boundary.
type step struct {
	cost  float64 // total of all stages up to the boundary
	start int     // boundary at which the stage begins
	node  *Node
}

// cover returns the cheapest cover of the layers by usable nodes of the version, or
// nil if it finds none. It uses dynamic programming over the boundaries at which
// some node's range begins or ends.
func (set *engineSet) cover(now time.Time, nodes []*Node, version int, query Query, usable func(*Node) bool) *cover {
	layers := set.model.Layers
	var spans []span
	boundary := make([]bool, layers+1)
	boundary[0], boundary[layers] = true, true
	jitter := set.jitter(nodes)
	for _, node := range nodes {
		if node.Held.Version != version || node.Held.First >= layers || !usable(node) {
			continue
		}
		candidate := span{node: node, LayerRange: node.Held.LayerRange}
		candidate.End = min(candidate.End, layers)
		candidate.costPerLayer = set.layerCost(node) * node.Slowdown(now) * (1 + utilizationWeight*set.nodeUtilization(node, query.Daemons))
		if jitter > 0 {
			candidate.costPerLayer *= 1 + jitter*query.Random.Float64()
		}
		if node.isTrialDue(now) {
			candidate.costPerLayer *= trialCost
		}
		spans = append(spans, candidate)
		boundary[candidate.First], boundary[candidate.End] = true, true
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
			if at == 0 && !query.allowsHead(now, spans[i].node) {
				continue
			}
			startCost := 0.0
			if at == 0 {
				startCost = headWaitCost * spans[i].node.ExpectedWait(now).Seconds()
			}
			set.extend(steps, boundary, at, &spans[i], startCost)
		}
	}
	return traceCover(steps, layers)
}

// jitter returns the range of the random share by which the cost of each of the
// nodes is increased.
func (set *engineSet) jitter(nodes []*Node) float64 {
	held := 0
	for _, node := range nodes {
		held += node.Held.End - node.Held.First
	}
	copies := float64(held) / float64(set.model.Layers)
	return min(max(jitterPerCopy*(copies-copiesWithoutJitter), 0), maxJitter)
}

// span is the range of layers that a node can run, and the cost of each layer.
type span struct {
	node *Node
	dragonflyhatch.LayerRange
	costPerLayer float64
}

// extend considers the span as the stage that begins at the boundary, and updates
// the steps at which that stage could end if this makes them cheaper. The start cost is
// that of the wait at the stage.
func (set *engineSet) extend(steps []step, boundary []bool, at int, span *span, startCost float64) {
	if at < span.First || at >= span.End || isOnPath(steps, at, span.node) {
		return
	}
	baseCost := steps[at].cost + stageCost + startCost
	if previous := steps[at].node; previous != nil && previous.Site != span.node.Site {
		baseCost += siteCrossingCost
	}
	for end := at + 1; end <= span.End; end++ {
		if !boundary[end] {
			continue
		}
		if cost := baseCost + float64(end-at)*span.costPerLayer; cost < steps[end].cost {
			steps[end] = step{cost: cost, start: at, node: span.node}
		}
	}
}

// isOnPath reports whether the cheapest known cover up to the boundary uses the
// node.
func isOnPath(steps []step, at int, node *Node) bool {
	for at > 0 {
		if steps[at].node == node {
			return true
		}
		at = steps[at].start
	}
	return false
}

// traceCover returns the cover that ends at the last step, or nil if there is none.
func traceCover(steps []step, layers int) *cover {
	if math.IsInf(steps[layers].cost, 1) {
		return nil
	}
	found := &cover{cost: steps[layers].cost}
	for at := layers; at > 0; at = steps[at].start {
		found.stages = append(found.stages, coverStage{
			node:   steps[at].node,
			layers: dragonflyhatch.LayerRange{First: steps[at].start, End: at},
			cost:   steps[at].cost - steps[steps[at].start].cost,
		})
	}
	slices.Reverse(found.stages)
	return found
}

// layerCost returns the cost of one layer at the node's nominal speed.
func (set *engineSet) layerCost(node *Node) float64 {
	accelerator, ok := set.model.Accelerators[node.Accelerator]
	if !ok || accelerator.StepFactor <= 0 {
		return 1 / float64(set.model.Layers)
	}
	return (accelerator.StepFactor + prefillWeight*accelerator.PrefillFactor) / float64(set.model.Layers)
}

// kvCapacity returns how many tokens fit in the engine's KV memory with the layers
// that it holds.
func (set *engineSet) kvCapacity(node *Node) float64 {
	return KVCapacity(set.model, set.model.Accelerators[node.Accelerator], node.Held.LayerRange)
}

// nodeUtilization returns the share of the engine's KV memory that is in use. It is
// estimated from the tokens of this daemon's requests, times the number of daemons.
func (set *engineSet) nodeUtilization(node *Node, daemons int) float64 {
	kvCapacity := set.kvCapacity(node)
	if kvCapacity <= 0 {
		return 0
	}
	return float64(node.tokens.Load()) * float64(daemons) / kvCapacity
}

// loadCost returns the utilization of the pipeline, plus the weighted time that a
// stream of its head is expected to take to its first event.
func (set *engineSet) loadCost(now time.Time, cover *cover, daemons int) float64 {
	return set.utilization(now, cover, daemons) + firstEventWeight*max(cover.stages[0].node.FirstEventLatency(now), cover.stages[0].node.ExpectedWait(now)).Seconds()
}

// utilization returns the highest KV memory utilization among the stages. It is
// computed from the head's recently reported load, which is assumed to be the load of
// all stages. Without a recent report it is estimated from this daemon's requests,
// assuming that each other daemon sends as many.
func (set *engineSet) utilization(now time.Time, cover *cover, daemons int) float64 {
	highest, minCapacity := 0.0, math.Inf(1)
	for _, stage := range cover.stages {
		highest = max(highest, set.nodeUtilization(stage.node, daemons))
		if kvCapacity := set.kvCapacity(stage.node); kvCapacity > 0 {
			minCapacity = min(minCapacity, kvCapacity)
		}
	}
	head := cover.stages[0].node.load.Load()
	if head == nil || now.Sub(head.at) > headLoadMaxAge {
		return highest
	}
	return float64((head.Running+head.Waiting)*set.model.MeanTokens) / minCapacity
}

// StreamCapacity returns how many streams of mean length fit in the KV memory of the
// pipeline's tightest stage, or math.MaxInt if that is not known.
func (pipeline *Pipeline) StreamCapacity(model *dragonflyhatch.EngineModel) int {
	capacity := math.Inf(1)
	for _, node := range pipeline.Nodes {
		if tokens := KVCapacity(model, model.Accelerators[node.Accelerator], node.Held.LayerRange); tokens > 0 {
			capacity = min(capacity, tokens/float64(max(model.MeanTokens, 1)))
		}
	}
	if math.IsInf(capacity, 1) {
		return math.MaxInt
	}
	return int(capacity)
}

// KVCapacity returns how many tokens fit in the KV memory of an engine with the
// accelerator that holds the given layers. Each token occupies KV memory in each of
// these layers.
func KVCapacity(model *dragonflyhatch.EngineModel, accelerator dragonflyhatch.Accelerator, held dragonflyhatch.LayerRange) float64 {
	count := held.End - held.First
	if count == 0 || model.KVBytes <= 0 {
		return 0
	}
	freeBytes := (accelerator.MemoryMB - float64(count)*model.LayerMB) * 1e6
	return freeBytes / (model.KVBytes / float64(model.Layers) * float64(count))
}
