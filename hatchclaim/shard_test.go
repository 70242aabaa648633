package hatchclaim

import (
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"dragonflyhatch"
)

// TestAtMostOnce drives a fleet through random orders, platform faults, kills,
// pauses and take-overs. The world checks each run, each answer of a process,
// and each answer that an entry host gives after handing an order on.
func TestAtMostOnce(t *testing.T) {
	total := make(map[dragonflyhatch.Ran]int)
	outcomes, steps := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(t,
			WithCommitInterval(20*time.Millisecond),
			WithSealBytes(rapid.SampledFrom([]int{400, 1500, 128 << 10}).Draw(t, "sealBytes")),
			WithRetention(rapid.SampledFrom([]time.Duration{2 * time.Second, time.Hour}).Draw(t, "retention")))
		t.Repeat(world.steppers())
		world.heal()
		world.checkRecords()
		for ran, count := range world.answers {
			total[ran] += count
		}
		outcomes += world.outcomes
		steps += world.steps
	})
	t.Logf("%d steps; answers: %d outcomes, %d not run, %d unknown", steps, outcomes,
		total[dragonflyhatch.RanNo], total[dragonflyhatch.RanUnknown])
}

// steppers are the events that may come at any moment.
func (world *world) steppers() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"submit": func(t *rapid.T) {
			world.submitDrawn(t)
		},
		"submitEverywhere": func(t *rapid.T) {
			id, digest := world.drawKey(t), drawDigest(t)
			for _, process := range world.processes {
				world.submit(process, id, digest, time.Second)
			}
		},
		"forward": func(t *rapid.T) {
			world.forwardDrawn(t)
		},
		"giveUp": func(t *rapid.T) {
			open := slices.DeleteFunc(slices.Clone(world.forwards), func(forwarded *forwarded) bool { return forwarded.told })
			if len(open) == 0 {
				return
			}
			given := rapid.SampledFrom(open).Draw(t, "given")
			given.forward.Silent()
			world.handOn(given)
		},
		"serve": func(t *rapid.T) {
			world.resolveDrawn(t, served)
		},
		"serveMore": func(t *rapid.T) {
			for range 4 {
				world.resolveDrawn(t, served)
			}
		},
		"fault": func(t *rapid.T) {
			world.resolveDrawn(t, fate(rapid.IntRange(0, int(fateCount)-1).Draw(t, "fate")))
		},
		"arrive": func(t *rapid.T) {
			late := &world.platform.late
			if len(*late) == 0 {
				return
			}
			i := rapid.IntRange(0, len(*late)-1).Draw(t, "late")
			world.platform.apply((*late)[i])
			*late = append((*late)[:i:i], (*late)[i+1:]...)
		},
		"pass": func(t *rapid.T) {
			millis := rapid.SampledFrom([]int{1, 20, 100, 300, 1100, 3000}).Draw(t, "millis")
			world.advance(time.Duration(millis) * time.Millisecond)
			// A process that is not ticked is paused.
			for _, process := range world.processes {
				if rapid.Bool().Draw(t, "awake") {
					world.tick(process)
				}
			}
		},
		"kill": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "rarely") > 0 {
				return
			}
			i := rapid.IntRange(0, len(world.processes)-1).Draw(t, "process")
			world.kill(i, func() bool { return rapid.Bool().Draw(t, "arrives") })
			world.startProcess()
		},
		"": func(*rapid.T) { world.steps++ },
	}
}

func (world *world) submitDrawn(t *rapid.T) {
	patience := rapid.SampledFrom([]int{50, 500, 5000}).Draw(t, "patienceMillis")
	at := rapid.SampledFrom(world.processes).Draw(t, "at")
	world.submit(at, world.drawKey(t), drawDigest(t), time.Duration(patience)*time.Millisecond)
}

// forwardDrawn has an entry host hand an order to the processes in some order.
func (world *world) forwardDrawn(t *rapid.T) {
	order := world.newOrder(world.drawKey(t), drawDigest(t), 2*time.Second)
	made := &forwarded{order: order, by: make(map[string]*process)}
	var names []string
	for _, process := range rapid.Permutation(world.processes).Draw(t, "owners") {
		made.by[process.name] = process
		names = append(names, process.name)
	}
	made.forward = NewForward(names)
	world.forwards = append(world.forwards, made)
	world.handOn(made)
}

