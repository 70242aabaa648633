package hatchforward

import (
	"context"
	"slices"
	"sync"
	"time"

	"dragonflyhatch/hatchpath"
	"dragonflyhatch/hatchretry"
)

const (
	// minUnreachableSilence is how long a stream must be silent to be moved off a
	// replica that a probe or another request found unreachable. It is about the
	// usual interval between events.
	minUnreachableSilence = 25 * time.Millisecond
	// repeatCheckDelay is the longest delay until the next check of a silent stream whose
	// replicas are all alive. Only the checks at which a replica is due open connections.
	repeatCheckDelay = 60 * time.Millisecond
	// reportRequestSilence is the silence after which the engines of the pipeline
	// are asked for their slowdown. It is half of the usual limit on pauses.
	reportRequestSilence = 100 * time.Millisecond
	// maxSilence is the silence after which an attempt is abandoned although its
	// replicas seem alive. Callers abandon a silent stream after two seconds.
	maxSilence = 1200 * time.Millisecond
	// minTimerDelay is the minimum delay of a check that is overdue.
	minTimerDelay = time.Millisecond
	// minRecheckDelay is the minimum delay between two checks of a silent stream. It
	// gathers the stages that become due at about the same time.
	minRecheckDelay = 5 * time.Millisecond
	// queueWaitFactor limits the wait for a first event to a multiple of the head's
	// mean time to a first event. A prompt that is queued there is processed sooner
	// than if it were moved to another pipeline and started again.
	queueWaitFactor = 3
)

// watch detects that one attempt at a stream has become silent, and checks the
// replicas of its pipeline.
type watch struct {
	stream   *stream
	pipeline *hatchpath.Pipeline
	cancel   context.CancelFunc
	attempts *hatchretry.Attempts // copy of those before this attempt

	mu           sync.Mutex
	timer        *time.Timer
	resumed      bool      // the caller had received a part of the stream before the attempt
	dataReceived bool      // some of the response body was received
	lastProgress time.Time // time of the last event with data, or of the start
	silentSince  time.Time // when the wait for the next event began
	pace         hatchpath.Pace
	checkDelay   time.Duration // silence until the first check
	waiting      bool          // for the next event; false while events are written to the caller
	writing      bool          // no read is in progress: events are being written to the caller, which may be slow
	stopped      bool
	culprits     []string // addresses at fault, set by abandon
	reason       string   // why the attempt was abandoned, or empty
	firstEvent   func()   // records that the stream no longer waits for its first event
	prepaid      bool     // the retry token of the next attempt is spent
	terminations int      // that counted against a part of the prompt when the attempt began
}

// newWatch starts a watch of an attempt at the pipeline. The watch calls cancel to
// abandon the attempt.
func (stream *stream) newWatch(pipeline *hatchpath.Pipeline, cancel context.CancelFunc) *watch {
	now := time.Now()
	watch := &watch{
		stream: stream, pipeline: pipeline, cancel: cancel, attempts: stream.attempts.Clone(), terminations: stream.terminations,
		lastProgress: now, silentSince: now, checkDelay: pipeline.Nodes[0].FirstCheckDelay(now), resumed: stream.headersSent,
	}
	watch.firstEvent = pipeline.Nodes[0].AwaitFirstEvent(now)
	watch.mu.Lock() // the timer may fire before watch.timer is set
	watch.timer = time.AfterFunc(watch.checkDelay, watch.check)
	watch.mu.Unlock()
	stream.forwarder.prober.addWatch(watch)
	return watch
}

// hasNode reports whether the node is in the stream's pipeline.
func (watch *watch) hasNode(node *hatchpath.Node) bool {
	return slices.ContainsFunc(watch.pipeline.Nodes, func(stage *hatchpath.Node) bool { return stage.Health == node.Health })
}

// handleUnreachable abandons the attempt because a replica of its pipeline was
// found unreachable. A stream that has just received an event may still work, so
// only the attempt of a silent one is abandoned.
func (watch *watch) handleUnreachable(node *hatchpath.Node) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	if watch.stopped || watch.writing || time.Since(watch.silentSince) < minUnreachableSilence {
		return
	}
	watch.abandon("no connection to a stage", []string{node.Address})
}

// startWaiting starts the check timer before a read. Bytes that complete no event do
// not postpone the check.
func (watch *watch) startWaiting() {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	now := time.Now()
	if !watch.waiting {
		watch.waiting, watch.silentSince = true, now
	}
	watch.writing = false
	watch.timer.Reset(max(watch.checkDelay-now.Sub(watch.silentSince), minTimerDelay))
}

