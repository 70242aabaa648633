package hatchorder

import (
	"fmt"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"dragonflyhatch"
)

// mixedModel is a model that no accelerator holds alone.
var mixedModel = &dragonflyhatch.EngineModel{
	Layers: 80, LayerMB: 1750, KVBytes: 590000,
	Accelerators: map[string]dragonflyhatch.Accelerator{
		"h100":  {MemoryMB: 72000, Pace: 1.4, ReadFactor: 1},
		"a100s": {MemoryMB: 36000, Pace: 3.1, ReadFactor: 3.2},
		"l4":    {MemoryMB: 21600, Pace: 16, ReadFactor: 8.2},
		"t4":    {MemoryMB: 14400, Pace: 15, ReadFactor: 15},
	},
}

// engineFleet is engines that carry out orders.
type engineFleet struct {
	engines []PlacedEngine
	next    int
}

func (fleet *engineFleet) add(site, accelerator string, count int) {
	for range count {
		fleet.next++
		fleet.engines = append(fleet.engines, PlacedEngine{Replica: dragonflyhatch.Replica{
			ID: fmt.Sprintf("i-%03d", fleet.next), Site: site, Accelerator: accelerator,
		}})
	}
}

// snapshot returns a copy to plan with, in another order.
func (fleet *engineFleet) snapshot(turn int) []PlacedEngine {
	engines := make([]PlacedEngine, len(fleet.engines))
	for i, engine := range fleet.engines {
		engines[(i+turn)%len(engines)] = engine
	}
	return engines
}

// settle carries plans out until there is none, and returns how many orders that
// took, or -1 if it does not end.
func (fleet *engineFleet) settle() int {
	orders := 0
	for range 20 {
		plan := PlanLayers(mixedModel, fleet.snapshot(0))
		if len(plan) == 0 {
			return orders
		}
		orders += len(plan)
		for _, placement := range plan {
			for i := range fleet.engines {
				if fleet.engines[i].Replica.ID == placement.Replica.ID {
					fleet.engines[i].Layers = placement.Layers
				}
			}
		}
	}
	return -1
}

func (fleet *engineFleet) remove(index int) {
	fleet.engines = append(fleet.engines[:index], fleet.engines[index+1:]...)
}

// missing returns the layers that no engine of the site holds.
func (fleet *engineFleet) missing(site string) int {
	held := make([]bool, mixedModel.Layers)
	for _, engine := range fleet.engines {
		if engine.Replica.Site == site {
			cover(held, engine.Layers)
		}
	}
	missing := 0
	for _, is := range held {
		if !is {
			missing++
		}
	}
	return missing
}

func siteFleet() *engineFleet {
	fleet := new(engineFleet)
	fleet.add("bole", "a100s", 1)
	fleet.add("bole", "l4", 8)
	fleet.add("bole", "t4", 3)
	fleet.add("arada", "a100s", 2)
	fleet.add("arada", "l4", 4)
	fleet.add("arada", "t4", 7)
	fleet.add("kirkos", "h100", 1)
	fleet.add("kirkos", "a100s", 1)
	fleet.add("kirkos", "l4", 5)
	fleet.add("kirkos", "t4", 7)
	return fleet
}

func TestEachSiteGetsAPipeline(t *testing.T) {
	convey.Convey("Engines that hold nothing are laid out in one round, each site for itself", t, func() {
		fleet := siteFleet()
		plan := PlanLayers(mixedModel, fleet.snapshot(0))
		convey.So(len(plan), convey.ShouldEqual, len(fleet.engines))
		convey.So(fleet.settle(), convey.ShouldEqual, len(fleet.engines))
		for _, site := range []string{"bole", "arada", "kirkos"} {
			convey.So(fleet.missing(site), convey.ShouldEqual, 0)
		}
	})
	convey.Convey("Sites that are too small alone hold one pipeline together", t, func() {
		fleet := new(engineFleet)
		fleet.add("bole", "l4", 6)
		fleet.add("arada", "l4", 6)
		convey.So(fleet.settle(), convey.ShouldBeGreaterThan, 0)
		convey.So(fleet.missing("bole")+fleet.missing("arada"), convey.ShouldBeLessThanOrEqualTo, mixedModel.Layers)
	})
	convey.Convey("Engines that cannot hold the model get no orders", t, func() {
		fleet := new(engineFleet)
		fleet.add("bole", "t4", 3)
		convey.So(fleet.settle(), convey.ShouldEqual, 0)
	})
}

