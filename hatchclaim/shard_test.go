package hatchclaim

import (
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"dragonflyhatch"
)

// TestAtMostOnce runs several processes through random orders, platform faults,
// kills, pauses and takeovers. The simulation checks each run, each answer of a
// process, and each answer to the caller of a forwarded order.
func TestAtMostOnce(t *testing.T) {
	total := make(map[dragonflyhatch.Ran]int)
	outcomes, steps := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(t,
			WithCommitInterval(20*time.Millisecond),
			WithSealBytes(rapid.SampledFrom([]int{400, 1500, 128 << 10}).Draw(t, "sealBytes")),
			WithRetention(rapid.SampledFrom([]time.Duration{2 * time.Second, time.Hour}).Draw(t, "retention")))
		t.Repeat(simulation.actions())
		simulation.serveAll()
		simulation.checkRecords()
		for ran, count := range simulation.answers {
			total[ran] += count
		}
		outcomes += simulation.outcomes
		steps += simulation.steps
	})
	t.Logf("%d steps; answers: %d outcomes, %d not run, %d unknown", steps, outcomes,
		total[dragonflyhatch.RanNo], total[dragonflyhatch.RanUnknown])
}

// actions returns the events that may happen at any time.
func (simulation *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"submit": func(t *rapid.T) {
			simulation.submitRandom(t)
		},
		"submitEverywhere": func(t *rapid.T) {
			id, digest := simulation.drawKey(t), drawDigest(t)
			for _, process := range simulation.processes {
				simulation.submit(process, id, digest, time.Second)
			}
		},
		"forward": func(t *rapid.T) {
			simulation.forwardRandom(t)
		},
		"hostTimeout": func(t *rapid.T) {
			open := slices.DeleteFunc(slices.Clone(simulation.forwards), func(forwardedOrder *forwardedOrder) bool { return forwardedOrder.finished })
			if len(open) == 0 {
				return
			}
			abandoned := rapid.SampledFrom(open).Draw(t, "abandoned")
			abandoned.plan.RecordNoResponse()
			simulation.submitToNext(abandoned)
		},
		"serve": func(t *rapid.T) {
			simulation.completeRandomCall(t, served)
		},
		"serveMore": func(t *rapid.T) {
			for range 4 {
				simulation.completeRandomCall(t, served)
			}
		},
		"fault": func(t *rapid.T) {
			simulation.completeRandomCall(t, callResult(rapid.IntRange(0, int(callResultCount)-1).Draw(t, "result")))
		},
		"applyLateWrite": func(t *rapid.T) {
			lateWrites := &simulation.platform.lateWrites
			if len(*lateWrites) == 0 {
				return
			}
			i := rapid.IntRange(0, len(*lateWrites)-1).Draw(t, "late")
			simulation.platform.apply((*lateWrites)[i])
			*lateWrites = append((*lateWrites)[:i:i], (*lateWrites)[i+1:]...)
		},
		"passTime": func(t *rapid.T) {
			millis := rapid.SampledFrom([]int{1, 20, 100, 300, 1100, 3000}).Draw(t, "millis")
			simulation.advance(time.Duration(millis) * time.Millisecond)
			// A process that is not ticked is paused.
			for _, process := range simulation.processes {
				if rapid.Bool().Draw(t, "awake") {
					simulation.tick(process)
				}
			}
		},
		"kill": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "rarely") > 0 {
				return
			}
			i := rapid.IntRange(0, len(simulation.processes)-1).Draw(t, "process")
			simulation.kill(i, func() bool { return rapid.Bool().Draw(t, "arrives") })
			simulation.startProcess()
		},
		"": func(*rapid.T) { simulation.steps++ },
	}
}

func (simulation *simulation) submitRandom(t *rapid.T) {
	timeout := rapid.SampledFrom([]int{50, 500, 5000}).Draw(t, "timeoutMillis")
	at := rapid.SampledFrom(simulation.processes).Draw(t, "at")
	simulation.submit(at, simulation.drawKey(t), drawDigest(t), time.Duration(timeout)*time.Millisecond)
}

// forwardRandom forwards an order to the processes in a random sequence.
func (simulation *simulation) forwardRandom(t *rapid.T) {
	order := simulation.newOrder(simulation.drawKey(t), drawDigest(t), 2*time.Second)
	forwarded := &forwardedOrder{order: order, byName: make(map[string]*process)}
	var processNames []string
	for _, process := range rapid.Permutation(simulation.processes).Draw(t, "owners") {
		forwarded.byName[process.name] = process
		processNames = append(processNames, process.name)
	}
	forwarded.plan = NewForwardPlan(processNames)
	simulation.forwards = append(simulation.forwards, forwarded)
	simulation.submitToNext(forwarded)
}

// drawKey returns a new key, or more often one of the four newest.
func (simulation *simulation) drawKey(t *rapid.T) ID {
	if len(simulation.keys) == 0 || rapid.IntRange(0, 3).Draw(t, "new") == 0 {
		return simulation.newKey()
	}
	recent := simulation.keys[max(0, len(simulation.keys)-4):]
	return rapid.SampledFrom(recent).Draw(t, "key")
}

func drawDigest(t *rapid.T) string {
	if rapid.IntRange(0, 7).Draw(t, "otherBody") == 0 {
		return "other"
	}
	return "body"
}

func (simulation *simulation) completeRandomCall(t *rapid.T, callResult callResult) {
	at := rapid.SampledFrom(simulation.processes).Draw(t, "process")
	if len(at.pending) == 0 {
		return
	}
	simulation.completeCall(at, rapid.IntRange(0, len(at.pending)-1).Draw(t, "pending"), callResult)
}

// checkRecords submits every key again at a new process once all faults have
// ended: a recorded outcome must be found, and an order that has no claim and
// never ran must run.
func (simulation *simulation) checkRecords() {
	for len(simulation.platform.lateWrites) > 0 {
		simulation.platform.apply(simulation.platform.lateWrites[0])
		simulation.platform.lateWrites = simulation.platform.lateWrites[1:]
	}
	fresh := simulation.startProcess()
	for _, id := range simulation.keys {
		claim, recorded := simulation.claim(id)
		digest := "body"
		if recorded {
			digest = claim.Digest
		}
		before, outcomes := len(simulation.runs[id]), simulation.outcomes
		simulation.submit(fresh, id, digest, 10*time.Second)
		simulation.serveAll()
		served := simulation.outcomes > outcomes
		// The horizon may pass the key while it is submitted here.
		forgotten := simulation.keyTimes[id].Before(simulation.platform.head.Horizon)
		switch {
		case recorded && claim.Outcome != nil && !served && !forgotten:
			simulation.t.Fatalf("the recorded outcome of %v was not found", id)
		case !recorded && !forgotten && before == 0 && !served:
			simulation.t.Fatalf("%v never ran and has no claim, but was not run", id)
		case recorded && claim.Outcome == nil && served:
			simulation.t.Fatalf("%v has another process's open claim and was run", id)
		}
	}
}

// claim returns the request's claim as the platform stores it.
func (simulation *simulation) claim(id ID) (Claim, bool) {
	if claim, ok := simulation.platform.head.find(id); ok {
		return claim, true
	}
	for _, ref := range simulation.platform.head.Segments {
		for _, claim := range simulation.platform.segments[ref.Name] {
			if claim.ID == id {
				return claim, true
			}
		}
	}
	return Claim{}, false
}

// TestLongReplyIsReturnedButNotRecorded checks that a body that is too long to
// record is missing only in the answers to repeated submissions.
func TestLongReplyIsReturnedButNotRecorded(t *testing.T) {
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
