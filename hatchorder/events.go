package hatchorder

import (
	"time"

	"dragonflyhatch"
)

// LeaseRead handles the result of ReadLease: the lease and its version (0 if the
// object does not exist). If the platform did not reply, ok is false.
func (reconciler *Reconciler) LeaseRead(now time.Time, lease Lease, leaseVersion uint64, ok bool) []Action {
	reconciler.leaseCallPending = false
	if !ok || leaseVersion < reconciler.leaseVersion {
		reconciler.notBefore = now.Add(reconciler.options.RetryInterval)
		return nil
	}
	reconciler.leaseFresh = true
	previous := reconciler.lease.Holder
	reconciler.lease, reconciler.leaseVersion = lease, leaseVersion
	if lease.Holder == reconciler.self && previous != reconciler.self {
		// A write of this process was applied, but its reply was lost.
		return reconciler.takeOver(now, previous)
	}
	return reconciler.Step(now)
}

// takeOver begins to reconcile under the lease that this process has taken over
// from the previous holder. Every engine is queried again.
func (reconciler *Reconciler) takeOver(now time.Time, previous string) []Action {
	reconciler.takeoverFencing = reconciler.lease.Fencing
	reconciler.queryAllEngines()
	return append(reconciler.Step(now), ReportTakeover{From: previous, Fencing: reconciler.lease.Fencing})
}

func (reconciler *Reconciler) queryAllEngines() {
	for _, engine := range reconciler.engines {
		engine.nextQuery = time.Time{}
	}
}

// LeaseWritten handles the result of WriteLease. If the write is known to have
// been applied, applied is set and leaseVersion is the new version. Otherwise the
// lease is read again: a write that was applied although its reply was lost is
// recognised by the name of this process and the fencing number.
func (reconciler *Reconciler) LeaseWritten(now time.Time, write WriteLease, leaseVersion uint64, applied bool) []Action {
	reconciler.leaseCallPending = false
	if !applied {
		reconciler.leaseFresh = false
		reconciler.notBefore = now.Add(reconciler.options.RetryInterval)
		return nil
	}
	previous := reconciler.lease.Holder
	reconciler.lease, reconciler.leaseVersion = write.Lease, leaseVersion
	if previous != reconciler.self {
		return reconciler.takeOver(now, previous)
	}
	reconciler.queryAllEngines()
	return reconciler.Step(now)
}

// EngineQueried handles the result of QueryEngine; ok is false if the engine did not
// reply.
func (reconciler *Reconciler) EngineQueried(now time.Time, address string, held dragonflyhatch.ModelLayers, ok bool) []Action {
	engine, known := reconciler.engines[address]
	if !known {
		return nil
	}
	engine.callPending = false
	engine.nextQuery = now.Add(reconciler.options.RetryInterval)
	if ok {
		engine.observed, engine.known = held, true
		engine.nextQuery = now.Add(reconciler.options.VerifyInterval)
	}
	return reconciler.Step(now)
}

// CommandFinished handles the result of SendCommand. A refusal means that another
// process has a higher fencing number, so the lease is read again. A command of
// unknown outcome may still reach the engine at any later time.
func (reconciler *Reconciler) CommandFinished(now time.Time, address string, result CommandOutcome) []Action {
	reconciler.commandsInFlight--
	engine, known := reconciler.engines[address]
	if !known {
		return nil
	}
	engine.callPending = false
	engine.nextQuery = now
	switch result {
	case CommandDone:
		engine.outcomeUnknown = false
		engine.confirmedFencing = engine.sentFencing
	case CommandRefused:
		engine.outcomeUnknown = false
		reconciler.leaseFresh = false
	case CommandUnknown:
		engine.outcomeUnknown = true
	}
	return reconciler.Step(now)
}
