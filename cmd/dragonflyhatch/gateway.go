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

// memoryShare is the share of the machine's memory that the collector aims at; a
// process beyond the whole of it is killed, received bytes included.
const memoryShare = 0.6

// heapGrowth is by how much the heap may grow between two collections, in percent.
// A daemon holds some megabytes and allocates little, so that memory saved is
// worth more than the collector's time.
const heapGrowth = 30

func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:      "gateway",
		Usage:     "run the daemon of a machine of the platform",
		ArgsUsage: "[SETTINGS]",
		Description: "SETTINGS is the platform's settings file; without it the variable\n" +
			platform.SettingsVariable + " names it. SIGTERM starts a graceful stop.",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "debug", Usage: "log debug messages too"},
			&cli.DurationFlag{Name: "clock-step", Usage: "shift the time of day, as the soak does", Hidden: true},
		},
		Action: runGateway,
	}
}

func runGateway(ctx context.Context, command *cli.Command) error {
	// Signals are caught before anything else: one that is not ends the process.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	stop, _, end := stopContexts(ctx)
	defer end()
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
	logger := slog.New(slog.NewJSONHandler(hatchaudit.NewLineWriter(os.Stdout), &slog.HandlerOptions{Level: level}))
	debug.SetGCPercent(heapGrowth)
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryMB) * (1 << 20)))
	step := command.Duration("clock-step")
	gateway := hatchgateway.New(settings, hatchgateway.WithLogger(logger),
		hatchgateway.WithClock(func() time.Time { return time.Now().Add(step) }))
	go func() {
		for range reloads {
			reload(gateway, path, logger)
		}
	}()
	return gateway.Run(stop)
}

// reload reads the settings again. Faulty ones change nothing.
func reload(gateway *hatchgateway.Gateway, path string, logger *slog.Logger) {
	settings, err := platform.ReadSettings(path)
	if err != nil {
		logger.Error("settings not reloaded", "error", err)
		return
	}
	gateway.Reload(settings)
}
