package hatchpath

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"dragonflyhatch"
)

var start = time.Now()

func testServices(layers int) map[string]dragonflyhatch.UpstreamService {
	return map[string]dragonflyhatch.UpstreamService{"lm": {Name: "lm", Model: &dragonflyhatch.EngineModel{
		Layers: layers, LayerMB: 1000, KVBytes: 100000,
		Accelerators: map[string]dragonflyhatch.Accelerator{
			"fast": {MemoryMB: 20000, StepFactor: 2, PrefillFactor: 1}, "slow": {MemoryMB: 20000, StepFactor: 10, PrefillFactor: 10},
		},
	}}}
}

func engine(id, site, accelerator string, first, end int) dragonflyhatch.Replica {
	return dragonflyhatch.Replica{
		ID: id, Service: "lm", Address: id + ":1", Site: site, Accelerator: accelerator,
		Held: dragonflyhatch.HeldLayers{LayerRange: dragonflyhatch.LayerRange{First: first, End: end}, Version: 1},
	}
}

func query(exclude ...string) Query {
	return Query{Service: "lm", Site: "a", Tokens: 100, Exclude: exclude, Daemons: 1, Random: rand.New(rand.NewPCG(1, 2))}
}

// TestManyDaemonsSpread guards against daemons that all send their first requests to
// the same one of many equal engines, because each of them knows an engine's load
// only from its own requests.
func TestManyDaemonsSpread(t *testing.T) {
	convey.Convey("Daemons that know no engine's load spread their requests over equal engines", t, func() {
		var replicas []dragonflyhatch.Replica
		const engines = 60
		for i := range engines {
			replicas = append(replicas, engine(fmt.Sprint("a", i), "a", "slow", i%2*5, i%2*5+5))
		}
		requests := make(map[string]int)
		const daemons = 300
		for i := range daemons {
			view := NewView(replicas, testServices(10), NewHealthSet())
			request := query()
			request.Daemons, request.Random = daemons, rand.New(rand.NewPCG(uint64(i), 1))
			pipeline, err := view.Pipeline(start, request)
			convey.So(err, convey.ShouldBeNil)
			for _, node := range pipeline.Nodes {
				requests[node.ID]++
			}
		}
		// Each stage has 30 engines, so each engine gets ten requests on average.
		for _, count := range requests {
			convey.So(count, convey.ShouldBeLessThan, 30)
		}
		convey.So(len(requests), convey.ShouldBeGreaterThan, engines*3/4)
	})
}

