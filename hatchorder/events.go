package hatchorder

import (
	"time"

	"dragonflyhatch"
)

// LeaseRead takes the result of ReadLease: the lease and its version, version 0
// if there is no such object, or ok false if the platform did not answer.
func (reconciler *Reconciler) LeaseRead(now time.Time, lease Lease, version uint64, ok bool) []Action {
	reconciler.leaseBusy = false
	if !ok || version < reconciler.version {
		reconciler.notBefore = now.Add(reconciler.options.RetryInterval)
		return nil
	}
	reconciler.fresh = true
	reconciler.lease, reconciler.version = lease, version
	return reconciler.Step(now)
}

// LeaseWritten takes the result of WriteLease, with the new version if it is
// known to have been applied. Otherwise the lease is read again: a write whose
// reply was lost is recognised by the name of this process and by the number.
func (reconciler *Reconciler) LeaseWritten(now time.Time, write WriteLease, version uint64, applied bool) []Action {
	reconciler.leaseBusy = false
	if !applied {
		reconciler.fresh = false
		reconciler.notBefore = now.Add(reconciler.options.RetryInterval)
		return nil
	}
	from := reconciler.lease.Holder
	reconciler.lease, reconciler.version = write.Lease, version
	if from != reconciler.self {
		reconciler.since = write.Lease.Fencing
	}
	for _, engine := range reconciler.engines {
		engine.next = time.Time{}
	}
	actions := reconciler.Step(now)
	if from != reconciler.self {
		actions = append(actions, TookOver{From: from, Fencing: write.Lease.Fencing})
	}
	return actions
}

// EngineSeen takes the result of AskEngine; ok is false if the engine did not
// answer.
func (reconciler *Reconciler) EngineSeen(now time.Time, address string, held dragonflyhatch.Held, ok bool) []Action {
	engine, known := reconciler.engines[address]
	if !known {
		return nil
	}
	engine.busy = false
	engine.next = now.Add(reconciler.options.RetryInterval)
	if ok {
		engine.seen, engine.known = held, true
		engine.next = now.Add(reconciler.options.VerifyInterval)
	}
	return reconciler.Step(now)
}

// OrderEnded takes the result of SendOrder. A refusal means that another process
// has a higher number; an order of unsure result may arrive at any time later.
func (reconciler *Reconciler) OrderEnded(now time.Time, address string, result OrderResult) []Action {
	reconciler.under--
	engine, known := reconciler.engines[address]
	if !known {
		return nil
	}
	engine.busy = false
	engine.next = now
	switch result {
	case OrderDone:
		engine.unsure = false
		engine.fenced = engine.sent
	case OrderRefused:
		engine.unsure = false
		reconciler.fresh = false
	case OrderUnsure:
		engine.unsure = true
	}
	return reconciler.Step(now)
}
