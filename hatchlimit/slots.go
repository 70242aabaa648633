package hatchlimit

import (
	"time"

	"dragonflyhatch"
)

const (
	// maxSlotWait is how far ahead slots are granted. Requests that would wait longer are
	// better sent elsewhere.
	maxSlotWait = 250 * time.Millisecond
	// maxUrgentSlotWait is the same for requests that resume a stream: their callers
	// wait for the next event.
	maxUrgentSlotWait = time.Second
	// minSlotRate is the rate at which slots are granted for a replica that names a
	// lower limit, in slots a second, so that its answers show when the limit ends.
	minSlotRate = 0.1
	// minPartialRate is the lowest rate of a schedule, of a daemon's part of a limit.
	minPartialRate = 1e-5
	// slotRetention is how long the schedule of a replica that is not asked for is kept.
	slotRetention = time.Minute
	// startDelay is the time before the first slot of a replica, in intervals between
	// slots: another daemon may have granted slots until now.
	startDelay = 1
)

// SlotSchedule grants slots for requests to replicas that name a limit, evenly spaced.
// One daemon keeps the schedule of a replica for the whole fleet, so that the limit holds
// whatever the demand of each. It is not safe for concurrent use.
type SlotSchedule struct {
	next map[dragonflyhatch.ReplicaProcess]time.Time // time of the next slot
}

// NewSlotSchedule returns an empty schedule.
func NewSlotSchedule() *SlotSchedule {
	return &SlotSchedule{next: make(map[dragonflyhatch.ReplicaProcess]time.Time)}
}

// SlotRate returns the rate of slots a second for a replica that names the limit.
func SlotRate(limit float64) float64 {
	return max(limit, minSlotRate)
}

// Take grants the next slot, if it is near enough. The rate in the request must be
// positive.
func (schedule *SlotSchedule) Take(now time.Time, request dragonflyhatch.SlotRequest) dragonflyhatch.SlotReply {
	interval := time.Duration(float64(time.Second) / max(request.PerSecond, minPartialRate))
	slot, known := schedule.next[request.Process]
	if !known {
		schedule.expire(now)
		slot = now.Add(startDelay * interval)
	}
	// A limit that has been raised shortens the wait for a slot that was far ahead.
	slot = minTime(maxTime(slot, now), now.Add(interval+maxUrgentSlotWait))
	longest := maxSlotWait
	if request.Urgent {
		longest = maxUrgentSlotWait
	}
	wait := slot.Sub(now)
	if wait > longest {
		schedule.next[request.Process] = slot
		return dragonflyhatch.SlotReply{Wait: wait - longest}
	}
	schedule.next[request.Process] = slot.Add(interval)
	return dragonflyhatch.SlotReply{Granted: true, Wait: wait}
}

// expire removes the schedules of replicas that were not asked for lately.
func (schedule *SlotSchedule) expire(now time.Time) {
	for process, slot := range schedule.next {
		if now.Sub(slot) > slotRetention {
			delete(schedule.next, process)
		}
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
