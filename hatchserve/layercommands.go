package hatchserve

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyhatch"
	"dragonflyhatch/hatchaudit"
	"dragonflyhatch/hatchorder"
)

const (
	commandLeaseName    = "orders/lease"
	commandTickInterval = 500 * time.Millisecond
)

// layerCommands drives the reconciler that sends layer commands to managed
// engines.
type layerCommands struct {
	daemon *Daemon

	mu         sync.Mutex
	reconciler *hatchorder.Reconciler
}

func newLayerCommands(daemon *Daemon) *layerCommands {
	return &layerCommands{daemon: daemon, reconciler: hatchorder.New(daemon.process, hatchorder.DefaultOptions())}
}

// run passes the targets of the configuration to the reconciler periodically
// until ctx is done.
func (commands *layerCommands) run(ctx context.Context) {
	for commands.daemon.sleep(ctx, commandTickInterval) {
		targets := commands.targets()
		elected := len(targets) > 0 && commands.daemon.shouldHoldCommandLease()
		commands.handleEvent(func(now time.Time) []hatchorder.Action {
			commands.reconciler.SetElected(elected)
			commands.reconciler.SetTargets(targets)
			return commands.reconciler.Step(now)
		})
	}
}

// targets returns what the managed engines should hold, by address.
func (commands *layerCommands) targets() map[string]hatchorder.Target {
	targets := make(map[string]hatchorder.Target)
	current := commands.daemon.view.Load()
	if current == nil {
		return targets
	}
	for _, engine := range current.configuration.Engines {
		if engine.Managed {
			layers := dragonflyhatch.ModelLayers{Model: engine.Model, Version: engine.Version, Layers: engine.Layers()}
			targets[engine.Address] = hatchorder.Target{ModelLayers: layers, ChecksFencing: engine.ChecksFencing}
		}
	}
	return targets
}

// shouldHoldCommandLease reports whether this daemon is the one that should
// hold the lease for layer commands.
func (daemon *Daemon) shouldHoldCommandLease() bool {
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	owners := daemon.members.Owners(commandLeaseShard)
	return len(owners) > 0 && owners[0].Host == daemon.settings.Host
}

// commandLeaseShard is the shard number by which the holder of the lease is
// chosen. No claim shard has this number.
const commandLeaseShard = -1

// handleEvent passes one event to the reconciler and performs the actions that
// follow from it.
func (commands *layerCommands) handleEvent(feed func(now time.Time) []hatchorder.Action) {
	for _, action := range commands.feedLocked(feed) {
		go commands.perform(action)
	}
}

// feedLocked calls feed with the mutex held, and releases it also if feed panics.
func (commands *layerCommands) feedLocked(feed func(now time.Time) []hatchorder.Action) []hatchorder.Action {
	commands.mu.Lock()
	defer commands.mu.Unlock()
	return feed(time.Now())
}

func (commands *layerCommands) perform(action hatchorder.Action) {
	reconciler := commands.reconciler
	switch action := action.(type) {
	case hatchorder.ReadLease:
		lease, version, err := commands.readLease()
		commands.handleEvent(func(now time.Time) []hatchorder.Action {
			return reconciler.LeaseRead(now, lease, version, err == nil)
		})
	case hatchorder.WriteLease:
		version, err := commands.writeLease(action)
		commands.handleEvent(func(now time.Time) []hatchorder.Action {
			return reconciler.LeaseWritten(now, action, version, err == nil)
		})
	case hatchorder.QueryEngine:
		layers, err := commands.daemon.engine.ModelLayers(context.Background(), action.Address)
		commands.handleEvent(func(now time.Time) []hatchorder.Action {
			return reconciler.EngineQueried(now, action.Address, layers, err == nil)
		})
	case hatchorder.SendCommand:
		result := commands.sendCommand(action)
		commands.handleEvent(func(now time.Time) []hatchorder.Action {
			return reconciler.CommandFinished(now, action.Address, result)
		})
	case hatchorder.ReportTakeover:
		commands.audit("orders.takeOver", action.From, action.Fencing, "applied")
	}
}

func (commands *layerCommands) readLease() (hatchorder.Lease, uint64, error) {
	var lease hatchorder.Lease
	object, err := commands.daemon.platform.Get(context.Background(), commandLeaseName)
	if errors.Is(err, dragonflyhatch.ErrObjectMissing) {
		return lease, 0, nil
	}
	if err != nil {
		return lease, 0, err
	}
	return lease, object.Version, json.Unmarshal(object.Value, &lease)
}

func (commands *layerCommands) writeLease(action hatchorder.WriteLease) (uint64, error) {
	value, err := json.Marshal(action.Lease)
	if err != nil {
		return 0, err
	}
	if action.Version == 0 {
		return commands.daemon.platform.Create(context.Background(), commandLeaseName, value)
	}
	return commands.daemon.platform.Update(context.Background(), commandLeaseName, action.Version, value)
}

func (commands *layerCommands) sendCommand(action hatchorder.SendCommand) hatchorder.CommandOutcome {
	err := commands.daemon.engine.SendLayerCommand(context.Background(), action.Address, action.Command)
	result := hatchorder.CommandUnknown
	switch {
	case err == nil:
		result = hatchorder.CommandDone
	case dragonflyhatch.KindOf(err) == dragonflyhatch.KindConflict:
		result = hatchorder.CommandRefused
	}
	commands.audit("order "+action.Address+" to hold "+action.Command.Model+" "+action.Command.Version, "", action.Command.Fencing, result.String())
	return result
}

// audit adds an entry on the lease or a layer command to the audit trail.
func (commands *layerCommands) audit(what, from string, fencing uint64, outcome string) {
	commands.daemon.trail.Add(hatchaudit.Entry{
		Actor: commands.daemon.process, Action: what, From: from, To: "fencing " + strconv.FormatUint(fencing, 10), Outcome: outcome,
	})
}
