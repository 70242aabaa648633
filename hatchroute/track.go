package hatchroute

import (
	"sync"
	"sync/atomic"
	"time"

	"dragonflyhatch"
)

// The parameters of what a replica's past calls say of its next one.
const (
	openAfter   = 3                      // failures in a row before a replica is left alone
	firstPause  = 500 * time.Millisecond // that it is left alone for at first
	longPause   = 10 * time.Second       // and at the most
	rampTime    = 5 * time.Second        // of slow start after a pause
	rampPenalty = 8                      // times its cost at the start of the ramp
	smoothing   = 8                      // calls that an average reaches back
)

// Track is what this daemon knows of one replica by its own calls and by the
// replica's load reports. All methods may be called by several goroutines.
type Track struct {
	inFlight  atomic.Int64
	others    atomic.Int64 // streams of other daemons, by the last report
	interval  atomic.Int64 // average nanoseconds between tokens
	failures  atomic.Int64 // in a row
	pauses    atomic.Int64 // in a row
	openUntil atomic.Int64 // unix nanoseconds; left alone until then
	rampFrom  atomic.Int64 // unix nanoseconds; slow start since then
}

// Begin notes that a request has been sent to the replica.
func (track *Track) Begin() {
	track.inFlight.Add(1)
}

// End notes that a request to the replica is over.
func (track *Track) End() {
	track.inFlight.Add(-1)
}

// InFlight returns the requests of this daemon at the replica.
func (track *Track) InFlight() int {
	return int(track.inFlight.Load())
}

// Report takes a load report. What this daemon has in flight is counted by
// itself, so only the rest of the report is kept.
func (track *Track) Report(report dragonflyhatch.LoadReport) {
	track.others.Store(max(0, int64(report.Streams+report.QueuedTokens)-track.inFlight.Load()))
	if report.TokenInterval > 0 {
		track.interval.CompareAndSwap(0, int64(report.TokenInterval))
	}
}

// Interval takes the measured time between two tokens.
func (track *Track) Interval(interval time.Duration) {
	average(&track.interval, int64(interval))
}

// average moves value towards the sample. A lost update among concurrent ones
// is of no matter.
func average(value *atomic.Int64, sample int64) {
	old := value.Load()
	if old == 0 {
		value.Store(sample)
		return
	}
	value.Store(old + (sample-old)/smoothing)
}

// Succeeded notes a call that came through.
func (track *Track) Succeeded(now time.Time) {
	track.failures.Store(0)
	if track.pauses.Swap(0) > 0 {
		track.rampFrom.Store(now.UnixNano())
	}
}

// Failed notes a call that broke off by the replica's fault. After a few in a
// row the replica is left alone, each time for longer.
func (track *Track) Failed(now time.Time) {
	if track.failures.Add(1) < openAfter {
		return
	}
	pause := min(longPause, firstPause<<min(track.pauses.Add(1)-1, 10))
	track.openUntil.Store(now.Add(pause).UnixNano())
	track.failures.Store(openAfter - 1) // one more failure opens it again
}

// Open says whether the replica is left alone at the time.
func (track *Track) Open(now time.Time) bool {
	return now.UnixNano() < track.openUntil.Load()
}

// Tracks holds the track of each address for as long as the process runs.
type Tracks struct {
	mu    sync.Mutex
	known map[string]*Track
}

// NewTracks returns an empty set of tracks.
func NewTracks() *Tracks {
	return &Tracks{known: make(map[string]*Track)}
}

// Of returns the track of the address.
func (tracks *Tracks) Of(address string) *Track {
	tracks.mu.Lock()
	defer tracks.mu.Unlock()
	track, ok := tracks.known[address]
	if !ok {
		track = new(Track)
		tracks.known[address] = track
	}
	return track
}
