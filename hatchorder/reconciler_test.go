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

// simulation simulates several processes with their reconcilers, a lease object,
// and engines, some of which check fencing numbers. Commands and writes of the
// lease may arrive late.
type simulation struct {
	t            *rapid.T
	now          time.Time
	lease        Lease
	version      uint64
	processes    []*process
	engines      map[string]*fakeEngine
	delayed      []func() // commands and writes that have not arrived yet
	targets      map[string]Target
	processCount int
	holders      map[uint64]string // by fencing number
}

type process struct {
	name       string
	reconciler *Reconciler
	pending    []Action
}

// fakeEngine applies layer commands. If it checks fencing numbers, it refuses a
// command with a lower number than it has seen.
type fakeEngine struct {
	checksFencing  bool
	held           dragonflyhatch.ModelLayers
	highestFencing uint64
	lastCommand    dragonflyhatch.EngineCommand
}

func (engine *fakeEngine) apply(command dragonflyhatch.EngineCommand) CommandOutcome {
	if engine.checksFencing && command.Fencing < engine.highestFencing {
		return CommandRefused
	}
	engine.highestFencing = max(engine.highestFencing, command.Fencing)
	engine.held, engine.lastCommand = command.ModelLayers, command
	return CommandDone
}

func heldVersion(version int) dragonflyhatch.ModelLayers {
	return dragonflyhatch.ModelLayers{Model: "m", Version: fmt.Sprintf("v%d", version), Layers: dragonflyhatch.LayerRange{End: 4}}
}

func newSimulation(t *rapid.T) *simulation {
	simulation := &simulation{
		t: t, now: time.Unix(0, 0), engines: make(map[string]*fakeEngine),
		targets: make(map[string]Target), holders: make(map[uint64]string),
	}
	for i := range 3 {
		address := fmt.Sprintf("e%d", i)
		simulation.engines[address] = &fakeEngine{checksFencing: i > 0}
		simulation.targets[address] = Target{heldVersion(1), i > 0}
	}
	for range 3 {
		simulation.startProcess()
	}
	simulation.processes[0].reconciler.SetElected(true)
	return simulation
}

func (simulation *simulation) startProcess() {
	simulation.processCount++
	name := fmt.Sprintf("p%d", simulation.processCount)
	started := &process{name: name, reconciler: New(name, DefaultOptions())}
	started.reconciler.SetTargets(simulation.targets)
	simulation.processes = append(simulation.processes, started)
}

func (simulation *simulation) enqueue(source *process, actions []Action) {
	for _, action := range actions {
		if _, ok := action.(ReportTakeover); !ok {
			source.pending = append(source.pending, action)
		}
	}
}

// writeLease applies a conditional write, and fails if two of them have the
// same fencing number.
func (simulation *simulation) writeLease(write WriteLease) bool {
	if write.Version != simulation.version {
		return false
	}
	simulation.version++
	simulation.lease = write.Lease
	if holder, ok := simulation.holders[write.Lease.Fencing]; ok {
		simulation.t.Fatalf("fencing number %d of %s is also given to %s", write.Lease.Fencing, holder, write.Lease.Holder)
	}
	simulation.holders[write.Lease.Fencing] = write.Lease.Holder
	return true
}

// finish completes a pending action. If lost is set, the reconciler does not get
// the result. A lost command or write then takes effect immediately if effect is
// set, and otherwise later or never.
func (simulation *simulation) finish(source *process, i int, lost, effect bool) {
	action := source.pending[i]
	source.pending = append(source.pending[:i:i], source.pending[i+1:]...)
	reconciler := source.reconciler
	switch action := action.(type) {
	case ReadLease:
		simulation.enqueue(source, reconciler.LeaseRead(simulation.now, simulation.lease, simulation.version, !lost))
	case WriteLease:
		applied := (!lost || effect) && simulation.writeLease(action)
		simulation.enqueue(source, reconciler.LeaseWritten(simulation.now, action, simulation.version, applied && !lost))
		if lost && !effect {
			simulation.delayed = append(simulation.delayed, func() { simulation.writeLease(action) })
		}
	case QueryEngine:
		simulation.enqueue(source, reconciler.EngineQueried(simulation.now, action.Address, simulation.engines[action.Address].held, !lost))
	case SendCommand:
		simulation.finishCommand(source, action, lost, effect)
	}
}

