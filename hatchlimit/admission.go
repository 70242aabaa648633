package hatchlimit

import "time"

const (
	// A new stream is admitted with certainty while it is expected to wait for less than
	// admitUntil of the route's target, and refused with certainty from refuseFrom on;
	// between them the probability of a refusal rises evenly. Beyond that a stream is
	// late, and so are those that wait behind it.
	admitUntil = 0.1
	refuseFrom = 0.7
	// returnedUntil and returnedFrom are the same for a stream that was refused before.
	// It is late in any case, so that it takes only places that new ones leave free:
	// otherwise all streams of an overload would be late in the end.
	returnedUntil = 0.0
	returnedFrom  = 0.3
	// fullShare is the share of the capacity from which on engines count as full: the
	// capacity is that for streams of mean length.
	fullShare = 0.9
	// A refused caller should return after minReturnShare to maxReturnShare of the time
	// that it has left, but no later than after maxReturnDelay. Callers return after no
	// more than a third of that time.
	minReturnShare = 0.16
	maxReturnShare = 0.3
	maxReturnDelay = 6 * time.Second
	// returnedTimeShare is the share of the longest time left of a route's requests
	// below which a request counts as returned. New ones differ by less than that.
	returnedTimeShare = 1 - minReturnShare + 0.01
)

// longestLeftMemory is the number of requests after which the longest time left of a
// route's requests has moved most of the way to what they have now: a single caller
// that waits for very long must not make all others count as returned.
const longestLeftMemory = 500

// LongestLeft returns the longest time left of a route's requests after one more.
func LongestLeft(longest, left time.Duration) time.Duration {
	return max(left, longest-(longest-left)/longestLeftMemory)
}

// HasReturned reports whether a request whose caller waits for the time left has been
// refused before. The longest is that of all requests of its route.
func HasReturned(left, longest time.Duration) bool {
	return left > 0 && float64(left) < returnedTimeShare*float64(longest)
}

// RefusalProbability returns the probability, from 0 to 1, with which a stream is
// refused that is expected to wait for the given time and whose first event is wanted
// within the target. The daemons decide independently of each other, so that together
// they admit the share of the streams at which the wait stays within the target.
func RefusalProbability(wait, target time.Duration, returned bool) float64 {
	if target <= 0 {
		return 0
	}
	from, to := admitUntil, refuseFrom
	if returned {
		from, to = returnedUntil, returnedFrom
	}
	share := float64(wait) / float64(target)
	return min(max((share-from)/(to-from), 0), 1)
}

// QueueWait returns how long a stream that joins a queue is expected to wait, if the
// engines have room for capacity streams. Places are freed at the rate at which the
// running streams end, which take runTime on average. Streams that wait while there is
// room only wait for the next pass of the engine.
func QueueWait(waiting, running, capacity int, runTime time.Duration) time.Duration {
	blocked := min(waiting, waiting+running-int(fullShare*float64(capacity)))
	if blocked <= 0 {
		return 0
	}
	return time.Duration(float64(blocked) / float64(max(running, 1)) * float64(runTime))
}

// ReturnDelay returns the time after which a refused caller that has the given time
// left should return. The draw, from 0 to 1, spreads the callers that are refused at
// the same time.
func ReturnDelay(left time.Duration, draw float64) time.Duration {
	longest := min(maxReturnDelay, time.Duration(maxReturnShare*float64(left)))
	shortest := min(time.Duration(minReturnShare*float64(left)), longest)
	return shortest + time.Duration(draw*float64(longest-shortest))
}
