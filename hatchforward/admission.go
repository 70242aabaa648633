package hatchforward

import (
	"time"

	"dragonflyhatch"
	"dragonflyhatch/hatchlimit"
	"dragonflyhatch/hatchpath"
)

// returnedMargin is how much less time than usual a request must have left to count as
// one that was refused before and has returned. It is more than a request takes to
// arrive and less than the shortest delay after which callers return.
const returnedMargin = 400 * time.Millisecond

// checkAdmission returns a refusal for some of the new streams if first events of the
// head are expected to be late, and otherwise nil. Streams that have been admitted are
// not refused later.
func (stream *stream) checkAdmission(head *hatchpath.Node) error {
	if stream.service.Model == nil || stream.headersSent || stream.attempts.Count() > 0 || stream.resumeAfter != "" {
		return nil
	}
	forwarder := stream.forwarder
	returned := forwarder.hasReturned(stream.route.Name, stream.info.TimeLeft)
	expected := head.ExpectedFirstEvent(time.Now())
	if forwarder.random.Float64() >= hatchlimit.RefusalProbability(expected, stream.route.Target, returned) {
		return nil
	}
	return &dragonflyhatch.Failure{
		Kind:       dragonflyhatch.KindOverloaded,
		Detail:     "first event expected after " + expected.Round(time.Millisecond).String(),
		RetryAfter: hatchlimit.ReturnDelay(time.Until(stream.deadline), forwarder.random.Float64()),
	}
}

// hasReturned reports whether a request of the route that has the given time left has
// been refused before: its caller then has less time left than those of new requests.
func (forwarder *Forwarder) hasReturned(route string, left time.Duration) bool {
	forwarder.mu.Lock()
	defer forwarder.mu.Unlock()
	longest := max(forwarder.longestLeft[route], left)
	forwarder.longestLeft[route] = longest
	return left > 0 && left < longest-returnedMargin
}
