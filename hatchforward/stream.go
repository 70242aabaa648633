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
	"dragonflyhatch/hatchevent"
	"dragonflyhatch/hatchpath"
	"dragonflyhatch/hatchretry"
)

const (
	// defaultPipelineWait is how long a request that has not begun waits for a pipeline
	// while engines load lost layers again. Callers abandon a silent stream after two seconds.
	defaultPipelineWait = 1500 * time.Millisecond
	// pipelinePollInterval is the pause between searches for a pipeline. It is
	// extended to pipelinePollFactor times the duration of a search, because with
	// thousands of engines a search takes milliseconds and many requests wait at
	// the same time, and to the time waited so far divided by pipelinePollGrowth, up
	// to maxPipelinePollGrowth.
	pipelinePollInterval  = 25 * time.Millisecond
	pipelinePollFactor    = 50
	pipelinePollGrowth    = 10
	maxPipelinePollGrowth = 200 * time.Millisecond
	// streamBufferSize is the size in bytes of the buffer for reads of a stream.
	streamBufferSize = 4 << 10
)

var errCallerDisconnected = errors.New("caller disconnected")

// stream is a call whose response is a stream of events.
type stream struct {
	*call
	headersSent bool      // the response headers were sent to the caller
	lastEventID string    // of the last forwarded event that has one
	lastEventAt time.Time // when events were last forwarded
	resumeAfter string    // id of the last event that the caller has received, also from earlier requests
	flusher     http.Flusher
	prepaid     bool // the watch has spent the retry token of the next attempt
	events      int  // reads with events of the latest attempt
	fruitless   int  // consecutive failed attempts that did not answer the request
	trial       bool // the attempt is a trial of a suspected part

	slotDenied   bool // a replica had no slot for the request within its limit
	rejected     bool // a head has rejected the request, or its stages, as invalid
	terminations int  // that counted against a part of the prompt when the attempt began
}

// Spend takes one retry token, unless the watch has done so already. A stream that has
// begun cannot be refused any more: it waits for a pipeline and a token, until its caller
// disconnects or its deadline passes.
func (stream *stream) Spend() bool {
	switch {
	case stream.prepaid:
		stream.prepaid = false
		return true
	case !stream.headersSent:
		return stream.call.Spend()
	}
	started := time.Now()
	sleep(stream.ctx, hatchretry.Backoff(stream.fruitless, stream.forwarder.random.Float64()))
	lacking := "pipeline"
	_, err := stream.awaitPipeline()
	ok := err == nil
	if ok {
		lacking = "token"
		ok = stream.forwarder.awaitToken(stream.ctx, stream.service.Name)
	}
	if waited := time.Since(started); waited > tokenPollInterval {
		stream.logger.Info("retry delayed", "waited", waited, "service", stream.service.Name, "granted", ok, "latestLack", lacking)
	}
	return ok
}

// serveStream forwards the events of a pipeline. When the pipeline fails, the
// stream is resumed at another one.
func (call *call) serveStream() {
	stream := &stream{call: call, resumeAfter: call.info.ResumeAfter}
	stream.flusher, _ = call.writer.(http.Flusher)
	for {
		if err := stream.awaitClearance(); err != nil {
			stream.endWithFailure(stream.finalFailure(call.attempts.FinalFailure(dragonflyhatch.FailureOf(err))))
			return
		}
		pipeline, err := stream.awaitPipeline()
		if err != nil {
			stream.endWithFailure(stream.finalFailure(call.attempts.FinalFailure(dragonflyhatch.FailureOf(err))))
			return
		}
		stream.chosenAddress = pipeline.Nodes[0].Address
		if err := stream.checkAdmission(pipeline.Nodes[0]); err != nil {
			stream.refuse(err)
			return
		}
		if !stream.takeSlot(pipeline.Nodes[0], stream.isRepeat()) {
			stream.slotDenied = true
			continue
		}
		if !stream.beginTrials(pipeline) || !stream.beginAttempt() {
			continue
		}
		failure, culprits := stream.runAttempt(pipeline)
		stream.endAttempt()
		stream.logger.Debug("stream attempt ended", "stages", pipeline.Stages, "resumed", stream.headersSent, "failure", failure)
		if failure == nil {
			return
		}
		if call.ctx.Err() != nil {
			stream.endWithFailure(stream.endedEarly("stream incomplete at the deadline"))
			return
		}
		if err := stream.handlePipelineFailure(pipeline, failure, culprits); err != nil {
			stream.endWithFailure(stream.finalFailure(err))
			return
		}
		if stream.headersSent {
			call.forwarder.metricSet.resumes.Inc(1)
			call.logger.Info("stream resumed", "after", stream.lastEventID, "reason", failure.Error())
		}
	}
}

