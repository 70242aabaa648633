package hatchforward

import (
	"context"
	"net/http"
	"slices"
	"time"

	"dragonflyhatch"
	"dragonflyhatch/hatchpath"
)

// hedgeDelayRatio is the share of the latency target after which a request that may
// run twice and has no answer yet is sent to a second replica.
const hedgeDelayRatio = 0.6

// plainResult is how one attempt at a plain request ended.
type plainResult struct {
	node            *hatchpath.Node
	replicaResponse *replicaResponse
	err             error
}

// servePlain answers from a replica of a plain service.
func (call *call) servePlain() {
	ctx, cancel := context.WithCancel(call.ctx)
	defer cancel()
	results := make(chan plainResult, maxPlainAttempts)
	running := 0
	var tried []string
	start := func() error {
		node, err := call.chooseReplica(tried...)
		if err != nil {
			return err
		}
		running++
		tried = append(tried, node.Address)
		call.chosenAddress = node.Address
		go func() { results <- call.attemptPlain(ctx, node) }()
		return nil
	}
	if err := start(); err != nil {
		call.refuse(err)
		return
	}
	hedge := call.hedgeTimer()
	defer hedge.Stop()
	var fallback *replicaResponse // a replica's own failure, unless another serves
	for running > 0 {
		select {
		case <-call.ctx.Done():
			call.timeOut()
			return
		case <-hedge.C:
			if running < call.attempts.RunsLeft() && call.forwarder.spendLocal(call.service.Name) { // no wait for a loan: an answer may come
				call.logger.Debug("hedged", "after", time.Since(call.started))
				_ = start() // without another replica the first attempt is all there is
			}
		case result := <-results:
			running--
			hedge.Stop()
			switch done, failure := call.classifyResult(result); {
			case done:
				call.writeResponse(result.replicaResponse)
				return
			case failure == nil && running < call.attempts.RunsLeft(): // another attempt is to follow
				if start() == nil {
					continue
				}
			}
			if result.replicaResponse != nil && !result.replicaResponse.facts.NotRun {
				fallback = result.replicaResponse
			}
			if running > 0 {
				continue
			}
			call.respondWithFailure(result, fallback)
			return
		}
	}
}

// maxPlainAttempts bounds the attempts whose results may wait to be read.
const maxPlainAttempts = 16

// hedgeTimer returns a timer for a second attempt, stopped if there is to be none.
func (call *call) hedgeTimer() *time.Timer {
	timer := time.NewTimer(time.Duration(float64(call.route.Target) * hedgeDelayRatio))
	if !call.route.Repeatable() || call.route.MaxReplicas < 2 || call.route.Target <= 0 {
		timer.Stop()
	}
	return timer
}

// chooseReplica returns a replica of a plain service that has not failed the
// request, and none of those tried unless there is no other.
func (call *call) chooseReplica(tried ...string) (*hatchpath.Node, error) {
	now, view, query := time.Now(), call.forwarder.fleet.View(), call.query()
	call.replicasVersion = view.Version()
	failed := query.Exclude
	query.Exclude = slices.Concat(failed, tried)
	if node, err := view.Service(now, query); err == nil {
		return node, nil
	}
	query.Exclude = failed
	return view.Service(now, query)
}

// attemptPlain makes one attempt and reads the whole answer.
func (call *call) attemptPlain(ctx context.Context, node *hatchpath.Node) plainResult {
	started := time.Now()
	node.Begin(0)
	defer node.End(0)
	replicaResponse, err := call.exchangePlain(ctx, node)
	now := time.Now()
	switch {
	case ctx.Err() != nil: // says nothing about the replica
	case err != nil && dragonflyhatch.KindOf(err) == dragonflyhatch.KindUpstreamUnavailable:
		call.forwarder.prober.markUnreachable(node)
	case err != nil:
		node.Answered(now, now.Sub(started), true)
	default:
		if replicaResponse.facts.Load != nil {
			node.Loaded(now, *replicaResponse.facts.Load)
		}
		if !replicaResponse.facts.NotRun {
			node.Answered(now, now.Sub(started), replicaResponse.status >= http.StatusInternalServerError)
		}
	}
	return plainResult{node, replicaResponse, err}
}

func (call *call) exchangePlain(ctx context.Context, node *hatchpath.Node) (*replicaResponse, error) {
	opened, err := openExchange(ctx, call.outgoingRequest(node.Address, dragonflyhatch.Attempt{ReplicaID: node.ID}))
	if err != nil {
		return nil, err
	}
	defer opened.close()
	body, err := opened.readAll()
	if err != nil {
		return nil, upstreamLost(node.Address, err)
	}
	return call.checkResponse(node.Address, &replicaResponse{
		status: opened.response.StatusCode,
		header: opened.response.Header,
		facts:  call.forwarder.dialect.Reply(opened.response.StatusCode, opened.response.Header),
		body:   body,
	})
}

