package hatchpath

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// memoryModel is a load on one site: four heads with much memory, and four last stages, two
// of which have little. Its times are virtual.
type memoryModel struct {
	load    *rand.Rand // of the arriving streams; equal in all runs
	random  *rand.Rand
	daemons []*View
	healths []*HealthSet
	engines []*modelEngine
	pending []modelReport

	streams, preempted, avoided, atFull int
}

// modelEngine is an engine that preempts its newest stream when its memory is full.
type modelEngine struct {
	dragonflyhatch.Replica
	capacity float64 // tokens
	streams  []*modelStream
	sent     int // streams
}

// modelStream is a stream that generates modelTokens in each modelTick until its end.
type modelStream struct {
	tokens, final int
	pipeline      *Pipeline
	ended         bool
}

// modelReport is a report of an engine on its way to a daemon.
type modelReport struct {
	due, observed time.Time
	health        *Health
	share         float64
}

const (
	modelTick   = 50 * time.Millisecond
	modelTokens = 4
)

func newMemoryModel(daemons int) *memoryModel {
	services := testServices(10)
	model := services["lm"].Model
	model.KVBytes, model.MeanTokens = 1e6, 700
	model.Accelerators["fast"] = dragonflyhatch.Accelerator{MemoryMB: 50000, StepFactor: 2, PrefillFactor: 1}
	model.Accelerators["slow"] = dragonflyhatch.Accelerator{MemoryMB: 14000, StepFactor: 2.2, PrefillFactor: 1}
	simulation := &memoryModel{load: rand.New(rand.NewPCG(7, 7)), random: rand.New(rand.NewPCG(8, 8))}
	var replicas []dragonflyhatch.Replica
	for i := range 4 {
		tail := engine(fmt.Sprint("tail", i), "a", []string{"slow", "fast"}[i%2], 5, 10)
		replicas = append(replicas, tail, engine(fmt.Sprint("head", i), "a", "fast", 0, 5))
		for _, replica := range replicas[2*i:] {
			simulation.engines = append(simulation.engines, &modelEngine{Replica: replica, capacity: KVCapacity(model, model.Accelerators[replica.Accelerator], replica.Held.LayerRange)})
		}
	}
	for range daemons {
		healths := NewHealthSet()
		simulation.healths = append(simulation.healths, healths)
		simulation.daemons = append(simulation.daemons, NewView(replicas, services, healths))
	}
	return simulation
}

// run plays the load for the duration. Reports are made each second; rule returns when one
// reaches a daemon, or false if it is lost.
func (simulation *memoryModel) run(duration time.Duration, perSecond float64, rule func(random *rand.Rand, at time.Duration) (time.Duration, bool)) {
	for at := time.Duration(0); at < duration; at += modelTick {
		now := start.Add(at)
		for _, healths := range simulation.healths {
			if at%time.Second != 0 {
				break
			}
			delay, ok := rule(simulation.random, at)
			for _, engine := range simulation.engines {
				if share := engine.used() / engine.capacity; ok && share > reportedMemory {
					simulation.pending = append(simulation.pending, modelReport{now.Add(delay), now, healths.Get(engine.Replica), share})
				}
			}
		}
		simulation.pending = slices.DeleteFunc(simulation.pending, func(report modelReport) bool {
			if report.due.After(now) {
				return false
			}
			report.health.RecordMemory(now, report.observed, report.share)
			return true
		})
		for arrivals := perSecond * modelTick.Seconds(); simulation.load.Float64() < arrivals; arrivals-- {
			simulation.arrive(now)
		}
		simulation.step(now)
	}
}

