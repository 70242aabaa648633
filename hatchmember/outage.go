package hatchmember

import (
	"math/rand/v2"
	"time"
)

const (
	// outageCallRate is the mean number of calls a second that all daemons together make
	// while the store is not known to serve any of them. The limit is 20 in any second;
	// independent calls at this rate exceed it in one second of ten thousand.
	outageCallRate = 8
	// maxProbeShare bounds a daemon's pause between two such calls, in mean pauses, so that
	// the only daemon that the store serves is found.
	maxProbeShare = 3
	// maxFailureAge is the age from which a failed call is no longer reported, so that a
	// daemon which no peer contradicts does not report one failure forever.
	maxFailureAge = 30 * time.Second
	// reportDelay is added to the age of a failed call that a peer reports, as the time in
	// transit. Without it, an age that passes back and forth would grow too slowly, and the
	// failure would outlast a later success. 50 ms delayed the beginning of an outage of
	// 300 daemons, as over several hops the failure then seemed older than the last success.
	reportDelay = 20 * time.Millisecond
	// endMargin is how much later than a failed call a successful one must be to end an
	// outage. The age of a success grows too slowly by the transit time of each message;
	// with no margin it seemed later than the first failures of an outage, and the fleet
	// forgot these.
	endMargin = 300 * time.Millisecond
	// peerTimeout is how long a daemon may go without gossip before it no longer relies
	// on its peers and calls the store with its own backoff.
	peerTimeout = 1500 * time.Millisecond
	// evidenceShare is how long a failed call of any daemon and a successful one of this
	// daemon after it together show that the store serves only some, as a multiple of the
	// age limit. It spans two of the daemon's own reads, so that the only daemon that the
	// store serves goes on reading.
	evidenceShare = 2
	// outageNewsPause is the shortest time between two pushes that an outage has begun
	// or ended. A store that turns only some daemons away ends an outage several times
	// a second; gossip carries that without pushes.
	outageNewsPause = 2 * time.Second
	// longOutage is the time without a known successful call from which registrations may
	// have expired in the store, because replicas could not renew them. Pollers normally
	// succeed several times in it.
	longOutage = 2 * time.Second
)

// outage tracks when any daemon of the fleet last reached the store and last failed to.
// While the latest known call has failed, each daemon calls once in a period that grows
// with the fleet, so that the calls of all of them together are bounded.
type outage struct {
	random *rand.Rand

	succeededAt time.Time // start of the latest successful call of any daemon
	failedAt    time.Time // start of the latest failed call of any daemon
	peerAt      time.Time // when gossip last came from a peer
	daemons     int       // size of the fleet

	servedAt time.Time // end of this daemon's latest call, if it succeeded after a recent failed call of any daemon

	probeFrom  time.Time // the next call is a share of the period after this time
	probeShare float64
	newsAt     time.Time // when the beginning or the end of an outage was last reported as news

	longEndedAt time.Time // when the latest long outage ended
}

// isFailing reports whether the latest known call of any daemon has failed.
func (outage *outage) isFailing() bool {
	return !outage.failedAt.IsZero() && outage.failedAt.Add(endMargin).After(outage.succeededAt)
}

// record records calls of any daemon, at most one of them with a time that is not zero.
// It reports whether an outage has ended.
func (outage *outage) record(succeededAt, failedAt, now time.Time) (ended bool) {
	wasFailing := outage.isFailing()
	if succeededAt.After(outage.succeededAt) {
		if wasFailing && succeededAt.Sub(outage.succeededAt) > longOutage {
			outage.longEndedAt = now
		}
		outage.succeededAt = succeededAt
	}
	if failedAt.After(outage.failedAt) {
		outage.failedAt = failedAt
	}
	if !wasFailing && outage.isFailing() {
		outage.drawProbe(now)
	}
	return wasFailing && !outage.isFailing()
}

// recordOwn records a call of this daemon. Recent failed calls are those within the window.
func (outage *outage) recordOwn(started, now time.Time, succeeded bool, window time.Duration) (ended bool) {
	outage.servedAt = time.Time{}
	if succeeded {
		if now.Sub(outage.failedAt) <= window {
			outage.servedAt = now
		}
		// By its end, as the call may have been recorded as failed when it was slow.
		return outage.record(now, time.Time{}, now)
	}
	ended = outage.record(time.Time{}, started, now)
	outage.drawProbe(now)
	return ended
}

// drawProbe draws the pause before the next call. Exponential pauses make the calls of all
// daemons come at the same rate whatever they did before, also after all called at once.
func (outage *outage) drawProbe(now time.Time) {
	outage.probeFrom, outage.probeShare = now, min(outage.random.ExpFloat64(), maxProbeShare)
}

