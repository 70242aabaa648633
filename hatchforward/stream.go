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
	// defaultPipelineWait is how long a request waits for a pipeline while lost
	// layers are loaded again. Callers give up a silent stream after two seconds.
	defaultPipelineWait = 1500 * time.Millisecond
	// pipelinePollInterval is the pause between looks for a pipeline, and pipelinePollFactor how many
	// times as long as a look it is at least: among thousands of engines a look takes
	// milliseconds, and many requests wait at once.
	pipelinePollInterval = 25 * time.Millisecond
	pipelinePollFactor   = 50
	// streamBufferSize is what is read of a stream at a time, in bytes.
	streamBufferSize = 4 << 10
)

var errCallerDisconnected = errors.New("the caller left")

// stream is a call whose answer is a stream of events.
type stream struct {
	*call
	headersSent bool   // the caller has the head of the answer
	lastEventID string // of the last event that was passed on
	lastEventAt time.Time
	resumeAfter string // id of the last event that the caller has
	flusher     http.Flusher
}

// serveStream answers with the events of a pipeline, and goes on at another one
// where the first was lost.
func (call *call) serveStream() {
	stream := &stream{call: call, resumeAfter: call.facts.ResumeAfter}
	stream.flusher, _ = call.writer.(http.Flusher)
	for {
		pipeline, err := stream.awaitTarget()
		if err != nil {
			stream.endFailed(call.attempts.End(dragonflyhatch.FailureOf(err)))
			return
		}
		stream.chosenAddress = pipeline.Nodes[0].Address
		failure, culprits := stream.runAttempt(pipeline)
		stream.logger.Debug("stream attempt", "stages", pipeline.Stages, "resumed", stream.headersSent, "failure", failure)
		if failure == nil {
			return
		}
		if call.ctx.Err() != nil {
			stream.endFailed(dragonflyhatch.Fail(dragonflyhatch.KindDeadlineUnknown, "no whole answer by the deadline"))
			return
		}
		if err := stream.handlePipelineFailure(pipeline, failure, culprits); err != nil {
			stream.endFailed(err)
			return
		}
		if stream.headersSent {
			call.forwarder.metricSet.resumes.Inc(1)
			call.logger.Info("stream resumed", "after", stream.lastEventID, "reason", failure.Error())
		}
	}
}

// handlePipelineFailure takes a failed attempt at the pipeline. It returns nil if another one
// is to follow.
func (stream *stream) handlePipelineFailure(pipeline *hatchpath.Pipeline, failure *dragonflyhatch.Failure, culprits []string) error {
	now := time.Now()
	if !stream.route.Repeatable() {
		return stream.handleFailure(now, failure, culprits...)
	}
	stream.recordFailure(now, failure, culprits)
	return stream.attempts.RunFailed(now, failure, pipeline.Nodes[0].Address, culprits, stream.call)
}

// awaitTarget returns a pipeline, and waits a while for one.
func (stream *stream) awaitTarget() (*hatchpath.Pipeline, error) {
	giveUp := time.Now().Add(stream.forwarder.pipelineWait)
	for {
		started := time.Now()
		pipeline, err := stream.chooseTarget()
		if err == nil || time.Now().After(giveUp) {
			return pipeline, err
		}
		select {
		case <-stream.ctx.Done():
			return nil, err
		case <-time.After(max(pipelinePollInterval, pipelinePollFactor*time.Since(started))):
		}
	}
}

func (stream *stream) chooseTarget() (*hatchpath.Pipeline, error) {
	if stream.service.Model != nil {
		view := stream.forwarder.fleet.View()
		stream.replicasVersion = view.Version()
		return stream.choosePipeline(view)
	}
	node, err := stream.chooseReplica()
	if err != nil {
		return nil, err
	}
	return &hatchpath.Pipeline{Nodes: []*hatchpath.Node{node}}, nil
}

// choosePipeline returns a pipeline. A request that may run on no further replica
// goes back to one that has run it; the one that has just failed comes last.
func (stream *stream) choosePipeline(view *hatchpath.View) (*hatchpath.Pipeline, error) {
	query := stream.query()
	query.AnySite = stream.headersSent
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

// endFailed closes a stream that has no whole answer. The caller of a stream that has
// begun sees a connection that breaks off.
func (stream *stream) endFailed(err error) {
	switch {
	case stream.callerDisconnected():
		stream.recordOutcome(statusCallerDisconnected, "the caller left")
	case stream.headersSent:
		stream.recordOutcome(http.StatusBadGateway, "broken off: "+err.Error())
		panic(http.ErrAbortHandler)
	default:
		stream.refuse(err)
	}
}

// runAttempt makes one attempt. It returns nil once the caller has its answer, or else
// the failure and the addresses at fault.
func (stream *stream) runAttempt(pipeline *hatchpath.Pipeline) (*dragonflyhatch.Failure, []string) {
	ctx, cancel := context.WithCancel(stream.ctx)
	defer cancel()
	pipeline.Begin()
	defer pipeline.End()
	watch := stream.newWatch(pipeline, cancel)
	defer watch.stop()

	head := pipeline.Nodes[0]
	opened, err := openExchange(ctx, stream.outgoingRequest(head.Address, dragonflyhatch.Attempt{
		ReplicaID:   head.ID,
		Stages:      pipeline.Stages,
		ResumeAfter: stream.resumeAfter,
		Priority:    stream.priority(),
	}))
	if err != nil {
		return stream.diagnoseFailure(pipeline, watch, err)
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
			return stream.diagnoseFailure(pipeline, watch, errors.New("the answer is not the replica's own"))
		}
		err := stream.forwardEvents(opened, watch)
		switch {
		case errors.Is(err, errCallerDisconnected):
			stream.recordOutcome(statusCallerDisconnected, err.Error())
			return nil, nil
		case err != nil:
			return stream.diagnoseFailure(pipeline, watch, err)
		}
		return nil, nil
	}
	body, err := opened.readAll()
	if err != nil {
		return stream.diagnoseFailure(pipeline, watch, err)
	}
	return stream.handlePlainResponse(pipeline, &replicaResponse{response.StatusCode, response.Header, facts, body})
}

