package hatchpath

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch"
)

func TestBackoffOfRefusals(t *testing.T) {
	convey.Convey("The exclusion of a replica that refuses each request doubles until it takes one", t, func() {
		health, now := new(Health), time.Now()
		excluded := func() time.Duration {
			health.MarkFull(now)
			health.MarkFull(now.Add(time.Millisecond)) // of a request that was sent before the first refusal
			start := now
			for health.IsFull(now) {
				now = now.Add(time.Millisecond)
			}
			return now.Sub(start).Round(10 * time.Millisecond)
		}
		for _, want := range []time.Duration{150, 300, 600, 1200, 2400, 2400, 2400} {
			convey.So(excluded(), convey.ShouldEqual, want*time.Millisecond)
		}
		health.RecordProgress(now) // of a stream that it took before
		convey.So(excluded(), convey.ShouldEqual, maxFullBackoff)
		health.RecordAccepted()
		convey.So(excluded(), convey.ShouldEqual, fullBackoff)
	})
}

func TestLeavingProcessesAreForgotten(t *testing.T) {
	convey.Convey("A process that is no longer registered is remembered as leaving for a while only", t, func() {
		healths, now := NewHealthSet(), time.Now()
		process := dragonflyhatch.ReplicaProcess{ID: "e-1"}
		healths.GetProcess(process).MarkLeaving(now)
		healths.Retain(now.Add(leavingRetention-time.Second), nil)
		convey.So(healths.GetProcess(process).IsLeaving(), convey.ShouldBeTrue)
		healths.Retain(now.Add(leavingRetention+time.Second), nil)
		convey.So(healths.GetProcess(process).IsLeaving(), convey.ShouldBeFalse)
	})
}

func TestLimits(t *testing.T) {
	convey.Convey("The latest observation of a limit counts, in any order", t, func() {
		health, now := new(Health), time.Now()
		convey.So(health.RecordLimit(now, -1), convey.ShouldBeFalse)
		convey.So(health.RecordLimit(now, 9.5), convey.ShouldBeTrue)
		convey.So(health.RecordLimit(now.Add(time.Second), 9.5), convey.ShouldBeFalse)
		convey.So(health.RecordLimit(now.Add(500*time.Millisecond), -1), convey.ShouldBeFalse)
		limit, ok := health.Limit()
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(limit, convey.ShouldEqual, 9.5)
		convey.So(health.RecordLimit(now.Add(2*time.Second), -1), convey.ShouldBeTrue)
		_, ok = health.Limit()
		convey.So(ok, convey.ShouldBeFalse)
	})
	convey.Convey("A replica without slots takes resumed requests only", t, func() {
		health, now := new(Health), time.Now()
		health.DenySlots(now, time.Second)
		convey.So(health.ClosedFor(now, false), convey.ShouldEqual, time.Second)
		convey.So(health.ClosedFor(now, true), convey.ShouldEqual, 0)
		health.Pause(now, 2*time.Second)
		convey.So(health.ClosedFor(now, true), convey.ShouldEqual, 2*time.Second)
	})
}

// TestProbePauses guards against a dead replica that is probed late because it was probed
// before, and against many probes of one that is alive.
func TestProbePauses(t *testing.T) {
	convey.Convey("The pause between probes grows until the replica makes progress", t, func() {
		health, now := new(Health), time.Now()
		stages := []*Node{{Health: health}}
		pause := func() time.Duration {
			start := now
			for due, _ := DueProbes(now, stages); len(due) == 0 || !health.TryStartProbe(now); due, _ = DueProbes(now, stages) {
				now = now.Add(time.Millisecond)
			}
			health.MarkReachable(now) // the answer
			return now.Sub(start)
		}
		health.RecordProgress(now)
		for _, want := range []time.Duration{silenceAllowance, minProbeInterval, 3 * minProbeInterval, 9 * minProbeInterval, maxProbeInterval} {
			convey.So(pause(), convey.ShouldEqual, want)
		}
		health.RecordProgress(now)
		_, next := DueProbes(now.Add(10*time.Millisecond), stages)
		convey.So(next, convey.ShouldEqual, silenceAllowance-10*time.Millisecond)
		convey.So(pause(), convey.ShouldEqual, silenceAllowance)
	})
	convey.Convey("The first check waits for the usual time to a first event, within bounds", t, func() {
		now := time.Now()
		for usual, want := range map[time.Duration]time.Duration{0: minFirstCheckDelay, 40: minFirstCheckDelay, 70: 210 * time.Millisecond, 700: maxFirstCheckDelay} {
			health := new(Health)
			health.RecordFirstEvent(now, usual*time.Millisecond)
			convey.So(health.FirstCheckDelay(now), convey.ShouldEqual, want)
		}
	})
}
