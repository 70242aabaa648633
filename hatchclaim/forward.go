package hatchclaim

import (
	"dragonflyhatch"
)

// ForwardPlan decides which host an order is sent to next and which failure its
// caller may receive. Sending the same order to several daemons is safe, since
// only one of them can get its claim. But one daemon's "not run" must not be
// returned to the caller while another daemon may still run the order.
type ForwardPlan struct {
	hosts      []string // still to be tried, in order
	unanswered bool     // a daemon may have received the order and did not respond
}

// NewForwardPlan returns the plan for an order. The hosts are tried in the given
// sequence: the preferred owners of the order's shard first, and the local host
// last.
func NewForwardPlan(hosts []string) *ForwardPlan {
	return &ForwardPlan{hosts: hosts}
}

// NextHost returns the next host to send the order to, or false if none is left.
func (plan *ForwardPlan) NextHost() (string, bool) {
	if len(plan.hosts) == 0 {
		return "", false
	}
	host := plan.hosts[0]
	plan.hosts = plan.hosts[1:]
	return host, true
}

// RecordNoResponse records that the last host may have received the order and did
// not respond.
func (plan *ForwardPlan) RecordNoResponse() {
	plan.unanswered = true
}

// HandleFailure handles the failure that a host returned. It returns the failure
// for the caller, or nil if the next host is to be tried.
func (plan *ForwardPlan) HandleFailure(failure *dragonflyhatch.Failure) *dragonflyhatch.Failure {
	if failure.Kind == dragonflyhatch.KindLeaving || failure.Kind == dragonflyhatch.KindNotReady {
		return nil
	}
	if plan.unanswered && failure.Kind.ErrorResponse().Ran == dragonflyhatch.RanNo {
		// The host that did not respond may still get the claim after this
		// host has released it. So even an upstream's refusal does not prove
		// that the order does not run.
		return &dragonflyhatch.Failure{
			Kind:   dragonflyhatch.KindDeadlineUnknown,
			Detail: "another host may have run it: " + failure.Detail,
			Cause:  failure,
		}
	}
	return failure
}

// FinalFailure returns the failure for the caller when no host is left to try.
func (plan *ForwardPlan) FinalFailure(detail string) *dragonflyhatch.Failure {
	kind := dragonflyhatch.KindDeadlineNotRun
	if plan.unanswered {
		kind = dragonflyhatch.KindDeadlineUnknown
	}
	return &dragonflyhatch.Failure{Kind: kind, Detail: detail}
}
