package hatchstandin

import (
	"context"
	"slices"
	"time"

	"dragonflyhatch"
)

// slotQueue grants a fixed number of slots to streams, in order of priority and
// then of arrival. The engine's mutex guards it.
type slotQueue struct {
	free    int
	waiting []*slotWaiter
}

type slotWaiter struct {
	priority int
	granted  chan struct{}
}

// acquireSlot waits for a slot, sending heartbeats meanwhile, and returns the
// function that releases the slot.
func (engine *Engine) acquireSlot(ctx context.Context, stream *stream) (func(), error) {
	waiter := engine.enqueue(stream.generation.Priority)
	heartbeat := time.NewTicker(HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case <-waiter.granted:
			return engine.releaseSlot, nil
		case <-ctx.Done():
			engine.cancelWait(waiter)
			return nil, ctx.Err()
		case <-heartbeat.C:
			if err := stream.sendFrame(ctx, dragonflyhatch.FrameHeartbeat, 0, StepResult{}, ""); err != nil {
				engine.cancelWait(waiter)
				return nil, err
			}
		}
	}
}

func (engine *Engine) enqueue(priority int) *slotWaiter {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	waiter := &slotWaiter{priority: priority, granted: make(chan struct{})}
	queue := &engine.slots
	index := len(queue.waiting)
	for index > 0 && queue.waiting[index-1].priority < priority {
		index--
	}
	queue.waiting = slices.Insert(queue.waiting, index, waiter)
	engine.grantLocked()
	return waiter
}

// grantLocked grants free slots to waiting streams and records the load.
func (engine *Engine) grantLocked() {
	queue := &engine.slots
	for queue.free > 0 && len(queue.waiting) > 0 {
		queue.free--
		close(queue.waiting[0].granted)
		queue.waiting = queue.waiting[1:]
	}
	engine.loads.add(time.Now(), dragonflyhatch.LoadReport{
		Streams:      engine.spec.Slots - queue.free,
		QueuedTokens: len(queue.waiting), // the stand-in counts streams, not tokens
	})
}

func (engine *Engine) releaseSlot() {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.slots.free++
	engine.grantLocked()
}

// cancelWait removes a waiter from the queue, or releases its slot if it was
// granted one.
func (engine *Engine) cancelWait(waiter *slotWaiter) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	index := slices.Index(engine.slots.waiting, waiter)
	if index >= 0 {
		engine.slots.waiting = slices.Delete(engine.slots.waiting, index, index+1)
		return
	}
	engine.slots.free++
	engine.grantLocked()
}

// maxLoadReports limits the history of load reports; beyond it the older half is
// discarded.
const maxLoadReports = 1024

// loadHistory keeps past load reports, so that an engine can report its load with a
// lag.
type loadHistory struct {
	reports []timedLoad
}

type timedLoad struct {
	at     time.Time
	report dragonflyhatch.LoadReport
}

func (history *loadHistory) add(now time.Time, report dragonflyhatch.LoadReport) {
	history.reports = append(history.reports, timedLoad{now, report})
	if len(history.reports) > maxLoadReports {
		history.reports = slices.Delete(history.reports, 0, maxLoadReports/2)
	}
}

// at returns the report that was current lag before now.
func (history *loadHistory) at(now time.Time, lag time.Duration) dragonflyhatch.LoadReport {
	report := dragonflyhatch.LoadReport{Age: lag}
	for _, load := range history.reports {
		if now.Sub(load.at) < lag {
			break
		}
		report = load.report
		report.Age = lag
	}
	return report
}
