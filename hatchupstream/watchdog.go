package hatchupstream

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/iter"

	"dragonflyhatch"
)

const (
	probeFraction = 0.5                    // fraction of the stream idle timeout after which the stages are probed
	probeTimeout  = 150 * time.Millisecond // for all stages to respond
)

// watchdog cancels a stream that delivers no frames. After probeFraction of the
// stream idle timeout it probes the stages. If one does not respond, the stream is
// cancelled immediately; otherwise the pipeline may only be slow, and the stream
// is cancelled after the full timeout.
type watchdog struct {
	engine       *Engine
	ctx          context.Context // of the watched call
	stages       []dragonflyhatch.Stage
	cancel       context.CancelCauseFunc
	probeTimer   *time.Timer
	timeoutTimer *time.Timer
}

func (engine *Engine) startWatchdog(ctx context.Context, stages []dragonflyhatch.Stage, cancel context.CancelCauseFunc) *watchdog {
	watchdog := &watchdog{engine: engine, ctx: ctx, stages: stages, cancel: cancel}
	watchdog.probeTimer = time.AfterFunc(engine.probeDelay(), watchdog.probeStages)
	watchdog.timeoutTimer = time.AfterFunc(engine.streamIdleTimeout, func() { cancel(&StreamIdleError{}) })
	return watchdog
}

func (engine *Engine) probeDelay() time.Duration {
	return time.Duration(probeFraction * float64(engine.streamIdleTimeout))
}

// reset restarts both timers after a frame.
func (watchdog *watchdog) reset() {
	watchdog.probeTimer.Reset(watchdog.engine.probeDelay())
	watchdog.timeoutTimer.Reset(watchdog.engine.streamIdleTimeout)
}

func (watchdog *watchdog) stop() {
	watchdog.probeTimer.Stop()
	watchdog.timeoutTimer.Stop()
}

// probeStages cancels the stream if a stage does not respond.
func (watchdog *watchdog) probeStages() {
	ctx, cancel := context.WithTimeout(watchdog.ctx, probeTimeout)
	defer cancel()
	errs := iter.Map(watchdog.stages, func(stage *dragonflyhatch.Stage) error {
		_, err := watchdog.engine.Load(ctx, stage.Address)
		return err
	})
	var unresponsive []string
	for i, err := range errs {
		if err != nil {
			unresponsive = append(unresponsive, watchdog.stages[i].Address)
		}
	}
	if len(unresponsive) > 0 && watchdog.ctx.Err() == nil {
		watchdog.cancel(&StreamIdleError{UnresponsiveStages: unresponsive})
	}
}
