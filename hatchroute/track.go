package hatchroute

import (
	"sync"
	"sync/atomic"
	"time"

	"dragonflyhatch"
)

// Parameters of the circuit breaker and of the moving average of a replica.
const (
	failureThreshold = 3                      // consecutive failures after which a replica is paused
	minPause         = 500 * time.Millisecond // first pause; each further one is twice as long
	maxPause         = 10 * time.Second       // upper bound of the pauses
	rampDuration     = 5 * time.Second        // duration of the slow start after a pause
	rampStartFactor  = 8                      // factor on the cost when the slow start begins
	averageWindow    = 8                      // a new sample has a weight of 1/averageWindow
)

// Health holds what this daemon knows of one replica from its own calls and from the
// replica's load reports. Its methods are safe for concurrent use.
type Health struct {
	inFlight            atomic.Int64
	otherStreams        atomic.Int64 // running and queued streams of other daemons, from the last load report
	tokenInterval       atomic.Int64 // moving average, in nanoseconds
	consecutiveFailures atomic.Int64
	consecutivePauses   atomic.Int64 // since the last success
	pausedUntil         atomic.Int64 // Unix nanoseconds; paused until then
	rampStart           atomic.Int64 // Unix nanoseconds; start of the latest slow start, 0 if there was none
}

// Begin records that a request was sent to the replica.
func (health *Health) Begin() {
	health.inFlight.Add(1)
}

// End records that a request to the replica has ended.
func (health *Health) End() {
	health.inFlight.Add(-1)
}

// InFlight returns the number of this daemon's requests in flight at the replica.
func (health *Health) InFlight() int {
	return int(health.inFlight.Load())
}

// ApplyReport applies a load report. This daemon counts its own requests in flight, so
// it stores only the rest of the reported load. It stores the reported token interval
// only if none is known yet.
func (health *Health) ApplyReport(report dragonflyhatch.LoadReport) {
	health.otherStreams.Store(max(0, int64(report.Streams+report.QueuedTokens)-health.inFlight.Load()))
	if report.TokenInterval > 0 {
		health.tokenInterval.CompareAndSwap(0, int64(report.TokenInterval))
	}
}

// RecordTokenInterval records a measured time between two tokens.
func (health *Health) RecordTokenInterval(tokenInterval time.Duration) {
	updateAverage(&health.tokenInterval, int64(tokenInterval))
}

// updateAverage adds a sample to the moving average. One of several concurrent
// updates may be lost, which hardly changes the average.
func updateAverage(value *atomic.Int64, sample int64) {
	old := value.Load()
	if old == 0 {
		value.Store(sample)
		return
	}
	value.Store(old + (sample-old)/averageWindow)
}

// RecordSuccess records a call that succeeded. If the replica was paused before, its
// slow start begins.
func (health *Health) RecordSuccess(now time.Time) {
	health.consecutiveFailures.Store(0)
	if health.consecutivePauses.Swap(0) > 0 {
		health.rampStart.Store(now.UnixNano())
	}
}

// RecordFailure records a call that failed because of the replica. The replica is
// paused after failureThreshold consecutive failures, and each consecutive pause is
// twice as long as the one before, up to maxPause.
func (health *Health) RecordFailure(now time.Time) {
	if health.consecutiveFailures.Add(1) < failureThreshold {
		return
	}
	pause := min(maxPause, minPause<<min(health.consecutivePauses.Add(1)-1, 10))
	health.pausedUntil.Store(now.Add(pause).UnixNano())
	health.consecutiveFailures.Store(failureThreshold - 1) // the next failure pauses it again
}

// IsPaused reports whether the replica is paused, that is, its circuit breaker is open.
func (health *Health) IsPaused(now time.Time) bool {
	return now.UnixNano() < health.pausedUntil.Load()
}

// HealthSet holds the Health of the replica at each address, and keeps it as long as
// the daemon runs. It is safe for concurrent use.
type HealthSet struct {
	mu        sync.Mutex
	byAddress map[string]*Health
}

// NewHealthSet returns an empty set.
func NewHealthSet() *HealthSet {
	return &HealthSet{byAddress: make(map[string]*Health)}
}

// Get returns the Health of the replica at the address, which it creates at the first
// call.
func (healths *HealthSet) Get(address string) *Health {
	healths.mu.Lock()
	defer healths.mu.Unlock()
	health, ok := healths.byAddress[address]
	if !ok {
		health = new(Health)
		healths.byAddress[address] = health
	}
	return health
}
