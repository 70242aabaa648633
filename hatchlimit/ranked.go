package hatchlimit

import (
	"math"
	"time"
)

const (
	// rankFloor is the part of each rank's work that is admitted whatever the more
	// urgent ranks ask for, so that none of them is starved.
	rankFloor = 0.05
	// freeShare is the share of the places that must be free for all requests to be
	// admitted whatever the demand is believed to be.
	freeShare = 0.2
	// fillTime is the time in which the free places of the engines are filled, or the
	// queue above them is worked off. It is several times the delay with which daemons
	// learn of the load of the heads: with a shorter one the load swings.
	fillTime = 2 * time.Second
	// excessLevel is the work of an organisation, as a multiple of its fair share of all
	// that is admitted, beyond which its requests count as the least urgent. Large
	// organisations stay below it; one whose demand jumps delays itself first.
	excessLevel = 12
	// minRelativeWork and maxRelativeWork bound the effect of the work that a request needs,
	// relative to the mean. Short requests are more callers for the same work.
	minRelativeWork = 0.5
	maxRelativeWork = 2.0
	// minWorkFactor keeps the longest requests from being admitted less than half as often
	// as their rank.
	minWorkFactor = 0.6
	// keptShare is the part of the admitted work for which places are promised to callers
	// that are refused.
	keptShare = 0.15
	// A caller with a kept place is told to return after minReturnShare to keptUntil of the
	// time that it has left, one without after freeFrom to maxReturnShare. The time that a
	// returning caller has left then says whether a place is kept for it, at whichever
	// daemon it arrives.
	keptUntil = 0.22
	freeFrom  = 0.28
	// returnTolerance is the part of the time by which a returning caller may be late.
	returnTolerance = 0.03
	// queueShare is the share of waiting among the running streams up to which a head is not
	// full: prompts wait for the next pass of the engine in any case.
	queueShare = 0.1
	// growth is the factor by which the streams of a head without a queue may grow, whatever
	// its slots are: some engines run more than they state.
	growth = 1.3
	// reportDelay is the time in which most daemons have learned of a report.
	reportDelay = 600 * time.Millisecond
	// minShareFactor keeps a large organisation from being admitted less than half as often
	// as its rank, as long as its demand is not beyond excessLevel.
	minShareFactor = 0.5
	// servedMargin is how much more work than the engines finish a rank and those above it
	// may ask for without being refused, while hardly anything waits. A daemon knows the
	// demand to a fifth only.
	servedMargin = 1.2
	// fitsWindow is the time constant with which the share that fits is smoothed. A daemon
	// with one request a second knows the demand to a fifth; over this time it has a few
	// exchanges with peers.
	fitsWindow = 700 * time.Millisecond
	// maxFits bounds the share that fits, so that free places long ago do not outweigh a
	// lack of them now.
	maxFits = 1.2
	// reportMaxAge is how long a report of a head is used.
	reportMaxAge = 2 * time.Second
	// maxCountedWork bounds the work of a request, relative to the mean. Callers may state up
	// to 2^30 tokens: counted in full, one such request takes the room of all others for
	// seconds.
	maxCountedWork = 50.0
	// workWeight is the weight of the latest request in the mean work.
	workWeight = 0.02
)

// Room is the load of all heads of a service's pipelines together, as far as it is known.
type Room struct {
	Capacity float64       // streams that the pipelines can run at the same time; 0 if unknown
	Running  float64       // streams
	Waiting  float64       // streams
	RunTime  time.Duration // mean time that a stream runs
	Daemons  int           // that send streams to these heads
	Heads    int           // that have reported
	Oldest   time.Duration // age of the oldest report
}

// HeadLoad is what a head reported, and how long ago.
type HeadLoad struct {
	Slots, Running, Waiting int // streams
	Age                     time.Duration
}

