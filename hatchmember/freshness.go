package hatchmember

import (
	"math/rand/v2"
	"time"
)

const (
	// pollInterval is the mean pause between two reads of one poller. As several daemons
	// poll independently, one of them sees a change in a fraction of that time.
	pollInterval = 900 * time.Millisecond
	// readBackoff and maxReadBackoff are the first and the longest mean pause after a
	// failed read.
	readBackoff    = 150 * time.Millisecond
	maxReadBackoff = time.Second
	// recheckInterval is the mean pause after which a daemon that is marked as
	// StoreLost, and has no other reason to read the store, reads it to clear the mark.
	recheckInterval = 6 * time.Second
	// earliestReadShare is the share of the age limit from which a daemon may read by
	// itself. Daemons draw different ages, so that the first reader refreshes the others.
	earliestReadShare = 0.75
)

// Freshness tracks the age of a daemon's knowledge of the store, and decides when the
// daemon reads the store. A few daemons poll; the others learn by gossip when the
// knowledge that they share was last confirmed by a read. A daemon whose knowledge has
// not been confirmed for the age limit reads by itself, whatever it believes of the
// pollers. Its methods are not safe for concurrent use.
type Freshness struct {
	ageLimit time.Duration
	random   *rand.Rand

	outage outage // calls of the fleet

	confirmedAt time.Time     // everything in the store at that time is known
	isConfirmed bool          // confirmedAt is the time of a read, not of the start
	readAge     time.Duration // age at which this daemon reads by itself, at most ageLimit
	pollAt      time.Time     // next read of a poller
	backoff     time.Duration // mean pause after the next failed read
	retryAt     time.Time     // no read before this time, after a failed one
	recheckAt   time.Time     // next read of a daemon that is marked as StoreLost
	resumeAt    time.Time     // after an outage, no read by age before this time; zero until one has ended
}

// NewFreshness returns the freshness of a daemon that starts now.
func NewFreshness(ageLimit time.Duration, random *rand.Rand, now time.Time) *Freshness {
	freshness := &Freshness{ageLimit: ageLimit, random: random, backoff: readBackoff}
	freshness.pollAt = now.Add(freshness.jitter(pollInterval))
	freshness.recheckAt = now.Add(freshness.jitter(recheckInterval))
	freshness.outage.random = random
	freshness.Confirm(now)
	freshness.isConfirmed = false
	return freshness
}

// jitter returns a random duration of 0.5 to 1.5 times the mean.
func (freshness *Freshness) jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(freshness.random.Int64N(int64(mean)))
}

// Confirm records that everything in the store at the given time is known.
func (freshness *Freshness) Confirm(at time.Time) {
	if !at.After(freshness.confirmedAt) {
		return
	}
	freshness.confirmedAt, freshness.isConfirmed = at, true
	freshness.resumeAt = time.Time{}
	earliest := time.Duration(earliestReadShare * float64(freshness.ageLimit))
	freshness.readAge = earliest + time.Duration(freshness.random.Int64N(int64(freshness.ageLimit-earliest)+1))
	freshness.backoff, freshness.retryAt = readBackoff, time.Time{}
}

// Age returns the time since the daemon's knowledge was last confirmed.
func (freshness *Freshness) Age(now time.Time) time.Duration {
	return max(now.Sub(freshness.confirmedAt), 0)
}

// ReportedAge returns the age for peers: negative if the knowledge has not been confirmed
// since the daemon started. A fleet that restarts would otherwise believe that its start
// was a read of the store.
func (freshness *Freshness) ReportedAge(now time.Time) time.Duration {
	if !freshness.isConfirmed {
		return -1
	}
	return freshness.Age(now)
}

// NextRead returns when the daemon is to read the store, unless its knowledge is
// confirmed before. isPoller states that polling is the daemon's duty, storeLost that
// it is marked as unable to reach the store.
func (freshness *Freshness) NextRead(isPoller, storeLost bool) time.Time {
	next := freshness.confirmedAt.Add(freshness.readAge)
	if next.Before(freshness.resumeAt) {
		next = freshness.resumeAt
	}
	if isPoller && freshness.pollAt.Before(next) {
		next = freshness.pollAt
	}
	if storeLost && freshness.recheckAt.Before(next) {
		next = freshness.recheckAt
	}
	if next.Before(freshness.retryAt) {
		next = freshness.retryAt
	}
	return next
}

// RecordRead records a read of the store that started at the given time and ended now. It
// reports whether the outcome is news to push to peers.
func (freshness *Freshness) RecordRead(started, now time.Time, succeeded bool) (news bool) {
	news = freshness.RecordCall(started, now, succeeded)
	freshness.pollAt = now.Add(freshness.jitter(pollInterval))
	freshness.recheckAt = now.Add(freshness.jitter(recheckInterval))
	if succeeded {
		freshness.Confirm(started)
		return news
	}
	freshness.retryAt = now.Add(freshness.jitter(freshness.backoff))
	freshness.backoff = min(2*freshness.backoff, maxReadBackoff)
	return news
}
