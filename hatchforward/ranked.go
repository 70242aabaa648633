package hatchforward

import (
	"fmt"
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"dragonflyhatch"
	"dragonflyhatch/hatchlimit"
	"dragonflyhatch/hatchpath"
	"dragonflyhatch/hatchroute"
)

const (
	// answerWeight is the work of a token of the answer relative to one of the prompt.
	// The engines process prompts in pieces of hundreds of tokens, but make answers one
	// token at a time.
	answerWeight = 10
	// capacityValidity is how long the computed capacity of a service is used. Computing
	// it takes a pass over all engines and their layers.
	capacityValidity = 250 * time.Millisecond
	// requestPriorities is the number of values that a request's priority may have.
	requestPriorities = 10
)

// rankedAdmissions holds the admissions of the services whose requests have ranks. It is
// safe for concurrent use.
type rankedAdmissions struct {
	mu        sync.Mutex
	byService map[string]*rankedAdmission
}

type rankedAdmission struct {
	*hatchlimit.Admission
	capacity   int       // streams
	capacityAt time.Time // when the capacity was computed
	shortAt    time.Time // when room was last short
}

func newRankedAdmissions() *rankedAdmissions {
	return &rankedAdmissions{byService: make(map[string]*rankedAdmission)}
}

// get returns the admission of the service, which it creates at the first call and when
// the number of ranks has changed. The mutex must be held.
func (admissions *rankedAdmissions) get(service string, ranks int) *rankedAdmission {
	admission, ok := admissions.byService[service]
	if !ok || admission.Ranks() != ranks {
		admission = &rankedAdmission{Admission: hatchlimit.NewAdmission(ranks)}
		admissions.byService[service] = admission
	}
	return admission
}

// preview returns a copy of the service's admission for a decision without side effects.
// The caller may change the copy's fields, but not its demand. The mutex must be held.
func (admissions *rankedAdmissions) preview(service string, ranks int) *rankedAdmission {
	admission, ok := admissions.byService[service]
	if !ok || admission.Ranks() != ranks {
		return &rankedAdmission{Admission: hatchlimit.NewAdmission(ranks)}
	}
	unrecorded := *admission
	return &unrecorded
}

// room returns the load of the service's heads as far as this daemon knows it.
func (forwarder *Forwarder) room(now time.Time, service string, admission *rankedAdmission) hatchlimit.Room {
	view := forwarder.fleet.View()
	if now.Sub(admission.capacityAt) > capacityValidity {
		admission.capacity, admission.capacityAt = view.StreamCapacity(now, service), now
	}
	room := hatchlimit.Room{RunTime: forwarder.meanRunTime(service), Daemons: forwarder.fleet.Daemons()}
	for _, load := range view.HeadLoads(now, service) {
		if !load.Reported {
			room.AddIdle(load.Slots)
			continue
		}
		room.Add(hatchlimit.HeadLoad{Slots: load.Slots, Running: load.Running, Waiting: load.Waiting, Age: load.Age})
	}
	if room.Heads == 0 {
		room.Capacity = 0
	} else if admission.capacity > 0 {
		room.Capacity = min(room.Capacity, max(float64(admission.capacity), room.Running))
	}
	return room
}

// rank returns the rank of the request among those of its service, and how many ranks
// there are, 0 if the configuration asks for none.
func (call *call) rank() (rank, ranks int) {
	if call.table == nil || call.service.Model == nil {
		return 0, 0
	}
	return call.table.Rank(call.service.Name, call.route, call.organisation), call.table.Ranks(call.service.Name)
}

// work returns the work that the request needs, in tokens of a prompt.
func (call *call) work() float64 {
	answer := call.info.ExpectedTokens
	if answer == 0 || call.info.OutputTokens > 0 && answer > call.info.OutputTokens {
		answer = call.info.OutputTokens
	}
	return float64(max(call.info.PromptTokens, 1) + answerWeight*answer)
}

// checkRank returns a refusal for a new stream for which there is no room, and otherwise
// nil.
func (stream *stream) checkRank(head *hatchpath.Node, rank, ranks int) error {
	forwarder, now := stream.forwarder, time.Now()
	admissions := forwarder.ranked
	admissions.mu.Lock()
	admission := admissions.get(stream.service.Name, ranks)
	room := forwarder.room(now, stream.service.Name, admission)
	request := stream.admissionRequest(rank, head.ExpectedWait(now), forwarder.longestTimeLeft(stream.route.Name, stream.info.TimeLeft))
	verdict := admission.Decide(now, request, room, forwarder.random.Float64)
	if verdict.Fits < 1 {
		admission.shortAt = now
	}
	admissions.mu.Unlock()
	forwarder.metricSet.recordVerdict(rank, verdict, hatchlimit.HasReturned(request.Left, request.Longest))
	if verdict.Admitted {
		return nil
	}
	if request.Left <= 0 { // the caller does not say how long it waits
		verdict.RetryAfter = hatchlimit.ReturnDelay(time.Until(stream.deadline), forwarder.random.Float64())
	}
	return refusalByRank(rank, ranks, verdict, room)
}

// admissionRequest describes the call to an admission: its rank, the wait that is expected
// at the chosen head, and the longest time left of the route's requests.
func (call *call) admissionRequest(rank int, wait, longest time.Duration) hatchlimit.Request {
	return hatchlimit.Request{
		Rank: rank, Organisation: call.organisationName(), Work: call.work(),
		Left: call.info.TimeLeft, Longest: longest, Target: call.route.Target, Wait: wait,
	}
}

