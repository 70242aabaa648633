package hatchforward

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyhatch"
	"dragonflyhatch/hatchpath"
)

const (
	// defaultPathWait is how long a request waits for a pipeline while lost
	// layers are loaded again. Callers give up a silent stream after two seconds.
	defaultPathWait = 1500 * time.Millisecond
	// pathPoll is the pause between looks for a pipeline, and pathRest how many
	// times as long as a look it is at least: among thousands of engines a look takes
	// milliseconds, and many requests wait at once.
	pathPoll = 25 * time.Millisecond
	pathRest = 50
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
		begun := time.Now()
		pipeline, err := stream.choosePath()
		if err == nil || time.Now().After(giveUp) {
			return pipeline, err
		}
		select {
		case <-stream.ctx.Done():
			return nil, err
		case <-time.After(max(pathPoll, pathRest*time.Since(begun))):
		}
	}
}

func (stream *stream) choosePath() (*hatchpath.Pipeline, error) {
	if stream.service.Model != nil {
		view := stream.forwarder.fleet.View()
		stream.replicas = view.Version()
		return stream.choosePipeline(view)
	}
	node, err := stream.chooseService()
	if err != nil {
		return nil, err
	}
	return &hatchpath.Pipeline{Nodes: []*hatchpath.Node{node}}, nil
}

// choosePipeline returns a pipeline. A request that may run on no further replica
// goes back to one that has run it; the one that has just failed comes last.
func (stream *stream) choosePipeline(view *hatchpath.View) (*hatchpath.Pipeline, error) {
	query := stream.query()
	query.AnySite = stream.headSent
	if query.Heads = stream.attempts.Only(stream.forwarder.fleet.Gone); query.Heads == nil {
		return view.Pipeline(time.Now(), query)
	}
	failedAt := stream.attempts.FailedAt()
	query.Exclude = slices.DeleteFunc(slices.Clone(query.Exclude), func(address string) bool {
		return address != failedAt && slices.Contains(query.Heads, address)
	})
	if pipeline, err := view.Pipeline(time.Now(), query); err == nil {
		return pipeline, nil
	}
	query.Exclude = slices.DeleteFunc(query.Exclude, func(address string) bool { return address == failedAt })
	return view.Pipeline(time.Now(), query)
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
