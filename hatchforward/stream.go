package hatchforward

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyhatch"
	"dragonflyhatch/hatchpath"
)

const (
	// defaultPathWait is how long a request waits for a pipeline while lost
	// layers are loaded again. Callers give up a silent stream after two seconds.
	defaultPathWait = 1500 * time.Millisecond
	// pathPoll is the pause between looks for a pipeline.
	pathPoll = 25 * time.Millisecond
	// streamBuffer is what is read of a stream at a time, in bytes.
	streamBuffer = 4 << 10
)

var errCallerLeft = errors.New("the caller left")

// stream is a call whose answer is a stream of events.
type stream struct {
	*call
	headSent    bool   // the caller has the head of the answer
	lastID      string // of the last event that was passed on
	lastAt      time.Time
	resumeAfter string // id of the last event that the caller has
	flusher     http.Flusher
}

// serveStream answers with the events of a pipeline, and goes on at another one
// where the first was lost.
func (call *call) serveStream() {
	stream := &stream{call: call, resumeAfter: call.facts.ResumeAfter}
	stream.flusher, _ = call.writer.(http.Flusher)
	for {
		pipeline, err := stream.choose()
		if err != nil {
			stream.end(call.attempts.End(dragonflyhatch.FailureOf(err)))
			return
		}
		stream.at = pipeline.Nodes[0].Address
		failure, culprits := stream.run(pipeline)
		stream.logger.Debug("stream attempt", "stages", pipeline.Stages, "resumed", stream.headSent, "failure", failure)
		if failure == nil {
			return
		}
		if call.ctx.Err() != nil {
			stream.end(dragonflyhatch.Fail(dragonflyhatch.KindDeadlineUnknown, "no whole answer by the deadline"))
			return
		}
		if err := stream.failedAt(pipeline, failure, culprits); err != nil {
			stream.end(err)
			return
		}
		if stream.headSent {
			call.forwarder.meters.resumes.Inc(1)
			call.logger.Info("stream resumed", "after", stream.lastID, "reason", failure.Error())
		}
	}
}

// failedAt takes a failed attempt at the pipeline. It returns nil if another one
// is to follow.
func (stream *stream) failedAt(pipeline *hatchpath.Pipeline, failure *dragonflyhatch.Failure, culprits []string) error {
	now := time.Now()
	if !stream.route.Repeatable() {
		return stream.failed(now, failure, culprits...)
	}
	stream.noteFailed(now, failure, culprits)
	return stream.attempts.RunFailed(now, failure, pipeline.Nodes[0].Address, culprits, stream.call)
}

// choose returns a pipeline, and waits a while for one.
func (stream *stream) choose() (*hatchpath.Pipeline, error) {
	giveUp := time.Now().Add(stream.forwarder.pathWait)
	for {
		pipeline, err := stream.choosePath()
		if err == nil || time.Now().After(giveUp) {
			return pipeline, err
		}
		select {
		case <-stream.ctx.Done():
			return nil, err
		case <-time.After(pathPoll):
		}
	}
}

func (stream *stream) choosePath() (*hatchpath.Pipeline, error) {
	if stream.service.Model != nil {
		query, view := stream.query(), stream.forwarder.fleet.View()
		query.AnySite = stream.headSent
		if only := stream.attempts.Only(stream.forwarder.fleet.Gone); only != nil {
			query.Heads = only
			query.Exclude = slices.DeleteFunc(slices.Clone(query.Exclude), func(address string) bool { return slices.Contains(only, address) })
		}
		stream.replicas = view.Version()
		return view.Pipeline(time.Now(), query)
	}
	node, err := stream.chooseService()
	if err != nil {
		return nil, err
	}
	return &hatchpath.Pipeline{Nodes: []*hatchpath.Node{node}}, nil
}

// end closes a stream that has no whole answer. The caller of a stream that has
// begun sees a connection that breaks off.
func (stream *stream) end(err error) {
	switch {
	case stream.callerLeft():
		stream.finish(statusCallerLeft, "the caller left")
	case stream.headSent:
		stream.finish(http.StatusBadGateway, "broken off: "+err.Error())
		panic(http.ErrAbortHandler)
	default:
		stream.refuse(err)
	}
}

