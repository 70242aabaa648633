package hatchforward

import (
	"net/http"
	"time"

	"dragonflyhatch/hatchpath"
)

// recordRefusal records that the replica is full, or after a 421 that it does not hold
// what it registered, so that it is not chosen again immediately.
func (forwarder *Forwarder) recordRefusal(now time.Time, node *hatchpath.Node, status int) {
	if status == http.StatusMisdirectedRequest {
		node.MarkRegistrationStale(now)
		return
	}
	forwarder.metricSet.refusedAttempts.Inc(1)
	if node.IsRefusing(now) {
		forwarder.metricSet.refusedKnown.Inc(1)
	}
	if node.RecordRefusal(now) {
		forwarder.fleet.ReportRefusals()
	}
}

// recordTaken records that the replica took a request that was sent then.
func (forwarder *Forwarder) recordTaken(now, sent time.Time, node *hatchpath.Node) {
	if node.RecordTaken(now, sent) {
		forwarder.fleet.ReportRefusals()
	}
}

// beginTrials reports whether the request may be sent to the pipeline. It may not if the
// pipeline has a replica that is treated as refusing and another request of this daemon
// has become the trial of it in the meantime.
func (stream *stream) beginTrials(pipeline *hatchpath.Pipeline) bool {
	trials, ok := pipeline.BeginTrials(time.Now())
	stream.forwarder.metricSet.refusalTrials.Inc(int64(trials))
	return ok
}
