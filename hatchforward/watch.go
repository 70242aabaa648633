package hatchforward

import (
	"context"
	"slices"
	"sync"
	"time"

	"dragonflyhatch/hatchpath"
)

const (
	// firstCheckDelay is how long a stream may be silent before its first event
	// until the replicas of its pipeline are checked: twice the usual time.
	firstCheckDelay = 150 * time.Millisecond
	// minCheckDelay is the same between events, at the least. With a check and a
	// new start elsewhere the pause stays below the usual limit of 200 ms.
	minCheckDelay = 60 * time.Millisecond
	// minUnreachableSilence is how long a stream must be silent to be taken from a replica
	// that others have found unreachable: about the usual time between events.
	minUnreachableSilence = 25 * time.Millisecond
	// checkIntervalFactor is how many times the stream's own mean time between events it
	// may be silent.
	checkIntervalFactor = 2
	// maxCheckDelay bounds that.
	maxCheckDelay = 300 * time.Millisecond
	// intervalWeight is the weight of the newest time between events in its mean, and
	// longIntervalWeight that of one that is longer than the mean: a stream that has
	// turned slow must soon look usual, or its replicas are probed at each event.
	intervalWeight     = 0.1
	longIntervalWeight = 0.3
	// repeatCheckDelay is the pause until the next check of a stream whose replicas are
	// all alive.
	repeatCheckDelay = 60 * time.Millisecond
	// reportRequestSilence is a silence after which the engines of the pipeline are asked
	// whether they have turned slow: half of the usual limit.
	reportRequestSilence = 100 * time.Millisecond
	// maxSilence ends an attempt though its replicas seem alive: callers
	// give up after two seconds.
	maxSilence = 1200 * time.Millisecond
	// queueWaitFactor is how many times the head's usual time to a first event a stream
	// may wait for its own: prompts that queue there are read sooner than if each
	// were sent to another pipeline and read from its beginning.
	queueWaitFactor = 3
)

// watch notices that a stream has gone silent, and looks for the reason.
type watch struct {
	stream   *stream
	pipeline *hatchpath.Pipeline
	cancel   context.CancelFunc

	mu           sync.Mutex
	timer        *time.Timer
	dataReceived bool          // something has come
	lastProgress time.Time     // of the last event, or of the start
	meanInterval time.Duration // mean time between events
	checkDelay   time.Duration // until the next check
	writing      bool          // the caller is written to, which may take its time
	stopped      bool
	culprits     []string
	reason       string
}

func (stream *stream) newWatch(pipeline *hatchpath.Pipeline, cancel context.CancelFunc) *watch {
	watch := &watch{stream: stream, pipeline: pipeline, cancel: cancel, lastProgress: time.Now(), checkDelay: firstCheckDelay}
	watch.mu.Lock() // the timer may fire before it is known here
	watch.timer = time.AfterFunc(watch.checkDelay, watch.check)
	watch.mu.Unlock()
	stream.forwarder.prober.addWatch(watch)
	return watch
}

// uses says whether the stream runs over the node.
func (watch *watch) uses(node *hatchpath.Node) bool {
	return slices.ContainsFunc(watch.pipeline.Nodes, func(stage *hatchpath.Node) bool { return stage.Health == node.Health })
}

// handleUnreachable ends the attempt because a replica of its pipeline was found
// unreachable. A stream that has just had an event may still be whole: only one
// that is silent is ended.
func (watch *watch) handleUnreachable(node *hatchpath.Node) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	if watch.stopped || watch.writing || time.Since(watch.lastProgress) < minUnreachableSilence {
		return
	}
	watch.abandon("no connection to a stage", []string{node.Address})
}

// startWaiting notes that the next event is waited for.
func (watch *watch) startWaiting() {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	watch.writing = false
	watch.timer.Reset(watch.checkDelay)
}

// recordRead notes that something came.
func (watch *watch) recordRead(some bool) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	watch.timer.Stop()
	watch.writing = true
	if !some {
		return
	}
	now := time.Now()
	if !watch.dataReceived {
		watch.dataReceived = true
		watch.pipeline.Nodes[0].FirstEvent(now, now.Sub(watch.lastProgress))
	} else {
		gap, weight := now.Sub(watch.lastProgress), intervalWeight
		if gap > watch.meanInterval {
			weight = longIntervalWeight
		}
		watch.meanInterval += time.Duration(weight * float64(gap-watch.meanInterval))
	}
	watch.lastProgress = now
	watch.checkDelay = min(max(checkIntervalFactor*watch.meanInterval, minCheckDelay), maxCheckDelay)
}

// recordStageProgress notes that all stages took part in what came.
func (watch *watch) recordStageProgress() {
	now := time.Now()
	for _, node := range watch.pipeline.Nodes {
		node.Worked(now)
	}
}

func (watch *watch) stop() {
	watch.stream.forwarder.prober.removeWatch(watch)
	watch.mu.Lock()
	defer watch.mu.Unlock()
	watch.stopped = true
	watch.timer.Stop()
}

// result returns the addresses at fault and the reason, if the watch ended the
// attempt.
func (watch *watch) result() (culprits []string, reason string) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	return watch.culprits, watch.reason
}

// check looks for a dead replica, and ends the attempt if it finds one.
func (watch *watch) check() {
	watch.mu.Lock()
	lastProgress := watch.lastProgress
	idle := watch.writing || watch.stopped
	watch.mu.Unlock()
	if idle {
		return
	}
	watch.stream.forwarder.metricSet.stalls.Inc(1)
	culprits := watch.stream.forwarder.prober.check(watch.stream.ctx, watch.pipeline.Nodes, nil)
	watch.mu.Lock()
	defer watch.mu.Unlock()
	if watch.stopped || watch.lastProgress != lastProgress {
		return
	}
	silent := time.Since(lastProgress)
	switch {
	case len(culprits) > 0:
		watch.abandon("no connection to a stage", culprits)
	case silent > watch.silenceLimit():
		watch.abandon("silent for "+silent.Round(time.Millisecond).String(), nil)
	case !watch.writing:
		watch.timer.Reset(repeatCheckDelay)
		if silent > reportRequestSilence {
			watch.stream.forwarder.requestReports(watch.pipeline.Nodes)
		}
	}
}

// silenceLimit returns for how long the stream may be silent though its replicas are
// alive.
func (watch *watch) silenceLimit() time.Duration {
	if watch.dataReceived {
		return maxSilence
	}
	return max(maxSilence, queueWaitFactor*watch.pipeline.Nodes[0].FirstWait(time.Now()))
}

func (watch *watch) abandon(reason string, culprits []string) {
	watch.culprits, watch.reason = culprits, reason
	watch.cancel()
}
