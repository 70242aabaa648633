package hatchpath

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dragonflyhatch"
)

const (
	// fullBackoff is how long a replica that refused a request for lack of capacity
	// is excluded: about the time in which some of its running requests finish. It
	// doubles with each further refusal, up to maxFullBackoff, until the replica takes a
	// request: a stage that drains refuses in the same way, and its registration may say
	// so only seconds later.
	fullBackoff    = 150 * time.Millisecond
	maxFullBackoff = 2400 * time.Millisecond
	// staleRegistrationBackoff is how long a replica whose registration is out of
	// date is excluded: replicas renew their registrations about that often.
	staleRegistrationBackoff = 1200 * time.Millisecond
	// averageWeight is the weight of the newest value in a moving average, from 0
	// to 1.
	averageWeight = 0.2
)

// epoch is the zero point of times in this package. It carries a monotonic
// reading, so that steps of the wall clock do not change the times.
var epoch = time.Now()

// monotonicNanos returns the nanoseconds since epoch.
func monotonicNanos(now time.Time) int64 {
	return int64(now.Sub(epoch))
}

// Health holds what this daemon has observed of one process of a replica: requests
// in flight, load, latency and failures. Its methods are safe for concurrent use.
// Its times are in nanoseconds since epoch.
type Health struct {
	inFlight          atomic.Int64
	tokens            atomic.Int64 // of the requests in flight
	downUntil         atomic.Int64 // excluded until then, as unreachable or because its registration is out of date
	fullUntil         atomic.Int64 // excluded for lack of capacity until then
	refusals          atomic.Int64 // for lack of capacity since the replica last took a request
	refusalState      atomic.Pointer[refusalState]
	taken             atomic.Int64 // when the latest request was sent that the replica took from this daemon, or 0
	pausedUntil       atomic.Int64 // wants no request until then, as it stated when it refused one
	slotsAfter        atomic.Int64 // there are no slots for new requests within the limit that it names until then
	leavingSince      atomic.Int64 // when it first stated that it is leaving, or 0
	lastSeen          atomic.Int64 // last time the replica showed that it is alive
	downSince         atomic.Int64 // 0 unless the replica is unreachable
	terminated        atomic.Bool  // unreachable because its address refuses connections
	nextProbe         atomic.Int64 // earliest time of the next probe
	probeInterval     atomic.Int64 // nanoseconds; grows with each probe until the replica makes progress
	slowdown          atomic.Pointer[timedSlowdown]
	nextSlowdownQuery atomic.Int64 // earliest time of the next query of the slowdown
	latency           average      // seconds
	firstEventLatency atomic.Pointer[timedLatency]
	queueWait         atomic.Pointer[timedLatency] // expected of streams that the engine heads
	headLoad          atomic.Pointer[timedHeadLoad]
	awaited           awaitedStreams
	failureRate       average // share of responses that are failures
	load              atomic.Pointer[timedLoad]
	limit             atomic.Pointer[timedLimit]
}

// timedSlowdown is the slowdown that an engine reported, and when.
type timedSlowdown struct {
	slowdown float64
	at       time.Time
}

// timedLatency is the mean time to the first event of streams that an engine
// heads, and when it was last updated.
type timedLatency struct {
	mean time.Duration
	at   time.Time
}

// firstEventMaxAge is how long a mean time to the first event is used: about the
// time after which callers abandon a silent stream.
const firstEventMaxAge = 2 * time.Second

const (
	// queueWaitMaxAge is how long an expected wait is used. Queues grow by a few
	// hundred milliseconds in a second of overload.
	queueWaitMaxAge = 2 * time.Second
	// queueWaitWeight is the weight of the newest observation in the moving average.
	queueWaitWeight = 0.5
)

// RecordFirstEvent records the time to the first event of a stream that the engine
// heads.
func (health *Health) RecordFirstEvent(now time.Time, latency time.Duration) {
	mean := latency
	if previous := health.FirstEventLatency(now); previous > 0 {
		mean = previous + time.Duration(averageWeight*float64(latency-previous))
	}
	health.firstEventLatency.Store(&timedLatency{mean, now}) // one of two concurrent updates may be lost
}

