package hatchforward

import (
	"context"
	"net/http"
	"slices"
	"time"

	"dragonflyhatch"
	"dragonflyhatch/hatchpath"
)

// hedgeShare is the share of the latency target after which a request that may
// run twice and has no answer yet is sent to a second replica.
const hedgeShare = 0.6

// plainResult is how one attempt at a plain request ended.
type plainResult struct {
	node  *hatchpath.Node
	reply *reply
	err   error
}

// servePlain answers from a replica of a plain service.
func (call *call) servePlain() {
	ctx, cancel := context.WithCancel(call.ctx)
	defer cancel()
	results := make(chan plainResult, maxPlainAttempts)
	running := 0
	var tried []string
	start := func() error {
		node, err := call.chooseService(tried...)
		if err != nil {
			return err
		}
		running++
		tried = append(tried, node.Address)
		call.at = node.Address
		go func() { results <- call.sendPlain(ctx, node) }()
		return nil
	}
	if err := start(); err != nil {
		call.refuse(err)
		return
	}
	hedge := call.hedgeTimer()
	defer hedge.Stop()
	var fallback *reply // a replica's own failure, unless another serves
	for running > 0 {
		select {
		case <-call.ctx.Done():
			call.timeOut()
			return
		case <-hedge.C:
			if running < call.attempts.RunsLeft() && call.forwarder.spendOwn(call.service.Name) { // no wait for a loan: an answer may come
				call.logger.Debug("hedged", "after", time.Since(call.begun))
				_ = start() // without another replica the first attempt is all there is
			}
		case result := <-results:
			running--
			hedge.Stop()
			switch done, failure := call.judge(result); {
			case done:
				call.pass(result.reply)
				return
			case failure == nil && running < call.attempts.RunsLeft(): // another attempt is to follow
				if start() == nil {
					continue
				}
			}
			if result.reply != nil && !result.reply.facts.NotRun {
				fallback = result.reply
			}
			if running > 0 {
				continue
			}
			call.giveUp(result, fallback)
			return
		}
	}
}

// maxPlainAttempts bounds the attempts whose results may wait to be read.
const maxPlainAttempts = 16

// hedgeTimer returns a timer for a second attempt, stopped if there is to be none.
func (call *call) hedgeTimer() *time.Timer {
	timer := time.NewTimer(time.Duration(float64(call.route.Target) * hedgeShare))
	if !call.route.Repeatable() || call.route.MaxReplicas < 2 || call.route.Target <= 0 {
		timer.Stop()
	}
	return timer
}

// chooseService returns a replica of a plain service that has not failed the
// request, and none of those tried unless there is no other.
func (call *call) chooseService(tried ...string) (*hatchpath.Node, error) {
	now, view, query := time.Now(), call.forwarder.fleet.View(), call.query()
	call.replicas = view.Version()
	failed := query.Exclude
	query.Exclude = slices.Concat(failed, tried)
	if node, err := view.Service(now, query); err == nil {
		return node, nil
	}
	query.Exclude = failed
	return view.Service(now, query)
}

// sendPlain makes one attempt and reads the whole answer.
func (call *call) sendPlain(ctx context.Context, node *hatchpath.Node) plainResult {
	begun := time.Now()
	node.Begin(0)
	defer node.End(0)
	reply, err := call.exchangePlain(ctx, node)
	now := time.Now()
	switch {
	case ctx.Err() != nil: // says nothing about the replica
	case err != nil && dragonflyhatch.KindOf(err) == dragonflyhatch.KindUpstreamUnavailable:
		call.forwarder.prober.unreachable(node)
	case err != nil:
		node.Answered(now, now.Sub(begun), true)
	default:
		if reply.facts.Load != nil {
			node.Loaded(now, *reply.facts.Load)
		}
		if !reply.facts.NotRun {
			node.Answered(now, now.Sub(begun), reply.status >= http.StatusInternalServerError)
		}
	}
	return plainResult{node, reply, err}
}

func (call *call) exchangePlain(ctx context.Context, node *hatchpath.Node) (*reply, error) {
	opened, err := open(ctx, call.outgoing(node.Address, dragonflyhatch.Attempt{ReplicaID: node.ID}))
	if err != nil {
		return nil, err
	}
	defer opened.close()
	body, err := opened.readAll()
	if err != nil {
		return nil, lost(node.Address, err)
	}
	return call.checkReply(node.Address, &reply{
		status: opened.response.StatusCode,
		header: opened.response.Header,
		facts:  call.forwarder.dialect.Reply(opened.response.StatusCode, opened.response.Header),
		body:   body,
	})
}