// handlePipelineFailure records a failed attempt at the pipeline. It returns nil
// if another one is to follow, and otherwise the failure to report to the caller.
func (stream *stream) handlePipelineFailure(pipeline *hatchpath.Pipeline, failure *dragonflyhatch.Failure, culprits []string) error {
	now := time.Now()
	terminated := terminatedAddresses(pipeline, culprits)
	stream.recordTermination(pipeline, failure, terminated)
	if !stream.route.Repeatable() {
		return stream.handleFailure(now, failure, culprits...)
	}
	stream.fruitless++
	if stream.events >= answeredEvents {
		stream.fruitless = 0
	}
	stream.recordFailure(now, failure, culprits,
		"events", stream.events, "terminated", terminated, "promptParts", stream.info.SharedParts, "ownPart", stream.info.OwnPart)
	return stream.attempts.HandleReplicaFailure(now, failure, pipeline.Nodes[0].Address, culprits, stream)
}

// terminatedAddresses returns those of the culprits whose processes have terminated.
func terminatedAddresses(pipeline *hatchpath.Pipeline, culprits []string) []string {
	var terminated []string
	for _, node := range pipeline.Nodes {
		if node.HasTerminated() && slices.Contains(culprits, node.Address) {
			terminated = append(terminated, node.Address)
		}
	}
	return terminated
}

// awaitPipeline returns a pipeline. If there is none, it waits for one for up to
// pipelineWait, but not for engines that have refused requests for longer. A stream that
// has begun waits until its caller disconnects or its deadline passes, and then also uses
// engines that have refused it.
func (stream *stream) awaitPipeline() (*hatchpath.Pipeline, error) {
	began := time.Now()
	waitUntil := began.Add(stream.forwarder.pipelineWait)
	for {
		started := time.Now()
		pipeline, err := stream.choosePipeline()
		if err != nil && stream.slotDenied && !stream.isRepeat() {
			return nil, stream.refuseAtLimits(err)
		}
		if err == nil || !stream.headersSent && time.Now().Add(dragonflyhatch.FailureOf(err).RetryAfter).After(waitUntil) {
			return pipeline, err
		}
		if stream.headersSent {
			stream.attempts.ClearExcluded()
		}
		pause := max(pipelinePollInterval, pipelinePollFactor*time.Since(started), min(started.Sub(began)/pipelinePollGrowth, maxPipelinePollGrowth))
		select {
		case <-stream.ctx.Done():
			return nil, err
		case <-time.After(pause):
		}
	}
}

// choosePipeline returns a pipeline of engines, or a pipeline of one node for a
// service without a model.
func (stream *stream) choosePipeline() (*hatchpath.Pipeline, error) {
	if stream.service.Model != nil {
		view := stream.forwarder.fleet.View()
		stream.replicasVersion = view.Version()
		return stream.chooseEnginePipeline(view, stream.attempts, stream.headersSent)
	}
	node, err := stream.chooseReplica()
	if err != nil {
		return nil, err
	}
	return &hatchpath.Pipeline{Nodes: []*hatchpath.Node{node}}, nil
}