// drawKey prefers keys that are in use.
func (world *world) drawKey(t *rapid.T) ID {
	if len(world.keys) == 0 || rapid.IntRange(0, 3).Draw(t, "new") == 0 {
		return world.newKey()
	}
	recent := world.keys[max(0, len(world.keys)-4):]
	return rapid.SampledFrom(recent).Draw(t, "key")
}

func drawDigest(t *rapid.T) string {
	if rapid.IntRange(0, 7).Draw(t, "otherBody") == 0 {
		return "other"
	}
	return "body"
}

func (world *world) resolveDrawn(t *rapid.T, fate fate) {
	at := rapid.SampledFrom(world.processes).Draw(t, "process")
	if len(at.pending) == 0 {
		return
	}
	world.resolve(at, rapid.IntRange(0, len(at.pending)-1).Draw(t, "pending"), fate)
}

// checkRecords submits every key again at a new process once all is well: a
// recorded outcome must be found, and an order that surely never ran must run.
func (world *world) checkRecords() {
	for len(world.platform.late) > 0 {
		world.platform.apply(world.platform.late[0])
		world.platform.late = world.platform.late[1:]
	}
	fresh := world.startProcess()
	for _, id := range world.keys {
		claim, recorded := world.claim(id)
		digest := "body"
		if recorded {
			digest = claim.Digest
		}
		before, outcomes := len(world.runs[id]), world.outcomes
		world.submit(fresh, id, digest, 10*time.Second)
		world.heal()
		served := world.outcomes > outcomes
		// The horizon may pass a key while it is looked up here.
		forgotten := world.keyTimes[id].Before(world.platform.head.Horizon)
		switch {
		case recorded && claim.Outcome != nil && !served && !forgotten:
			world.t.Fatalf("the recorded outcome of %v was not found", id)
		case !recorded && !forgotten && before == 0 && !served:
			world.t.Fatalf("%v never ran and has no claim, but cannot run", id)
		case recorded && claim.Outcome == nil && served:
			world.t.Fatalf("%v has another process's open claim and was run", id)
		}
	}
}

// claim finds what the platform holds of a request.
func (world *world) claim(id ID) (Claim, bool) {
	if claim, ok := world.platform.head.find(id); ok {
		return claim, true
	}
	for _, ref := range world.platform.head.Segments {
		for _, claim := range world.platform.segments[ref.Name] {
			if claim.ID == id {
				return claim, true
			}
		}
	}
	return Claim{}, false
}

// TestLongReplyIsPassedOnButNotRecorded holds that only repeats go without a
// body that is too long to keep.
func TestLongReplyIsPassedOnButNotRecorded(t *testing.T) {
	convey.Convey("Given an order with a long reply", t, func() {
		now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
		shard := NewShard(0, "p1")
		order := Order{ID: ID{"office", "k"}, Digest: "d", KeyTime: now, Deadline: now.Add(time.Second), Waiter: 1}
		shard.Submit(now, order)
		shard.HeadRead(now, Head{}, 0, true)
		shard.HeadWritten(now, 1, WriteApplied)
		long := make([]byte, maxRecordedBody+1)
		write := shard.RunDone(now, order.ID, RunResult{Outcome: &Outcome{Status: 200, Body: long}})[0].(WriteHead)
		answers := shard.HeadWritten(now, 2, WriteApplied)
		order.Waiter = 2
		repeats := shard.Submit(now, order)
		convey.So(answers[0].(Answer).Outcome.Body, convey.ShouldHaveLength, len(long))
		convey.So(write.Head.Claims[0].Outcome.BodyOmitted, convey.ShouldBeTrue)
		convey.So(repeats[0].(Answer).Outcome.BodyOmitted, convey.ShouldBeTrue)
		convey.So(repeats[0].(Answer).Repeated, convey.ShouldBeTrue)
	})
}