// RecordQueueWait records how long a stream that the engine heads is expected to wait
// in its queue, as observed by this daemon or reported by another one. An observation
// that is older than the latest one is ignored.
func (health *Health) RecordQueueWait(observed time.Time, wait time.Duration) {
	previous := health.queueWait.Load()
	switch {
	case previous == nil:
	case !observed.After(previous.at):
		return
	case observed.Sub(previous.at) <= queueWaitMaxAge:
		wait = previous.mean + time.Duration(queueWaitWeight*float64(wait-previous.mean))
	}
	health.queueWait.CompareAndSwap(previous, &timedLatency{wait, observed})
}

// LatestQueueWait returns the latest expected wait in the engine's queue and when it
// was observed, or false if it was observed longer than queueWaitMaxAge ago.
func (health *Health) LatestQueueWait(now time.Time) (wait time.Duration, observed time.Time, ok bool) {
	latest := health.queueWait.Load()
	if latest == nil || now.Sub(latest.at) > queueWaitMaxAge {
		return 0, time.Time{}, false
	}
	return latest.mean, latest.at, true
}

// FirstEventLatency returns the mean time to the first event of recent streams that
// the engine heads, or 0 if there were none.
func (health *Health) FirstEventLatency(now time.Time) time.Duration {
	latest := health.firstEventLatency.Load()
	if latest == nil || now.Sub(latest.at) > firstEventMaxAge {
		return 0
	}
	return latest.mean
}

// awaitedStreams holds the start times of this daemon's streams that wait for their
// first event.
type awaitedStreams struct {
	mu     sync.Mutex
	starts []time.Time
}

// AwaitFirstEvent records that a stream was sent to the engine as its head. The
// returned function records that it has received its first event or has ended.
func (health *Health) AwaitFirstEvent(now time.Time) (done func()) {
	awaited := &health.awaited
	awaited.mu.Lock()
	defer awaited.mu.Unlock()
	awaited.starts = append(awaited.starts, now)
	return sync.OnceFunc(func() {
		awaited.mu.Lock()
		defer awaited.mu.Unlock()
		if index := slices.Index(awaited.starts, now); index >= 0 {
			awaited.starts = slices.Delete(awaited.starts, index, index+1)
		}
	})
}

// meanAge returns the mean time that the streams have waited so far.
func (awaited *awaitedStreams) meanAge(now time.Time) time.Duration {
	awaited.mu.Lock()
	defer awaited.mu.Unlock()
	if len(awaited.starts) == 0 {
		return 0
	}
	var total time.Duration
	for _, start := range awaited.starts {
		total += now.Sub(start)
	}
	return total / time.Duration(len(awaited.starts))
}

// usualFirstEvent is the time to a first event that streams take without a queue.
const usualFirstEvent = 200 * time.Millisecond

// ExpectedWait returns how long a stream that is sent to the engine now is expected to
// wait in its queue: the latest known wait, or the mean time that this daemon's streams
// have waited there so far, if that is longer and more than usual without a queue.
func (health *Health) ExpectedWait(now time.Time) time.Duration {
	latest, _, _ := health.LatestQueueWait(now)
	if age := health.awaited.meanAge(now); age > max(latest, usualFirstEvent) {
		return age
	}
	return latest
}

const (
	// slowdownMaxAge is how long a reported slowdown is used.
	slowdownMaxAge = 4 * time.Second
	// slowdownQueryInterval is the minimum time between two queries of one engine's
	// slowdown.
	slowdownQueryInterval = 2 * time.Second
)

// RecordSlowdown records the slowdown that the engine reported; 1 means its
// accelerator's nominal speed.
func (health *Health) RecordSlowdown(now time.Time, slowdown float64) {
	health.slowdown.Store(&timedSlowdown{slowdown, now})
}

// Slowdown returns the engine's slowdown: the factor, at least 1, by which it is slower
// than its accelerator's nominal speed. It is 1 if there is no recent report.
func (health *Health) Slowdown(now time.Time) float64 {
	report := health.slowdown.Load()
	if report == nil || now.Sub(report.at) > slowdownMaxAge {
		return 1
	}
	return max(report.slowdown, 1)
}