// priority returns the request's rank at the engines: the organisation's, or
// else the route's. A stream that stands still goes before all.
func (stream *stream) priority() int {
	if stream.headersSent {
		return 0
	}
	priority := stream.route.Priority
	if stream.organisation != nil {
		priority = stream.organisation.Priority
	}
	return min(max(priority, 0), 9)
}

func isEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

// handlePlainResponse takes an answer that is no stream: a refusal, a failure, or an
// answer to pass on.
func (stream *stream) handlePlainResponse(pipeline *hatchpath.Pipeline, replicaResponse *replicaResponse) (*dragonflyhatch.Failure, []string) {
	head := pipeline.Nodes[0]
	culprit := replicaResponse.facts.AtFault
	if culprit == "" {
		culprit = head.Address
	}
	now := time.Now()
	if replicaResponse.facts.NotRun && isRefusalStatus(replicaResponse.status) {
		if node := stream.nodeAt(pipeline, culprit); node != nil {
			recordRefusal(now, node, replicaResponse.status)
		}
		return &dragonflyhatch.Failure{
			Kind:   dragonflyhatch.KindUpstreamUnavailable,
			Detail: culprit + " refused with status " + strconv.Itoa(replicaResponse.status),
		}, []string{culprit}
	}
	if stream.headersSent || replicaResponse.status >= http.StatusInternalServerError && stream.route.Repeatable() || isRefusalStatus(replicaResponse.status) {
		return &dragonflyhatch.Failure{
			Kind:   dragonflyhatch.KindUpstreamLost,
			Detail: culprit + " failed with status " + strconv.Itoa(replicaResponse.status),
		}, []string{culprit}
	}
	if _, err := stream.checkResponse(head.Address, replicaResponse); err != nil {
		return dragonflyhatch.FailureOf(err), []string{head.Address}
	}
	stream.writeResponse(replicaResponse)
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

// diagnoseFailure finds who is at fault for an attempt that broke off.
func (stream *stream) diagnoseFailure(pipeline *hatchpath.Pipeline, watch *watch, err error) (*dragonflyhatch.Failure, []string) {
	if stream.ctx.Err() != nil {
		return dragonflyhatch.FailureOf(err), nil
	}
	failure := dragonflyhatch.FailureOf(err)
	if failure.Kind != dragonflyhatch.KindUpstreamUnavailable {
		failure = &dragonflyhatch.Failure{Kind: dragonflyhatch.KindUpstreamLost, Detail: err.Error(), Cause: err}
	}
	culprits, reason := watch.result()
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

// forwardEvents passes the events on as they come. It returns nil if the stream is
// whole.
func (stream *stream) forwardEvents(opened *exchange, watch *watch) error {
	body := opened.response.Body
	buffer := make([]byte, streamBufferSize)
	var splitter eventSplitter
	for {
		watch.startWaiting()
		count, err := body.Read(buffer)
		watch.recordRead(count > 0)
		if count > 0 {
			watch.recordStageProgress()
			if events, id := splitter.add(buffer[:count]); len(events) > 0 {
				if writeErr := stream.writeEvents(opened, events, id); writeErr != nil {
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
	if err := stream.writeEvents(opened, nil, ""); err != nil {
		return err
	}
	stream.recordOutcome(http.StatusOK, "answered")
	return nil
}

// writeEvents passes whole events on, after the head of the first replica's answer.
func (stream *stream) writeEvents(opened *exchange, events []byte, lastEventID string) error {
	if !stream.headersSent {
		copyHeader(stream.writer.Header(), stream.forwarder.dialect.EndToEnd(opened.response.Header))
		stream.writer.WriteHeader(opened.response.StatusCode)
		stream.headersSent = true
		stream.forwarder.metricSet.recordFirstEvent(time.Since(stream.started))
	}
	if _, err := stream.writer.Write(events); err != nil {
		return errCallerDisconnected
	}
	if stream.flusher != nil {
		stream.flusher.Flush()
	}
	stream.recordPause()
	if lastEventID != "" {
		stream.lastEventID, stream.resumeAfter = lastEventID, lastEventID
	}
	return nil
}

// recordPause records a pause between events that the route counts as too long.
func (stream *stream) recordPause() {
	now := time.Now()
	if pause := now.Sub(stream.lastEventAt); !stream.lastEventAt.IsZero() && stream.route.MaxPause > 0 && pause > stream.route.MaxPause {
		stream.forwarder.metricSet.longPauses.Inc(1)
		stream.logger.Warn("stream paused", "pause", pause, "allowed", stream.route.MaxPause, "after", stream.lastEventID)
	}
	stream.lastEventAt = now
}
