package hatchstandin

import (
	"context"
	"slices"
	"time"

	"dragonflyhatch"
)

// slotQueue gives a fixed number of slots to streams, by priority and then by
// arrival. The engine's mutex guards it.
type slotQueue struct {
	free    int
	waiting []*slotWaiter
}

type slotWaiter struct {
	priority int
	granted  chan struct{}
}

// enter waits for a slot, sends heartbeats meanwhile, and returns the function
// that frees the slot.
func (engine *Engine) enter(ctx context.Context, stream *stream) (func(), error) {
	waiter := engine.join(stream.generation.Priority)
	heartbeat := time.NewTicker(HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case <-waiter.granted:
			return engine.leave, nil
		case <-ctx.Done():
			engine.abandon(waiter)
			return nil, ctx.Err()
		case <-heartbeat.C:
			if err := stream.emit(ctx, dragonflyhatch.FrameHeartbeat, 0, StepResult{}, ""); err != nil {
				engine.abandon(waiter)
				return nil, err
			}
		}
	}
}

func (engine *Engine) join(priority int) *slotWaiter {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	waiter := &slotWaiter{priority: priority, granted: make(chan struct{})}
	queue := &engine.slots
	place := len(queue.waiting)
	for place > 0 && queue.waiting[place-1].priority < priority {
		place--
	}
	queue.waiting = slices.Insert(queue.waiting, place, waiter)
	engine.grantLocked()
	return waiter
}

func (engine *Engine) grantLocked() {
	queue := &engine.slots
	for queue.free > 0 && len(queue.waiting) > 0 {
		queue.free--
		close(queue.waiting[0].granted)
		queue.waiting = queue.waiting[1:]
	}
	engine.loads.add(time.Now(), dragonflyhatch.LoadReport{
		Streams:      engine.spec.Slots - queue.free,
		QueuedTokens: len(queue.waiting),
	})
}

func (engine *Engine) leave() {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.slots.free++
	engine.grantLocked()
}

// abandon takes a waiter out of the queue, or frees the slot it was given.
func (engine *Engine) abandon(waiter *slotWaiter) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	place := slices.Index(engine.slots.waiting, waiter)
	if place >= 0 {
		engine.slots.waiting = slices.Delete(engine.slots.waiting, place, place+1)
		return
	}
	engine.slots.free++
	engine.grantLocked()
}

// maxLoads bounds the history of load reports.
const maxLoads = 1024

// loadHistory keeps past reports, so that an engine can report with a lag.
type loadHistory struct {
	reports []timedLoad
}

type timedLoad struct {
	at     time.Time
	report dragonflyhatch.LoadReport
}

func (history *loadHistory) add(now time.Time, report dragonflyhatch.LoadReport) {
	history.reports = append(history.reports, timedLoad{now, report})
	if len(history.reports) > maxLoads {
		history.reports = slices.Delete(history.reports, 0, maxLoads/2)
	}
}

// at returns the report that was true lag ago.
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