// chooseEnginePipeline returns a pipeline of engines. Once the request has reached
// its limit of replicas, the head must be one that may have run it already; the one
// that failed last is used only if no other is available. The flag resumed means that
// the caller has received a part of the stream. It reads no field of the stream that
// changes while an attempt is in progress.
func (stream *stream) chooseEnginePipeline(view *hatchpath.View, attempts *hatchretry.Attempts, resumed bool) (*hatchpath.Pipeline, error) {
	query := stream.query(attempts)
	query.AnySite = resumed
	if query.AllowedHeads = attempts.AllowedReplicas(stream.forwarder.fleet.IsGone); query.AllowedHeads == nil {
		return view.Pipeline(time.Now(), query)
	}
	lastFailed := attempts.LastFailedReplica()
	query.Exclude = slices.DeleteFunc(slices.Clone(query.Exclude), func(address string) bool {
		return address != lastFailed && slices.Contains(query.AllowedHeads, address)
	})
	if pipeline, err := view.Pipeline(time.Now(), query); err == nil {
		return pipeline, nil
	}
	query.Exclude = slices.DeleteFunc(query.Exclude, func(address string) bool { return address == lastFailed })
	return view.Pipeline(time.Now(), query)
}

// finalFailure returns the failure of a stream that makes no further attempt because of
// err.
func (stream *stream) finalFailure(err error) error {
	if stream.headersSent && stream.ctx.Err() != nil {
		return stream.endedEarly("stream incomplete at the deadline, after: " + err.Error())
	}
	return err
}

// endWithFailure ends a stream that is incomplete. If its headers were sent
// already, the connection to the caller is aborted.
func (stream *stream) endWithFailure(err error) {
	switch {
	case stream.callerDisconnected():
		stream.recordOutcome(statusCallerDisconnected, "caller disconnected")
	case stream.headersSent:
		stream.forwarder.metricSet.aborted.Inc(1)
		if stream.forwarder.stopAt.Load() != nil && !stream.isStopped() {
			stream.forwarder.aborted.Add(1)
		}
		stream.recordOutcome(http.StatusBadGateway, "stream aborted: "+err.Error())
		panic(http.ErrAbortHandler)
	default:
		stream.refuse(err)
	}
}

// runAttempt makes one attempt at the pipeline. It returns nil once the response
// to the caller is complete or the caller has disconnected, and otherwise the
// failure and the addresses at fault.
func (stream *stream) runAttempt(pipeline *hatchpath.Pipeline) (*dragonflyhatch.Failure, []string) {
	ctx, cancel := context.WithCancel(stream.ctx)
	defer cancel()
	pipeline.Begin()
	defer pipeline.End()
	watch := stream.newWatch(pipeline, cancel)
	defer watch.stop()
	stream.events = 0

	head := pipeline.Nodes[0]
	replicaExchange, err := stream.forwarder.openExchange(ctx, stream.outgoingRequest(head.Address, dragonflyhatch.Attempt{
		ReplicaID:   head.ID,
		Stages:      pipeline.Stages,
		ResumeAfter: stream.resumeAfter,
		Priority:    stream.priority(),
	}))
	if err != nil {
		return stream.diagnoseFailure(pipeline, watch, err)
	}
	defer replicaExchange.close()
	response := replicaExchange.response
	info := stream.forwarder.dialect.ParseResponse(response.StatusCode, response.Header)
	head.MarkReachable(time.Now())
	stream.observe(head, response.StatusCode, info)
	stream.recordQueue(pipeline, info.Load)
	if response.StatusCode == http.StatusOK && isEventStream(response.Header) {
		if !info.Sealed || info.ID != "" && info.ID != stream.info.ID {
			return stream.diagnoseFailure(pipeline, watch, errors.New("the response has no seal or belongs to another request"))
		}
		started := time.Now()
		err := stream.forwardEvents(replicaExchange, watch)
		if err == nil {
			head.RecordOutcome(false)
			stream.forwarder.recordRunTime(stream.service.Name, time.Since(started))
			stream.forwarder.recordTokenTime(stream.service.Name, stream.info.OutputTokens, time.Since(stream.started))
		}
		switch {
		case errors.Is(err, errCallerDisconnected):
			stream.recordOutcome(statusCallerDisconnected, err.Error())
			return nil, nil
		case err != nil:
			return stream.diagnoseFailure(pipeline, watch, err)
		}
		return nil, nil
	}
	body, err := stream.memory.readBody(response.Body, maxPlainBodySize)
	if err != nil {
		return stream.diagnoseFailure(pipeline, watch, err)
	}
	return stream.handleNonStreamResponse(pipeline, &replicaResponse{response.StatusCode, response.Header, info, body})
}