func (simulation *simulation) finishCommand(source *process, action SendCommand, lost, effect bool) {
	engine := simulation.engines[action.Address]
	result := CommandUnknown
	switch {
	case !lost:
		result = engine.apply(action.Command)
	case effect:
		engine.apply(action.Command)
	default:
		simulation.delayed = append(simulation.delayed, func() { engine.apply(action.Command) })
	}
	simulation.enqueue(source, source.reconciler.CommandFinished(simulation.now, action.Address, result))
}

// transitions returns the random transitions of the simulation by name: "serve"
// completes a pending action, "lose" loses it or its result, "pass" advances the
// clock, and "arrive" delivers a delayed command or write.
func (simulation *simulation) transitions() map[string]func(*rapid.T) {
	drawProcess := func(t *rapid.T) *process { return rapid.SampledFrom(simulation.processes).Draw(t, "process") }
	finish := func(t *rapid.T, lost bool) {
		source := drawProcess(t)
		if len(source.pending) > 0 {
			simulation.finish(source, rapid.IntRange(0, len(source.pending)-1).Draw(t, "pending"), lost, lost && rapid.Bool().Draw(t, "effect"))
		}
	}
	return map[string]func(*rapid.T){
		"elect": func(t *rapid.T) {
			source := drawProcess(t)
			source.reconciler.SetElected(rapid.IntRange(0, 3).Draw(t, "first") > 0)
		},
		"step": func(t *rapid.T) {
			source := drawProcess(t)
			simulation.enqueue(source, source.reconciler.Step(simulation.now))
		},
		"serve": func(t *rapid.T) { finish(t, false) },
		"serveMore": func(t *rapid.T) {
			for range 6 {
				source := drawProcess(t)
				simulation.enqueue(source, source.reconciler.Step(simulation.now))
				if len(source.pending) > 0 {
					simulation.finish(source, 0, false, false)
				}
			}
		},
		"lose": func(t *rapid.T) { finish(t, true) },
		"pass": func(t *rapid.T) {
			simulation.now = simulation.now.Add(time.Duration(rapid.IntRange(1, 12000).Draw(t, "millis")) * time.Millisecond)
		},
		"arrive": func(t *rapid.T) {
			if len(simulation.delayed) == 0 {
				return
			}
			i := rapid.IntRange(0, len(simulation.delayed)-1).Draw(t, "late")
			simulation.delayed[i]()
			simulation.delayed = append(simulation.delayed[:i:i], simulation.delayed[i+1:]...)
		},
		"configure": func(t *rapid.T) {
			address := rapid.SampledFrom(slices.Sorted(maps.Keys(simulation.engines))).Draw(t, "engine")
			simulation.targets = maps.Clone(simulation.targets)
			simulation.targets[address] = Target{heldVersion(rapid.IntRange(1, 5).Draw(t, "version")), simulation.engines[address].checksFencing}
			// A process that is paused or partitioned receives the targets later.
			for _, process := range simulation.processes {
				if rapid.Bool().Draw(t, "receives") {
					process.reconciler.SetTargets(simulation.targets)
				}
			}
		},
		"restart": func(t *rapid.T) {
			i := rapid.IntRange(0, len(simulation.processes)-1).Draw(t, "restarted")
			for _, action := range simulation.processes[i].pending {
				if command, ok := action.(SendCommand); ok {
					simulation.delayed = append(simulation.delayed, func() { simulation.engines[command.Address].apply(command.Command) })
				}
			}
			simulation.processes = append(simulation.processes[:i:i], simulation.processes[i+1:]...)
			simulation.startProcess()
		},
	}
}

