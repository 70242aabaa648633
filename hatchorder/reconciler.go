package hatchorder

import (
	"maps"
	"slices"
	"time"

	"dragonflyhatch"
)

// Target is what an engine is to hold.
type Target struct {
	dragonflyhatch.ModelLayers
	ChecksFencing bool // the engine refuses commands with an old fencing number
}

// Lease is the value of the lease object.
type Lease struct {
	Holder  string `json:"holder"`  // process that took the lease over last
	Fencing uint64 `json:"fencing"` // raised by every takeover
}

// Action is an operation that the reconciler requests from its driver, the code
// that calls Step. The driver performs the action and passes the result to the
// method that the action's comment names. ReportTakeover has no result.
type Action interface{ action() }

// ReadLease reads the lease object; the result goes to LeaseRead.
type ReadLease struct{}

// WriteLease replaces the lease if its version is still Version, or creates it
// if Version is 0; the result goes to LeaseWritten.
type WriteLease struct {
	Lease   Lease
	Version uint64
}

// QueryEngine queries which layers an engine holds; the result goes to
// EngineQueried.
type QueryEngine struct{ Address string }

// SendCommand sends a layer command to an engine; the result goes to
// CommandFinished.
type SendCommand struct {
	Address string
	Command dragonflyhatch.EngineCommand
}

// ReportTakeover reports that this process has become the lease holder.
type ReportTakeover struct {
	From    string
	Fencing uint64
}

func (ReadLease) action()      {}
func (WriteLease) action()     {}
func (QueryEngine) action()    {}
func (SendCommand) action()    {}
func (ReportTakeover) action() {}

//go:generate go tool -modfile=../tools/go.mod stringer -type=CommandOutcome -linecomment -output=enums_string.go

// CommandOutcome is the known outcome of a layer command.
type CommandOutcome int

// The values of CommandOutcome.
const (
	CommandDone    CommandOutcome = iota // done
	CommandRefused                       // refused
	CommandUnknown                       // unsure
)

// Options are the parameters of a reconciler.
type Options struct {
	VerifyInterval time.Duration // between queries of an engine that holds its target
	RetryInterval  time.Duration // after a call that failed
	MaxCommands    int           // maximum number of commands in flight, to limit the load on the weight store
}

// DefaultOptions returns the default options; docs/DECISIONS.md gives the
// reasons.
func DefaultOptions() Options {
	return Options{VerifyInterval: 10 * time.Second, RetryInterval: 500 * time.Millisecond, MaxCommands: 4}
}

// Reconciler is the state machine by which one process holds the lease and
// brings the engines to their targets.
type Reconciler struct {
	self    string // unique name of this process
	options Options

	elected          bool // this process should hold the lease
	leaseVersion     uint64
	lease            Lease
	leaseFresh       bool      // the lease need not be read again before it is used
	leaseCallPending bool      // a read or write of the lease is in flight
	takeoverFencing  uint64    // fencing number of the last takeover from another process
	notBefore        time.Time // Step requests nothing before this time; set after a failed lease call

	engines          map[string]*engine
	commandsInFlight int
}

// engine is the reconciler's state of one engine.
type engine struct {
	target           Target
	observed         dragonflyhatch.ModelLayers
	known            bool   // observed is current: the engine was queried and no command was sent since
	callPending      bool   // a call to the engine is in flight
	outcomeUnknown   bool   // the last command may still reach the engine
	sentFencing      uint64 // fencing number of the last command
	confirmedFencing uint64 // highest fencing number of this process that the engine has confirmed
	nextQuery        time.Time
}

// isConverged reports whether the engine holds its target and needs no further
// command. An engine that checks fencing numbers must also be certain to refuse
// late commands: it has confirmed a number of this takeover or later, and the
// outcome of its last command is known. An engine that does not check fencing
// numbers can only be queried again.
func (engine *engine) isConverged(takeoverFencing uint64) bool {
	if !engine.known || engine.observed != engine.target.ModelLayers {
		return false
	}
	return !engine.target.ChecksFencing || engine.confirmedFencing >= takeoverFencing && !engine.outcomeUnknown
}