func TestLostLayersAreHeldAgain(t *testing.T) {
	convey.Convey("After the loss of any one engine its site is whole after one round, by few orders", t, func() {
		for lost := range siteFleet().engines {
			fleet := siteFleet()
			fleet.settle()
			site := fleet.engines[lost].Replica.Site
			fleet.remove(lost)
			orders := fleet.settle()
			convey.So(fleet.missing(site), convey.ShouldEqual, 0)
			convey.So(orders, convey.ShouldBeBetweenOrEqual, 0, 8)
		}
	})
	convey.Convey("A gap that the neighbours have no room for moves as few engines as have", t, func() {
		fleet := new(engineFleet)
		fleet.add("bole", "l4", 10)
		fleet.settle()
		fleet.remove(5) // eight layers; an engine has room for three more
		convey.So(fleet.settle(), convey.ShouldEqual, 3)
		convey.So(fleet.missing("bole"), convey.ShouldEqual, 0)
	})
	convey.Convey("An engine that stood in gives layers back when others hold them", t, func() {
		fleet := new(engineFleet)
		fleet.add("bole", "l4", 9)
		fleet.add("bole", "t4", 2)
		fleet.settle()
		fleet.remove(9) // between an l4 and a t4
		convey.So(fleet.settle(), convey.ShouldEqual, 2)
		convey.So(fleet.missing("bole"), convey.ShouldEqual, 0)
		fleet.add("bole", "t4", 1)
		convey.So(fleet.settle(), convey.ShouldBeGreaterThan, 0)
		convey.So(fleet.missing("bole"), convey.ShouldEqual, 0)
		group := placementGroup{model: mixedModel}
		for i := range fleet.engines {
			convey.So(fleet.engines[i].count(), convey.ShouldBeLessThanOrEqualTo, group.room(&fleet.engines[i], weightShare))
		}
	})
}

// TestPlansUnderLossAndGain plays losses, gains and busy engines against what
// must hold of every plan.
func TestPlansUnderLossAndGain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := siteFleet()
		if fleet.settle() < 0 {
			t.Fatal("the first plan does not end")
		}
		accelerators := []string{"h100", "a100s", "l4", "t4"}
		sites := []string{"bole", "arada", "kirkos"}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			if len(fleet.engines) > 1 && rapid.Bool().Draw(t, "lose") {
				fleet.remove(rapid.IntRange(0, len(fleet.engines)-1).Draw(t, "lost"))
			} else {
				fleet.add(rapid.SampledFrom(sites).Draw(t, "site"), rapid.SampledFrom(accelerators).Draw(t, "accelerator"), 1)
			}
			busy := rapid.IntRange(0, len(fleet.engines)-1).Draw(t, "busy")
			fleet.engines[busy].Busy = true
			checkPlan(t, fleet)
			fleet.engines[busy].Busy = false
			if fleet.settle() < 0 {
				t.Fatal("the plans do not end")
			}
		}
		for _, site := range sites {
			group := &placementGroup{model: mixedModel}
			for i := range fleet.engines {
				if fleet.engines[i].Replica.Site == site {
					group.engines = append(group.engines, &fleet.engines[i])
				}
			}
			if group.capacity(standInShare) >= mixedModel.Layers && fleet.missing(site) > 0 {
				t.Fatalf("%s could hold the model and lacks %d layers", site, fleet.missing(site))
			}
		}
	})
}

// checkPlan wants each engine ordered once at most, none that is busy, none over
// its memory, and the same plan whatever the order of the engines.
func checkPlan(t *rapid.T, fleet *engineFleet) {
	plan := PlanLayers(mixedModel, fleet.snapshot(0))
	ordered := make(map[string]bool)
	for _, placement := range plan {
		if ordered[placement.Replica.ID] {
			t.Fatalf("two orders for %s", placement.Replica.ID)
		}
		ordered[placement.Replica.ID] = true
		size := float64(placement.Layers.End-placement.Layers.First) * mixedModel.LayerMB
		if placement.Layers.First < 0 || placement.Layers.End > mixedModel.Layers || size <= 0 {
			t.Fatalf("%s is to hold %v", placement.Replica.ID, placement.Layers)
		}
		memory := mixedModel.Accelerators[placement.Replica.Accelerator].MemoryMB
		if size > standInShare*memory || size >= memory {
			t.Fatalf("%s (%s) is to hold %v", placement.Replica.ID, placement.Replica.Accelerator, placement.Layers)
		}
	}
	for _, engine := range fleet.engines {
		if engine.Busy && ordered[engine.Replica.ID] {
			t.Fatalf("%s is busy and gets an order", engine.Replica.ID)
		}
	}
	if again := PlanLayers(mixedModel, fleet.snapshot(5)); fmt.Sprint(again) != fmt.Sprint(plan) {
		t.Fatalf("another order of the engines gives another plan:\n%v\n%v", plan, again)
	}
}
