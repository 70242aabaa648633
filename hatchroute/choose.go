package hatchroute

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"dragonflyhatch"
)

// Request describes a request for which a pipeline is to be chosen.
type Request struct {
	Model    string
	Version  string // required version; any if empty
	Prefix   uint64 // hash of the prompt's prefix
	Policy   dragonflyhatch.ChoicePolicy
	Tokens   int           // maximum length of the answer
	TimeLeft time.Duration // time until the deadline; no deadline if not positive
	Exclude  []string      // addresses at which the request has already failed
}

// Choice is a chosen pipeline, with the replicas of its stages in order.
type Choice struct {
	Pipeline dragonflyhatch.Pipeline
	Replicas []*Replica
}

// HasFreeSlots reports whether, as far as this daemon knows, every replica of the
// choice has a free slot.
func (choice Choice) HasFreeSlots() bool {
	return !slices.ContainsFunc(choice.Replicas, func(replica *Replica) bool {
		return replica.Health.inFlight.Load()+replica.Health.otherStreams.Load() >= int64(replica.Slots)
	})
}

// Begin records at each replica that the request was sent.
func (choice Choice) Begin() {
	for _, replica := range choice.Replicas {
		replica.Health.Begin()
	}
}

// End records at each replica that the request has ended.
func (choice Choice) End() {
	for _, replica := range choice.Replicas {
		replica.Health.End()
	}
}

// Parameters of the cost of a stage, which is in nanoseconds.
const (
	defaultTokenInterval = float64(20 * time.Millisecond) // token interval of a replica without a measured or reported one
	remoteCost           = float64(time.Millisecond)      // added for a replica in another site
	utilizationPenalty   = 0.3                            // added share of the cost of a replica with all slots in use
	lateFactor           = 4                              // multiplies the cost of a replica that would miss the deadline
	queueWeight          = 4                              // multiplies the time in a queue, as slots elsewhere may be free
	affinityDiscount     = 0.1                            // share of the cost that a cached prefix may save
	randomCandidates     = 3                              // replicas per stage that are drawn at random
	ringCandidates       = 2                              // replicas per stage that follow the prefix on the hash ring
)

// Choose returns a pipeline for the request. It returns a Failure of KindNotFound if
// the configuration does not have the model, and of KindUpstreamUnavailable if the
// replicas that are neither drained nor excluded do not cover its layers.
func (snapshot *Snapshot) Choose(now time.Time, request Request, random *rand.Rand) (Choice, error) {
	chains, ok := snapshot.models[request.Model]
	if !ok {
		return Choice{}, dragonflyhatch.Failf(dragonflyhatch.KindNotFound, "no model %q", request.Model)
	}
	var best []*Replica
	var version string
	var groups []*group
	bestCost := 0.0
	for _, chain := range chains {
		if request.Version != "" && chain.version != request.Version {
			continue
		}
		replicas, cost, ok := chain.choose(now, request, random)
		if ok && (best == nil || cost < bestCost) {
			best, bestCost, version, groups = replicas, cost, chain.version, chain.groups
		}
	}
	if best == nil {
		return Choice{}, dragonflyhatch.Failf(dragonflyhatch.KindUpstreamUnavailable, "no replicas cover the layers of %s %s", request.Model, request.Version)
	}
	choice := Choice{
		Pipeline: dragonflyhatch.Pipeline{Model: request.Model, Version: version},
		Replicas: best,
	}
	for i, replica := range best {
		choice.Pipeline.Stages = append(choice.Pipeline.Stages, dragonflyhatch.Stage{
			Upstream: replica.Name, Address: replica.Address, Layers: groups[i].layers,
		})
	}
	return choice, nil
}

// choose returns a replica for each stage of the chain and their total cost, or false
// if some stage has no replica.
func (chain chain) choose(now time.Time, request Request, random *rand.Rand) ([]*Replica, float64, bool) {
	replicas := make([]*Replica, 0, len(chain.groups))
	total := 0.0
	for _, group := range chain.groups {
		replica, cost := group.chooseByPolicy(now, request, random)
		if replica == nil {
			return nil, 0, false
		}
		replicas = append(replicas, replica)
		total += cost
	}
	return replicas, total, true
}

// chooseByPolicy returns a replica by the request's policy and its cost, or nil if all
// replicas are excluded.
func (group *group) chooseByPolicy(now time.Time, request Request, random *rand.Rand) (*Replica, float64) {
	switch request.Policy {
	case dragonflyhatch.ChooseRoundRobin:
		return group.roundRobin(request)
	case dragonflyhatch.ChooseLeastInFlight:
		return group.leastInFlight(request)
	}
	return group.chooseByCost(now, request, random)
}

// roundRobin returns the next replica in turn that is not excluded.
func (group *group) roundRobin(request Request) (*Replica, float64) {
	for range group.replicas {
		replica := group.replicas[int(group.nextTurn.Add(1))%len(group.replicas)]
		if !slices.Contains(request.Exclude, replica.Address) {
			return replica, 0
		}
	}
	return nil, 0
}

// leastInFlight returns the replica that has the fewest requests of this daemon in
// flight.
func (group *group) leastInFlight(request Request) (*Replica, float64) {
	var best *Replica
	for _, replica := range group.replicas {
		if slices.Contains(request.Exclude, replica.Address) {
			continue
		}
		if best == nil || replica.Health.InFlight() < best.Health.InFlight() {
			best = replica
		}
	}
	return best, 0
}