// run makes one attempt. It returns nil once the caller has its answer, or else
// the failure and the addresses at fault.
func (stream *stream) run(pipeline *hatchpath.Pipeline) (*dragonflyhatch.Failure, []string) {
	ctx, cancel := context.WithCancel(stream.ctx)
	defer cancel()
	pipeline.Begin()
	defer pipeline.End()
	watch := stream.newWatch(pipeline, cancel)
	defer watch.stop()

	head := pipeline.Nodes[0]
	opened, err := open(ctx, stream.outgoing(head.Address, dragonflyhatch.Attempt{
		ReplicaID:   head.ID,
		Stages:      pipeline.Stages,
		ResumeAfter: stream.resumeAfter,
		Priority:    stream.priority(),
	}))
	if err != nil {
		return stream.lostAttempt(pipeline, watch, err)
	}
	defer opened.close()
	response := opened.response
	facts := stream.forwarder.dialect.Reply(response.StatusCode, response.Header)
	head.Reached(time.Now())
	if facts.Load != nil {
		head.Loaded(time.Now(), *facts.Load)
	}
	if response.StatusCode == http.StatusOK && isEventStream(response.Header) {
		if !facts.Sealed || facts.ID != "" && facts.ID != stream.facts.ID {
			return stream.lostAttempt(pipeline, watch, errors.New("the answer is not the replica's own"))
		}
		err := stream.passEvents(opened, watch)
		switch {
		case errors.Is(err, errCallerLeft):
			stream.finish(statusCallerLeft, err.Error())
			return nil, nil
		case err != nil:
			return stream.lostAttempt(pipeline, watch, err)
		}
		return nil, nil
	}
	body, err := opened.readAll()
	if err != nil {
		return stream.lostAttempt(pipeline, watch, err)
	}
	return stream.takePlain(pipeline, &reply{response.StatusCode, response.Header, facts, body})
}

// priority returns the request's rank at the engines: the organisation's, or
// else the route's. A stream that stands still goes before all.
func (stream *stream) priority() int {
	if stream.headSent {
		return 0
	}
	priority := stream.route.Priority
	if stream.owner != nil {
		priority = stream.owner.Priority
	}
	return min(max(priority, 0), 9)
}

func isEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

// takePlain takes an answer that is no stream: a refusal, a failure, or an
// answer to pass on.
func (stream *stream) takePlain(pipeline *hatchpath.Pipeline, reply *reply) (*dragonflyhatch.Failure, []string) {
	head := pipeline.Nodes[0]
	culprit := reply.facts.AtFault
	if culprit == "" {
		culprit = head.Address
	}
	now := time.Now()
	if reply.facts.NotRun && isRefusal(reply.status) {
		if node := stream.nodeAt(pipeline, culprit); node != nil {
			noteRefusal(now, node, reply.status)
		}
		return &dragonflyhatch.Failure{
			Kind:   dragonflyhatch.KindUpstreamUnavailable,
			Detail: culprit + " refused with status " + strconv.Itoa(reply.status),
		}, []string{culprit}
	}
	if stream.headSent || reply.status >= http.StatusInternalServerError && stream.route.Repeatable() || isRefusal(reply.status) {
		return &dragonflyhatch.Failure{
			Kind:   dragonflyhatch.KindUpstreamLost,
			Detail: culprit + " failed with status " + strconv.Itoa(reply.status),
		}, []string{culprit}
	}
	if _, err := stream.checkReply(head.Address, reply); err != nil {
		return dragonflyhatch.FailureOf(err), []string{head.Address}
	}
	stream.pass(reply)
	return nil, nil
}

func (stream *stream) nodeAt(pipeline *hatchpath.Pipeline, address string) *hatchpath.Node {
	for _, node := range pipeline.Nodes {
		if node.Address == address {
			return node
		}
	}
	return nil
}

