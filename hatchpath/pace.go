package hatchpath

import "time"

const (
	// intervalWeight is the weight of the newest interval between events in the moving
	// average, as in the retransmission timeout of TCP (RFC 6298).
	intervalWeight = 0.125
	// silenceAllowance is the silence beyond the mean interval between events after which
	// the replicas are probed. With the 40 ms that a probe without an answer and its control
	// take, a stream leaves a dead replica within 100 ms of silence beyond its mean interval.
	// Ordinary slow passes seldom take longer: a day on which streams were checked after 70 ms
	// of silence instead of 60 ms had 7,130 connections instead of 10,554.
	silenceAllowance = 58 * time.Millisecond
	// maxCheckDelay is the maximum silence between two events after which the replicas are
	// probed.
	maxCheckDelay = 300 * time.Millisecond

	// firstCheckFactor is the silence before the first event after which the replicas are
	// probed, as a multiple of the head's recent mean time to a first event. First events
	// at the 99th percentile take two to five times the median.
	firstCheckFactor = 3
	// minFirstCheckDelay and maxFirstCheckDelay bound that silence. The minimum is more than
	// twice the usual time to a first event (57 ms at the median). The maximum leaves
	// 100 ms for a restart elsewhere within the usual target of 500 ms.
	minFirstCheckDelay = 150 * time.Millisecond
	maxFirstCheckDelay = 400 * time.Millisecond
)

// Pace follows the intervals between the events of one stream. The zero value is the pace
// of a stream that has had none.
type Pace struct {
	mean time.Duration // moving average
}

// Record records the interval between two events.
func (pace *Pace) Record(interval time.Duration) {
	if pace.mean == 0 {
		pace.mean = interval
		return
	}
	pace.mean += time.Duration(intervalWeight * float64(interval-pace.mean))
}

// CheckDelay returns the silence after an event after which the stream's replicas are
// probed.
func (pace *Pace) CheckDelay() time.Duration {
	return min(pace.mean+silenceAllowance, maxCheckDelay)
}

// FirstCheckDelay returns the silence before a stream's first event after which its
// replicas are probed, if the engine is its head. It is longer where recent first events
// took long.
func (health *Health) FirstCheckDelay(now time.Time) time.Duration {
	return min(max(firstCheckFactor*health.FirstEventLatency(now), minFirstCheckDelay), maxFirstCheckDelay)
}

// DueProbes returns the stages of a pipeline that are to be probed for a stream that has
// been silent for its check delay, and when the next of the others may become due. A stage
// is due once it has shown no sign of life for silenceAllowance: neither progress of any
// stream through it nor an answer to a probe. So the silence that a stage needs to be found
// dead does not depend on whose event passed it last.
func DueProbes(now time.Time, stages []*Node) (due []*Node, next time.Duration) {
	next = silenceAllowance
	for _, stage := range stages {
		age := stage.SinceLastSeen(now)
		switch {
		case age < silenceAllowance:
			next = min(next, silenceAllowance-age)
		case stage.probeIsDue(now):
			due = append(due, stage)
		}
	}
	return due, next
}