// Add adds the load of a head. Heads report with the first event of each stream: one that
// has not reported for longer than the news takes has received no stream, while those that
// it ran have ended and those that waited were begun.
func (room *Room) Add(load HeadLoad) {
	quiet := max(load.Age-reportDelay, 0)
	left := math.Exp(-quiet.Seconds() / max(room.RunTime.Seconds(), reportDelay.Seconds()))
	room.Heads++
	places := float64(load.Slots)
	if float64(load.Waiting) > queueShare*float64(load.Running) {
		// The pipeline is full, whatever limits it: the slots of its head, the KV memory of
		// a stage or the speed of an engine.
		places = min(places, float64(load.Running)/fullShare)
	} else {
		places = max(places, growth*float64(load.Running))
	}
	room.Capacity += left*places + (1-left)*float64(load.Slots)
	room.Running += left * float64(load.Running)
	room.Waiting += left * float64(load.Waiting)
	room.Oldest = max(room.Oldest, load.Age)
}

// AddIdle adds a head that has not reported lately. It has no streams: whoever starts one
// there tells of it.
func (room *Room) AddIdle(slots int) {
	room.Capacity += float64(slots)
}

// Request describes a new stream to an admission.
type Request struct {
	Rank         int // from 0, the most urgent
	Organisation string
	Work         float64       // in tokens, see dragonflyhatch.ServiceDemand
	Left         time.Duration // that the caller waits
	Longest      time.Duration // that callers of the route wait, LongestLeft
	Target       time.Duration // of the first event
	Wait         time.Duration // expected at the chosen head
}

//go:generate go tool -modfile=../tools/go.mod stringer -type=Rule -linecomment -output=enums_string.go

// Rule is what decided on a request.
type Rule int

// The values of Rule.
const (
	RuleRoom    Rule = iota // room
	RuleUnknown             // unknown
	RuleRank                // rank
	RuleShare               // share
	RuleExcess              // excess
	RuleKept                // kept
)

// Verdict is the decision on a request, with what it was based on.
type Verdict struct {
	Admitted    bool
	Rule        Rule
	Probability float64       // with which such a request is admitted
	Fits        float64       // share of all offered work that fits
	RankFits    float64       // share of the work of the request's rank that fits
	Demand      float64       // work a second at a daemon, on average
	Share       float64       // of the organisation in the demand
	FairShare   float64       // of an organisation in the demand, within the rank
	Kept        bool          // a place is kept for a refused request when it returns
	RetryAfter  time.Duration // of a refused request; 0 if its time left is unknown
}

// Admission decides which new streams of a service are admitted when its engines have too
// little room: those of the more urgent ranks first, within a rank those of organisations
// that ask for no more than their fair share, and short ones before long ones. It is a
// state machine without a clock. It is not safe for concurrent use.
type Admission struct {
	demand         *Demand
	meanWork       float64       // of a request, in tokens
	shortestTarget time.Duration // of the requests so far
	finished       float64       // work a second at the engines for a daemon, smoothed
	smoothFits     float64       // share of the offered work that fits, smoothed; 0 before the first observation
	observedAt     time.Time     // of the latest observation
}

// NewAdmission returns the admission of a service with the given number of ranks.
func NewAdmission(ranks int) *Admission {
	return &Admission{demand: NewDemand(ranks)}
}

// Ranks returns the number of ranks.
func (admission *Admission) Ranks() int {
	return len(admission.demand.ranks)
}

// Demand returns the demand of the service.
func (admission *Admission) Demand() *Demand {
	return admission.demand
}

