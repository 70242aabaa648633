package hatchpath

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"dragonflyhatch"
)

const (
	// minRefusalSpan is how long a process must have refused requests, with none taken
	// in between, to be treated as refusing.
	minRefusalSpan = 150 * time.Millisecond
	// refusalSettleTime is the least time from the first refusal until a process is
	// treated as refusing, and contradictionTime how long a daemon must have known that
	// its refusals last. In these times daemons whose requests the process has taken since
	// hear of the refusals and contradict. Shorter times treat more processes as refusing
	// that take some requests; longer ones delay the news beyond the bound of 400 ms within
	// which nine in ten daemons are to know.
	refusalSettleTime = 400 * time.Millisecond
	contradictionTime = 120 * time.Millisecond
	// maxQueueSettleTime bounds the time that is added for the queue of a head. A request
	// that it has taken shows only after that wait.
	maxQueueSettleTime = 700 * time.Millisecond
	// refusalMemory and refusingMemory are how long refusals are remembered without a
	// further one: those of a process that is not treated as refusing, and those of one
	// that is. The latter exceeds maxTrialDelay and the time after which each of 512
	// daemons may try, so that a process that nobody tries is not avoided for ever.
	refusalMemory  = time.Second
	refusingMemory = 10 * time.Second
	// sameEventTolerance is the difference in time up to which two reports are taken to be
	// of the same event. Each message adds the time that it is under way, and the earlier
	// report of an event is the more exact one.
	sameEventTolerance = 100 * time.Millisecond
	// minTrialDelay is the time from the latest refusal to the first trial. The delay
	// doubles with each further trial up to maxTrialDelay.
	minTrialDelay = 500 * time.Millisecond
	maxTrialDelay = 4 * time.Second
	// trialTolerance is by how much the refusals may last longer than the trials so far
	// account for: daemons that do not know of them yet are refused too.
	trialTolerance = 100 * time.Millisecond
	// trialDoubling is the time without news in which the number of daemons that may try
	// doubles.
	trialDoubling = 500 * time.Millisecond
	// maxTrialDoublings bounds the doublings; 512 daemons are more than any fleet has.
	maxTrialDoublings = 9
	// trialTime is how long a daemon waits for the outcome of its trial before it may send
	// another one. Callers abandon a silent stream after two seconds.
	trialTime = 2 * time.Second
	// trialCost is the cost of a replica that is due for this daemon's trial, relative to
	// its usual cost, so that a request soon chooses it among equal ones.
	trialCost = 0.5
	// trialRankDelay is the time after the latest refusal from which the rank for the next
	// trial is determined. Ranks are costly, and most refusals are followed by others.
	trialRankDelay = 100 * time.Millisecond
	// refusalNewsTime is how long it is reported that a process takes requests again.
	refusalNewsTime = 3 * time.Second
	// firstReportTime is how long refusals are reported that may be an exception. Reports
	// seem younger with each peer that passes them on, so that those of a busy process
	// otherwise outlive its acceptances.
	firstReportTime = 250 * time.Millisecond
	// maxRefusalCount and maxRefusalAge bound what a peer may report, so that a larger
	// count or age does not overflow the 32 bits of the fields in messages.
	maxRefusalCount = 1 << 20
	maxRefusalAge   = 24 * time.Hour
	// newRefusalsShare is the share of a message for the latest reports; the others take
	// turns in the rest of it.
	newRefusalsShare = 0.75
	// reportTurn is the time after which the next report has its turn.
	reportTurn = 50 * time.Millisecond
)

// Refusals is what is known of the refusals of a process for lack of capacity since it
// last took a request. Its methods return a changed copy.
type Refusals struct {
	Count    int
	First    time.Time
	Latest   time.Time
	Accepted time.Time // when the latest request was sent that the process is known to have taken; zero if unknown
}

// NewRefusals returns the refusals that a peer reported.
func NewRefusals(now time.Time, report dragonflyhatch.ReplicaRefusals) Refusals {
	var refusals Refusals
	if report.Refusals > 0 && report.Latest >= 0 && report.First >= report.Latest {
		refusals = Refusals{
			Count:  min(report.Refusals, maxRefusalCount),
			First:  now.Add(-min(report.First, maxRefusalAge)),
			Latest: now.Add(-min(report.Latest, maxRefusalAge)),
		}
	}
	if report.Accepted >= 0 {
		refusals.Accepted = now.Add(-report.Accepted)
	}
	return refusals
}

// Report returns the refusals of the process as they are sent to peers.
func (refusals Refusals) Report(now time.Time, process dragonflyhatch.ReplicaProcess) dragonflyhatch.ReplicaRefusals {
	report := dragonflyhatch.ReplicaRefusals{Process: process, Refusals: refusals.Count, Accepted: -1}
	if refusals.Count > 0 {
		report.First, report.Latest = max(now.Sub(refusals.First), 0), max(now.Sub(refusals.Latest), 0)
	}
	if !refusals.Accepted.IsZero() {
		report.Accepted = max(now.Sub(refusals.Accepted), 0)
	}
	return report
}