// chooseByCost compares the replicas that follow the prefix on the hash ring and a few
// random ones, and returns the cheapest. If all of them are excluded or paused, it
// compares all replicas of the group.
func (group *group) chooseByCost(now time.Time, request Request, random *rand.Rand) (*Replica, float64) {
	var best *Replica
	bestCost := 0.0
	consider := func(replica *Replica, discount float64) {
		if slices.Contains(request.Exclude, replica.Address) || replica.Health.IsPaused(now) {
			return
		}
		cost := replica.cost(now, request) * (1 - discount)
		if best == nil || cost < bestCost {
			best, bestCost = replica, cost
		}
	}
	next := sort.Search(len(group.ring), func(i int) bool { return group.ring[i].hash >= request.Prefix })
	for i := range ringCandidates {
		discount := affinityDiscount / float64(i+1)
		consider(group.ring[(next+i)%len(group.ring)].replica, discount)
	}
	for range randomCandidates {
		consider(group.replicas[random.IntN(len(group.replicas))], 0)
	}
	if best != nil {
		return best, bestCost
	}
	for _, replica := range group.replicas {
		consider(replica, 0)
	}
	if best == nil {
		return group.choosePaused(request)
	}
	return best, bestCost
}

// choosePaused returns a replica that is not excluded, even if it is paused, at a high
// cost. It is used if all replicas that are not excluded are paused.
func (group *group) choosePaused(request Request) (*Replica, float64) {
	for _, replica := range group.replicas {
		if !slices.Contains(request.Exclude, replica.Address) {
			return replica, defaultTokenInterval * float64(max(1, request.Tokens)) * rampStartFactor * lateFactor
		}
	}
	return nil, 0
}

// cost estimates how long the replica would take to answer the request at its present
// load, in nanoseconds. The estimate is multiplied by lateFactor if the replica would
// miss the deadline.
func (replica *Replica) cost(now time.Time, request Request) float64 {
	health := replica.Health
	tokenInterval := float64(health.tokenInterval.Load())
	if tokenInterval == 0 {
		tokenInterval = defaultTokenInterval
	}
	tokens := float64(max(1, request.Tokens))
	utilization := float64(health.inFlight.Load()+health.otherStreams.Load()) / float64(replica.Slots)
	// If all slots are in use, the request waits until some of the answers before it
	// are complete. With free slots, a higher load still increases the cost a little.
	wait := queueWeight * tokenInterval * tokens * max(0, utilization+1/float64(replica.Slots)-1)
	cost := wait + tokenInterval*tokens*(1+utilization*utilizationPenalty)
	if !replica.Local {
		cost += remoteCost
	}
	if request.TimeLeft > 0 && wait/queueWeight+tokenInterval*tokens > float64(request.TimeLeft) {
		cost *= lateFactor
	}
	return cost * health.rampFactor(now)
}

// rampFactor returns the factor on the cost of a replica in slow start after a pause.
// It falls from rampStartFactor to 1 over rampDuration.
func (health *Health) rampFactor(now time.Time) float64 {
	start := health.rampStart.Load()
	if start == 0 {
		return 1
	}
	elapsed := time.Duration(now.UnixNano() - start)
	if elapsed >= rampDuration {
		return 1
	}
	remaining := 1 - float64(elapsed)/float64(rampDuration)
	return 1 + (rampStartFactor-1)*remaining
}

// ServiceTargets returns the replicas of a plain service in the order in which to try
// them: those that are not paused first, then by requests in flight, with a penalty
// for other sites. It returns a Failure of KindNotFound if the configuration does not
// have the service.
func (snapshot *Snapshot) ServiceTargets(now time.Time, service string, random *rand.Rand) ([]Target, error) {
	targets, ok := snapshot.services[service]
	if !ok {
		return nil, dragonflyhatch.Failf(dragonflyhatch.KindNotFound, "no service %q", service)
	}
	list := slices.Clone(targets)
	random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b Target) int { return a.rank(now) - b.rank(now) })
	return list, nil
}

// rank returns the target's sort key: its requests in flight, plus penalties for a
// target that is paused or in another site.
func (target Target) rank(now time.Time) int {
	const pausedPenalty, remotePenalty = 1 << 20, 4
	rank := target.Health.InFlight()
	if !target.Local {
		rank += remotePenalty
	}
	if target.Health.IsPaused(now) {
		rank += pausedPenalty
	}
	return rank
}

// RecordSuccess records at each replica that the request succeeded.
func (choice Choice) RecordSuccess(now time.Time) {
	for _, replica := range choice.Replicas {
		replica.Health.RecordSuccess(now)
	}
}

// ReplicaByName returns the replica with the name, or nil.
func (choice Choice) ReplicaByName(name string) *Replica {
	for _, replica := range choice.Replicas {
		if replica.Name == name {
			return replica
		}
	}
	return nil
}

// ReplicasAt returns the replicas of the choice that have one of the addresses.
func (choice Choice) ReplicasAt(addresses []string) []*Replica {
	var found []*Replica
	for _, replica := range choice.Replicas {
		if slices.Contains(addresses, replica.Address) {
			found = append(found, replica)
		}
	}
	return found
}