// TryStartSlowdownQuery reports whether the engine's slowdown may be queried now. If so,
// it reserves the query: only one of several concurrent calls returns true.
func (health *Health) TryStartSlowdownQuery(now time.Time) bool {
	next := health.nextSlowdownQuery.Load()
	return monotonicNanos(now) >= next && health.nextSlowdownQuery.CompareAndSwap(next, monotonicNanos(now.Add(slowdownQueryInterval)))
}

// noLimit stands for the end of a limit.
const noLimit = -1

// timedLimit is the limit in requests a second that a replica named, or noLimit, and
// when that was observed.
type timedLimit struct {
	perSecond float64
	at        time.Time
}

// RecordLimit records that the replica names the limit in requests a second for all
// daemons together, or none if it is negative. An observation that is older than the
// latest one is ignored. RecordLimit reports whether the limit has changed.
func (health *Health) RecordLimit(observed time.Time, perSecond float64) bool {
	if perSecond < 0 {
		perSecond = noLimit
	}
	previous := health.limit.Load()
	switch {
	case previous == nil && perSecond == noLimit, previous != nil && !observed.After(previous.at):
		return false
	}
	if !health.limit.CompareAndSwap(previous, &timedLimit{perSecond, observed}) {
		return false
	}
	return previous == nil || previous.perSecond != perSecond
}

// Limit returns the limit in requests a second that the replica names, or false if it
// names none.
func (health *Health) Limit() (perSecond float64, ok bool) {
	limit := health.limit.Load()
	if limit == nil || limit.perSecond == noLimit {
		return 0, false
	}
	return limit.perSecond, true
}

// timedLoad is the load that a replica reported, and when.
type timedLoad struct {
	dragonflyhatch.ServiceLoad
	at time.Time
}

// average is an exponential moving average, safe for concurrent use. It is 0 before
// the first value is added.
type average struct {
	bits atomic.Uint64
}

func (average *average) value() float64 {
	return math.Float64frombits(average.bits.Load())
}

// add adds a value. One of two concurrent values may be lost, which hardly
// changes a moving average.
func (average *average) add(value float64) {
	old := average.value()
	if old == 0 {
		average.bits.Store(math.Float64bits(value))
		return
	}
	average.bits.Store(math.Float64bits(old + averageWeight*(value-old)))
}

// Begin records that a request of the given number of tokens was sent to the
// replica.
func (health *Health) Begin(tokens int) {
	health.inFlight.Add(1)
	health.tokens.Add(int64(tokens))
}

// End records that a request of the given number of tokens has ended.
func (health *Health) End(tokens int) {
	health.inFlight.Add(-1)
	health.tokens.Add(-int64(tokens))
}

// RecordResponse records a response, its latency and whether it was a failure.
func (health *Health) RecordResponse(now time.Time, elapsed time.Duration, failed bool) {
	health.MarkReachable(now)
	health.latency.add(elapsed.Seconds())
	health.RecordOutcome(failed)
}

// RecordOutcome records whether a request to the replica was a failure.
func (health *Health) RecordOutcome(failed bool) {
	if failed {
		health.failureRate.add(1)
	} else {
		health.failureRate.add(1e-6) // 0 would mean that no value has been added
	}
}

// RecordLoad records the load that the replica reported.
func (health *Health) RecordLoad(now time.Time, load dragonflyhatch.ServiceLoad) {
	health.load.Store(&timedLoad{load, now})
}

// MarkReachable records that the replica is alive, and ends its exclusion as
// unreachable or for an out-of-date registration.
func (health *Health) MarkReachable(now time.Time) {
	health.lastSeen.Store(monotonicNanos(now))
	health.downUntil.Store(0)
	health.downSince.Store(0)
	health.terminated.Store(false)
}

// RecordProgress records that the replica made progress on a request, so that there is
// no reason to probe it soon. The pauses between probes start again: the next one may
// follow as soon as the replica seems silent.
func (health *Health) RecordProgress(now time.Time) {
	health.lastSeen.Store(monotonicNanos(now))
	health.probeInterval.Store(0)
	health.nextProbe.Store(math.MinInt64)
}

