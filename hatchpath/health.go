package hatchpath

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"dragonflyhatch"
)

const (
	// fullTime is how long a replica that refused for want of room is left out:
	// about the time in which some requests end.
	fullTime = 150 * time.Millisecond
	// unholdingTime is how long a replica that does not hold what it registered
	// is left out: replicas register about once in that time.
	unholdingTime = 1200 * time.Millisecond
	// averageWeight is the weight of the newest value in a moving average.
	averageWeight = 0.2
)

// epoch is the zero of the process's own time, which the clock's steps do not
// touch.
var epoch = time.Now()

func ticks(now time.Time) int64 {
	return int64(now.Sub(epoch))
}

// Health is what this daemon has seen of one process of a replica. Its methods
// may be called by several goroutines.
type Health struct {
	inFlight  atomic.Int64
	tokens    atomic.Int64 // of the requests in flight
	downUntil atomic.Int64 // ticks
	fullUntil atomic.Int64 // ticks
	reached   atomic.Int64 // ticks of the last proof of life
	downSince atomic.Int64 // ticks, 0 unless the replica is down
	nextProbe atomic.Int64 // ticks before which there is no further probe
	probeGap  atomic.Int64 // nanoseconds, grows with each probe in vain
	pace      atomic.Pointer[timedPace]
	nextAsk   atomic.Int64 // ticks before which the replica is not asked for its pace
	latency   average      // seconds
	firstWait atomic.Pointer[timedWait]
	failures  average // share of answers that are failures
	load      atomic.Pointer[timedLoad]
}

// timedPace is what an engine said of its pace, against its accelerator's own.
type timedPace struct {
	pace float64
	at   time.Time
}

// timedWait is the mean time to the first events of streams that an engine heads.
type timedWait struct {
	mean time.Duration
	at   time.Time
}

// firstWaitAge is how long the first events that came count: about the time in
// which callers give a silent stream up.
const firstWaitAge = 2 * time.Second

// FirstEvent notes how long a stream that the engine heads took to its first event.
func (health *Health) FirstEvent(now time.Time, took time.Duration) {
	mean := took
	if known := health.FirstWait(now); known > 0 {
		mean = known + time.Duration(averageWeight*float64(took-known))
	}
	health.firstWait.Store(&timedWait{mean, now}) // of two at the same moment one is lost
}

// FirstWait returns how long streams that the engine heads have lately taken to
// their first event, 0 if there were none.
func (health *Health) FirstWait(now time.Time) time.Duration {
	known := health.firstWait.Load()
	if known == nil || now.Sub(known.at) > firstWaitAge {
		return 0
	}
	return known.mean
}

const (
	// paceAge is how long an engine's word on its pace counts.
	paceAge = 4 * time.Second
	// askGap is the pause between two questions to one engine.
	askGap = 2 * time.Second
)

// Paced notes what an engine says of its pace; 1 is its accelerator's own.
func (health *Health) Paced(now time.Time, pace float64) {
	health.pace.Store(&timedPace{pace, now})
}

// Pace returns by what factor the engine is slower than its accelerator, 1 if
// that is not known.
func (health *Health) Pace(now time.Time) float64 {
	known := health.pace.Load()
	if known == nil || now.Sub(known.at) > paceAge {
		return 1
	}
	return max(known.pace, 1)
}

// TakeAsk says whether the engine may be asked for its pace now; it returns true
// to one caller at a time.
func (health *Health) TakeAsk(now time.Time) bool {
	next := health.nextAsk.Load()
	return ticks(now) >= next && health.nextAsk.CompareAndSwap(next, ticks(now.Add(askGap)))
}

type timedLoad struct {
	dragonflyhatch.ServiceLoad
	at time.Time
}

// average is a moving average; the zero value has seen nothing.
type average struct {
	bits atomic.Uint64
}

func (average *average) value() float64 {
	return math.Float64frombits(average.bits.Load())
}

// add takes a value. Of two values at the same moment one may be lost, which a
// moving average can bear.
func (average *average) add(value float64) {
	old := average.value()
	if old == 0 {
		average.bits.Store(math.Float64bits(value))
		return
	}
	average.bits.Store(math.Float64bits(old + averageWeight*(value-old)))
}

// Begin notes that a request of so many tokens has been sent to the replica.
func (health *Health) Begin(tokens int) {
	health.inFlight.Add(1)
	health.tokens.Add(int64(tokens))
}

// End notes that a request of so many tokens is over.
func (health *Health) End(tokens int) {
	health.inFlight.Add(-1)
	health.tokens.Add(-int64(tokens))
}