// recordRead stops the check timer after a read. If the read completed an event with
// data, it updates the pace and the delay of the next check.
func (watch *watch) recordRead(progress bool) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	watch.timer.Stop()
	watch.writing = true
	if !progress {
		return
	}
	now := time.Now()
	watch.waiting = false
	watch.recordStageProgress(now)
	if !watch.dataReceived {
		watch.dataReceived = true
		for _, node := range watch.pipeline.Nodes {
			watch.stream.forwarder.recordTaken(now, watch.lastProgress, node)
		}
		watch.firstEvent()
		watch.pipeline.Nodes[0].RecordFirstEvent(now, now.Sub(watch.lastProgress))
	} else {
		watch.pace.Record(now.Sub(watch.lastProgress))
	}
	watch.lastProgress = now
	watch.checkDelay = watch.pace.CheckDelay()
}

// recordStageProgress records progress of all stages of the pipeline.
func (watch *watch) recordStageProgress(now time.Time) {
	for _, node := range watch.pipeline.Nodes {
		node.RecordProgress(now)
	}
}

// stop ends the watch.
func (watch *watch) stop() {
	watch.stream.forwarder.prober.removeWatch(watch)
	watch.mu.Lock()
	defer watch.mu.Unlock()
	watch.stopped = true
	watch.timer.Stop()
	watch.firstEvent()
}

// result returns the addresses at fault, the reason, and whether the retry token of
// the next attempt is spent, if the watch has abandoned the attempt, and otherwise an
// empty reason.
func (watch *watch) result() (culprits []string, reason string, prepaid bool) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	return watch.culprits, watch.reason, watch.prepaid
}

// check probes the replicas of a silent stream. It abandons the attempt if one is
// dead, or if the stream has been silent for too long and can be moved elsewhere.
func (watch *watch) check() {
	watch.mu.Lock()
	lastProgress, silentSince, silenceLimit := watch.lastProgress, watch.silentSince, watch.silenceLimit()
	inactive := watch.writing || watch.stopped
	watch.mu.Unlock()
	if inactive {
		return
	}
	watch.stream.forwarder.metricSet.stalls.Inc(1)
	culprits, next := watch.stream.forwarder.prober.checkSilent(watch.stream.ctx, watch.pipeline.Nodes, func() bool {
		watch.mu.Lock()
		defer watch.mu.Unlock()
		return !watch.stopped && watch.lastProgress.Equal(lastProgress)
	})
	silent := time.Since(silentSince)
	prepaid := len(culprits) == 0 && silent > silenceLimit && watch.prepareMove()
	watch.mu.Lock()
	defer watch.mu.Unlock()
	if watch.stopped || watch.lastProgress != lastProgress {
		return
	}
	switch {
	case len(culprits) > 0:
		watch.abandon("no connection to a stage", culprits)
	case prepaid:
		watch.prepaid = true
		watch.abandon("silent for "+silent.Round(time.Millisecond).String(), nil)
	case !watch.writing:
		watch.timer.Reset(min(max(next, minRecheckDelay), repeatCheckDelay))
		if silent > reportRequestSilence && !watch.isQueued() {
			watch.stream.forwarder.requestReports(watch.pipeline.Nodes)
		}
	}
}

// isQueued reports whether the stream waits for its first event at a head that is known to
// have a queue. Its silence then says nothing about the speed of the engines, and in an
// overload all daemons would ask all of them. watch.mu must be held.
func (watch *watch) isQueued() bool {
	if watch.dataReceived {
		return false
	}
	wait, _, ok := watch.pipeline.Nodes[0].LatestQueueWait(time.Now())
	return ok && wait > 0
}

// prepareMove reports whether the silent stream can be moved off its pipeline although
// the replicas are alive: there must be another pipeline and a retry token, which
// prepareMove spends. Otherwise the stream is better off where it is, since it may only
// be slow.
func (watch *watch) prepareMove() bool {
	stream, head := watch.stream, watch.pipeline.Nodes[0].Address
	if !stream.route.Repeatable() {
		return false
	}
	attempts, view := watch.attempts.Clone(), stream.forwarder.fleet.View()
	attempts.RecordRun(head)
	attempts.Exclude(head)
	if stream.service.Model == nil {
		_, err := view.Service(time.Now(), stream.query(attempts))
		return err == nil && watch.spend()
	}
	other, err := stream.chooseEnginePipeline(view, attempts, true)
	return err == nil && other.Nodes[0].Address != head && watch.spend()
}

// spend takes one retry token and reports whether there was one. It does not wait for one:
// the attempt may still make progress.
func (watch *watch) spend() bool {
	watch.mu.Lock()
	begun := watch.resumed || watch.dataReceived
	watch.mu.Unlock()
	return watch.stream.call.spend(begun)
}

// silenceLimit returns how long the stream may be silent while its replicas are
// alive.
func (watch *watch) silenceLimit() time.Duration {
	if watch.dataReceived {
		return maxSilence
	}
	return max(maxSilence, queueWaitFactor*watch.pipeline.Nodes[0].FirstEventLatency(time.Now()))
}

// abandon cancels the attempt and records the reason and the addresses at fault.
// watch.mu must be held.
func (watch *watch) abandon(reason string, culprits []string) {
	watch.culprits, watch.reason = culprits, reason
	watch.cancel()
}
