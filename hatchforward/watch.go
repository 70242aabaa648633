package hatchforward

import (
	"context"
	"slices"
	"sync"
	"time"

	"dragonflyhatch/hatchpath"
)

const (
	// firstSilence is how long a stream may be silent before its first event
	// until the replicas of its pipeline are checked: twice the usual time.
	firstSilence = 150 * time.Millisecond
	// eventSilence is the same between events, at the least. With a check and a
	// new start elsewhere the pause stays below the usual limit of 200 ms.
	eventSilence = 60 * time.Millisecond
	// shortSilence is how long a stream must be silent to be taken from a replica
	// that others have found unreachable: about the usual time between events.
	shortSilence = 25 * time.Millisecond
	// usualGaps is how many times the stream's own mean time between events it
	// may be silent.
	usualGaps = 2
	// maxEventSilence bounds that.
	maxEventSilence = 300 * time.Millisecond
	// gapWeight is the weight of the newest time between events in its mean, and
	// longGapWeight that of one that is longer than the mean: a stream that has
	// turned slow must soon look usual, or its replicas are probed at each event.
	gapWeight     = 0.1
	longGapWeight = 0.3
	// nextCheck is the pause until the next check of a stream whose replicas are
	// all alive.
	nextCheck = 60 * time.Millisecond
	// slowSilence is a silence after which the engines of the pipeline are asked
	// whether they have turned slow: half of the usual limit.
	slowSilence = 100 * time.Millisecond
	// longestSilence ends an attempt though its replicas seem alive: callers
	// give up after two seconds.
	longestSilence = 1200 * time.Millisecond
	// queuedWaits is how many times the head's usual time to a first event a stream
	// may wait for its own: prompts that queue there are read sooner than if each
	// were sent to another pipeline and read from its beginning.
	queuedWaits = 3
)

// watch notices that a stream has gone silent, and looks for the reason.
type watch struct {
	stream   *stream
	pipeline *hatchpath.Pipeline
	cancel   context.CancelFunc

	mu       sync.Mutex
	timer    *time.Timer
	begun    bool          // something has come
	since    time.Time     // of the last event, or of the start
	usual    time.Duration // mean time between events
	silence  time.Duration // until the next check
	paused   bool          // the caller is written to, which may take its time
	stopped  bool
	culprits []string
	reason   string
}

func (stream *stream) newWatch(pipeline *hatchpath.Pipeline, cancel context.CancelFunc) *watch {
	watch := &watch{stream: stream, pipeline: pipeline, cancel: cancel, since: time.Now(), silence: firstSilence}
	watch.mu.Lock() // the timer may fire before it is known here
	watch.timer = time.AfterFunc(watch.silence, watch.check)
	watch.mu.Unlock()
	stream.forwarder.prober.add(watch)
	return watch
}

// uses says whether the stream runs over the node.
func (watch *watch) uses(node *hatchpath.Node) bool {
	return slices.ContainsFunc(watch.pipeline.Nodes, func(stage *hatchpath.Node) bool { return stage.Health == node.Health })
}

// lost ends the attempt because a replica of its pipeline was found
// unreachable. A stream that has just had an event may still be whole: only one
// that is silent is ended.
func (watch *watch) lost(node *hatchpath.Node) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	if watch.stopped || watch.paused || time.Since(watch.since) < shortSilence {
		return
	}
	watch.giveUp("no connection to a stage", []string{node.Address})
}

// waiting notes that the next event is waited for.
func (watch *watch) waiting() {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	watch.paused = false
	watch.timer.Reset(watch.silence)
}

// arrived notes that something came.
func (watch *watch) arrived(some bool) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	watch.timer.Stop()
	watch.paused = true
	if !some {
		return
	}
	now := time.Now()
	if !watch.begun {
		watch.begun = true
		watch.pipeline.Nodes[0].FirstEvent(now, now.Sub(watch.since))
	} else {
		gap, weight := now.Sub(watch.since), gapWeight
		if gap > watch.usual {
			weight = longGapWeight
		}
		watch.usual += time.Duration(weight * float64(gap-watch.usual))
	}
	watch.since = now
	watch.silence = min(max(usualGaps*watch.usual, eventSilence), maxEventSilence)
}

// worked notes that all stages took part in what came.
func (watch *watch) worked() {
	now := time.Now()
	for _, node := range watch.pipeline.Nodes {
		node.Worked(now)
	}
}

func (watch *watch) stop() {
	watch.stream.forwarder.prober.remove(watch)
	watch.mu.Lock()
	defer watch.mu.Unlock()
	watch.stopped = true
	watch.timer.Stop()
}

// verdict returns the addresses at fault and the reason, if the watch ended the
// attempt.
func (watch *watch) verdict() (culprits []string, reason string) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	return watch.culprits, watch.reason
}

// check looks for a dead replica, and ends the attempt if it finds one.
func (watch *watch) check() {
	watch.mu.Lock()
	since := watch.since
	idle := watch.paused || watch.stopped
	watch.mu.Unlock()
	if idle {
		return
	}
	watch.stream.forwarder.meters.stalls.Inc(1)
	culprits := watch.stream.forwarder.prober.check(watch.stream.ctx, watch.pipeline.Nodes, nil)
	watch.mu.Lock()
	defer watch.mu.Unlock()
	if watch.stopped || watch.since != since {
		return
	}
	silent := time.Since(since)
	switch {
	case len(culprits) > 0:
		watch.giveUp("no connection to a stage", culprits)
	case silent > watch.patience():
		watch.giveUp("silent for "+silent.Round(time.Millisecond).String(), nil)
	case !watch.paused:
		watch.timer.Reset(nextCheck)
		if silent > slowSilence {
			watch.stream.forwarder.askPace(watch.pipeline.Nodes)
		}
	}
}

// patience returns for how long the stream may be silent though its replicas are
// alive.
func (watch *watch) patience() time.Duration {
	if watch.begun {
		return longestSilence
	}
	return max(longestSilence, queuedWaits*watch.pipeline.Nodes[0].FirstWait(time.Now()))
}

func (watch *watch) giveUp(reason string, culprits []string) {
	watch.culprits, watch.reason = culprits, reason
	watch.cancel()
}
