package hatchorder

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dragonflyhatch"
)

// world is a few processes with their reconcilers, a lease object, and engines
// of which some check fencing numbers. Orders and writes may be late.
type world struct {
	t         *rapid.T
	now       time.Time
	lease     Lease
	version   uint64
	processes []*process
	engines   map[string]*fakeEngine
	late      []func()
	wanted    map[string]Target
	names     int
	holders   map[uint64]string // by fencing number
}

type process struct {
	name       string
	reconciler *Reconciler
	pending    []Action
}

// fakeEngine carries out orders; one that checks refuses old numbers.
type fakeEngine struct {
	checks  bool
	held    dragonflyhatch.Held
	highest uint64
	last    dragonflyhatch.EngineOrder // carried out last
}

func (engine *fakeEngine) obey(order dragonflyhatch.EngineOrder) OrderResult {
	if engine.checks && order.Fencing < engine.highest {
		return OrderRefused
	}
	engine.highest = max(engine.highest, order.Fencing)
	engine.held, engine.last = order.Held, order
	return OrderDone
}

func held(version int) dragonflyhatch.Held {
	return dragonflyhatch.Held{Model: "m", Version: fmt.Sprintf("v%d", version), Layers: dragonflyhatch.LayerRange{End: 4}}
}

func newWorld(t *rapid.T) *world {
	world := &world{
		t: t, now: time.Unix(0, 0), engines: make(map[string]*fakeEngine),
		wanted: make(map[string]Target), holders: make(map[uint64]string),
	}
	for i := range 3 {
		address := fmt.Sprintf("e%d", i)
		world.engines[address] = &fakeEngine{checks: i > 0}
		world.wanted[address] = Target{held(1), i > 0}
	}
	for range 3 {
		world.startProcess()
	}
	world.processes[0].reconciler.Elect(true)
	return world
}

func (world *world) startProcess() {
	world.names++
	name := fmt.Sprintf("p%d", world.names)
	started := &process{name: name, reconciler: New(name, DefaultOptions())}
	started.reconciler.Want(world.wanted)
	world.processes = append(world.processes, started)
}

func (world *world) perform(at *process, actions []Action) {
	for _, action := range actions {
		if _, ok := action.(TookOver); !ok {
			at.pending = append(at.pending, action)
		}
	}
}

// writeLease applies a conditional write; no two take-overs share a number.
func (world *world) writeLease(write WriteLease) bool {
	if write.Version != world.version {
		return false
	}
	world.version++
	world.lease = write.Lease
	if holder, ok := world.holders[write.Lease.Fencing]; ok {
		world.t.Fatalf("number %d of %s is given to %s too", write.Lease.Fencing, holder, write.Lease.Holder)
	}
	world.holders[write.Lease.Fencing] = write.Lease.Holder
	return true
}

// resolve ends a pending action; lost ones may take effect at once, later or
// never.
func (world *world) resolve(at *process, i int, lost, effect bool) {
	action := at.pending[i]
	at.pending = append(at.pending[:i:i], at.pending[i+1:]...)
	reconciler := at.reconciler
	switch action := action.(type) {
	case ReadLease:
		world.perform(at, reconciler.LeaseRead(world.now, world.lease, world.version, !lost))
	case WriteLease:
		applied := (!lost || effect) && world.writeLease(action)
		world.perform(at, reconciler.LeaseWritten(world.now, action, world.version, applied && !lost))
		if lost && !effect {
			world.late = append(world.late, func() { world.writeLease(action) })
		}
	case AskEngine:
		world.perform(at, reconciler.EngineSeen(world.now, action.Address, world.engines[action.Address].held, !lost))
	case SendOrder:
		world.resolveOrder(at, action, lost, effect)
	}
}

func (world *world) resolveOrder(at *process, action SendOrder, lost, effect bool) {
	engine := world.engines[action.Address]
	result := OrderUnsure
	switch {
	case !lost:
		result = engine.obey(action.Order)
	case effect:
		engine.obey(action.Order)
	default:
		world.late = append(world.late, func() { engine.obey(action.Order) })
	}
	world.perform(at, at.reconciler.OrderEnded(world.now, action.Address, result))
}

