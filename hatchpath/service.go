package hatchpath

import (
	"math"
	"slices"
	"time"

	"dragonflyhatch"
)

const (
	// loadMaxAge is how long the load reported by a replica is used.
	loadMaxAge = 300 * time.Millisecond
	// initialLatency is the latency in seconds that is assumed for a replica that has
	// not responded yet. It is lower than most latencies, so that the replica is tried.
	initialLatency = 0.005
	// remoteLatency is the latency in seconds that is added for a replica in another
	// site.
	remoteLatency = 0.001
	// failurePenalty is the extra cost of a replica that always fails, in multiples
	// of its cost without failures.
	failurePenalty = 8
)

// Service returns the replica of a plain service with the lowest estimated time to
// a response, or a Failure of KindUpstreamUnavailable. Costs vary at random by up to
// a tenth, so that similar replicas share the requests.
func (view *View) Service(now time.Time, query Query) (*Node, error) {
	return view.chooseReplica(now, query, nil)
}

// chooseReplica is Service. It calls compared, unless that is nil, for each replica that
// it compares.
func (view *View) chooseReplica(now time.Time, query Query, compared func(node *Node, cost float64)) (*Node, error) {
	var best *Node
	bestCost := math.Inf(1)
	for _, node := range view.byService[query.Service] {
		if node.IsDown(now) || node.IsLeaving() || node.ClosedFor(now, query.Resumed) > 0 || slices.Contains(query.Exclude, node.Address) {
			continue
		}
		cost := node.serviceCost(now, query) * (0.9 + 0.2*query.Random.Float64())
		if compared != nil {
			compared(node, cost)
		}
		if cost < bestCost {
			best, bestCost = node, cost
		}
	}
	if best == nil {
		return nil, &dragonflyhatch.Failure{
			Kind: dragonflyhatch.KindUpstreamUnavailable, Detail: "no usable replica of " + query.Service,
			RetryAfter: shortestPause(now, view.byService[query.Service], query.Resumed),
		}
	}
	return best, nil
}

// serviceCost estimates the time in seconds until the replica responds, increased
// for replicas that often fail or lack capacity.
func (node *Node) serviceCost(now time.Time, query Query) float64 {
	cost := node.latency.value()
	if cost == 0 {
		cost = initialLatency
	}
	if node.Site != query.Site {
		cost += remoteLatency
	}
	slots := float64(max(node.Slots, 1))
	requests := float64(node.inFlight.Load())
	if load := node.load.Load(); load != nil && now.Sub(load.at) < loadMaxAge {
		requests = math.Max(requests, float64(load.Running+load.Waiting))
	}
	cost *= 1 + requests/slots + math.Max(0, requests-slots)
	cost *= 1 + failurePenalty*node.failureRate.value()
	switch {
	case node.IsFull(now):
		cost *= 10
	case node.isTrialDue(now):
		cost *= trialCost
	}
	return cost
}