// isPaced reports whether this daemon calls the store only at nextProbe: the latest known
// call has failed, peers are heard from, and the daemon's own latest call within the window
// does not show that the store serves it.
func (outage *outage) isPaced(now time.Time, window time.Duration) bool {
	if !outage.isFailing() || outage.peerAt.IsZero() || now.Sub(outage.peerAt) > peerTimeout {
		return false
	}
	return outage.servedAt.IsZero() || now.Sub(outage.servedAt) > window
}

// nextProbe returns when this daemon calls next while it is paced.
func (outage *outage) nextProbe() time.Time {
	period := time.Duration(outage.daemons) * time.Second / outageCallRate
	return outage.probeFrom.Add(time.Duration(outage.probeShare * float64(period)))
}

// RecordCall records a call to the store that read nothing which Confirm is told of, such
// as a watch. It reports whether the call is news to push to peers.
func (freshness *Freshness) RecordCall(started, now time.Time, succeeded bool) (news bool) {
	wasFailing := freshness.outage.isFailing()
	if freshness.outage.recordOwn(started, now, succeeded, evidenceShare*freshness.ageLimit) {
		freshness.grantResumption(now)
	}
	return freshness.isNews(wasFailing, now)
}

// MergeCalls merges what a peer reports of the calls of all daemons: how long ago the
// store was last read, negative if unknown, and how long ago a call last failed, 0 if
// that is not known. It reports whether that is news to push to peers. The fleet has the
// given number of daemons.
func (freshness *Freshness) MergeCalls(readAge, failureAge time.Duration, daemons int, now time.Time) (news bool) {
	wasFailing := freshness.outage.isFailing()
	freshness.outage.peerAt, freshness.outage.daemons = now, daemons
	var succeededAt, failedAt time.Time
	if readAge >= 0 {
		succeededAt = now.Add(-readAge)
	}
	if failureAge > 0 && failureAge < maxFailureAge {
		failedAt = now.Add(-failureAge - reportDelay)
	}
	if freshness.outage.record(succeededAt, failedAt, now) {
		freshness.grantResumption(now)
	}
	return freshness.isNews(wasFailing, now)
}

// isNews reports whether the beginning or the end of an outage is to be pushed.
func (freshness *Freshness) isNews(wasFailing bool, now time.Time) bool {
	outage := &freshness.outage
	if wasFailing == outage.isFailing() || now.Sub(outage.newsAt) < outageNewsPause {
		return false
	}
	outage.newsAt = now
	return true
}

// grantResumption gives the daemon that has learned of the end of an outage, whose
// knowledge is then too old, the time until peers confirm it: otherwise all daemons would
// read at once. The time is granted only after a long outage, in which everybody's
// knowledge has aged, and only once until the knowledge is confirmed.
func (freshness *Freshness) grantResumption(now time.Time) {
	if freshness.outage.longEndedAt.Equal(now) && freshness.resumeAt.IsZero() && freshness.confirmedAt.Add(freshness.readAge).Before(now) {
		freshness.resumeAt = now.Add(freshness.readAge)
	}
}

// OutageEnd returns when the latest long outage has ended, now if it has not been known to,
// or the zero time if there has been none.
func (freshness *Freshness) OutageEnd(now time.Time) time.Time {
	if freshness.outage.isFailing() && now.Sub(freshness.outage.succeededAt) > longOutage {
		return now
	}
	return freshness.outage.longEndedAt
}

// IsPaced reports whether the store is not known to serve any daemon, so that this one
// calls it only when NextCall says so.
func (freshness *Freshness) IsPaced(now time.Time) bool {
	return freshness.outage.isPaced(now, evidenceShare*freshness.ageLimit)
}

// FailureAge returns how long ago any daemon last failed to reach the store, or 0 if that
// is not known or one has reached it since.
func (freshness *Freshness) FailureAge(now time.Time) time.Duration {
	age := now.Sub(freshness.outage.failedAt)
	if !freshness.outage.isFailing() || age >= maxFailureAge {
		return 0
	}
	return max(age, time.Millisecond)
}

// NextCall returns when the daemon is to read the store as of now: at the paced time
// while the store serves nobody, otherwise as NextRead. If some daemon has read the store
// since what this one knows was confirmed, the bound on its age holds in an outage too.
func (freshness *Freshness) NextCall(now time.Time, isPoller, storeLost bool) time.Time {
	if !freshness.IsPaced(now) {
		return freshness.NextRead(isPoller, storeLost)
	}
	next := freshness.outage.nextProbe()
	if due := freshness.confirmedAt.Add(freshness.readAge); freshness.outage.succeededAt.Sub(freshness.confirmedAt) > endMargin && due.Before(next) {
		next = due
	}
	if next.After(freshness.retryAt) {
		return next
	}
	return freshness.retryAt
}