// lostAttempt finds who is at fault for an attempt that broke off.
func (stream *stream) lostAttempt(pipeline *hatchpath.Pipeline, watch *watch, err error) (*dragonflyhatch.Failure, []string) {
	if stream.ctx.Err() != nil {
		return dragonflyhatch.FailureOf(err), nil
	}
	failure := dragonflyhatch.FailureOf(err)
	if failure.Kind != dragonflyhatch.KindUpstreamUnavailable {
		failure = &dragonflyhatch.Failure{Kind: dragonflyhatch.KindUpstreamLost, Detail: err.Error(), Cause: err}
	}
	culprits, reason := watch.verdict()
	if reason != "" {
		failure.Detail = reason
	}
	if len(culprits) == 0 {
		culprits = stream.forwarder.prober.check(stream.ctx, pipeline.Nodes, pipeline.Nodes[0])
	}
	if len(culprits) == 0 {
		culprits = []string{pipeline.Nodes[0].Address}
	}
	return failure, culprits
}

// passEvents passes the events on as they come. It returns nil if the stream is
// whole.
func (stream *stream) passEvents(opened *exchange, watch *watch) error {
	body := opened.response.Body
	buffer := make([]byte, streamBuffer)
	var splitter eventSplitter
	for {
		watch.waiting()
		count, err := body.Read(buffer)
		watch.arrived(count > 0)
		if count > 0 {
			watch.worked()
			if events, id := splitter.add(buffer[:count]); len(events) > 0 {
				if writeErr := stream.write(opened, events, id); writeErr != nil {
					return writeErr
				}
			}
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			return err
		}
		return stream.complete(opened, splitter.rest())
	}
}

// complete ends a stream whose replica has ended it without an error.
func (stream *stream) complete(opened *exchange, rest []byte) error {
	if len(rest) > 0 {
		return errors.Newf("the stream ended inside an event of %d bytes", len(rest))
	}
	if err := stream.write(opened, nil, ""); err != nil {
		return err
	}
	stream.finish(http.StatusOK, "answered")
	return nil
}

// write passes whole events on, after the head of the first replica's answer.
func (stream *stream) write(opened *exchange, events []byte, lastID string) error {
	if !stream.headSent {
		copyHeader(stream.writer.Header(), stream.forwarder.dialect.EndToEnd(opened.response.Header))
		stream.writer.WriteHeader(opened.response.StatusCode)
		stream.headSent = true
		stream.forwarder.meters.firstEvent(time.Since(stream.begun))
	}
	if _, err := stream.writer.Write(events); err != nil {
		return errCallerLeft
	}
	if stream.flusher != nil {
		stream.flusher.Flush()
	}
	stream.notePause()
	if lastID != "" {
		stream.lastID, stream.resumeAfter = lastID, lastID
	}
	return nil
}

// notePause records a pause between events that the route counts as too long.
func (stream *stream) notePause() {
	now := time.Now()
	if pause := now.Sub(stream.lastAt); !stream.lastAt.IsZero() && stream.route.MaxPause > 0 && pause > stream.route.MaxPause {
		stream.forwarder.meters.longPauses.Inc(1)
		stream.logger.Warn("stream paused", "pause", pause, "allowed", stream.route.MaxPause, "after", stream.lastID)
	}
	stream.lastAt = now
}

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
)

// watch notices that a stream has gone silent, and looks for the reason.
type watch struct {
	stream   *stream
	pipeline *hatchpath.Pipeline
	cancel   context.CancelFunc

	mu       sync.Mutex
	timer    *time.Timer
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
	watch.timer = time.AfterFunc(watch.silence, watch.check)
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
	if watch.silence != firstSilence || watch.usual > 0 {
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
	case silent > longestSilence:
		watch.giveUp("silent for "+silent.Round(time.Millisecond).String(), nil)
	case !watch.paused:
		watch.timer.Reset(nextCheck)
		if silent > slowSilence {
			watch.stream.forwarder.askPace(watch.pipeline.Nodes)
		}
	}
}

func (watch *watch) giveUp(reason string, culprits []string) {
	watch.culprits, watch.reason = culprits, reason
	watch.cancel()
}