func TestPipeline(t *testing.T) {
	convey.Convey("Given two sites with a pipeline each", t, func() {
		healths := NewHealthSet()
		replicas := []dragonflyhatch.Replica{
			engine("a1", "a", "slow", 0, 6), engine("a2", "a", "slow", 4, 10),
			engine("b1", "b", "fast", 0, 5), engine("b2", "b", "fast", 5, 10),
		}
		view := NewView(replicas, testServices(10), healths)
		convey.Convey("The pipeline in the daemon's own site is chosen", func() {
			pipeline, err := view.Pipeline(start, query())
			convey.So(err, convey.ShouldBeNil)
			convey.So(pipeline.Nodes[0].ID, convey.ShouldEqual, "a1")
			convey.So(pipeline.Stages[0].Layers.End, convey.ShouldEqual, pipeline.Stages[1].Layers.First)
		})
		convey.Convey("While an engine is unreachable, excluded or full, the other site's pipeline is chosen", func() {
			health := healths.Get(replicas[0])
			health.MarkUnreachable(start)
			pipeline, err := view.Pipeline(start, query())
			convey.So(err, convey.ShouldBeNil)
			convey.So(pipeline.Nodes[0].ID, convey.ShouldEqual, "b1")
			health.MarkReachable(start)
			pipeline, err = view.Pipeline(start, query("a2:1"))
			convey.So(err, convey.ShouldBeNil)
			convey.So(pipeline.Nodes[0].ID, convey.ShouldEqual, "b1")
			health.MarkFull(start)
			pipeline, err = view.Pipeline(start, query())
			convey.So(err, convey.ShouldBeNil)
			convey.So(pipeline.Nodes[0].ID, convey.ShouldEqual, "b1")
			pipeline, err = view.Pipeline(start.Add(fullBackoff), query())
			convey.So(err, convey.ShouldBeNil)
			convey.So(pipeline.Nodes[0].ID, convey.ShouldEqual, "a1")
		})
		convey.Convey("While requests in flight use much of a site's KV memory, the other site's pipeline is chosen", func() {
			pipeline, err := view.Pipeline(start, query())
			convey.So(err, convey.ShouldBeNil)
			pipeline.Tokens = 300000
			pipeline.Begin()
			other, err := view.Pipeline(start, query())
			convey.So(err, convey.ShouldBeNil)
			convey.So(other.Nodes[0].ID, convey.ShouldEqual, "b1")
			pipeline.End()
			again, err := view.Pipeline(start, query())
			convey.So(err, convey.ShouldBeNil)
			convey.So(again.Nodes[0].ID, convey.ShouldEqual, "a1")
		})
		convey.Convey("While a site's streams wait long for their first events, the other site's pipeline is chosen", func() {
			healths.Get(replicas[0]).RecordFirstEvent(start, 60*time.Millisecond)
			pipeline, err := view.Pipeline(start, query())
			convey.So(err, convey.ShouldBeNil)
			convey.So(pipeline.Nodes[0].ID, convey.ShouldEqual, "a1")
			healths.Get(replicas[0]).RecordFirstEvent(start, 2*time.Second)
			pipeline, err = view.Pipeline(start, query())
			convey.So(err, convey.ShouldBeNil)
			convey.So(pipeline.Nodes[0].ID, convey.ShouldEqual, "b1")
			pipeline, err = view.Pipeline(start.Add(firstEventMaxAge+time.Second), query())
			convey.So(err, convey.ShouldBeNil)
			convey.So(pipeline.Nodes[0].ID, convey.ShouldEqual, "a1")
		})
		convey.Convey("An engine that reported a slowdown is avoided until the report expires", func() {
			healths.Get(replicas[0]).RecordSlowdown(start, 12)
			pipeline, err := view.Pipeline(start, query())
			convey.So(err, convey.ShouldBeNil)
			convey.So(pipeline.Nodes[0].ID, convey.ShouldEqual, "b1")
			pipeline, err = view.Pipeline(start.Add(slowdownMaxAge+time.Second), query())
			convey.So(err, convey.ShouldBeNil)
			convey.So(pipeline.Nodes[0].ID, convey.ShouldEqual, "a1")
		})
		convey.Convey("If no site has a complete pipeline, one that spans both sites is chosen", func() {
			healths.Get(replicas[1]).MarkUnreachable(start)
			pipeline, err := view.Pipeline(start, query("b1:1"))
			convey.So(err, convey.ShouldBeNil)
			convey.So(pipeline.Nodes, convey.ShouldHaveLength, 2)
			_, err = view.Pipeline(start, query("b1:1", "a1:1"))
			convey.So(dragonflyhatch.KindOf(err), convey.ShouldEqual, dragonflyhatch.KindUpstreamUnavailable)
		})
		convey.Convey("A request that is limited to some heads gets one of them, or is refused", func() {
			limited := query()
			limited.AllowedHeads = []string{"b1:1"}
			pipeline, err := view.Pipeline(start, limited)
			convey.So(err, convey.ShouldBeNil)
			convey.So(pipeline.Nodes[0].ID, convey.ShouldEqual, "b1")
			limited.AllowedHeads = []string{"a2:1"}
			_, err = view.Pipeline(start, limited)
			convey.So(dragonflyhatch.KindOf(err), convey.ShouldEqual, dragonflyhatch.KindUpstreamUnavailable)
		})
		convey.Convey("An engine that is leaving is not chosen", func() {
			replicas[0].Leaving = true
			pipeline, err := NewView(replicas, testServices(10), healths).Pipeline(start, query())
			convey.So(err, convey.ShouldBeNil)
			convey.So(pipeline.Nodes[0].ID, convey.ShouldEqual, "b1")
		})
	})
}

