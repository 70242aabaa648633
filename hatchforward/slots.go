package hatchforward

import (
	"time"

	"dragonflyhatch"
	"dragonflyhatch/hatchlimit"
	"dragonflyhatch/hatchpath"
)

// minSlotPause is the minimum time until this daemon asks again for a slot that was
// denied.
const minSlotPause = 20 * time.Millisecond

// observeLimit records the limit on requests that the replica names in a response. A
// response without one ends the limit.
func (call *call) observeLimit(now time.Time, node *hatchpath.Node, limit dragonflyhatch.RateLimit) {
	perSecond := limit.PerSecond
	switch limit.Named {
	case dragonflyhatch.LimitInvalid:
		return
	case dragonflyhatch.LimitAbsent:
		perSecond = -1
	}
	if node.RecordLimit(now, perSecond) {
		if limit.Named == dragonflyhatch.LimitNamed {
			call.forwarder.logger.Warn("replica names a limit", "replica", node.ID, "address", node.Address, "perSecond", perSecond)
		} else {
			call.forwarder.logger.Info("replica names no limit any more", "replica", node.ID, "address", node.Address)
		}
		call.forwarder.fleet.ReportLimit()
	}
}

// takeSlot reports whether a request may be sent to the node now, within the limit that
// the node names for all daemons together. It waits for a slot that is near; if there is
// none, the node is closed to new requests for a while.
func (call *call) takeSlot(node *hatchpath.Node, urgent bool) bool {
	perSecond, ok := node.Limit()
	if !ok {
		return true
	}
	reply := call.forwarder.fleet.TakeSlot(call.ctx, dragonflyhatch.SlotRequest{Process: node.Process(), PerSecond: perSecond, Urgent: urgent})
	if !reply.Granted {
		call.forwarder.metricSet.slotsDenied.Inc(1)
		pause := max(reply.Wait, minSlotPause)
		if urgent {
			node.Pause(time.Now(), pause)
		} else {
			node.DenySlots(time.Now(), pause)
		}
		return false
	}
	select {
	case <-call.ctx.Done():
	case <-time.After(reply.Wait):
	}
	return true
}

// isRepeat reports whether the request has been sent to a replica before.
func (call *call) isRepeat() bool {
	return call.info.ResumeAfter != "" || call.attempts.Count() > 0
}

// refuseAtLimits returns the refusal of a new request when all replicas are at the limits
// that they name.
func (stream *stream) refuseAtLimits(err error) error {
	return &dragonflyhatch.Failure{
		Kind:       dragonflyhatch.KindOverloaded,
		Detail:     "replicas are at the limits that they name",
		Cause:      err,
		RetryAfter: hatchlimit.ReturnDelay(time.Until(stream.deadline), stream.forwarder.random.Float64()),
	}
}
