package hatchpath

import (
	"math"
	"slices"
	"time"

	"dragonflyhatch"
)

const (
	// loadAge is how long a replica's word on its load counts.
	loadAge = 300 * time.Millisecond
	// unseenLatency is assumed of a replica that has answered nothing yet, in
	// seconds: less than most, so that it is tried.
	unseenLatency = 0.005
	// siteLatency is added for a replica in another site, in seconds.
	siteLatency = 0.001
	// failureWeight is what a replica that always fails costs, in multiples of
	// its latency.
	failureWeight = 8
)

// Service returns the replica of a plain service that is likely to answer first,
// or a Failure of KindUpstreamUnavailable.
func (view *View) Service(now time.Time, query Query) (*Node, error) {
	var best *Node
	bestCost := math.Inf(1)
	for _, node := range view.byName[query.Service] {
		if node.Down(now) || slices.Contains(query.Exclude, node.Address) {
			continue
		}
		cost := node.serviceCost(now, query) * (0.9 + 0.2*query.Random.Float64())
		if cost < bestCost {
			best, bestCost = node, cost
		}
	}
	if best == nil {
		return nil, dragonflyhatch.Fail(dragonflyhatch.KindUpstreamUnavailable, "no usable replica of %s", query.Service)
	}
	return best, nil
}

// serviceCost estimates the time to an answer in seconds.
func (node *Node) serviceCost(now time.Time, query Query) float64 {
	cost := node.latency.value()
	if cost == 0 {
		cost = unseenLatency
	}
	if node.Site != query.Site {
		cost += siteLatency
	}
	slots := float64(max(node.Slots, 1))
	busy := float64(node.inFlight.Load())
	if load := node.load.Load(); load != nil && now.Sub(load.at) < loadAge {
		busy = math.Max(busy, float64(load.Running+load.Waiting))
	}
	cost *= 1 + busy/slots + math.Max(0, busy-slots)
	cost *= 1 + failureWeight*node.failures.value()
	if node.IsFull(now) {
		cost *= 10
	}
	return cost
}
