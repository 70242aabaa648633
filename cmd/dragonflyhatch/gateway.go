package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"dragonflyhatch/hatchaudit"
	"dragonflyhatch/hatchgateway"
	"dragonflyhatch/platform"
)

// memoryLimitFraction is the fraction of the memory in the settings that is set as
// the Go runtime's soft limit. The platform kills a process that uses more memory
// than the settings state, and counts received bytes as used memory.
const memoryLimitFraction = 0.6

// gcPercent is the growth of the heap between two collections, in percent. A daemon
// holds a few megabytes and allocates little, so saving memory is worth the extra
// collections.
const gcPercent = 30

// logFlushTimeout bounds how long the process waits at its end for its last log lines to
// be written. It is less than what a stop leaves before SIGKILL.
const logFlushTimeout = 200 * time.Millisecond

func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:      "gateway",
		Usage:     "run the daemon on a host of the platform",
		ArgsUsage: "[SETTINGS]",
		Description: "SETTINGS is the platform's settings file; by default the environment variable\n" +
			platform.SettingsVariable + " holds its path. SIGTERM starts a graceful stop.",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "debug", Usage: "log debug messages too"},
			&cli.DurationFlag{Name: "clock-step", Usage: "shift the clock by this duration, for the soak", Hidden: true},
		},
		Action: runGateway,
	}
}

func runGateway(ctx context.Context, command *cli.Command) error {
	// Signal handlers are installed before anything else: a signal without a handler
	// ends the process.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	stop, _, release := stopContexts(ctx)
	defer release()
	path := command.Args().First()
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return refusedError{err}
	}
	level := slog.LevelInfo
	if command.Bool("debug") {
		level = slog.LevelDebug
	}
	lines := hatchaudit.NewLineWriter(os.Stdout)
	defer lines.Flush(logFlushTimeout)
	logger := slog.New(slog.NewJSONHandler(lines, &slog.HandlerOptions{Level: level}))
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryMB) * (1 << 20)))
	step := command.Duration("clock-step")
	gateway := hatchgateway.New(settings, hatchgateway.WithLogger(logger),
		hatchgateway.WithClock(func() time.Time { return time.Now().Add(step) }))
	go func() {
		for range reloads {
			reloadSettings(gateway, path, logger)
		}
	}()
	return gateway.Run(stop)
}

// reloadSettings reads the settings again. Invalid settings are logged and ignored.
func reloadSettings(gateway *hatchgateway.Gateway, path string, logger *slog.Logger) {
	settings, err := platform.ReadSettings(path)
	if err != nil {
		logger.Error("settings not reloaded", "error", err)
		return
	}
	gateway.Reload(settings)
}