// Decide records a new request and decides on it. The draw returns random numbers from 0
// to 1.
func (admission *Admission) Decide(now time.Time, request Request, room Room, draw func() float64) Verdict {
	if admission.meanWork > 0 {
		request.Work = min(request.Work, maxCountedWork*admission.meanWork)
	}
	admission.recordWork(request.Work)
	if admission.shortestTarget == 0 || request.Target > 0 && request.Target < admission.shortestTarget {
		admission.shortestTarget = request.Target
	}
	admission.demand.Update(now)
	returned := HasReturned(request.Left, request.Longest)
	if !returned { // one that has returned was counted when it was new
		// The decision does not see the request itself: at a daemon with one request a
		// second it would raise the average by more than half.
		defer admission.demand.Add(now, request.Rank, request.Organisation, request.Work)
	}
	if room.Capacity <= 0 || room.RunTime <= 0 {
		return Verdict{Admitted: true, Rule: RuleUnknown, Probability: 1, Fits: 1, RankFits: 1}
	}
	ranks := admission.demand.Means()
	offered := 0.0
	for _, work := range ranks {
		offered += work
	}
	admission.observe(now, room, offered)
	verdict := Verdict{Demand: offered, Fits: admission.smoothFits}
	if verdict.Fits >= 1 {
		verdict.Admitted, verdict.Probability, verdict.RankFits = true, 1, 1
		return verdict
	}
	admission.judge(&verdict, request, ranks, returned, draw)
	if !verdict.Admitted {
		verdict.Kept, verdict.RetryAfter = admission.promise(verdict, request, returned, draw)
	}
	return verdict
}

// Preview returns the decision on a request as Decide would, without recording anything.
func (admission *Admission) Preview(now time.Time, request Request, room Room, draw func() float64) Verdict {
	unrecorded := *admission
	unrecorded.demand = admission.demand.clone()
	return unrecorded.Decide(now, request, room, draw)
}

// Observe records the load of the heads between requests, for example after an exchange
// with a peer.
func (admission *Admission) Observe(now time.Time, room Room) {
	if room.Capacity <= 0 || room.RunTime <= 0 || admission.meanWork == 0 {
		return
	}
	admission.demand.Update(now)
	offered := 0.0
	for _, work := range admission.demand.Means() {
		offered += work
	}
	admission.observe(now, room, offered)
}

// observe smooths the share that fits over fitsWindow.
func (admission *Admission) observe(now time.Time, room Room, offered float64) {
	fits := min(admission.fits(room, offered), maxFits)
	finished := room.Running / room.RunTime.Seconds() * admission.meanWork / float64(max(room.Daemons, 1))
	elapsed := now.Sub(admission.observedAt)
	admission.observedAt = now
	if admission.smoothFits == 0 || elapsed > reportMaxAge {
		admission.smoothFits, admission.finished = fits, finished
		return
	}
	weight := 1 - math.Exp(-max(elapsed.Seconds(), 0)/fitsWindow.Seconds())
	admission.smoothFits += weight * (fits - admission.smoothFits)
	admission.finished += weight * (finished - admission.finished)
}

func (admission *Admission) recordWork(work float64) {
	if admission.meanWork == 0 {
		admission.meanWork = work
	}
	admission.meanWork += workWeight * (work - admission.meanWork)
}

// fits returns the share of the offered work, per daemon, for which there is room: what
// the engines finish, plus what fills their free places within fillTime, or less what
// works off their queue.
func (admission *Admission) fits(room Room, offered float64) float64 {
	free := fullShare*room.Capacity - room.Running - room.Waiting
	streams := room.Running/room.RunTime.Seconds() + free/fillTime.Seconds()
	if offered <= 0 {
		return 1
	}
	share := max(streams, 0) * admission.meanWork / float64(max(room.Daemons, 1)) / offered
	return max(share, free/(freeShare*room.Capacity))
}