// Refused adds a refusal.
func (refusals Refusals) Refused(now time.Time) Refusals {
	if refusals.Count == 0 {
		refusals.First, refusals.Latest = now, now
	}
	refusals.Count = min(refusals.Count+1, maxRefusalCount)
	if now.After(refusals.Latest) {
		refusals.Latest = now
	}
	return refusals
}

// Took drops the refusals that are older than a request that the process has taken. Of
// those after it only the latest is known exactly, so that they begin with that one.
func (refusals Refusals) Took(sent time.Time) Refusals {
	if sent.After(refusals.Accepted) {
		refusals.Accepted = sent
	}
	return refusals.dropped(refusals.Accepted)
}

// dropped is Took without a change of Accepted.
func (refusals Refusals) dropped(accepted time.Time) Refusals {
	switch {
	case refusals.Count == 0 || refusals.First.After(accepted):
	case refusals.Latest.After(accepted):
		refusals.Count, refusals.First = 1, refusals.Latest
	default:
		refusals = Refusals{Accepted: refusals.Accepted}
	}
	return refusals
}

// Merge adds what another daemon knows: the latest acceptance and the latest refusal win,
// and refusals older than the acceptance are dropped.
func (refusals Refusals) Merge(other Refusals) Refusals {
	other = other.aligned(refusals)
	accepted := latestEvent(refusals.Accepted, other.Accepted)
	refusals, other = refusals.dropped(accepted), other.dropped(accepted)
	switch {
	case refusals.Count == 0:
		refusals = other
	case other.Count > 0:
		mine, lasting := refusals.Latest, refusals.Lasting() || other.Lasting()
		refusals.Latest = latestEvent(mine, other.Latest)
		if other.First.Before(refusals.First) {
			refusals.First = other.First
		}
		if lasting && !refusals.Lasting() { // the later time is that of another refusal
			refusals.Latest = later(mine, other.Latest)
		}
		refusals.Count = max(refusals.Count, other.Count)
	}
	refusals.Accepted = accepted
	return refusals
}

