package hatchsoak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is a kind of fault that a run injects.
type Fault int

// The values of Fault. Those up to ConfigurationChange are planned operations.
const (
	DaemonStop          Fault = iota // SIGTERM, then a restart
	DaemonReload                     // SIGHUP; the new list of seed nodes is written to the settings file only at the next start
	ReplicaLeaves                    // a replica drains while a replacement starts
	ConfigurationChange              // replaces the marker route
	DaemonKill
	DaemonPause
	DaemonClock // killed, then restarted with a shifted clock
	FleetKill   // all daemons are killed
	StoreOut
	StoreSilent
	StoreSlow
	StoreLosesReplies // replies to writes are lost; for half of the targets those writes are applied late
	StoreHidesChanges // watches receive nothing, then the history is dropped
	StoreRefuses      // calls are refused with status 429
	StoreCut          // faults on one daemon's connections to the store
	EngineCrash
	EngineSilent
	EngineReset
	EngineSlow
	EngineMute // its open connections stay silent, new ones work
	// The following affect a replica of the plain service, whose name is desk.
	DeskCrash
	DeskFails        // some requests fail with status 500
	DeskLosesAnswers // some responses are lost, sent twice or broken
	DeskSheds        // some requests are refused
	// The following are drawn separately, so that each seed keeps the faults above.
	StoreRestored // the store is away for a moment and comes back from an older copy
	EngineForeign // streams go on with bytes that are no events
	faults        // number of kinds
)

// firstSeparateFault is the first kind of fault that is drawn separately.
const firstSeparateFault = StoreRestored

//go:generate go tool -modfile=../tools/go.mod stringer -type=Fault -output=enums_string.go

// isPlanned reports whether the fault is a planned operation, which must not cut any
// request.
func (fault Fault) isPlanned() bool { return fault <= ConfigurationChange }

// Event is a fault of a run with its time and target.
type Event struct {
	Fault  Fault
	Start  time.Duration // from the start of the faults
	Length time.Duration
	Target int // selects the host or replica, modulo their number
}

// String returns a description of the event.
func (event Event) String() string {
	return fmt.Sprintf("%v at %v for %v on %d", event.Fault, event.Start, event.Length, event.Target)
}

const (
	// faultInterval is the mean time between the starts of two faults. Faults last
	// longer, so that most of them overlap.
	faultInterval = 900 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound how long a fault lasts.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	// maxSeparateFaults bounds the faults of each separate kind in a run.
	maxSeparateFaults = 2
)

// GenerateEvents returns the faults of a run of the given length, as the seed determines
// them. Every run has a planned stop and a configuration change.
func GenerateEvents(seed uint64, length time.Duration) []Event {
	random := rand.New(rand.NewPCG(seed, 0))
	var events []Event
	add := func(fault Fault, at time.Duration) {
		events = append(events, Event{
			Fault: fault, Start: at, Target: random.IntN(100),
			Length: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration))),
		})
	}
	add(DaemonStop, time.Duration(random.Int64N(int64(length))))
	add(ConfigurationChange, time.Duration(random.Int64N(int64(length))))
	for at := time.Duration(0); at < length; at += time.Duration(random.Int64N(int64(2 * faultInterval))) {
		add(Fault(random.IntN(int(firstSeparateFault))), at)
	}
	random = rand.New(rand.NewPCG(seed, 1))
	for fault := firstSeparateFault; fault < faults; fault++ {
		for range random.IntN(maxSeparateFaults + 1) {
			add(fault, time.Duration(random.Int64N(int64(length))))
		}
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.Start, b.Start) })
	return events
}
