package hatchroute

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"dragonflyhatch"
)

// Request is what a choice needs to know of a request.
type Request struct {
	Model   string
	Version string // only this version, unless empty
	Prefix  uint64 // hash of the prompt's beginning
	Policy  dragonflyhatch.ChoicePolicy
	Tokens  int           // longest answer wanted
	Left    time.Duration // until the deadline
	Exclude []string      // addresses that have just failed the request
}

// Choice is the outcome of a choice: the pipeline and its replicas in order.
type Choice struct {
	Pipeline dragonflyhatch.Pipeline
	Replicas []*Replica
}

// Free says whether, by what is known, no replica of the choice would make the
// request wait.
func (choice Choice) Free() bool {
	return !slices.ContainsFunc(choice.Replicas, func(replica *Replica) bool {
		return replica.Track.inFlight.Load()+replica.Track.others.Load() >= int64(replica.Slots)
	})
}

// Begin notes at each replica that the request has been sent.
func (choice Choice) Begin() {
	for _, replica := range choice.Replicas {
		replica.Track.Begin()
	}
}

// End notes at each replica that the request is over.
func (choice Choice) End() {
	for _, replica := range choice.Replicas {
		replica.Track.End()
	}
}

// The parameters of the cost of a stage, in nanoseconds.
const (
	unknownInterval = float64(20 * time.Millisecond) // between tokens of a replica that has shown none
	remoteCost      = float64(time.Millisecond)      // of a replica in another site
	crowding        = 0.3                            // of a replica with all slots in use
	lateFactor      = 4
	waitWeight      = 4   // of time in a queue, which leaves a free slot elsewhere unused
	affinityGain    = 0.1 // share of the cost that a cached prefix may save
	randomTries     = 3
	ringTries       = 2
)

