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
	Tokens       int      // of the prompt and the longest answer that the caller allows
	Expected     int      // tokens of the prompt and the expected answer
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
	Tokens int     // of the request, with the longest answer

	Expected   int     // tokens of the request, with the expected answer
	Avoided    []*Node // engines of the sites compared whose KV memory is full
	UsesFull   bool    // a stage's KV memory is full all the same, because no other pipeline was possible
	avoidsFull bool    // the engines counted as not full when it was chosen
}

// Begin records at each engine that the request was sent at the given time.
func (pipeline *Pipeline) Begin(now time.Time) {
	for _, node := range pipeline.Nodes {
		node.Begin(pipeline.Tokens)
		node.recordSent(now, pipeline.Expected)
	}
}

// End records at each engine that the request has ended at the given time.
func (pipeline *Pipeline) End(now time.Time) {
	for _, node := range pipeline.Nodes {
		node.End(pipeline.Tokens)
		node.recordSent(now, -pipeline.Expected)
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
// no request then only for later stages, whose requests come from the head. Engines whose
// KV memory is full are used only if no pipeline of any site or version is possible without
// them.
func (view *View) Pipeline(now time.Time, query Query) (*Pipeline, error) {
	set := view.engines[query.Service]
	if set == nil {
		return nil, dragonflyhatch.Failf(dragonflyhatch.KindUpstreamUnavailable, "no engine of %s holds layers", query.Service)
	}
	for _, avoidFull := range []bool{true, false} {
		usable := func(node *Node) bool {
			return !node.IsDown(now) && !node.IsLeaving() && !(avoidFull && (node.IsFull(now) || node.PausedFor(now) > 0)) &&
				!slices.Contains(query.Exclude, node.Address)
		}
		if pipeline := set.choosePipeline(now, query, usable); pipeline != nil {
			pipeline.avoidsFull = avoidFull
			return pipeline, nil
		}
	}
	return nil, &dragonflyhatch.Failure{
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

// choosePipeline returns a pipeline of the newest version for which there is one without
// engines whose KV memory is full, or else the best one with them, or nil if there is none.
// Of the cheapest covers of the sites it takes the one with the lowest sum of load cost,
// slowdown and site penalty. Covers that span several sites are considered only if the
// daemon's own site has none.
func (set *engineSet) choosePipeline(now time.Time, query Query, usable func(*Node) bool) *Pipeline {
	var best *cover
	var avoided []*Node
	bestCost := math.Inf(1)
	for _, version := range set.versions {
		local := false // the daemon's own site has a pipeline
		for _, site := range set.sites {
			candidate := set.cover(now, set.bySite[site], version, query, usable)
			if candidate == nil {
				continue
			}
			avoided = append(avoided, candidate.avoided...)
			local = local || site == query.Site && !candidate.usesFull
			cost := set.loadCost(now, candidate, &query) + slowdownWeight*candidate.relativeSlowdown(now)
			if site != query.Site && !query.AnySite {
				cost += remoteSitePenalty
			}
			if query.AnySite {
				cost += siteJitter * query.Random.Float64()
			}
			if cost < bestCost {
				best, bestCost = candidate, cost
			}
		}
		if !local {
			if candidate := set.cover(now, set.all, version, query, usable); candidate != nil && set.loadCost(now, candidate, &query)+multiSitePenalty < bestCost {
				best = candidate
			}
		}
		if best != nil && !best.usesFull {
			break
		}
	}
	if best == nil {
		return nil
	}
	pipeline := best.pipeline(query)
	pipeline.Avoided = avoided
	return pipeline
}

// cover is a list of stages that run each layer once and in order, and their cost.
type cover struct {
	cost     float64
	stages   []coverStage
	avoided  []*Node // engines of the version whose KV memory is full
	usesFull bool    // the KV memory of a stage is full
}

// coverStage is one stage of a cover, with its share of the cost.
type coverStage struct {
	node   *Node
	layers dragonflyhatch.LayerRange
	cost   float64
}

func (cover *cover) pipeline(query Query) *Pipeline {
	pipeline := &Pipeline{Tokens: query.Tokens, Expected: query.Expected, UsesFull: cover.usesFull}
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
	reportsRecent := set.healths.memoryUntil.Load() > monotonicNanos(now)
	var full []*Node
	for _, node := range nodes {
		if node.Held.Version != version || node.Held.First >= layers || !usable(node) {
			continue
		}
		candidate := span{node: node, LayerRange: node.Held.LayerRange}
		candidate.End = min(candidate.End, layers)
		kvCapacity := node.kvCapacity
		utilization := nodeUtilization(node, query.Daemons, kvCapacity)
		factor := 1.0
		if reportsRecent {
			share := reportedMemory // that of an engine which the leader does not name is lower
			isFull := false
			if report := node.recentMemory(now); report != nil {
				share = node.reportedUtilization(now, kvCapacity)
				isFull = now.Sub(report.at) <= fullMemoryMaxAge && query.isFullWith(share, kvCapacity)
			}
			utilization = max(utilization, share)
			factor = set.spreadFactor(share, &query, kvCapacity)
			if isFull {
				factor *= fullMemoryPenalty
				full = append(full, node)
			}
		}
		candidate.costPerLayer = set.layerCost(node) * node.Slowdown(now) * (1 + utilizationWeight*utilization) * factor
		if jitter > 0 && !reportsRecent { // the factor is random too
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
	found := traceCover(steps, layers)
	if found != nil && full != nil {
		found.avoided = full
		found.usesFull = slices.ContainsFunc(found.stages, func(stage coverStage) bool { return slices.Contains(full, stage.node) })
	}
	return found
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

// nodeUtilization returns the share of the engine's KV memory that is in use. It is
// estimated from the tokens of this daemon's requests, times the number of daemons.
func nodeUtilization(node *Node, daemons int, kvCapacity float64) float64 {
	if kvCapacity <= 0 {
		return 0
	}
	return float64(node.tokens.Load()) * float64(daemons) / kvCapacity
}

// loadCost returns the utilization of the pipeline, plus the weighted time that a
// stream of its head is expected to take to its first event, plus a penalty if the KV memory
// of a stage is full.
func (set *engineSet) loadCost(now time.Time, cover *cover, query *Query) float64 {
	penalty := 0.0
	if cover.usesFull {
		penalty = fullMemoryPenalty
	}
	return penalty + set.utilization(now, cover, query) + firstEventWeight*max(cover.stages[0].node.FirstEventLatency(now), cover.stages[0].node.ExpectedWait(now)).Seconds()
}

// utilization returns the highest KV memory utilization among the stages. It is
// computed from the head's recently reported load, which is assumed to be the load of
// all stages. Without a recent report it is estimated from this daemon's requests,
// assuming that each other daemon sends as many. It is no lower than what a stage has
// reported of its KV memory.
func (set *engineSet) utilization(now time.Time, cover *cover, query *Query) float64 {
	highest, reported, minCapacity := 0.0, 0.0, math.Inf(1)
	for _, stage := range cover.stages {
		kvCapacity := stage.node.kvCapacity
		highest = max(highest, nodeUtilization(stage.node, query.Daemons, kvCapacity))
		reported = max(reported, stage.node.reportedUtilization(now, kvCapacity))
		if kvCapacity > 0 {
			minCapacity = min(minCapacity, kvCapacity)
		}
	}
	reported = blurMemory(reported, query.Random)
	head := cover.stages[0].node.load.Load()
	if head == nil || now.Sub(head.at) > headLoadMaxAge {
		return max(highest, reported)
	}
	return max(float64((head.Running+head.Waiting)*set.model.MeanTokens)/minCapacity, reported)
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
