package hatchforward

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch/hatchpath"
)

// fakeDialer replaces the dialer of a prober. The test sets which addresses are
// silent and how late the others answer.
type fakeDialer struct {
	silent  map[string]bool
	delay   time.Duration // until an address that is not silent answers
	control string        // address that is dialed after the others
	started time.Time     // of the check
	timely  time.Duration // until the dials of silent addresses are canceled on a machine that is on time

	mu      sync.Mutex
	dialed  map[string]bool
	running int  // dials in progress
	late    bool // this machine delayed a dial, an answer or the end of a probe
}

func (dialer *fakeDialer) dial(ctx context.Context, address string) probeOutcome {
	dialed := time.Now()
	dialer.mu.Lock()
	first := !dialer.dialed[address]
	dialer.dialed[address] = true
	dialer.running++
	dialer.mu.Unlock()
	defer func() {
		dialer.mu.Lock()
		defer dialer.mu.Unlock()
		dialer.running--
	}()
	dialer.recordLate(first && address != dialer.control && dialed.Sub(dialer.started) > maxProbeDelay)
	if dialer.silent[address] {
		<-ctx.Done()
		// The second dial of a probe says nothing about its start.
		dialer.recordLate(first && time.Since(dialed) > dialer.timely)
		return probeSilent
	}
	dialer.recordLate(first && ctx.Err() != nil)
	time.Sleep(dialer.delay)
	dialer.recordLate(first && dialer.delay > 0 && time.Since(dialer.started) > probeTimeout+probeGrace*3/4)
	return probeAnswered
}

func (dialer *fakeDialer) recordLate(late bool) {
	dialer.mu.Lock()
	defer dialer.mu.Unlock()
	dialer.late = dialer.late || late
}

// wasLate reports, when the dials have ended, whether this machine was late. All of the
// replicas must have been dialed.
func (dialer *fakeDialer) wasLate(replicas []*fakeReplica) bool {
	for {
		dialer.mu.Lock()
		running, late := dialer.running, dialer.late
		for _, replica := range replicas {
			late = late || !dialer.dialed[replica.address()]
		}
		dialer.mu.Unlock()
		if running == 0 {
			return late
		}
		time.Sleep(time.Millisecond)
	}
}

// probeTrial is a check of a pipeline of two engines, with a third engine outside it.
type probeTrial struct {
	dialer   *fakeDialer
	pipeline []*hatchpath.Node
	culprits []string
}

// runProbeTrial runs a check in which the first engines, silent in number, are silent
// and the others answer after the delay.
func runProbeTrial(replicas []*fakeReplica, silent int, delay time.Duration) *probeTrial {
	fleet := newFleet("lm", replicas...)
	trial := &probeTrial{dialer: &fakeDialer{
		silent: make(map[string]bool), delay: delay, control: replicas[2].address(), dialed: make(map[string]bool),
		timely: probeTimeout + probeGrace + lateAnswerDelay + maxProbeDelay,
	}}
	if silent == len(replicas) { // the control is awaited too
		trial.dialer.timely += probeTimeout + probeGrace
	}
	for _, replica := range replicas[:silent] {
		trial.dialer.silent[replica.address()] = true
	}
	prober := newProber(fleet)
	prober.dial = trial.dialer.dial
	for _, replica := range replicas[:2] {
		trial.pipeline = append(trial.pipeline, fleet.view.NodeAt(replica.address()))
	}
	fleet.view.NodeAt(replicas[2].address()).MarkReachable(time.Now())
	trial.dialer.started = time.Now()
	trial.culprits = prober.check(context.Background(), trial.pipeline, trial.pipeline[0])
	return trial
}

// runTimelyProbeTrial is runProbeTrial in which this machine was on time. A delayed
// check may come to no finding, and a fake that wakes up late has not answered in
// time: such a trial shows nothing and is repeated.
func runTimelyProbeTrial(replicas []*fakeReplica, silent int, delay time.Duration) *probeTrial {
	dialed := replicas[:2]
	if silent >= len(dialed) { // the third is the control
		dialed = replicas
	}
	for range 100 {
		trial := runProbeTrial(replicas, silent, delay)
		foundDead := silent == len(replicas) && len(trial.culprits) > 0 // wrong on a late machine too
		if foundDead || !trial.dialer.wasLate(dialed) {
			return trial
		}
	}
	return nil
}

// TestProbes guards against live replicas that are found dead, and dead ones that are
// not.
func TestProbes(t *testing.T) {
	convey.Convey("Given a pipeline of two engines, and a third engine outside it", t, func() {
		replicas := []*fakeReplica{newFakeReplica(t, "e-1"), newFakeReplica(t, "e-2"), newFakeReplica(t, "e-3")}
		time.Sleep(aliveValidity) // all nodes count as alive for this long after the start of the process
		run := func(silent int, delay time.Duration) *probeTrial {
			trial := runTimelyProbeTrial(replicas, silent, delay)
			convey.So(trial, convey.ShouldNotBeNil)
			return trial
		}
		convey.Convey("An engine that is silent while the other one answers is dead", func() {
			trial := run(1, 0)
			convey.So(trial.culprits, convey.ShouldResemble, []string{replicas[0].address()})
			convey.So(trial.pipeline[0].DownFor(time.Now().Add(time.Millisecond)), convey.ShouldBeGreaterThan, 0)
		})
		convey.Convey("Both engines are dead if both are silent and the third one answers", func() {
			convey.So(run(2, 0).culprits, convey.ShouldHaveLength, 2)
		})
		convey.Convey("If no engine answers, the daemon's own network link is at fault and no engine is dead", func() {
			convey.So(run(3, 0).culprits, convey.ShouldBeEmpty)
		})
		convey.Convey("An answer that arrives just after the timeout counts", func() {
			convey.So(run(0, probeTimeout+probeGrace/2).culprits, convey.ShouldBeEmpty)
		})
		convey.Convey("Answers that are read after the timeout count if they are read no later than that of the control", func() {
			fleet := newFleet("lm", replicas...)
			prober, control, controlDialed := newProber(fleet), fleet.view.NodeAt(replicas[2].address()), make(chan struct{})
			prober.dial = func(ctx context.Context, address string) probeOutcome {
				if address == control.Address {
					close(controlDialed)
					return probeAnswered
				}
				select {
				case <-controlDialed:
					return probeAnswered
				case <-ctx.Done():
					return probeSilent
				}
			}
			control.MarkReachable(time.Now())
			pipeline := []*hatchpath.Node{fleet.view.NodeAt(replicas[0].address()), fleet.view.NodeAt(replicas[1].address())}
			convey.So(prober.check(context.Background(), pipeline, pipeline[0]), convey.ShouldBeEmpty)
		})
		convey.Convey("Silence is inconclusive while the daemon does not get processor time", func() {
			release := occupyProcessor()
			defer release()
			convey.So(runProbeTrial(replicas, 1, 0).culprits, convey.ShouldBeEmpty)
		})
	})
}

// occupyProcessor limits the process to one processor and keeps it busy, so that
// other goroutines seldom run until release is called.
func occupyProcessor() (release func()) {
	var done atomic.Bool
	processors := runtime.GOMAXPROCS(1)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for !done.Load() {
			for started := time.Now(); time.Since(started) < 10*time.Millisecond; {
				continue
			}
			runtime.Gosched()
		}
	}()
	return func() {
		done.Store(true)
		<-ended
		runtime.GOMAXPROCS(processors)
	}
}