func (simulation *memoryModel) arrive(now time.Time) {
	daemon := simulation.load.IntN(len(simulation.daemons))
	prompt, answer := 300+simulation.load.IntN(500), 80+simulation.load.IntN(320)
	request := Query{Service: "lm", Site: "a", Tokens: prompt + 800, Expected: prompt + 240, Daemons: len(simulation.daemons), Random: simulation.random}
	pipeline, err := simulation.daemons[daemon].Pipeline(now, request)
	if err != nil {
		panic(err)
	}
	simulation.streams++
	simulation.avoided += min(len(pipeline.Avoided), 1)
	if pipeline.UsesFull {
		simulation.atFull++
	}
	pipeline.Begin(now)
	stream := &modelStream{tokens: prompt, final: prompt + answer, pipeline: pipeline}
	for _, engine := range simulation.engines {
		if slices.ContainsFunc(pipeline.Nodes, func(node *Node) bool { return node.ID == engine.ID }) {
			engine.streams, engine.sent = append(engine.streams, stream), engine.sent+1
		}
	}
}

// step lets each stream grow, ends those that are complete, and preempts the newest streams
// of engines that are full.
func (simulation *memoryModel) step(now time.Time) {
	end := func(stream *modelStream) {
		stream.ended = true
		stream.pipeline.End(now)
	}
	for _, engine := range simulation.engines {
		for _, stream := range engine.streams {
			if stream.pipeline.Nodes[0].ID != engine.ID || stream.ended {
				continue
			}
			if stream.tokens += modelTokens; stream.tokens >= stream.final {
				end(stream)
			}
		}
	}
	for _, engine := range simulation.engines {
		engine.streams = slices.DeleteFunc(engine.streams, func(stream *modelStream) bool { return stream.ended })
		for ; engine.used() > engine.capacity; simulation.preempted++ {
			end(engine.streams[len(engine.streams)-1])
			engine.streams = engine.streams[:len(engine.streams)-1]
		}
	}
}

func (engine *modelEngine) used() float64 {
	total := 0
	for _, stream := range engine.streams {
		if !stream.ended {
			total += stream.tokens
		}
	}
	return float64(total)
}