const (
	// minProbeInterval and maxProbeInterval bound the time between probes of a
	// replica that answers them although its requests make no progress, and
	// probeIntervalFactor is the growth of that time. Probes back off because each of
	// them costs the replica some time: a preempted stream may be silent for a second
	// although all of its stages are alive.
	minProbeInterval    = 100 * time.Millisecond
	maxProbeInterval    = 2 * time.Second
	probeIntervalFactor = 3
)

// probeIsDue reports whether TryStartProbe may return true.
func (health *Health) probeIsDue(now time.Time) bool {
	return monotonicNanos(now) >= health.nextProbe.Load()
}

// TryStartProbe reports whether the replica may be probed now. If so, it reserves the
// probe: only one of several concurrent calls returns true. The interval grows with
// each probe until the replica makes progress.
func (health *Health) TryStartProbe(now time.Time) bool {
	next := health.nextProbe.Load()
	if monotonicNanos(now) < next {
		return false
	}
	interval := min(max(probeIntervalFactor*time.Duration(health.probeInterval.Load()), minProbeInterval), maxProbeInterval)
	if !health.nextProbe.CompareAndSwap(next, monotonicNanos(now.Add(interval))) {
		return false
	}
	health.probeInterval.Store(int64(interval))
	return true
}

// SinceLastSeen returns the time since the replica last showed that it is alive.
func (health *Health) SinceLastSeen(now time.Time) time.Duration {
	return time.Duration(monotonicNanos(now) - health.lastSeen.Load())
}

// DownFor returns how long the replica has been unreachable, or 0 if it is
// reachable.
func (health *Health) DownFor(now time.Time) time.Duration {
	since := health.downSince.Load()
	if since == 0 {
		return 0
	}
	return time.Duration(monotonicNanos(now) - since)
}

// MarkUnreachable records that the replica could not be reached, and excludes it until
// MarkReachable is called. It reports whether the replica counted as reachable before.
func (health *Health) MarkUnreachable(now time.Time) bool {
	health.downUntil.Store(math.MaxInt64)
	return health.downSince.CompareAndSwap(0, monotonicNanos(now))
}

// MarkTerminated records that the replica's address refuses connections, so that its
// process has terminated rather than its host or the network.
func (health *Health) MarkTerminated() {
	health.terminated.Store(true)
}

// HasTerminated reports whether the replica's process was found to have terminated.
func (health *Health) HasTerminated() bool {
	return health.terminated.Load()
}

// MarkRegistrationStale records that the registration is out of date: the replica does
// not hold the layers that it registered, or another process has its address.
func (health *Health) MarkRegistrationStale(now time.Time) {
	extendExclusion(&health.downUntil, now, staleRegistrationBackoff)
}

// MarkFull records that the replica refused a request for lack of capacity. Refusals
// while it is excluded already are those of requests that were sent before.
func (health *Health) MarkFull(now time.Time) {
	if health.IsFull(now) {
		return
	}
	backoff := fullBackoff
	for range min(health.refusals.Add(1)-1, 8) {
		backoff *= 2
	}
	extendExclusion(&health.fullUntil, now, min(backoff, maxFullBackoff))
}

// RecordAccepted records that the replica took a new request.
func (health *Health) RecordAccepted() {
	health.refusals.Store(0)
}

// extendExclusion excludes a replica for the duration from now on, unless it is
// already excluded for longer.
func extendExclusion(until *atomic.Int64, now time.Time, duration time.Duration) {
	end := monotonicNanos(now.Add(duration))
	for {
		old := until.Load()
		if old >= end || until.CompareAndSwap(old, end) {
			return
		}
	}
}

// IsDown reports whether the replica is excluded because it could not be reached or
// because its registration is out of date.
func (health *Health) IsDown(now time.Time) bool {
	return health.downUntil.Load() > monotonicNanos(now)
}