// TestReplacedReplica guards against pipelines that name an address twice, which its engine
// rejects, while the registration of the process that ran there before has not expired.
func TestReplacedReplica(t *testing.T) {
	convey.Convey("Given two registrations with one address, whose layers differ", t, func() {
		before, after := engine("a2", "a", "fast", 0, 5), engine("a1", "a", "fast", 5, 10)
		after.Address = before.Address
		before.Started, after.Started = 1000, 2000
		before.Revision, after.Revision = 8, 7 // the store may apply a write late
		other := engine("a3", "a", "slow", 0, 5)
		choose := func(replicas ...dragonflyhatch.Replica) (*View, *Pipeline, error) {
			view := NewView(replicas, testServices(10), NewHealthSet())
			pipeline, err := view.Pipeline(start, query())
			return view, pipeline, err
		}
		convey.Convey("Only the process that started last is used", func() {
			view, pipeline, err := choose(before, after, other)
			convey.So(err, convey.ShouldBeNil)
			convey.So(pipeline.Nodes[0].ID, convey.ShouldEqual, "a3")
			convey.So(pipeline.Nodes[1].ID, convey.ShouldEqual, "a1")
			convey.So(view.NodeAt(before.Address).ID, convey.ShouldEqual, "a1")
			_, _, err = choose(before, after)
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(dragonflyhatch.KindOf(err), convey.ShouldEqual, dragonflyhatch.KindUpstreamUnavailable)
		})
		convey.Convey("While the later process is leaving, neither is used", func() {
			after.Leaving = true
			view, _, err := choose(before, after, other)
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(dragonflyhatch.KindOf(err), convey.ShouldEqual, dragonflyhatch.KindUpstreamUnavailable)
			convey.So(view.NodeAt(before.Address), convey.ShouldBeNil)
		})
		convey.Convey("A registration of a service that is not configured replaces none", func() {
			after.Service = "unknown"
			_, pipeline, err := choose(before, after, engine("a4", "a", "fast", 5, 10))
			convey.So(err, convey.ShouldBeNil)
			convey.So(pipeline.Nodes[0].ID, convey.ShouldEqual, "a2")
		})
		convey.Convey("The earlier process is not used for its own service either", func() {
			before.Service, after.Held = "desk", dragonflyhatch.HeldLayers{}
			view, _, _ := choose(before, after, other)
			_, err := view.Service(start, Query{Service: "desk", Random: rand.New(rand.NewPCG(1, 2))})
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(dragonflyhatch.KindOf(err), convey.ShouldEqual, dragonflyhatch.KindUpstreamUnavailable)
		})
	})
}

// TestEveryLayerOnce checks pipelines chosen among random engines: each layer must
// be run once and in order, by usable engines of one version, none of them twice. A
// pipeline must be found if and only if coverable, the oracle of the test, finds that
// the engines cover all layers.
func TestEveryLayerOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers := rapid.IntRange(1, 12).Draw(t, "layers")
		healths := NewHealthSet()
		var replicas []dragonflyhatch.Replica
		for i := range rapid.IntRange(0, 10).Draw(t, "engines") {
			first := rapid.IntRange(0, layers-1).Draw(t, "first")
			replica := engine(fmt.Sprintf("e%d", i), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "site"),
				rapid.SampledFrom([]string{"fast", "slow", "odd"}).Draw(t, "accelerator"), first, rapid.IntRange(first+1, layers).Draw(t, "end"))
			replica.Held.Version = rapid.IntRange(1, 2).Draw(t, "version")
			replica.Leaving = rapid.IntRange(0, 5).Draw(t, "leaving") == 0
			if rapid.IntRange(0, 5).Draw(t, "down") == 0 {
				healths.Get(replica).MarkUnreachable(start)
			}
			replicas = append(replicas, replica)
		}
		pipeline, err := NewView(replicas, testServices(layers), healths).Pipeline(start, query())
		if possible := coverable(replicas, healths, layers); possible != (err == nil) {
			t.Fatalf("the layers can be covered: %v, but choosing a pipeline returned: %v", possible, err)
		}
		if err != nil {
			return
		}
		checkPipeline(t, pipeline, layers)
	})
}