// judge decides on a request for which there may be no room.
func (admission *Admission) judge(verdict *Verdict, request Request, ranks []float64, returned bool, draw func() float64) {
	fills := fillRanks(ranks, verdict.Fits, rankFloor)
	rank := min(max(request.Rank, 0), len(ranks)-1)
	verdict.Rule, verdict.RankFits = RuleRank, fills[rank]
	if request.Wait < admission.shortestTarget && admission.isServed(ranks, rank) {
		verdict.RankFits = 1
	}
	if returned && admission.isKept(request) {
		verdict.Admitted, verdict.Rule, verdict.Probability = true, RuleKept, 1
		return
	}
	shares := admission.shares(verdict.Demand)
	verdict.Share = admission.shareOf(request.Organisation, verdict.Demand)
	// With less room than one part in excessLevel, organisations of equal size would all be
	// beyond the level, and the ranks would no longer count.
	if level := excessLevel * fairLevel(shares, max(verdict.Fits, 1.0/excessLevel)); verdict.Share > level && draw() > level/verdict.Share {
		verdict.Rule, verdict.RankFits = RuleExcess, fills[len(fills)-1]
	}
	verdict.FairShare = fairLevel(shares, verdict.RankFits)
	probability := verdict.RankFits
	if verdict.RankFits < 1 && verdict.Share > 0 && request.Organisation != "" {
		fair := verdict.FairShare / verdict.Share
		if probability = min(max(fair, minShareFactor*verdict.RankFits), 1); verdict.Rule == RuleRank && fair < verdict.RankFits {
			verdict.Rule = RuleShare
		}
	}
	if probability < 1 {
		probability = admission.favourShort(probability, request.Work)
	}
	if probability < 1 {
		// A longer target must not bring a less urgent request before a more urgent one.
		probability = max(probability*(1-RefusalProbability(request.Wait, admission.shortestTarget, returned)), min(probability, rankFloor))
	}
	verdict.Probability = probability
	verdict.Admitted = draw() < probability
}

// isServed reports whether the engines finish more work than the rank and the more urgent
// ones ask for. The engines take these first, so that a queue of less urgent ones does not
// delay them.
func (admission *Admission) isServed(ranks []float64, rank int) bool {
	urgent := 0.0
	for _, work := range ranks[:rank+1] {
		urgent += work
	}
	return urgent <= servedMargin*admission.finished
}

// favourShort returns the probability with which a request is admitted that needs the work,
// where one that needs the mean is admitted with the given probability.
func (admission *Admission) favourShort(probability, work float64) float64 {
	relative := min(max(work/admission.meanWork, minRelativeWork), maxRelativeWork)
	return max(math.Pow(probability, relative), minWorkFactor*probability)
}

// shares returns the organisations' shares of the demand in descending order. Work of
// organisations that are not known counts as many small shares.
func (admission *Admission) shares(offered float64) []float64 {
	var shares []float64
	known, smallest := 0.0, 1.0
	for _, organisation := range admission.demand.Organisations() {
		share := organisation.Work / offered
		shares = append(shares, share)
		known += share
		smallest = min(smallest, share)
	}
	for rest := 1 - known; rest > 0.001 && smallest > 0.001; rest -= smallest {
		shares = append(shares, min(rest, smallest))
	}
	return shares
}

// shareOf returns the organisation's share of the demand, 0 if nobody has told of it.
func (admission *Admission) shareOf(name string, offered float64) float64 {
	rate, ok := admission.demand.organisations[name]
	if !ok {
		return 0
	}
	return rate.mean / offered
}

// isKept reports whether a place is kept for a request that has returned, by the time
// that its caller has left.
func (admission *Admission) isKept(request Request) bool {
	spent := 1 - float64(request.Left)/float64(request.Longest)
	return spent >= minReturnShare-returnTolerance && spent <= keptUntil+returnTolerance
}

// promise returns when a refused caller should return, and whether a place is kept for it.
func (admission *Admission) promise(verdict Verdict, request Request, returned bool, draw func() float64) (bool, time.Duration) {
	refused := 1 - verdict.Fits
	// Without a time left a returning caller is not recognised.
	kept := !returned && request.Left > 0 && verdict.Rule != RuleExcess && draw()*refused < keptShare*verdict.RankFits
	from, to := freeFrom, maxReturnShare
	if kept {
		from, to = minReturnShare, keptUntil
	}
	return kept, time.Duration((from + draw()*(to-from)) * float64(request.Left))
}
