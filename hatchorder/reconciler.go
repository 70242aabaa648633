package hatchorder

import (
	"maps"
	"slices"
	"time"

	"dragonflyhatch"
)

// Target is what an engine is wanted to hold.
type Target struct {
	dragonflyhatch.Held
	ChecksFencing bool // the engine refuses orders with an old number
}

// Lease is the value of the lease object.
type Lease struct {
	Holder  string `json:"holder"`  // process that last took it over
	Fencing uint64 `json:"fencing"` // raised by every take-over
}

// Action is what the reconciler asks its driver to do; each but TookOver is
// followed by the event that its comment names.
type Action interface{ action() }

// ReadLease reads the lease object; LeaseRead follows.
type ReadLease struct{}

// WriteLease replaces the lease if its version is still Version, or creates it
// for Version 0; LeaseWritten follows.
type WriteLease struct {
	Lease   Lease
	Version uint64
}

// AskEngine asks an engine what it holds; EngineSeen follows.
type AskEngine struct{ Address string }

// SendOrder gives an engine an order; OrderDone follows.
type SendOrder struct {
	Address string
	Order   dragonflyhatch.EngineOrder
}

// TookOver says that this process has become the holder.
type TookOver struct {
	From    string
	Fencing uint64
}

func (ReadLease) action()  {}
func (WriteLease) action() {}
func (AskEngine) action()  {}
func (SendOrder) action()  {}
func (TookOver) action()   {}

//go:generate go tool -modfile=../tools/go.mod stringer -type=OrderResult -linecomment -output=enums_string.go

// OrderResult is what is known of an order.
type OrderResult int

// The values of OrderResult.
const (
	OrderDone    OrderResult = iota // done
	OrderRefused                    // refused
	OrderUnsure                     // unsure
)

// Options are the parameters of a reconciler.
type Options struct {
	VerifyInterval time.Duration // between two looks at an engine that holds what it should
	RetryInterval  time.Duration // after a call that was not answered
	MaxOrders      int           // orders under way at once, to spare the weight store
}

// DefaultOptions returns the options that docs/DECISIONS.md gives reasons for.
func DefaultOptions() Options {
	return Options{VerifyInterval: 10 * time.Second, RetryInterval: 500 * time.Millisecond, MaxOrders: 4}
}

// Reconciler is the state machine of one process.
type Reconciler struct {
	self    string // name of this process, never used by another
	options Options

	first     bool // this daemon is the one that should hold the lease
	version   uint64
	lease     Lease
	fresh     bool   // lease was read or written since the last doubt
	leaseBusy bool   // a call for the lease is outstanding
	since     uint64 // number with which this process last took over from another
	notBefore time.Time

	engines map[string]*engine
	under   int // orders under way
}

// engine is what is known of one engine.
type engine struct {
	wanted Target
	seen   dragonflyhatch.Held
	known  bool
	busy   bool      // a call to the engine is outstanding
	unsure bool      // the last order may still arrive
	sent   uint64    // number of the last order
	fenced uint64    // highest number that the engine is known to have seen from here
	next   time.Time // of the next look
}

// settled says whether the engine holds what it should, and cannot be made to
// hold something else by an order that is still on its way.
func (engine *engine) settled(since uint64) bool {
	if !engine.known || engine.seen != engine.wanted.Held {
		return false
	}
	return !engine.wanted.ChecksFencing || engine.fenced >= since && !engine.unsure
}

// New returns the reconciler of a process whose name is used by no other.
func New(self string, options Options) *Reconciler {
	return &Reconciler{self: self, options: options, engines: make(map[string]*engine)}
}

// Elect says whether this daemon is the one that should hold the lease.
func (reconciler *Reconciler) Elect(first bool) {
	if first && !reconciler.first {
		reconciler.fresh = false
	}
	reconciler.first = first
}

// Want replaces what the engines are wanted to hold, by address.
func (reconciler *Reconciler) Want(wanted map[string]Target) {
	for address, target := range wanted {
		known, ok := reconciler.engines[address]
		if !ok {
			known = &engine{}
			reconciler.engines[address] = known
		}
		if known.wanted != target {
			known.wanted = target
			known.next = time.Time{}
		}
	}
	maps.DeleteFunc(reconciler.engines, func(address string, engine *engine) bool {
		_, ok := wanted[address]
		return !ok && !engine.busy
	})
}

// Holder says whether this process held the lease when it last looked.
func (reconciler *Reconciler) Holder() bool {
	return reconciler.first && reconciler.fresh && reconciler.lease.Holder == reconciler.self
}

// Step returns what is to be done now.
func (reconciler *Reconciler) Step(now time.Time) []Action {
	if !reconciler.first || now.Before(reconciler.notBefore) {
		return nil
	}
	switch {
	case reconciler.leaseBusy:
		return nil
	case !reconciler.fresh:
		reconciler.leaseBusy = true
		return []Action{ReadLease{}}
	case reconciler.lease.Holder != reconciler.self || reconciler.mustRaise():
		reconciler.leaseBusy = true
		next := Lease{Holder: reconciler.self, Fencing: reconciler.lease.Fencing + 1}
		return []Action{WriteLease{Lease: next, Version: reconciler.version}}
	}
	return reconciler.reconcile(now)
}

// mustRaise says whether an order that may still arrive has to be outnumbered
// before its engine gets another one.
func (reconciler *Reconciler) mustRaise() bool {
	for _, engine := range reconciler.engines {
		if engine.unsure && engine.sent == reconciler.lease.Fencing {
			return true
		}
	}
	return false
}

// reconcile looks at engines that are due and orders those that differ.
func (reconciler *Reconciler) reconcile(now time.Time) []Action {
	var actions []Action
	ordered := false
	for _, address := range slices.Sorted(maps.Keys(reconciler.engines)) {
		engine := reconciler.engines[address]
		switch {
		case engine.busy:
		case engine.known && !engine.settled(reconciler.since) && reconciler.under < reconciler.options.MaxOrders:
			actions = append(actions, reconciler.order(address, engine))
			ordered = true
		case !now.Before(engine.next):
			engine.busy = true
			actions = append(actions, AskEngine{address})
		}
	}
	if ordered {
		// The next orders are given only after another look at the lease.
		reconciler.fresh = false
	}
	return actions
}

func (reconciler *Reconciler) order(address string, engine *engine) Action {
	engine.busy = true
	engine.known = false
	engine.sent = reconciler.lease.Fencing
	reconciler.under++
	return SendOrder{Address: address, Order: dragonflyhatch.EngineOrder{Held: engine.wanted.Held, Fencing: reconciler.lease.Fencing}}
}