// checkPipeline fails the test if the pipeline does not run each layer once, or uses an
// engine twice, for layers that it does not hold, or that must not be used.
func checkPipeline(t *rapid.T, pipeline *Pipeline, layers int) {
	at := 0
	used := make(map[string]bool)
	version := pipeline.Nodes[0].Held.Version
	for i, stage := range pipeline.Stages {
		node := pipeline.Nodes[i]
		switch {
		case stage.Layers.First != at || stage.Layers.End <= at:
			t.Fatalf("stage %d runs %v after layer %d", i, stage.Layers, at)
		case stage.Layers.First < node.Held.First || stage.Layers.End > node.Held.End:
			t.Fatalf("stage %d runs %v and holds %v", i, stage.Layers, node.Held)
		case used[node.ID]:
			t.Fatalf("%s is used twice", node.ID)
		case node.Held.Version != version || node.Leaving || node.IsDown(start):
			t.Fatalf("%s must not be used", node.ID)
		}
		used[node.ID] = true
		at = stage.Layers.End
	}
	if at != layers {
		t.Fatalf("the pipeline ends at layer %d of %d", at, layers)
	}
}

// coverable reports whether usable engines of one version together hold every
// layer.
func coverable(replicas []dragonflyhatch.Replica, healths *HealthSet, layers int) bool {
	for version := 1; version <= 2; version++ {
		held := make([]bool, layers)
		count := 0
		for _, replica := range replicas {
			if replica.Held.Version != version || replica.Leaving || healths.Get(replica).IsDown(start) {
				continue
			}
			for layer := replica.Held.First; layer < replica.Held.End; layer++ {
				if !held[layer] {
					held[layer] = true
					count++
				}
			}
		}
		if count == layers {
			return true
		}
	}
	return false
}

func TestService(t *testing.T) {
	convey.Convey("The replica of a plain service with the lowest expected latency is chosen, and failing or loaded ones are avoided", t, func() {
		healths := NewHealthSet()
		replicas := []dragonflyhatch.Replica{
			{ID: "s1", Service: "desk", Address: "s1:1", Site: "a", Slots: 4},
			{ID: "s2", Service: "desk", Address: "s2:1", Site: "b", Slots: 4},
		}
		view := NewView(replicas, nil, healths)
		choose := func(exclude ...string) string {
			node, err := view.Service(start, Query{Service: "desk", Site: "a", Exclude: exclude, Random: rand.New(rand.NewPCG(1, 2))})
			if err != nil {
				return dragonflyhatch.KindOf(err).String()
			}
			return node.ID
		}
		for range 20 {
			healths.Get(replicas[0]).RecordResponse(start, 50*time.Millisecond, true)
			healths.Get(replicas[1]).RecordResponse(start, 50*time.Millisecond, false)
		}
		convey.So(choose(), convey.ShouldEqual, "s2")
		convey.So(choose("s2:1"), convey.ShouldEqual, "s1")
		healths.Get(replicas[1]).RecordLoad(start, dragonflyhatch.ServiceLoad{Running: 4, Waiting: 40, Slots: 4})
		convey.So(choose(), convey.ShouldEqual, "s1")
		healths.Get(replicas[0]).MarkUnreachable(start)
		convey.So(choose("s2:1"), convey.ShouldEqual, "upstreamUnavailable")
	})
}
