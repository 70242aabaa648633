package hatchsoak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is one kind of trouble.
type Fault int

// The values of Fault. Those up to ConfigurationChange are planned work.
const (
	DaemonStop          Fault = iota // SIGTERM, and a start
	DaemonReload                     // SIGHUP with other seeds
	ReplicaLeaves                    // a replica drains, and another one starts
	ConfigurationChange              // a route more, a route less
	DaemonKill
	DaemonPause
	DaemonClock // killed, and started with another time of day
	FleetKill   // all daemons at once
	StoreOut
	StoreSilent
	StoreSlow
	StoreLosesReplies // some are carried out late
	StoreHidesChanges // watches hear nothing, then the history is gone
	StoreRefuses      // calls get 429
	StoreCut          // one daemon's link to the store
	EngineCrash
	EngineSilent
	EngineReset
	EngineSlow
	EngineMute // its open connections go silent for good
	DeskCrash
	DeskFails
	DeskLosesAnswers
	DeskSheds
	faults
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Fault -output=enums_string.go

// isPlanned says whether the fault is planned work, which may cut no request.
func (fault Fault) isPlanned() bool { return fault <= ConfigurationChange }

// Event is one fault of a run.
type Event struct {
	Fault  Fault
	At     time.Duration // from the start of the faults
	Lasts  time.Duration
	Target int // of the machines or replicas that it may strike, by turns
}

// String describes the event.
func (event Event) String() string {
	return fmt.Sprintf("%v at %v for %v on %d", event.Fault, event.At, event.Lasts, event.Target)
}

const (
	// faultGap is the mean time between the beginnings of two faults. They last
	// longer, so that most overlap.
	faultGap = 900 * time.Millisecond
	// minFault and maxFault bound how long a fault lasts.
	minFault = 200 * time.Millisecond
	maxFault = 3 * time.Second
)

// Draw returns the faults of a run of the length, by the seed. Every run has a
// planned stop and a change of the configuration.
func Draw(seed uint64, length time.Duration) []Event {
	random := rand.New(rand.NewPCG(seed, 0))
	var events []Event
	add := func(fault Fault, at time.Duration) {
		events = append(events, Event{
			Fault: fault, At: at, Target: random.IntN(100),
			Lasts: minFault + time.Duration(random.Int64N(int64(maxFault-minFault))),
		})
	}
	add(DaemonStop, time.Duration(random.Int64N(int64(length))))
	add(ConfigurationChange, time.Duration(random.Int64N(int64(length))))
	for at := time.Duration(0); at < length; at += time.Duration(random.Int64N(int64(2 * faultGap))) {
		add(Fault(random.IntN(int(faults))), at)
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events
}