// aligned returns the refusals with earlier times if their first refusal is the same event
// as that of known, and seems later for the time that messages took. Otherwise an acceptance
// before that refusal could seem to follow it, and undo refusals that last.
func (refusals Refusals) aligned(known Refusals) Refusals {
	shift := refusals.First.Sub(known.First)
	if refusals.Count == 0 || known.Count == 0 || shift <= 0 || shift > sameEventTolerance {
		return refusals
	}
	if refusals.Lasting() { // otherwise an earlier time of the latest refusal could hide that they last
		refusals.First, refusals.Latest = known.First, refusals.Latest.Add(-shift)
	}
	if !refusals.Accepted.IsZero() {
		refusals.Accepted = refusals.Accepted.Add(-shift)
	}
	return refusals
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// latestEvent returns the time of the later of two events, or the earlier of two times of
// the same event. Without that rule the time would grow with each message.
func latestEvent(a, b time.Time) time.Time {
	if a.After(b) {
		a, b = b, a
	}
	if b.Sub(a) <= sameEventTolerance {
		return a
	}
	return b
}

// Lasting reports whether the process has refused requests for long enough to be treated
// as refusing unless a daemon contradicts.
func (refusals Refusals) Lasting() bool {
	return refusals.Count > 0 && refusals.Latest.Sub(refusals.First) >= minRefusalSpan
}

// Current returns the refusals without those that are no longer remembered.
func (refusals Refusals) Current(now time.Time) Refusals {
	memory := refusalMemory
	if refusals.Lasting() {
		memory = refusingMemory
	}
	if refusals.Count > 0 && now.Sub(refusals.Latest) > memory {
		return Refusals{Accepted: refusals.Accepted}
	}
	return refusals
}

// IsRefusing reports whether the process is to be avoided; queueWait is the expected wait
// of a request that it takes.
func (refusals Refusals) IsRefusing(now time.Time, queueWait time.Duration) bool {
	return refusals.Lasting() && now.Sub(refusals.First) >= refusalSettleTime+min(queueWait, maxQueueSettleTime) &&
		now.Sub(refusals.Latest) <= refusingMemory
}

// NextTrial returns the number of the next trial, from 0, and when the first daemon may
// send it. Both follow from how long the refusals have lasted, so that daemons that know
// the same refusals agree.
func (refusals Refusals) NextTrial() (number int, at time.Time) {
	delay := minTrialDelay
	left := refusals.Latest.Sub(refusals.First) - trialTolerance
	for ; left >= delay && delay < maxTrialDelay; number++ {
		left -= delay
		delay *= 2
	}
	if delay >= maxTrialDelay {
		number += int(max(left, 0) / maxTrialDelay)
	}
	return number, refusals.Latest.Add(delay)
}

// TrialAt returns when the daemon with the rank, or any daemon if it is negative, may
// send the next trial.
func (refusals Refusals) TrialAt(rank int) time.Time {
	_, at := refusals.NextTrial()
	doublings := maxTrialDoublings
	if rank >= 0 {
		doublings = min(bits.Len(uint(rank)), maxTrialDoublings)
	}
	return at.Add(time.Duration(doublings) * trialDoubling)
}

// isNews reports whether the refusals differ from those known before in a way that other
// daemons decide by.
func (refusals Refusals) isNews(before Refusals) bool {
	switch {
	case refusals.Count == 0 || before.Count == 0:
		return refusals.Count != before.Count
	case refusals.Lasting() != before.Lasting():
		return true
	}
	return refusals.First.Sub(before.First) > sameEventTolerance || refusals.Lasting() && refusals.Latest.Sub(before.Latest) > minTrialDelay/2
}

// unranked is the rank of a daemon whose rank for a trial is not known: it tries last.
const unranked = -1

// refusalState is what a daemon knows of a process's refusals, and its own part in the
// next trial. It is immutable.
type refusalState struct {
	Refusals
	rank      int       // of this daemon for the next trial, or unranked
	ranked    bool      // the rank has been determined
	trialEnds time.Time // until then a trial of this daemon is in progress
	newsAt    time.Time // when peers were last to be told of a change
	lastingAt time.Time // since when this daemon knows of lasting refusals
}

// mayTry reports whether this daemon may send a request as a trial.
func (state *refusalState) mayTry(now time.Time) bool {
	return !now.Before(state.TrialAt(state.rank)) && !now.Before(state.trialEnds)
}

// updateRefusals replaces the refusals by the result of change, and reports whether that
// is news for the peers.
func (health *Health) updateRefusals(now time.Time, change func(Refusals) Refusals) bool {
	for {
		known := health.refusalState.Load()
		state := known
		if state == nil {
			state = &refusalState{rank: unranked}
		}
		before := state.Current(now)
		next := refusalState{Refusals: change(before), rank: unranked, newsAt: state.newsAt}
		if next.Refusals == state.Refusals {
			return false
		}
		if next.Latest.Equal(state.Latest) && next.First.Equal(state.First) {
			next.rank, next.ranked, next.trialEnds = state.rank, state.ranked, state.trialEnds
		}
		next.lastingAt = state.lastingAt
		if !before.Lasting() || next.First.Sub(before.First) > sameEventTolerance {
			next.lastingAt = now
		}
		news := next.isNews(before)
		if news {
			next.newsAt = now
		}
		if !health.refusalState.CompareAndSwap(known, &next) {
			continue
		}
		if before.Lasting() && !next.Lasting() {
			health.refusals.Store(0)
			shortenExclusion(&health.fullUntil, now, fullBackoff)
		}
		return news
	}
}

// RecordRefusal records that the process refused a request for lack of capacity, and
// reports whether that is news for the peers.
func (health *Health) RecordRefusal(now time.Time) bool {
	news := health.updateRefusals(now, func(refusals Refusals) Refusals { return refusals.Took(health.lastTaken()).Refused(now) })
	health.MarkFull(now)
	return news
}

// RecordTaken records that the process took a request that was sent then, and reports
// whether that is news for the peers.
func (health *Health) RecordTaken(now, sent time.Time) bool {
	health.RecordAccepted()
	nanos := max(monotonicNanos(sent), 1)
	for {
		previous := health.taken.Load()
		if previous >= nanos || health.taken.CompareAndSwap(previous, nanos) {
			break
		}
	}
	if state := health.refusalState.Load(); state == nil || state.Count == 0 {
		return false
	}
	return health.updateRefusals(now, func(refusals Refusals) Refusals { return refusals.Took(sent) })
}

// lastTaken returns when the latest request was sent that the process took from this
// daemon, or the zero time.
func (health *Health) lastTaken() time.Time {
	if taken := health.taken.Load(); taken != 0 {
		return epoch.Add(time.Duration(taken))
	}
	return time.Time{}
}

// MergeRefusals adds what a peer reports of the process, and reports whether there is
// news for the peers: from the peer, or for it because this daemon knows better.
func (health *Health) MergeRefusals(now time.Time, report dragonflyhatch.ReplicaRefusals) bool {
	other, contradicted := NewRefusals(now, report).Current(now), false
	news := health.updateRefusals(now, func(refusals Refusals) Refusals {
		merged := refusals.Took(health.lastTaken()).Merge(other)
		contradicted = other.Count > 0 && merged.Accepted.Sub(other.Accepted) > sameEventTolerance && !merged.Accepted.Before(other.First)
		return merged
	})
	if state := health.refusalState.Load(); contradicted && state != nil && now.Sub(state.newsAt) > sameEventTolerance {
		next := *state
		next.newsAt = now
		health.refusalState.CompareAndSwap(state, &next) // a concurrent change is news too
		return true
	}
	return news
}

// IsRefusing reports whether the process has refused all requests lately, as far as any
// daemon knows.
func (health *Health) IsRefusing(now time.Time) bool {
	state := health.refusalState.Load()
	return state != nil && health.isRefusing(now, state)
}

func (health *Health) isRefusing(now time.Time, state *refusalState) bool {
	return now.Sub(state.lastingAt) >= contradictionTime && state.IsRefusing(now, 0) && state.IsRefusing(now, health.ExpectedWait(now))
}

// BeginTrial reports whether a request that is sent now is this daemon's trial of a
// refusing process. If so, no other request of this daemon is for a while.
func (health *Health) BeginTrial(now time.Time) bool {
	state := health.refusalState.Load()
	if state == nil || !health.isRefusing(now, state) || !state.mayTry(now) {
		return false
	}
	next := *state
	next.trialEnds = now.Add(trialTime)
	return health.refusalState.CompareAndSwap(state, &next)
}

// isTrialDue reports whether the process is treated as refusing and this daemon may send
// a request as a trial.
func (health *Health) isTrialDue(now time.Time) bool {
	state := health.refusalState.Load()
	return state != nil && health.isRefusing(now, state) && state.mayTry(now)
}

// RankTrial determines the daemon's rank for the next trial, unless that is known
// already or the process may refuse further requests before.
func (health *Health) RankTrial(now time.Time, rank func(trial int) int) {
	state := health.refusalState.Load()
	if state == nil || state.ranked || !state.Lasting() || now.Sub(state.Latest) < trialRankDelay {
		return
	}
	next := *state
	number, _ := state.NextTrial()
	next.rank, next.ranked = max(rank(number), unranked), true
	health.refusalState.CompareAndSwap(state, &next) // after a concurrent change the next call determines the rank
}

// Refusing returns the nodes whose processes are treated as refusing, and what is to be
// reported to peers of refusals, at most limit reports. If there are more, the latest are
// sent always and the others in turn.
func (view *View) Refusing(now time.Time, limit int) (refusing []*Node, reports []dragonflyhatch.ReplicaRefusals) {
	for _, node := range view.byAddress {
		state := node.refusalState.Load()
		if state == nil {
			continue
		}
		if node.isRefusing(now, state) {
			refusing = append(refusing, node)
		}
		current := state.Current(now)
		if !current.Lasting() && now.Sub(current.Latest) > firstReportTime {
			current = Refusals{Accepted: current.Accepted}
		}
		if current.Count > 0 || !current.Accepted.IsZero() && now.Sub(state.newsAt) <= refusalNewsTime {
			reports = append(reports, current.Report(now, node.Process()))
		}
	}
	slices.SortFunc(refusing, func(a, b *Node) int { return cmp.Compare(a.Address, b.Address) })
	slices.SortFunc(reports, func(a, b dragonflyhatch.ReplicaRefusals) int {
		return cmp.Or(cmp.Compare(newestAge(a), newestAge(b)), cmp.Compare(a.Process.Address, b.Process.Address))
	})
	if len(reports) > limit {
		latest := int(newRefusalsShare * float64(limit))
		rest := reports[latest:]
		turn := int(now.Sub(epoch)/reportTurn) % len(rest)
		reports = slices.Concat(reports[:latest], rest[turn:], rest[:turn])[:limit]
	}
	return refusing, reports
}

// newestAge returns the age of the latest event of the report.
func newestAge(report dragonflyhatch.ReplicaRefusals) time.Duration {
	switch {
	case report.Refusals == 0:
		return report.Accepted
	case report.Accepted < 0:
		return report.Latest
	}
	return min(report.Latest, report.Accepted)
}

// Allowance bounds how often something is done: Burst times at once, and then once in
// each Interval.
type Allowance struct {
	Interval time.Duration
	Burst    int
	fullAt   time.Time // when Burst is available again
}

// Take reports whether it may be done now, and counts it if so.
func (allowance *Allowance) Take(now time.Time) bool {
	fullAt := allowance.fullAt
	if fullAt.Before(now) {
		fullAt = now
	}
	fullAt = fullAt.Add(allowance.Interval)
	if fullAt.Sub(now) > time.Duration(allowance.Burst)*allowance.Interval {
		return false
	}
	allowance.fullAt = fullAt
	return true
}
