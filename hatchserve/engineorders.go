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
	orderLeaseName = "orders/lease"
	ordersTick     = 500 * time.Millisecond
)

// engineOrders drives the reconciler that gives orders to managed engines.
type engineOrders struct {
	daemon *Daemon

	mu         sync.Mutex
	reconciler *hatchorder.Reconciler
}

func newEngineOrders(daemon *Daemon) *engineOrders {
	return &engineOrders{daemon: daemon, reconciler: hatchorder.New(daemon.process, hatchorder.DefaultOptions())}
}

// run keeps the reconciler up with the configuration until ctx is done.
func (orders *engineOrders) run(ctx context.Context) {
	for orders.daemon.pause(ctx, ordersTick) {
		wanted := orders.wanted()
		first := len(wanted) > 0 && orders.daemon.givesOrders()
		orders.event(func(now time.Time) []hatchorder.Action {
			orders.reconciler.Elect(first)
			orders.reconciler.Want(wanted)
			return orders.reconciler.Step(now)
		})
	}
}

// wanted returns what the managed engines are to hold, by address.
func (orders *engineOrders) wanted() map[string]hatchorder.Target {
	wanted := make(map[string]hatchorder.Target)
	current := orders.daemon.view.Load()
	if current == nil {
		return wanted
	}
	for _, engine := range current.configuration.Engines {
		if engine.Managed {
			held := dragonflyhatch.Held{Model: engine.Model, Version: engine.Version, Layers: engine.Layers()}
			wanted[engine.Address] = hatchorder.Target{Held: held, ChecksFencing: engine.ChecksFencing}
		}
	}
	return wanted
}

// givesOrders says whether this daemon is the one that should hold the lease.
func (daemon *Daemon) givesOrders() bool {
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	owners := daemon.daemons.Owners(orderShard)
	return len(owners) > 0 && owners[0].Host == daemon.settings.Host
}

// orderShard is the number by which the holder is chosen; no claim shard has it.
const orderShard = -1

// event feeds one event to the reconciler and carries out what follows.
func (orders *engineOrders) event(feed func(now time.Time) []hatchorder.Action) {
	orders.mu.Lock()
	actions := feed(time.Now())
	orders.mu.Unlock()
	for _, action := range actions {
		go orders.perform(action)
	}
}

func (orders *engineOrders) perform(action hatchorder.Action) {
	reconciler := orders.reconciler
	switch action := action.(type) {
	case hatchorder.ReadLease:
		lease, version, err := orders.readLease()
		orders.event(func(now time.Time) []hatchorder.Action {
			return reconciler.LeaseRead(now, lease, version, err == nil)
		})
	case hatchorder.WriteLease:
		version, err := orders.writeLease(action)
		orders.event(func(now time.Time) []hatchorder.Action {
			return reconciler.LeaseWritten(now, action, version, err == nil)
		})
	case hatchorder.AskEngine:
		held, err := orders.daemon.engine.Held(context.Background(), action.Address)
		orders.event(func(now time.Time) []hatchorder.Action {
			return reconciler.EngineSeen(now, action.Address, held, err == nil)
		})
	case hatchorder.SendOrder:
		result := orders.send(action)
		orders.event(func(now time.Time) []hatchorder.Action {
			return reconciler.OrderEnded(now, action.Address, result)
		})
	case hatchorder.TookOver:
		orders.note("orders.takeOver", action.From, action.Fencing, "applied")
	}
}

func (orders *engineOrders) readLease() (hatchorder.Lease, uint64, error) {
	var lease hatchorder.Lease
	object, err := orders.daemon.platform.Get(context.Background(), orderLeaseName)
	if errors.Is(err, dragonflyhatch.ErrObjectMissing) {
		return lease, 0, nil
	}
	if err != nil {
		return lease, 0, err
	}
	return lease, object.Version, json.Unmarshal(object.Value, &lease)
}

func (orders *engineOrders) writeLease(action hatchorder.WriteLease) (uint64, error) {
	value, err := json.Marshal(action.Lease)
	if err != nil {
		return 0, err
	}
	if action.Version == 0 {
		return orders.daemon.platform.Create(context.Background(), orderLeaseName, value)
	}
	return orders.daemon.platform.Update(context.Background(), orderLeaseName, action.Version, value)
}

func (orders *engineOrders) send(action hatchorder.SendOrder) hatchorder.OrderResult {
	err := orders.daemon.engine.Order(context.Background(), action.Address, action.Order)
	result := hatchorder.OrderUnsure
	switch {
	case err == nil:
		result = hatchorder.OrderDone
	case dragonflyhatch.KindOf(err) == dragonflyhatch.KindConflict:
		result = hatchorder.OrderRefused
	}
	orders.note("order "+action.Address+" to hold "+action.Order.Model+" "+action.Order.Version, "", action.Order.Fencing, result.String())
	return result
}

func (orders *engineOrders) note(what, from string, fencing uint64, outcome string) {
	orders.daemon.trail.Add(hatchaudit.Entry{
		Who: orders.daemon.process, What: what, From: from, To: "fencing " + strconv.FormatUint(fencing, 10), Outcome: outcome,
	})
}
