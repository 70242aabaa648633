package hatchupstream

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/iter"

	"dragonflyhatch"
)

const (
	suspectPart  = 0.5                    // of the silence bound after which the stages are asked
	probeTimeout = 150 * time.Millisecond // for a stage to answer
)

// watchdog ends a stream that goes silent. After a part of the bound it asks the
// stages: if one does not answer the stream ends then, otherwise a slow stream
// has the whole bound.
type watchdog struct {
	engine *Engine
	ctx    context.Context // of the one call that is watched
	stages []dragonflyhatch.Stage
	cancel context.CancelCauseFunc
	asks   *time.Timer
	ends   *time.Timer
}

func (engine *Engine) watch(ctx context.Context, stages []dragonflyhatch.Stage, cancel context.CancelCauseFunc) *watchdog {
	watchdog := &watchdog{engine: engine, ctx: ctx, stages: stages, cancel: cancel}
	watchdog.asks = time.AfterFunc(engine.suspectAfter(), watchdog.ask)
	watchdog.ends = time.AfterFunc(engine.silence, func() { cancel(&SilentError{}) })
	return watchdog
}

func (engine *Engine) suspectAfter() time.Duration {
	return time.Duration(suspectPart * float64(engine.silence))
}

// heard notes a frame.
func (watchdog *watchdog) heard() {
	watchdog.asks.Reset(watchdog.engine.suspectAfter())
	watchdog.ends.Reset(watchdog.engine.silence)
}

func (watchdog *watchdog) stop() {
	watchdog.asks.Stop()
	watchdog.ends.Stop()
}

// ask ends the stream if a stage does not answer.
func (watchdog *watchdog) ask() {
	ctx, cancel := context.WithTimeout(watchdog.ctx, probeTimeout)
	defer cancel()
	answers := iter.Map(watchdog.stages, func(stage *dragonflyhatch.Stage) error {
		_, err := watchdog.engine.Load(ctx, stage.Address)
		return err
	})
	var unanswering []string
	for i, err := range answers {
		if err != nil {
			unanswering = append(unanswering, watchdog.stages[i].Address)
		}
	}
	if len(unanswering) > 0 && watchdog.ctx.Err() == nil {
		watchdog.cancel(&SilentError{Unanswering: unanswering})
	}
}
