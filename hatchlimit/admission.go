package hatchlimit

import "time"

const (
	// A new stream is admitted with certainty while its first event is expected before
	// admitUntil of the route's target, and refused with certainty from refuseFrom on;
	// between them the probability of a refusal rises evenly. A stream that waits any
	// longer in an engine's queue is late, and makes those behind it late.
	admitUntil = 0.6
	refuseFrom = 1.1
	// returnedAllowance is added to both for a stream that was refused before.
	returnedAllowance = 0.15
	// minReturnDelay is the shortest time after which a refused caller should return:
	// the queue of an engine that is full changes within seconds.
	minReturnDelay = 2 * time.Second
	// maxReturnDelay is the longest such time. Callers return after no more than a
	// third of the time that they have left (maxReturnShare).
	maxReturnDelay = 6 * time.Second
	maxReturnShare = 0.3
)

// RefusalProbability returns the probability, from 0 to 1, with which a stream is
// refused whose first event is expected after the given time and wanted within the
// target. The daemons decide independently of each other, so that together they admit
// the share of the streams at which the expected time stays within the target.
func RefusalProbability(expected, target time.Duration, returned bool) float64 {
	if target <= 0 {
		return 0
	}
	from, to := admitUntil, refuseFrom
	if returned {
		from, to = from+returnedAllowance, to+returnedAllowance
	}
	share := float64(expected) / float64(target)
	return min(max((share-from)/(to-from), 0), 1)
}

// ReturnDelay returns the time after which a refused caller that has the given time
// left should return. The draw, from 0 to 1, spreads the callers that are refused at
// the same time.
func ReturnDelay(left time.Duration, draw float64) time.Duration {
	longest := min(maxReturnDelay, time.Duration(maxReturnShare*float64(left)))
	shortest := min(minReturnDelay, longest)
	return shortest + time.Duration(draw*float64(longest-shortest))
}