// shortenExclusion ends an exclusion after the duration from now on at the latest.
func shortenExclusion(until *atomic.Int64, now time.Time, duration time.Duration) {
	end := monotonicNanos(now.Add(duration))
	for {
		old := until.Load()
		if old <= end || until.CompareAndSwap(old, end) {
			return
		}
	}
}

// IsFull reports whether the replica has recently refused a request for lack of
// capacity, or all requests of all daemons. In the latter case it is not full for the
// request that this daemon may send as a trial.
func (health *Health) IsFull(now time.Time) bool {
	if state := health.refusalState.Load(); state != nil && health.isRefusing(now, state) {
		return !state.mayTry(now)
	}
	return health.fullUntil.Load() > monotonicNanos(now)
}

// Pause records that the replica refused a request and wants no other for the
// duration.
func (health *Health) Pause(now time.Time, duration time.Duration) {
	extendExclusion(&health.pausedUntil, now, duration)
}

// PausedFor returns for how long the replica still wants no request, or 0.
func (health *Health) PausedFor(now time.Time) time.Duration {
	return max(time.Duration(health.pausedUntil.Load()-monotonicNanos(now)), 0)
}

// DenySlots records that there are no slots for new requests for the duration, within
// the limit that the replica names.
func (health *Health) DenySlots(now time.Time, duration time.Duration) {
	extendExclusion(&health.slotsAfter, now, duration)
}

// ClosedFor returns for how long the replica takes no request, or no new one if resumed
// is not set, or 0.
func (health *Health) ClosedFor(now time.Time, resumed bool) time.Duration {
	closed := health.PausedFor(now)
	if !resumed {
		closed = max(closed, time.Duration(health.slotsAfter.Load()-monotonicNanos(now)))
	}
	return closed
}

// MarkLeaving records that the replica stated that it is leaving. It is not sent any
// request from then on: a process that leaves does not come back. MarkLeaving reports
// whether this was not known before.
func (health *Health) MarkLeaving(now time.Time) bool {
	return health.leavingSince.CompareAndSwap(0, max(monotonicNanos(now), 1))
}

// IsLeaving reports whether the replica has stated that it is leaving.
func (health *Health) IsLeaving() bool {
	return health.leavingSince.Load() != 0
}

// leavingRetention is how long it is remembered that a process which is no longer
// registered was leaving. Its registration may come back, for example after an outage
// of the store, but not for longer than a process takes to end.
const leavingRetention = 10 * time.Minute

// HealthSet holds the Health of each process of each replica. It is safe for
// concurrent use.
type HealthSet struct {
	mu        sync.Mutex
	byProcess map[dragonflyhatch.ReplicaProcess]*Health
}

// NewHealthSet returns an empty set.
func NewHealthSet() *HealthSet {
	return &HealthSet{byProcess: make(map[dragonflyhatch.ReplicaProcess]*Health)}
}

// Get returns the Health of the replica's process, which it creates at the first
// call.
func (healths *HealthSet) Get(replica dragonflyhatch.Replica) *Health {
	return healths.GetProcess(replica.Process())
}

// GetProcess returns the Health of the process, which it creates at the first call.
func (healths *HealthSet) GetProcess(process dragonflyhatch.ReplicaProcess) *Health {
	healths.mu.Lock()
	defer healths.mu.Unlock()
	health, ok := healths.byProcess[process]
	if !ok {
		health = new(Health)
		healths.byProcess[process] = health
	}
	return health
}

// Retain removes all processes except those of the given replicas and those that
// stated less than leavingRetention ago that they are leaving.
func (healths *HealthSet) Retain(now time.Time, replicas []dragonflyhatch.Replica) {
	keep := make(map[dragonflyhatch.ReplicaProcess]bool, len(replicas))
	for _, replica := range replicas {
		keep[replica.Process()] = true
	}
	forgetLeaving := monotonicNanos(now.Add(-leavingRetention))
	healths.mu.Lock()
	defer healths.mu.Unlock()
	for process, health := range healths.byProcess {
		since := health.leavingSince.Load()
		if !keep[process] && (since == 0 || since < forgetLeaving) {
			delete(healths.byProcess, process)
		}
	}
}