// Choose returns a pipeline for the request. It fails with KindNotFound if the
// configuration has no such model, and with KindUpstreamUnavailable if no
// replicas that are not leaving cover its layers.
func (snapshot *Snapshot) Choose(now time.Time, request Request, random *rand.Rand) (Choice, error) {
	chains, ok := snapshot.models[request.Model]
	if !ok {
		return Choice{}, dragonflyhatch.Fail(dragonflyhatch.KindNotFound, "no model %q", request.Model)
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
		return Choice{}, dragonflyhatch.Fail(dragonflyhatch.KindUpstreamUnavailable, "no replicas cover the layers of %s %s", request.Model, request.Version)
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

func (chain chain) choose(now time.Time, request Request, random *rand.Rand) ([]*Replica, float64, bool) {
	replicas := make([]*Replica, 0, len(chain.groups))
	total := 0.0
	for _, group := range chain.groups {
		replica, cost := group.chooseBy(now, request, random)
		if replica == nil {
			return nil, 0, false
		}
		replicas = append(replicas, replica)
		total += cost
	}
	return replicas, total, true
}

func (group *group) chooseBy(now time.Time, request Request, random *rand.Rand) (*Replica, float64) {
	switch request.Policy {
	case dragonflyhatch.ChooseInTurn:
		return group.inTurn(request)
	case dragonflyhatch.ChooseLeastInFlight:
		return group.leastInFlight(request)
	}
	return group.choose(now, request, random)
}

// inTurn takes the replicas one after the other.
func (group *group) inTurn(request Request) (*Replica, float64) {
	for range group.replicas {
		replica := group.replicas[int(group.turn.Add(1))%len(group.replicas)]
		if !slices.Contains(request.Exclude, replica.Address) {
			return replica, 0
		}
	}
	return nil, 0
}

// leastInFlight takes the replica with the fewest requests of this daemon.
func (group *group) leastInFlight(request Request) (*Replica, float64) {
	var best *Replica
	for _, replica := range group.replicas {
		if slices.Contains(request.Exclude, replica.Address) {
			continue
		}
		if best == nil || replica.Track.InFlight() < best.Track.InFlight() {
			best = replica
		}
	}
	return best, 0
}

// choose weighs the replicas that the ring gives the prefix to, and a few
// random ones, and takes the cheapest. If all of them are excluded or left
// alone it looks at every replica.
func (group *group) choose(now time.Time, request Request, random *rand.Rand) (*Replica, float64) {
	var best *Replica
	bestCost := 0.0
	consider := func(replica *Replica, gain float64) {
		if slices.Contains(request.Exclude, replica.Address) || replica.Track.Open(now) {
			return
		}
		cost := replica.cost(now, request) * (1 - gain)
		if best == nil || cost < bestCost {
			best, bestCost = replica, cost
		}
	}
	at := sort.Search(len(group.ring), func(i int) bool { return group.ring[i].hash >= request.Prefix })
	for i := range ringTries {
		gain := affinityGain / float64(i+1)
		consider(group.ring[(at+i)%len(group.ring)].replica, gain)
	}
	for range randomTries {
		consider(group.replicas[random.IntN(len(group.replicas))], 0)
	}
	if best != nil {
		return best, bestCost
	}
	for _, replica := range group.replicas {
		consider(replica, 0)
	}
	if best == nil {
		return group.lastResort(request)
	}
	return best, bestCost
}

// lastResort takes a replica that is left alone rather than none.
func (group *group) lastResort(request Request) (*Replica, float64) {
	for _, replica := range group.replicas {
		if !slices.Contains(request.Exclude, replica.Address) {
			return replica, unknownInterval * float64(max(1, request.Tokens)) * rampPenalty * lateFactor
		}
	}
	return nil, 0
}

// cost estimates the time of the answer at the replica, in nanoseconds, were the
// request added to what it has. A replica where the answer would be late costs
// lateFactor times as much.
func (replica *Replica) cost(now time.Time, request Request) float64 {
	track := replica.Track
	interval := float64(track.interval.Load())
	if interval == 0 {
		interval = unknownInterval
	}
	tokens := float64(max(1, request.Tokens))
	load := float64(track.inFlight.Load()+track.others.Load()) / float64(replica.Slots)
	// Beyond its slots a replica makes a request wait for a part of the
	// answers before it; below them more load is still a little worse.
	wait := waitWeight * interval * tokens * max(0, load+1/float64(replica.Slots)-1)
	cost := wait + interval*tokens*(1+load*crowding)
	if !replica.Local {
		cost += remoteCost
	}
	if request.Left > 0 && wait/waitWeight+interval*tokens > float64(request.Left) {
		cost *= lateFactor
	}
	return cost * track.ramp(now)
}

// ramp returns the factor by which a replica that has come back costs more.
func (track *Track) ramp(now time.Time) float64 {
	from := track.rampFrom.Load()
	if from == 0 {
		return 1
	}
	elapsed := time.Duration(now.UnixNano() - from)
	if elapsed >= rampTime {
		return 1
	}
	left := 1 - float64(elapsed)/float64(rampTime)
	return 1 + (rampPenalty-1)*left
}

// ServiceTargets returns the replicas of a plain service in the order to try
// them: not left alone, local, least in flight. It fails with KindNotFound if
// the configuration has no such service.
func (snapshot *Snapshot) ServiceTargets(now time.Time, service string, random *rand.Rand) ([]Target, error) {
	known, ok := snapshot.services[service]
	if !ok {
		return nil, dragonflyhatch.Fail(dragonflyhatch.KindNotFound, "no service %q", service)
	}
	list := slices.Clone(known)
	random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b Target) int { return a.rank(now) - b.rank(now) })
	return list, nil
}

// rank orders targets; the unit is one request in flight.
func (target Target) rank(now time.Time) int {
	const openRank, remoteRank = 1 << 20, 4
	rank := target.Track.InFlight()
	if !target.Local {
		rank += remoteRank
	}
	if target.Track.Open(now) {
		rank += openRank
	}
	return rank
}

// Succeeded notes at each replica that the request came through.
func (choice Choice) Succeeded(now time.Time) {
	for _, replica := range choice.Replicas {
		replica.Track.Succeeded(now)
	}
}

// Named returns the replica of that name, or nil.
func (choice Choice) Named(name string) *Replica {
	for _, replica := range choice.Replicas {
		if replica.Name == name {
			return replica
		}
	}
	return nil
}

// At returns the replicas at the addresses.
func (choice Choice) At(addresses []string) []*Replica {
	var found []*Replica
	for _, replica := range choice.Replicas {
		if slices.Contains(addresses, replica.Address) {
			found = append(found, replica)
		}
	}
	return found
}