// TestMemoryOfLaterStages guards against streams that are preempted at a later stage with
// little memory while others have room, and against reports that make this worse when they
// are late or missing, or when all daemons follow them at the same time.
func TestMemoryOfLaterStages(t *testing.T) {
	var text strings.Builder
	preempted := make(map[string][]int) // by the reports
	for _, load := range []struct{ daemons, perSecond int }{{30, 70}, {300, 70}, {30, 85}, {300, 85}} {
		for _, each := range []struct {
			name   string
			late   time.Duration
			lost   float64
			absent func(at time.Duration) bool // of the leader
		}{
			{"none (old)", 0, 1, nil},
			{"gossip", 0, 0, nil},
			{"late", 1500 * time.Millisecond, 0, nil},
			{"half lost", 0, 0.5, nil},
			{"no leader 10-25s", 0, 0, func(at time.Duration) bool { return at >= 10*time.Second && at < 25*time.Second }},
		} {
			simulation := newMemoryModel(load.daemons)
			simulation.run(30*time.Second, float64(load.perSecond), func(random *rand.Rand, at time.Duration) (time.Duration, bool) {
				delay := 200*time.Millisecond + time.Duration(random.Int64N(int64(time.Second))) // through gossip
				return each.late + delay, random.Float64() >= each.lost && !(each.absent != nil && each.absent(at))
			})
			fmt.Fprintf(&text, "daemons %3d perSecond %d reports %-16s streams %d preempted %3d keptAway %4d atFull %d tails", load.daemons, load.perSecond, each.name,
				simulation.streams, simulation.preempted, simulation.avoided, simulation.atFull)
			for i := range 4 {
				fmt.Fprintf(&text, " %d", simulation.engines[2*i].sent)
			}
			text.WriteString("\n")
			preempted[each.name] = append(preempted[each.name], simulation.preempted)
		}
	}
	const golden = "testdata/memory.golden"
	if *update {
		if err := os.WriteFile(golden, []byte(text.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	convey.Convey("Reports, also late ones, spare at least half of the preempted streams, and all figures equal the golden file", t, func() {
		for i, without := range preempted["none (old)"] {
			convey.So(preempted["gossip"][i], convey.ShouldBeLessThan, without/2)
			convey.So(preempted["late"][i], convey.ShouldBeLessThan, without/2)
		}
		convey.So(err, convey.ShouldBeNil)
		convey.So(text.String(), convey.ShouldEqual, string(want))
	})
}

// TestMemoryReports guards against reports that are used when they are too old, replace later
// ones, or count for another process at the same address, and against a full engine that is
// refused where no pipeline is possible without it.
func TestMemoryReports(t *testing.T) {
	convey.Convey("Given two copies of a last stage, of which the cheaper one is reported as full", t, func() {
		healths := NewHealthSet()
		replicas := []dragonflyhatch.Replica{engine("a1", "a", "fast", 0, 5), engine("a2", "a", "fast", 5, 10), engine("a3", "a", "slow", 5, 10)}
		view, health := NewView(replicas, testServices(10), healths), healths.Get(replicas[1])
		last := func(now time.Time, exclude ...string) (string, *Pipeline) {
			pipeline, err := view.Pipeline(now, query(exclude...))
			convey.So(err, convey.ShouldBeNil)
			return pipeline.Nodes[1].ID, pipeline
		}
		convey.So(health.RecordMemory(start, start, 0.96), convey.ShouldBeTrue)
		convey.Convey("It is avoided for as long as it counts as full, unless there is no other", func() {
			id, pipeline := last(start.Add(fullMemoryMaxAge))
			convey.So(id, convey.ShouldEqual, "a3")
			convey.So(pipeline.Avoided, convey.ShouldHaveLength, 1)
			id, pipeline = last(start, "a3:1")
			convey.So(id, convey.ShouldEqual, "a2")
			convey.So(pipeline.UsesFull, convey.ShouldBeTrue)
			id, _ = last(start.Add(memoryMaxAge + time.Millisecond))
			convey.So(id, convey.ShouldEqual, "a2")
		})
		convey.Convey("An older report, or one that arrives too late, does not replace it", func() {
			health.RecordMemory(start, start.Add(-time.Second), 0.1)
			convey.So(health.IsMemoryFull(start), convey.ShouldBeTrue)
			late := new(Health)
			late.RecordMemory(start, start.Add(-memoryMaxAge-time.Millisecond), 0.9)
			_, ok := late.ReportedMemory(start)
			convey.So(ok, convey.ShouldBeFalse)
		})
		convey.Convey("Another process at its address is used, and what was sent to the old one does not count", func() {
			_, pipeline := last(start, "a3:1")
			pipeline.Begin(start)
			replicas[1].Started = 5
			view = NewView(replicas, testServices(10), healths)
			id, pipeline := last(start)
			convey.So(id, convey.ShouldEqual, "a2")
			convey.So(pipeline.Nodes[1].reportedUtilization(start, 1000), convey.ShouldEqual, 0)
		})
		convey.Convey("What this daemon has sent since the report counts until it ends", func() {
			node := view.NodeAt("a3:1")
			node.recordSent(start.Add(-time.Second), 900) // included in the report
			node.RecordMemory(start, start, 0.5)
			node.recordSent(start.Add(time.Second), 100)
			convey.So(node.reportedUtilization(start.Add(time.Second), 1000), convey.ShouldAlmostEqual, 0.6)
			node.recordSent(start.Add(2*time.Second), -100)
			convey.So(node.reportedUtilization(start.Add(2*time.Second), 1000), convey.ShouldAlmostEqual, 0.5)
		})
		convey.Convey("Peers are told of it a few times, and once more when it is no longer full", func() {
			for range memoryReportSends {
				convey.So(view.EngineUsage(start, 48, nil), convey.ShouldHaveLength, 1)
			}
			convey.So(view.EngineUsage(start, 48, nil), convey.ShouldBeEmpty)
			convey.So(health.RecordMemory(start.Add(time.Second), start.Add(time.Second), 0.3), convey.ShouldBeTrue)
			convey.So(view.EngineUsage(start.Add(time.Second), 48, nil)[0].Share, convey.ShouldEqual, 0.3)
			convey.So(health.RecordMemory(start.Add(2*time.Second), start.Add(2*time.Second), 0.3), convey.ShouldBeFalse)
			convey.So(view.EngineUsage(start.Add(2*time.Second), 48, nil), convey.ShouldBeEmpty)
		})
	})
}