// New returns the reconciler of a process with a unique name.
func New(self string, options Options) *Reconciler {
	return &Reconciler{self: self, options: options, engines: make(map[string]*engine)}
}

// SetElected sets whether this process should hold the lease.
func (reconciler *Reconciler) SetElected(elected bool) {
	if elected && !reconciler.elected {
		reconciler.leaseFresh = false
	}
	reconciler.elected = elected
}

// SetTargets replaces the targets of all engines; targets holds them by address.
func (reconciler *Reconciler) SetTargets(targets map[string]Target) {
	for address, target := range targets {
		state, ok := reconciler.engines[address]
		if !ok {
			state = &engine{}
			reconciler.engines[address] = state
		}
		if state.target != target {
			state.target = target
			state.nextQuery = time.Time{}
		}
	}
	maps.DeleteFunc(reconciler.engines, func(address string, engine *engine) bool {
		_, ok := targets[address]
		return !ok && !engine.callPending
	})
}

// IsHolder reports whether this process held the lease when it last read or wrote
// it.
func (reconciler *Reconciler) IsHolder() bool {
	return reconciler.elected && reconciler.leaseFresh && reconciler.lease.Holder == reconciler.self
}

// Step returns the actions that are due, and records them as in flight.
func (reconciler *Reconciler) Step(now time.Time) []Action {
	if !reconciler.elected || now.Before(reconciler.notBefore) {
		return nil
	}
	switch {
	case reconciler.leaseCallPending:
		return nil
	case !reconciler.leaseFresh:
		reconciler.leaseCallPending = true
		return []Action{ReadLease{}}
	case reconciler.lease.Holder != reconciler.self || reconciler.needsNewFencing():
		reconciler.leaseCallPending = true
		next := Lease{Holder: reconciler.self, Fencing: reconciler.lease.Fencing + 1}
		return []Action{WriteLease{Lease: next, Version: reconciler.leaseVersion}}
	}
	return reconciler.reconcile(now)
}

// needsNewFencing reports whether a command sent with the current fencing
// number may still reach its engine. The next command then needs a higher
// number, so that the late one is refused.
func (reconciler *Reconciler) needsNewFencing() bool {
	for _, engine := range reconciler.engines {
		if engine.outcomeUnknown && engine.sentFencing == reconciler.lease.Fencing {
			return true
		}
	}
	return false
}

// reconcile queries the engines that are due and sends layer commands to those
// that differ from their targets.
func (reconciler *Reconciler) reconcile(now time.Time) []Action {
	var actions []Action
	commandsSent := false
	for _, address := range slices.Sorted(maps.Keys(reconciler.engines)) {
		engine := reconciler.engines[address]
		switch {
		case engine.callPending:
		case engine.known && !engine.isConverged(reconciler.takeoverFencing) && reconciler.commandsInFlight < reconciler.options.MaxCommands:
			actions = append(actions, reconciler.startCommand(address, engine))
			commandsSent = true
		case !now.Before(engine.nextQuery):
			engine.callPending = true
			actions = append(actions, QueryEngine{address})
		}
	}
	if commandsSent {
		// The lease is read again before the next commands are sent.
		reconciler.leaseFresh = false
	}
	return actions
}

// startCommand returns the action that sends the engine the command to reach its
// target, and records it as in flight.
func (reconciler *Reconciler) startCommand(address string, engine *engine) Action {
	engine.callPending = true
	engine.known = false
	engine.sentFencing = reconciler.lease.Fencing
	reconciler.commandsInFlight++
	return SendCommand{Address: address, Command: dragonflyhatch.EngineCommand{ModelLayers: engine.target.ModelLayers, Fencing: reconciler.lease.Fencing}}
}