// checkResponse fails unless the answer belongs to the request and, if it is a
// success, bears the replica's seal.
func (call *call) checkResponse(address string, replicaResponse *replicaResponse) (*replicaResponse, error) {
	if replicaResponse.facts.ID != "" && replicaResponse.facts.ID != call.facts.ID {
		return nil, dragonflyhatch.Fail(dragonflyhatch.KindUpstreamLost, "%s answered another request", address)
	}
	if replicaResponse.status < http.StatusMultipleChoices && !replicaResponse.facts.Sealed {
		return nil, dragonflyhatch.Fail(dragonflyhatch.KindUpstreamLost, "%s answered without its seal", address)
	}
	return replicaResponse, nil
}

// classifyResult says whether the result is the answer. If it is not, judge returns nil
// when another attempt is to follow, or else why none does.
func (call *call) classifyResult(result plainResult) (done bool, failure error) {
	now := time.Now()
	if result.err != nil {
		return false, call.handleFailure(now, dragonflyhatch.FailureOf(result.err), result.node.Address)
	}
	replicaResponse := result.replicaResponse
	switch {
	case replicaResponse.facts.NotRun && isRefusalStatus(replicaResponse.status):
		recordRefusal(now, result.node, replicaResponse.status)
		return false, call.handleFailure(now, &dragonflyhatch.Failure{
			Kind: dragonflyhatch.KindUpstreamUnavailable, Detail: result.node.Address + " refused with " + http.StatusText(replicaResponse.status),
		}, result.node.Address)
	case replicaResponse.status >= http.StatusInternalServerError && call.route.Repeatable():
		return false, call.handleFailure(now, &dragonflyhatch.Failure{
			Kind: dragonflyhatch.KindUpstreamLost, Detail: result.node.Address + " failed with " + http.StatusText(replicaResponse.status),
		}, result.node.Address)
	case isRefusalStatus(replicaResponse.status) && !replicaResponse.facts.NotRun:
		// Only a replica that says that it has not run the request may have its
		// status passed on that promises so.
		return false, dragonflyhatch.Fail(dragonflyhatch.KindUpstreamLost, "%s answered %d and may have run the request", result.node.Address, replicaResponse.status)
	}
	return true, nil
}

// isRefusalStatus says whether the status promises that the request has not run.
func isRefusalStatus(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusMisdirectedRequest, http.StatusRequestTimeout:
		return true
	}
	return false
}

// recordRefusal keeps the replica from being chosen again at once.
func recordRefusal(now time.Time, node *hatchpath.Node, status int) {
	if status == http.StatusMisdirectedRequest {
		node.NotHolding(now)
		return
	}
	node.Full(now)
}

// handleFailure takes a failed attempt. It returns nil if another one is to follow.
func (call *call) handleFailure(now time.Time, failure *dragonflyhatch.Failure, culprits ...string) error {
	call.recordFailure(now, failure, culprits)
	return call.attempts.Failed(now, failure, culprits, call)
}

// recordFailure records a failed attempt.
func (call *call) recordFailure(now time.Time, failure *dragonflyhatch.Failure, culprits []string) {
	call.forwarder.metricSet.recordFailedAttempt(failure.Kind)
	call.logger.Info("attempt failed", "reason", failure.Error(), "culprits", culprits, "elapsed", now.Sub(call.started))
}

// abandon answers after the last attempt: with the replica's own failure if there
// is one, and else with what is known of whether the request ran.
func (call *call) respondWithFailure(result plainResult, fallback *replicaResponse) {
	if fallback != nil && !isRefusalStatus(fallback.status) {
		call.writeResponse(fallback)
		return
	}
	failure := &dragonflyhatch.Failure{Kind: dragonflyhatch.KindUpstreamUnavailable, Detail: "the last replica refused"}
	if result.err != nil {
		failure = dragonflyhatch.FailureOf(result.err)
	} else if result.replicaResponse != nil && !result.replicaResponse.facts.NotRun {
		failure.Kind = dragonflyhatch.KindUpstreamLost
	}
	call.refuse(call.attempts.End(failure))
}

// timeOut answers a call whose deadline has passed. What is still running at a
// replica may have run.
func (call *call) timeOut() {
	if call.callerDisconnected() {
		call.recordOutcome(statusCallerDisconnected, "the caller left")
		return
	}
	call.refuse(dragonflyhatch.Fail(dragonflyhatch.KindDeadlineUnknown, "no answer by the deadline"))
}

// statusCallerDisconnected stands in logs and meters for a caller that closed its
// connection.
const statusCallerDisconnected = 499