// refusalByRank returns the refusal of a new stream of the rank.
func refusalByRank(rank, ranks int, verdict hatchlimit.Verdict, room hatchlimit.Room) *dragonflyhatch.Failure {
	return &dragonflyhatch.Failure{
		Kind: dragonflyhatch.KindOverloaded,
		Detail: fmt.Sprintf("rank %d of %d, rule %s: %.2f of the work fits, %.2f of the rank's; share %.3f, fair %.3f; %.0f running and %.0f waiting of %.0f, reports up to %s old; place kept: %t",
			rank, ranks, verdict.Rule, verdict.Fits, verdict.RankFits, verdict.Share, verdict.FairShare,
			room.Running, room.Waiting, room.Capacity, room.Oldest.Round(time.Millisecond), verdict.Kept),
		RetryAfter: verdict.RetryAfter,
	}
}

// rankPriority returns the priority at the engines of a request of the rank: 0 is that of
// resumed streams.
func rankPriority(rank, ranks int) int {
	if ranks < requestPriorities {
		return 1 + rank
	}
	return 1 + rank*(requestPriorities-1)/ranks
}

// recordVerdict counts the decisions on new streams by rank and rule.
func (metricSet *metricSet) recordVerdict(rank int, verdict hatchlimit.Verdict, returned bool) {
	name := "admission.rank" + strconv.Itoa(rank) + "."
	if returned {
		name += "returned."
	}
	if verdict.Admitted {
		name += "admitted"
	} else {
		name += "refused." + verdict.Rule.String()
	}
	metrics.GetOrRegisterCounter(name, metricSet.registry).Inc(1)
	if !math.IsNaN(verdict.Fits) {
		metrics.GetOrRegisterGaugeFloat64("admission.fits", metricSet.registry).Update(verdict.Fits)
	}
}

// demandNewsTime is how long after room was last short the demand of organisations is
// still sent.
const demandNewsTime = 5 * time.Second

// Demand returns what the callers of the services with ranks ask for, for peers.
func (forwarder *Forwarder) Demand(now time.Time) []dragonflyhatch.ServiceDemand {
	table := forwarder.fleet.Table()
	forwarder.ranked.mu.Lock()
	defer forwarder.ranked.mu.Unlock()
	var demands []dragonflyhatch.ServiceDemand
	for service, admission := range forwarder.ranked.byService {
		if table != nil && table.Ranks(service) == 0 {
			// The configuration has changed. A peer that has not yet received it would adopt
			// a demand that no longer grows.
			delete(forwarder.ranked.byService, service)
			continue
		}
		demand := admission.Demand().Digest(now, now.Sub(admission.shortAt) < demandNewsTime)
		demand.Service, demand.RunTime = service, forwarder.meanRunTime(service)
		demands = append(demands, demand)
	}
	return demands
}

// MergeDemand takes the mean of the demand that a peer has sent and the own one.
func (forwarder *Forwarder) MergeDemand(now time.Time, peer []dragonflyhatch.ServiceDemand) {
	forwarder.eachDemand(now, peer, func(admission *rankedAdmission, demand dragonflyhatch.ServiceDemand) {
		admission.Demand().Merge(now, demand)
	})
}

// AdoptDemand applies the answer of a peer to the demand that was sent to it.
func (forwarder *Forwarder) AdoptDemand(now time.Time, sent, answer []dragonflyhatch.ServiceDemand) {
	forwarder.eachDemand(now, answer, func(admission *rankedAdmission, demand dragonflyhatch.ServiceDemand) {
		for _, own := range sent {
			if own.Service == demand.Service {
				admission.Demand().Adopt(now, own, demand)
			}
		}
	})
}

// eachDemand calls apply for the demand of each service that has ranks here, and then
// observes its room: the peer may have told of the load of heads as well.
func (forwarder *Forwarder) eachDemand(now time.Time, demands []dragonflyhatch.ServiceDemand, apply func(*rankedAdmission, dragonflyhatch.ServiceDemand)) {
	table := forwarder.fleet.Table()
	if table == nil {
		return
	}
	forwarder.ranked.mu.Lock()
	defer forwarder.ranked.mu.Unlock()
	for _, demand := range demands[:min(len(demands), hatchroute.MaxRanks)] {
		ranks := table.Ranks(demand.Service)
		if ranks == 0 || ranks != len(demand.Ranks) {
			continue
		}
		admission := forwarder.ranked.get(demand.Service, ranks)
		apply(admission, demand)
		forwarder.mergeRunTime(demand.Service, demand.RunTime)
		admission.Observe(now, forwarder.room(now, demand.Service, admission))
	}
}

// mergeRunTime moves the mean run time of the service's streams towards a peer's.
func (forwarder *Forwarder) mergeRunTime(service string, peer time.Duration) {
	if peer <= 0 || peer > maxRunTime {
		return
	}
	mean := forwarder.meanRunTime(service)
	forwarder.mu.Lock()
	defer forwarder.mu.Unlock()
	forwarder.runTimes[service] = (mean + peer) / 2
}

// maxRunTime bounds the mean run time that a peer may report.
const maxRunTime = 5 * time.Minute