// priority returns the request's priority at the engines, from 0 (served first) to
// 9: by its rank, or if the configuration asks for none that of the organisation, or else
// of the route. A resumed stream has priority 0, because its caller is waiting for the
// next event.
func (stream *stream) priority() int {
	if stream.headersSent {
		return 0
	}
	if rank, ranks := stream.rank(); ranks > 0 {
		if stream.resumeAfter != "" {
			return 0
		}
		return rankPriority(rank, ranks)
	}
	priority := stream.route.Priority
	if stream.organisation != nil {
		priority = stream.organisation.Priority
	}
	return min(max(priority, 0), 9)
}

// isEventStream reports whether a response with the header is a stream of events.
func isEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

// handleNonStreamResponse handles a response that is not a stream: it returns the
// failure and the address at fault for a refusal or an error, and forwards any
// other response.
func (stream *stream) handleNonStreamResponse(pipeline *hatchpath.Pipeline, replicaResponse *replicaResponse) (*dragonflyhatch.Failure, []string) {
	head := pipeline.Nodes[0]
	culprit := replicaResponse.info.FaultyReplica
	if culprit == "" {
		culprit = head.Address
	}
	now := time.Now()
	if replicaResponse.info.NotRun && isRefusalStatus(replicaResponse.status) {
		if node := stream.nodeAt(pipeline, culprit); node != nil {
			stream.forwarder.recordRefusal(now, node, replicaResponse.status)
		}
		return &dragonflyhatch.Failure{
			Kind:   dragonflyhatch.KindUpstreamUnavailable,
			Detail: culprit + " refused with status " + strconv.Itoa(replicaResponse.status),
		}, []string{culprit}
	}
	if stream.mayHaveInvalidStages(pipeline, replicaResponse) {
		stream.rejected = true
		stream.logger.Warn("request rejected", "by", culprit, "stages", pipeline.Stages)
		return &dragonflyhatch.Failure{
			Kind: dragonflyhatch.KindUpstreamUnavailable, Detail: culprit + " rejected the request or its stages",
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

// mayHaveInvalidStages reports whether the head states that it has not run the request
// because it is invalid, and the stages, which the caller has not chosen, may be the reason.
// If a second head states the same of other stages, it is the request itself, unless a
// replica has begun to answer it.
func (stream *stream) mayHaveInvalidStages(pipeline *hatchpath.Pipeline, replicaResponse *replicaResponse) bool {
	return replicaResponse.status == http.StatusBadRequest && replicaResponse.info.NotRun &&
		len(pipeline.Stages) > 0 && stream.info.ID != "" && (stream.headersSent || !stream.rejected)
}

// nodeAt returns the pipeline's node with the address, or nil.
func (stream *stream) nodeAt(pipeline *hatchpath.Pipeline, address string) *hatchpath.Node {
	for _, node := range pipeline.Nodes {
		if node.Address == address {
			return node
		}
	}
	return nil
}

// diagnoseFailure returns the failure of an attempt that broke off, and the
// addresses at fault. If the head has sent bytes that are no events, or no dead replica
// is found, that is the head's address.
func (stream *stream) diagnoseFailure(pipeline *hatchpath.Pipeline, watch *watch, err error) (*dragonflyhatch.Failure, []string) {
	if stream.ctx.Err() != nil {
		return dragonflyhatch.FailureOf(err), nil
	}
	failure := dragonflyhatch.FailureOf(err)
	if failure.Kind != dragonflyhatch.KindUpstreamUnavailable {
		failure = &dragonflyhatch.Failure{Kind: dragonflyhatch.KindUpstreamLost, Detail: err.Error(), Cause: err}
	}
	culprits, reason, prepaid := watch.result()
	if reason != "" {
		failure.Detail = reason
	}
	stream.prepaid = prepaid
	if errors.Is(err, hatchevent.ErrInvalid) {
		pipeline.Nodes[0].RecordOutcome(true)
		return failure, []string{pipeline.Nodes[0].Address}
	}
	if len(culprits) == 0 { // the head first: if it is dead, the others are not probed
		culprits = stream.forwarder.prober.check(stream.ctx, pipeline.Nodes[:1], pipeline.Nodes[0])
	}
	if len(culprits) == 0 {
		culprits = stream.forwarder.prober.check(stream.ctx, pipeline.Nodes[1:], nil)
	}
	if len(culprits) == 0 {
		culprits = []string{pipeline.Nodes[0].Address}
	}
	return failure, culprits
}

// forwardEvents forwards the events as they arrive. It returns nil if the stream
// is complete.
func (stream *stream) forwardEvents(replicaExchange *exchange, watch *watch) error {
	body := replicaExchange.response.Body
	buffer := make([]byte, streamBufferSize)
	splitter := stream.newSplitter()
	for {
		watch.startWaiting()
		count, err := body.Read(buffer)
		events, eventErr := splitter.Add(buffer[:count])
		progress := events.HasData
		watch.recordRead(progress)
		if progress {
			stream.events++
		}
		if progress && stream.events == answeredEvents {
			stream.recordAnswer()
		}
		if len(events.Text) > 0 {
			if writeErr := stream.writeEvents(replicaExchange, events); writeErr != nil {
				return writeErr
			}
		}
		if eventErr != nil {
			return eventErr
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			return err
		}
		return stream.complete(replicaExchange, splitter.Rest())
	}
}

// newSplitter returns a splitter for the next attempt. A caller may name any event on a route whose
// streams cannot be resumed, as replicas then ignore it.
func (stream *stream) newSplitter() *hatchevent.Splitter {
	options := []hatchevent.Option{hatchevent.WithLeadingField(stream.forwarder.dialect.EventField())}
	if stream.route.Resumable {
		options = append(options, hatchevent.WithResumption(stream.resumeAfter))
	}
	return hatchevent.NewSplitter(options...)
}

// complete ends a stream that the replica has ended without an error. The rest is the number of
// bytes after the last complete event; there must be none.
func (stream *stream) complete(replicaExchange *exchange, rest int) error {
	if rest > 0 {
		return errors.Newf("the stream ended inside an event, after %d bytes of it", rest)
	}
	if err := stream.writeEvents(replicaExchange, hatchevent.Events{}); err != nil { // sends the headers if there were no events
		return err
	}
	if stream.events < answeredEvents {
		stream.recordAnswer()
	}
	stream.recordOutcome(http.StatusOK, "answered")
	return nil
}

// writeEvents sends complete events to the caller. It sends the headers of the
// replica's response first if no headers were sent yet.
func (stream *stream) writeEvents(replicaExchange *exchange, events hatchevent.Events) error {
	if !stream.headersSent {
		copyHeader(stream.writer.Header(), stream.forwarder.dialect.EndToEndHeaders(replicaExchange.response.Header))
		stream.announceStop()
		stream.writer.WriteHeader(replicaExchange.response.StatusCode)
		stream.headersSent = true
		stream.attempts.RecordDelivery()
		stream.forwarder.metricSet.recordFirstEvent(time.Since(stream.started))
	}
	if _, err := stream.writer.Write(events.Text); err != nil {
		return errCallerDisconnected
	}
	if stream.flusher != nil {
		stream.flusher.Flush()
	}
	stream.recordPause()
	if events.LastID != "" {
		stream.lastEventID, stream.resumeAfter = events.LastID, events.LastID
	}
	return nil
}

// recordPause counts and logs a pause between events that exceeds the route's
// limit.
func (stream *stream) recordPause() {
	now := time.Now()
	if pause := now.Sub(stream.lastEventAt); !stream.lastEventAt.IsZero() && stream.route.MaxPause > 0 && pause > stream.route.MaxPause {
		stream.forwarder.metricSet.longPauses.Inc(1)
		stream.logger.Warn("long pause between events", "pause", pause, "allowed", stream.route.MaxPause, "after", stream.lastEventID)
	}
	stream.lastEventAt = now
}
