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
