package hatchloop

import (
	"context"
	"log/slog"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc/panics"
)

const (
	// restartPause and maxRestartPause are the first and the longest pause before a
	// loop is started again.
	restartPause    = 200 * time.Millisecond
	maxRestartPause = 10 * time.Second
	// soundTime is how long a loop must have run for the pause to start over.
	soundTime = time.Minute
	// maxStackLogged bounds the bytes of a stack trace in a log line.
	maxStackLogged = 4 << 10
	// restartsMetric counts the restarts of all loops.
	restartsMetric = "loops.restarts"
)

// Loop is a long-lived task of a daemon.
type Loop struct {
	Name string                // as logged
	Run  func(context.Context) // returns only when the context is done
	// OnFailure is called after each failure, before Run is called again; nil if there
	// is nothing to do.
	OnFailure func(context.Context)
}

// Supervisor runs loops. It is safe for concurrent use.
type Supervisor struct {
	logger   *slog.Logger
	restarts metrics.Counter
}

// NewSupervisor returns a supervisor that logs each failure and counts it in the
// registry.
func NewSupervisor(logger *slog.Logger, registry metrics.Registry) *Supervisor {
	return &Supervisor{logger: logger, restarts: metrics.GetOrRegisterCounter(restartsMetric, registry)}
}

// Run runs the loop until ctx is done. If the loop panics or returns before, it is
// started again after a pause, which grows while it keeps failing.
func (supervisor *Supervisor) Run(ctx context.Context, loop Loop) {
	pause := restartPause
	for ctx.Err() == nil {
		started := time.Now()
		failure := panics.Try(func() { loop.Run(ctx) })
		if failure == nil && ctx.Err() != nil {
			return
		}
		if time.Since(started) >= soundTime {
			pause = restartPause
		}
		supervisor.recordFailure(loop.Name, failure, pause)
		if loop.OnFailure != nil {
			if failure := panics.Try(func() { loop.OnFailure(ctx) }); failure != nil {
				supervisor.recordFailure(loop.Name+" failure handler", failure, pause)
			}
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
		pause = min(2*pause, maxRestartPause)
	}
}

func (supervisor *Supervisor) recordFailure(name string, failure *panics.Recovered, pause time.Duration) {
	supervisor.restarts.Inc(1)
	if failure == nil {
		supervisor.logger.Error("loop returned early, restarting", "loop", name, "pause", pause)
		return
	}
	supervisor.logger.Error("loop panicked, restarting", "loop", name, "pause", pause,
		"panic", failure.AsError(), "stack", string(failure.Stack[:min(len(failure.Stack), maxStackLogged)]))
}
