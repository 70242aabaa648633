package hatchforward

import (
	"time"

	"dragonflyhatch"
	"dragonflyhatch/hatchpath"
	"dragonflyhatch/hatchquarantine"
)

const (
	// answeredEvents is the number of events after which a replica counts as answering
	// a request: one that terminates may still have sent the first event.
	answeredEvents = 2
	// clearancePollInterval is the pause between two decisions on a delayed request.
	clearancePollInterval = 25 * time.Millisecond
	// maxClearanceWait is how long a request is delayed before it is refused. Callers
	// abandon a silent stream after two seconds.
	maxClearanceWait = time.Second
)

// WithQuarantine sets the table of suspected parts of prompts.
func WithQuarantine(quarantine *hatchquarantine.Table) Option {
	return func(forwarder *Forwarder) { forwarder.quarantine = quarantine }
}

// MergeSuspects merges the evidence of a peer on parts of prompts.
func (forwarder *Forwarder) MergeSuspects(suspects []dragonflyhatch.SuspectPart) {
	changes, refuted := forwarder.quarantine.Merge(time.Now(), suspects)
	forwarder.handleSuspectChanges(changes)
	if refuted {
		forwarder.fleet.ReportSuspects()
	}
}

// LiftSuspicion ends the suspicion of the part at all daemons, and reports whether there
// was one.
func (forwarder *Forwarder) LiftSuspicion(part dragonflyhatch.PromptPart) bool {
	changes := forwarder.quarantine.Lift(time.Now(), part)
	forwarder.handleSuspectChanges(changes)
	return len(changes) > 0
}

// handleSuspectChanges logs changes of the evidence, reports them to the peers and
// abandons the streams that would not be sent any more.
func (forwarder *Forwarder) handleSuspectChanges(changes []hatchquarantine.Change) {
	if len(changes) == 0 {
		return
	}
	held := false
	for _, change := range changes {
		logger := forwarder.logger.With("service", change.Part.Service, "part", change.Part.ID, "terminations", change.Terminations)
		switch {
		case change.Cleared:
			logger.Info("prompt part cleared")
		case change.Held:
			held = true
			logger.Warn("prompt part held back")
		case change.Terminations > 0:
			logger.Info("prompt part suspected")
		default:
			logger.Debug("prompt part was at a termination that does not count against it")
		}
	}
	forwarder.fleet.ReportSuspects()
	if held {
		forwarder.prober.abandonHeld()
	}
}

// abandonHeld abandons the attempts that have no event yet at streams whose prompts are
// held back by now.
func (prober *prober) abandonHeld() {
	prober.mu.Lock()
	defer prober.mu.Unlock()
	for watch := range prober.watches {
		if watch.stream.hasParts() {
			go watch.handleHeldPart()
		}
	}
}

// handleHeldPart abandons the attempt if it has no event yet and its prompt is held back.
func (watch *watch) handleHeldPart() {
	if !watch.stream.forwarder.quarantine.IsHeld(time.Now(), watch.stream.quarantineRequest(), watch.terminations) {
		return
	}
	watch.mu.Lock()
	defer watch.mu.Unlock()
	if !watch.stopped && !watch.dataReceived {
		watch.abandon("a part of the prompt is held back", nil)
	}
}

// quarantineRequest returns what the quarantine decides on.
func (call *call) quarantineRequest() hatchquarantine.Request {
	return hatchquarantine.Request{Service: call.service.Name, Organisation: call.organisationName(), Parts: call.info.SharedParts, Own: call.info.OwnPart}
}

// hasParts reports whether the prompt has parts that the quarantine can tell apart.
func (call *call) hasParts() bool {
	return len(call.info.SharedParts) > 0 || call.info.OwnPart != ""
}

// checkQuarantine returns the decision on the call.
func (call *call) checkQuarantine() hatchquarantine.Verdict {
	if !call.hasParts() {
		return hatchquarantine.Verdict{}
	}
	return call.forwarder.quarantine.Check(time.Now(), call.quarantineRequest(), call.forwarder.fleet.TrialRank)
}

// awaitClearance waits while the request is delayed because of a part of its prompt. It
// returns a failure if the request is refused.
func (stream *stream) awaitClearance() error {
	waitUntil := time.Now().Add(maxClearanceWait)
	for {
		verdict := stream.checkQuarantine()
		switch {
		case verdict.Action == hatchquarantine.Send, verdict.Action == hatchquarantine.Trial:
			return nil
		case verdict.Action == hatchquarantine.Refuse, time.Now().After(waitUntil):
			stream.forwarder.metricSet.heldBack.Inc(1)
			failure := dragonflyhatch.Failf(dragonflyhatch.KindPromptHeldBack, "part %s: %d replicas terminated", verdict.Part.ID, verdict.Terminations)
			dragonflyhatch.FailureOf(failure).RetryAfter = verdict.Wait
			return failure
		}
		select {
		case <-stream.ctx.Done():
			return dragonflyhatch.Failf(dragonflyhatch.KindDeadlineNotRun, "delayed because of part %s until the deadline", verdict.Part.ID)
		case <-time.After(min(max(verdict.Wait, time.Millisecond), clearancePollInterval)):
		}
	}
}

// beginAttempt reports whether the request may still be sent, after the time that the
// choice of a pipeline has taken. It claims a trial if one is needed.
func (stream *stream) beginAttempt() bool {
	verdict := stream.checkQuarantine()
	stream.terminations = verdict.Terminations
	switch verdict.Action {
	case hatchquarantine.Send:
		return true
	case hatchquarantine.Trial:
		stream.trial = stream.forwarder.quarantine.BeginTrial(time.Now(), stream.quarantineRequest())
		if stream.trial {
			stream.forwarder.metricSet.trials.Inc(1)
			stream.logger.Info("prompt part tried", "promptParts", stream.info.SharedParts)
			stream.forwarder.fleet.ReportSuspects()
		}
		return stream.trial
	}
	return false
}

// endAttempt ends the trial that beginAttempt has claimed, if any.
func (stream *stream) endAttempt() {
	if stream.trial {
		stream.trial = false
		stream.forwarder.quarantine.EndTrial(stream.quarantineRequest())
	}
}

// recordTermination records that the head has terminated, if it did so before it
// answered the request. Other stages give no evidence: the request may have been sent
// after their termination.
func (stream *stream) recordTermination(pipeline *hatchpath.Pipeline, failure *dragonflyhatch.Failure, terminated []string) {
	head := pipeline.Nodes[0]
	if stream.events >= answeredEvents || failure.Kind != dragonflyhatch.KindUpstreamLost || len(terminated) == 0 || terminated[0] != head.Address {
		return
	}
	stream.attempts.RecordTermination()
	if !stream.hasParts() {
		return
	}
	process := hatchquarantine.ProcessDigest(head.Process())
	stream.forwarder.handleSuspectChanges(stream.forwarder.quarantine.RecordTermination(time.Now(), process, stream.quarantineRequest()))
}

// recordAnswer records that a replica answers the request.
func (stream *stream) recordAnswer() {
	if stream.hasParts() {
		stream.forwarder.handleSuspectChanges(stream.forwarder.quarantine.RecordAnswer(time.Now(), stream.quarantineRequest()))
	}
}