// Answered notes an answer, how long it took and whether it was a failure.
func (health *Health) Answered(now time.Time, took time.Duration, failed bool) {
	health.Reached(now)
	health.latency.add(took.Seconds())
	if failed {
		health.failures.add(1)
	} else {
		health.failures.add(1e-6) // a true 0 would count as nothing seen
	}
}

// Loaded notes what the replica says of its load.
func (health *Health) Loaded(now time.Time, load dragonflyhatch.ServiceLoad) {
	health.load.Store(&timedLoad{load, now})
}

// Reached notes that the replica is alive.
func (health *Health) Reached(now time.Time) {
	health.reached.Store(ticks(now))
	health.downUntil.Store(0)
	health.downSince.Store(0)
}

// Worked notes that the replica took part in an answer, so that there is no
// reason to probe it.
func (health *Health) Worked(now time.Time) {
	health.reached.Store(ticks(now))
	health.probeGap.Store(0)
}

const (
	// minProbeGap and maxProbeGap bound the pause between probes of a replica
	// that answers them though requests over it stand still: a probe takes the
	// replica some time too.
	minProbeGap = 60 * time.Millisecond
	maxProbeGap = 2 * time.Second
)

// TakeProbe says whether the replica may be probed now. It returns true to one
// caller at a time, and the less often the more probes have changed nothing.
func (health *Health) TakeProbe(now time.Time) bool {
	next := health.nextProbe.Load()
	if ticks(now) < next {
		return false
	}
	gap := min(max(2*time.Duration(health.probeGap.Load()), minProbeGap), maxProbeGap)
	if !health.nextProbe.CompareAndSwap(next, ticks(now.Add(gap))) {
		return false
	}
	health.probeGap.Store(int64(gap))
	return true
}

// SinceReached returns how long ago the replica showed that it is alive.
func (health *Health) SinceReached(now time.Time) time.Duration {
	return time.Duration(ticks(now) - health.reached.Load())
}

// DownFor returns for how long the replica has been unreachable, 0 if it is not.
func (health *Health) DownFor(now time.Time) time.Duration {
	since := health.downSince.Load()
	if since == 0 {
		return 0
	}
	return time.Duration(ticks(now) - since)
}

// Unreachable notes that the replica could not be reached. It is left out until
// Reached. It returns true if that had not been known.
func (health *Health) Unreachable(now time.Time) bool {
	health.downUntil.Store(math.MaxInt64)
	return health.downSince.CompareAndSwap(0, ticks(now))
}

// NotHolding notes that the replica does not hold what it registered, or that
// another process has its address.
func (health *Health) NotHolding(now time.Time) {
	leaveOut(&health.downUntil, now, unholdingTime)
}

// Full notes that the replica refused for want of room.
func (health *Health) Full(now time.Time) {
	leaveOut(&health.fullUntil, now, fullTime)
}

// leaveOut moves the end of the time for which a replica is left out, unless it
// is later already.
func leaveOut(until *atomic.Int64, now time.Time, duration time.Duration) {
	wanted := ticks(now.Add(duration))
	for {
		old := until.Load()
		if old >= wanted || until.CompareAndSwap(old, wanted) {
			return
		}
	}
}

// Down says whether the replica is left out because it could not be reached.
func (health *Health) Down(now time.Time) bool {
	return health.downUntil.Load() > ticks(now)
}

// IsFull says whether the replica has just refused for want of room.
func (health *Health) IsFull(now time.Time) bool {
	return health.fullUntil.Load() > ticks(now)
}

// Healths keeps the Health of each process of each replica.
type Healths struct {
	mu    sync.Mutex
	known map[processKey]*Health
}

type processKey struct {
	id      string
	address string
	started int64
}

// NewHealths returns an empty set.
func NewHealths() *Healths {
	return &Healths{known: make(map[processKey]*Health)}
}

// Of returns the health of the replica's process.
func (healths *Healths) Of(replica dragonflyhatch.Replica) *Health {
	healths.mu.Lock()
	defer healths.mu.Unlock()
	key := processKey{replica.ID, replica.Address, replica.Started}
	health, ok := healths.known[key]
	if !ok {
		health = new(Health)
		healths.known[key] = health
	}
	return health
}

// Keep forgets all processes but those of the replicas.
func (healths *Healths) Keep(replicas []dragonflyhatch.Replica) {
	keep := make(map[processKey]bool, len(replicas))
	for _, replica := range replicas {
		keep[processKey{replica.ID, replica.Address, replica.Started}] = true
	}
	healths.mu.Lock()
	defer healths.mu.Unlock()
	for key := range healths.known {
		if !keep[key] {
			delete(healths.known, key)
		}
	}
}