func (world *world) steppers() map[string]func(*rapid.T) {
	drawProcess := func(t *rapid.T) *process { return rapid.SampledFrom(world.processes).Draw(t, "process") }
	resolve := func(t *rapid.T, lost bool) {
		at := drawProcess(t)
		if len(at.pending) > 0 {
			world.resolve(at, rapid.IntRange(0, len(at.pending)-1).Draw(t, "pending"), lost, lost && rapid.Bool().Draw(t, "effect"))
		}
	}
	return map[string]func(*rapid.T){
		"elect": func(t *rapid.T) {
			at := drawProcess(t)
			at.reconciler.Elect(rapid.IntRange(0, 3).Draw(t, "first") > 0)
		},
		"step": func(t *rapid.T) {
			at := drawProcess(t)
			world.perform(at, at.reconciler.Step(world.now))
		},
		"serve": func(t *rapid.T) { resolve(t, false) },
		"serveMore": func(t *rapid.T) {
			for range 6 {
				at := drawProcess(t)
				world.perform(at, at.reconciler.Step(world.now))
				if len(at.pending) > 0 {
					world.resolve(at, 0, false, false)
				}
			}
		},
		"lose": func(t *rapid.T) { resolve(t, true) },
		"pass": func(t *rapid.T) {
			world.now = world.now.Add(time.Duration(rapid.IntRange(1, 12000).Draw(t, "millis")) * time.Millisecond)
		},
		"arrive": func(t *rapid.T) {
			if len(world.late) == 0 {
				return
			}
			i := rapid.IntRange(0, len(world.late)-1).Draw(t, "late")
			world.late[i]()
			world.late = append(world.late[:i:i], world.late[i+1:]...)
		},
		"configure": func(t *rapid.T) {
			address := rapid.SampledFrom(slices.Sorted(maps.Keys(world.engines))).Draw(t, "engine")
			world.wanted = maps.Clone(world.wanted)
			world.wanted[address] = Target{held(rapid.IntRange(1, 5).Draw(t, "version")), world.engines[address].checks}
			// A process that is paused or cut off learns of it later.
			for _, process := range world.processes {
				if rapid.Bool().Draw(t, "hears") {
					process.reconciler.Want(world.wanted)
				}
			}
		},
		"restart": func(t *rapid.T) {
			i := rapid.IntRange(0, len(world.processes)-1).Draw(t, "restarted")
			for _, action := range world.processes[i].pending {
				if order, ok := action.(SendOrder); ok {
					world.late = append(world.late, func() { world.engines[order.Address].obey(order.Order) })
				}
			}
			world.processes = append(world.processes[:i:i], world.processes[i+1:]...)
			world.startProcess()
		},
	}
}

// heal elects one process, lets time pass, and serves all calls.
func (world *world) heal(chosen *process) {
	for _, process := range world.processes {
		process.reconciler.Want(world.wanted)
		process.reconciler.Elect(process == chosen)
	}
	for range 30 {
		for _, process := range world.processes {
			world.perform(process, process.reconciler.Step(world.now))
			for len(process.pending) > 0 {
				world.resolve(process, 0, false, false)
			}
		}
		world.now = world.now.Add(2 * time.Second)
	}
}

// settled says whether the engine holds what is wanted of it.
func (world *world) settled(address string) bool {
	return world.engines[address].held == world.wanted[address].Held
}

// TestOrdersAreFenced holds that once there is one holder, engines come to hold
// what is wanted; that late orders cannot undo it at an engine that checks; and
// that they are undone again at one that does not.
func TestOrdersAreFenced(t *testing.T) {
	late := 0
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(t)
		t.Repeat(world.steppers())
		holder := rapid.SampledFrom(world.processes).Draw(t, "holder")
		world.heal(holder)
		for address := range world.engines {
			if !world.settled(address) {
				t.Fatalf("%s holds %v, wanted %v", address, world.engines[address].held, world.wanted[address])
			}
		}
		late += len(world.late)
		for _, arrive := range world.late {
			arrive()
		}
		for address, engine := range world.engines {
			if engine.checks && !world.settled(address) {
				t.Fatalf("a late order of number %d changed %s, which checks", engine.last.Fencing, address)
			}
		}
		world.late = nil
		world.heal(holder)
		for address := range world.engines {
			if !world.settled(address) {
				t.Fatalf("%s was not set right after a late order", address)
			}
		}
	})
	t.Logf("%d orders and writes were late", late)
}