// converge elects only the chosen process, lets a minute pass, and completes all
// actions without losses.
func (simulation *simulation) converge(chosen *process) {
	for _, process := range simulation.processes {
		process.reconciler.SetTargets(simulation.targets)
		process.reconciler.SetElected(process == chosen)
	}
	for range 30 {
		for _, process := range simulation.processes {
			simulation.enqueue(process, process.reconciler.Step(simulation.now))
			for len(process.pending) > 0 {
				simulation.finish(process, 0, false, false)
			}
		}
		simulation.now = simulation.now.Add(2 * time.Second)
	}
}

// holdsTarget reports whether the engine holds its target.
func (simulation *simulation) holdsTarget(address string) bool {
	return simulation.engines[address].held == simulation.targets[address].ModelLayers
}

// TestLayerCommandsAreFenced checks that the engines reach their targets once a
// single process is elected, that a late command then does not change an engine
// that checks fencing numbers, and that the holder corrects an engine that does
// not check them.
func TestLayerCommandsAreFenced(t *testing.T) {
	delayed := 0
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(t)
		t.Repeat(simulation.transitions())
		holder := rapid.SampledFrom(simulation.processes).Draw(t, "holder")
		simulation.converge(holder)
		for address := range simulation.engines {
			if !simulation.holdsTarget(address) {
				t.Fatalf("engine %s holds %v, want %v", address, simulation.engines[address].held, simulation.targets[address])
			}
		}
		delayed += len(simulation.delayed)
		for _, arrive := range simulation.delayed {
			arrive()
		}
		for address, engine := range simulation.engines {
			if engine.checksFencing && !simulation.holdsTarget(address) {
				t.Fatalf("a late command with fencing number %d changed engine %s, which checks fencing numbers", engine.lastCommand.Fencing, address)
			}
		}
		simulation.delayed = nil
		simulation.converge(holder)
		for address := range simulation.engines {
			if !simulation.holdsTarget(address) {
				t.Fatalf("engine %s did not return to its target after a late command", address)
			}
		}
	})
	t.Logf("%d commands and lease writes arrived late", delayed)
}

// takeLease makes the process read and write the lease until it is the holder, and
// returns the actions that follow. The reply to its write is lost if lost is set.
func takeLease(reconciler *Reconciler, now time.Time, lease *Lease, version *uint64, lost bool) []Action {
	for range 4 {
		actions := reconciler.Step(now)
		for i := 0; i < len(actions); i++ {
			switch action := actions[i].(type) {
			case ReadLease:
				actions = append(actions, reconciler.LeaseRead(now, *lease, *version, true)...)
			case WriteLease:
				*lease = action.Lease
				*version++
				actions = append(actions, reconciler.LeaseWritten(now, action, *version, !lost)...)
			case QueryEngine, SendCommand:
				return actions[i:]
			}
		}
		now = now.Add(DefaultOptions().RetryInterval)
	}
	return nil
}

func TestTakeoverWithLostReplyIsFenced(t *testing.T) {
	for _, lost := range []bool{false, true} {
		now := time.Unix(0, 0)
		var lease Lease
		var version uint64
		engine := &fakeEngine{checksFencing: true}
		first, second := New("p1", DefaultOptions()), New("p2", DefaultOptions())
		targets := func(version int) map[string]Target { return map[string]Target{"e": {heldVersion(version), true}} }

		first.SetTargets(targets(1))
		first.SetElected(true)
		takeLease(first, now, &lease, &version, false)
		first.EngineQueried(now, "e", engine.held, true)
		engine.apply(dragonflyhatch.EngineCommand{ModelLayers: heldVersion(1), Fencing: lease.Fencing})
		late := dragonflyhatch.EngineCommand{ModelLayers: heldVersion(2), Fencing: lease.Fencing}

		second.SetTargets(targets(1))
		second.SetElected(true)
		takeLease(second, now.Add(time.Second), &lease, &version, lost)
		for _, action := range second.EngineQueried(now.Add(3*time.Second), "e", engine.held, true) {
			if command, ok := action.(SendCommand); ok {
				second.CommandFinished(now, "e", engine.apply(command.Command))
			}
		}
		if outcome := engine.apply(late); outcome != CommandRefused {
			t.Errorf("reply lost %t: the engine took a command of the former holder: %v, fencing %d", lost, outcome, engine.highestFencing)
		}
	}
}
