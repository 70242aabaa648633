package hatchforward

import (
	"time"

	"dragonflyhatch"
	"dragonflyhatch/hatchlimit"
	"dragonflyhatch/hatchpath"
)

// defaultRunTime is the mean time of a stream at its engines before any has ended.
const defaultRunTime = 4 * time.Second

// checkAdmission returns a refusal for some of the new streams if they are expected to
// wait at the head, and otherwise nil. A stream that was admitted is not refused later.
func (stream *stream) checkAdmission(head *hatchpath.Node) error {
	if stream.service.Model == nil || stream.headersSent || stream.attempts.Count() > 0 || stream.resumeAfter != "" {
		return nil
	}
	if rank, ranks := stream.rank(); ranks > 0 {
		return stream.checkRank(head, rank, ranks)
	}
	forwarder := stream.forwarder
	returned := forwarder.hasReturned(stream.route.Name, stream.info.TimeLeft)
	wait := head.ExpectedWait(time.Now())
	if forwarder.random.Float64() >= hatchlimit.RefusalProbability(wait, stream.route.Target, returned) {
		return nil
	}
	return refusalByWait(wait, head.Address, hatchlimit.ReturnDelay(time.Until(stream.deadline), forwarder.random.Float64()))
}

// refusalByWait returns the refusal of a new stream that is expected to wait at the head.
func refusalByWait(wait time.Duration, head string, after time.Duration) *dragonflyhatch.Failure {
	return &dragonflyhatch.Failure{
		Kind:       dragonflyhatch.KindOverloaded,
		Detail:     "expected to wait " + wait.Round(time.Millisecond).String() + " at " + head,
		RetryAfter: after,
	}
}

// hasReturned reports whether a request of the route that has the given time left has
// been refused before.
func (forwarder *Forwarder) hasReturned(route string, left time.Duration) bool {
	return hatchlimit.HasReturned(left, forwarder.longestTimeLeft(route, left))
}

// longestTimeLeft returns the longest time left of the route's requests, after one with the
// given time left.
func (forwarder *Forwarder) longestTimeLeft(route string, left time.Duration) time.Duration {
	forwarder.mu.Lock()
	defer forwarder.mu.Unlock()
	longest := hatchlimit.LongestLeft(forwarder.longestLeft[route], left)
	forwarder.longestLeft[route] = longest
	return longest
}

// previewLongestTimeLeft returns what longestTimeLeft would, without recording it.
func (forwarder *Forwarder) previewLongestTimeLeft(route string, left time.Duration) time.Duration {
	forwarder.mu.Lock()
	defer forwarder.mu.Unlock()
	return hatchlimit.LongestLeft(forwarder.longestLeft[route], left)
}

// recordQueue records how long further streams are expected to wait at the pipeline's
// head, by the load that it reports with the first event of a stream.
func (stream *stream) recordQueue(pipeline *hatchpath.Pipeline, load *dragonflyhatch.ServiceLoad) {
	if load == nil || stream.service.Model == nil {
		return
	}
	capacity := min(pipeline.StreamCapacity(stream.service.Model), load.Slots)
	wait := hatchlimit.QueueWait(load.Waiting, load.Running, capacity, stream.forwarder.meanRunTime(stream.service.Name))
	now := time.Now()
	pipeline.Nodes[0].RecordQueueWait(now, wait)
	pipeline.Nodes[0].RecordHeadLoad(now, load.Running, load.Waiting)
}

// runTimeWeight is the weight of the latest stream in the mean run time.
const runTimeWeight = 0.05

// meanRunTime returns the mean time that streams of the service have run.
func (forwarder *Forwarder) meanRunTime(service string) time.Duration {
	forwarder.mu.Lock()
	defer forwarder.mu.Unlock()
	if mean, ok := forwarder.runTimes[service]; ok {
		return mean
	}
	return defaultRunTime
}

// recordRunTime records how long a stream of the service has run.
func (forwarder *Forwarder) recordRunTime(service string, runTime time.Duration) {
	mean := forwarder.meanRunTime(service)
	forwarder.mu.Lock()
	defer forwarder.mu.Unlock()
	forwarder.runTimes[service] = mean + time.Duration(runTimeWeight*float64(runTime-mean))
}