// checkReply fails unless the answer belongs to the request and, if it is a
// success, bears the replica's seal.
func (call *call) checkReply(address string, reply *reply) (*reply, error) {
	if reply.facts.ID != "" && reply.facts.ID != call.facts.ID {
		return nil, dragonflyhatch.Fail(dragonflyhatch.KindUpstreamLost, "%s answered another request", address)
	}
	if reply.status < http.StatusMultipleChoices && !reply.facts.Sealed {
		return nil, dragonflyhatch.Fail(dragonflyhatch.KindUpstreamLost, "%s answered without its seal", address)
	}
	return reply, nil
}

// judge says whether the result is the answer. If it is not, judge returns nil
// when another attempt is to follow, or else why none does.
func (call *call) judge(result plainResult) (done bool, failure error) {
	now := time.Now()
	if result.err != nil {
		return false, call.failed(now, dragonflyhatch.FailureOf(result.err), result.node.Address)
	}
	reply := result.reply
	switch {
	case reply.facts.NotRun && isRefusal(reply.status):
		noteRefusal(now, result.node, reply.status)
		return false, call.failed(now, &dragonflyhatch.Failure{
			Kind: dragonflyhatch.KindUpstreamUnavailable, Detail: result.node.Address + " refused with " + http.StatusText(reply.status),
		}, result.node.Address)
	case reply.status >= http.StatusInternalServerError && call.route.Repeatable():
		return false, call.failed(now, &dragonflyhatch.Failure{
			Kind: dragonflyhatch.KindUpstreamLost, Detail: result.node.Address + " failed with " + http.StatusText(reply.status),
		}, result.node.Address)
	case isRefusal(reply.status) && !reply.facts.NotRun:
		// Only a replica that says that it has not run the request may have its
		// status passed on that promises so.
		return false, dragonflyhatch.Fail(dragonflyhatch.KindUpstreamLost, "%s answered %d and may have run the request", result.node.Address, reply.status)
	}
	return true, nil
}

// isRefusal says whether the status promises that the request has not run.
func isRefusal(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusMisdirectedRequest, http.StatusRequestTimeout:
		return true
	}
	return false
}

// noteRefusal keeps the replica from being chosen again at once.
func noteRefusal(now time.Time, node *hatchpath.Node, status int) {
	if status == http.StatusMisdirectedRequest {
		node.NotHolding(now)
		return
	}
	node.Full(now)
}

// failed takes a failed attempt. It returns nil if another one is to follow.
func (call *call) failed(now time.Time, failure *dragonflyhatch.Failure, culprits ...string) error {
	call.noteFailed(now, failure, culprits)
	return call.attempts.Failed(now, failure, culprits, call)
}

// noteFailed records a failed attempt.
func (call *call) noteFailed(now time.Time, failure *dragonflyhatch.Failure, culprits []string) {
	call.forwarder.meters.retried(failure.Kind)
	call.logger.Info("attempt failed", "reason", failure.Error(), "culprits", culprits, "elapsed", now.Sub(call.begun))
}

// giveUp answers after the last attempt: with the replica's own failure if there
// is one, and else with what is known of whether the request ran.
func (call *call) giveUp(result plainResult, fallback *reply) {
	if fallback != nil && !isRefusal(fallback.status) {
		call.pass(fallback)
		return
	}
	failure := &dragonflyhatch.Failure{Kind: dragonflyhatch.KindUpstreamUnavailable, Detail: "the last replica refused"}
	if result.err != nil {
		failure = dragonflyhatch.FailureOf(result.err)
	} else if result.reply != nil && !result.reply.facts.NotRun {
		failure.Kind = dragonflyhatch.KindUpstreamLost
	}
	call.refuse(call.attempts.End(failure))
}

// timeOut answers a call whose deadline has passed. What is still running at a
// replica may have run.
func (call *call) timeOut() {
	if call.callerLeft() {
		call.finish(statusCallerLeft, "the caller left")
		return
	}
	call.refuse(dragonflyhatch.Fail(dragonflyhatch.KindDeadlineUnknown, "no answer by the deadline"))
}

// statusCallerLeft stands in logs and meters for a caller that closed its
// connection.
const statusCallerLeft = 499
