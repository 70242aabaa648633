package hatchpath

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// headLoadRetention is how long the load of a head is known. Heads report with the first
// event of each stream.
const headLoadRetention = 2 * time.Second

// timedHeadLoad is what an engine reported as the head of a pipeline, and when.
type timedHeadLoad struct {
	running, waiting int
	at               time.Time
}

// RecordHeadLoad records the running and waiting streams that the engine reported as a
// head, to this daemon or to another one. An older report does not replace a newer one.
func (health *Health) RecordHeadLoad(observed time.Time, running, waiting int) {
	for {
		previous := health.headLoad.Load()
		if previous != nil && !observed.After(previous.at) {
			return
		}
		if health.headLoad.CompareAndSwap(previous, &timedHeadLoad{max(running, 0), max(waiting, 0), observed}) {
			return
		}
	}
}

// HeadLoad is what an engine reported as the head of a pipeline, and how long ago.
type HeadLoad struct {
	Address                 string
	Slots, Running, Waiting int // streams
	Age                     time.Duration
	Reported                bool // otherwise it has no streams, or nobody has told
}

// HeadLoads returns the heads of the service's pipelines with what they have reported
// lately.
func (view *View) HeadLoads(now time.Time, service string) []HeadLoad {
	set := view.engines[service]
	if set == nil {
		return nil
	}
	loads := make([]HeadLoad, 0, len(set.heads))
	for _, node := range set.heads {
		if !node.isUsable(now) {
			continue
		}
		load := node.headLoad.Load()
		head := HeadLoad{Address: node.Address, Slots: cmp.Or(node.Slots, set.model.Slots)}
		if load != nil && now.Sub(load.at) <= headLoadRetention {
			head.Running, head.Waiting, head.Age, head.Reported = load.running, load.waiting, max(now.Sub(load.at), 0), true
		}
		loads = append(loads, head)
	}
	return loads
}

// isUsable reports whether the engine takes part in the service: it is neither down nor
// leaving.
func (node *Node) isUsable(now time.Time) bool {
	return !node.IsDown(now) && !node.IsLeaving()
}

// StreamCapacity returns how many streams of mean length the service's engines can run at
// the same time: in each site as many as fit in the KV memory of the engines that hold
// its scarcest layer, and no more than its heads have slots.
func (view *View) StreamCapacity(now time.Time, service string) int {
	set := view.engines[service]
	if set == nil {
		return 0
	}
	total := 0.0
	for _, site := range set.sites {
		total += set.siteCapacity(now, set.bySite[site])
	}
	return int(total)
}

// siteCapacity returns the streams that the nodes can run at the same time, 0 if they do
// not hold all layers.
func (set *engineSet) siteCapacity(now time.Time, nodes []*Node) float64 {
	layers := make([]float64, set.model.Layers) // streams by layer
	slots := 0.0
	for _, node := range nodes {
		if !node.isUsable(now) {
			continue
		}
		streams := set.kvCapacity(node) / float64(max(set.model.MeanTokens, 1))
		for layer := node.Held.First; layer < min(node.Held.End, len(layers)); layer++ {
			layers[layer] += streams
		}
		if node.Held.First == 0 {
			slots += float64(cmp.Or(node.Slots, set.model.Slots))
		}
	}
	if len(layers) == 0 {
		return 0
	}
	return math.Min(slices.Min(layers), slots)
}
