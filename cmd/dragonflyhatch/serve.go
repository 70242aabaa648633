package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"dragonflyhatch/hatchconfig"
	"dragonflyhatch/hatchserve"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:      "serve",
		Usage:     "run the daemon of an entry host",
		ArgsUsage: "SETTINGS",
		Description: "SETTINGS is a file of JSON with comments: the host's name, site and addresses,\n" +
			"the platform's address, and bounds. The first SIGTERM or SIGINT starts a graceful\n" +
			"stop, which waits for open requests up to the stop bound; a second one ends it immediately.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "log", Value: "text", Usage: "format of the log: text or json"},
			&cli.BoolFlag{Name: "debug", Usage: "log debug messages too"},
		},
		Action: runServe,
	}
}

func runServe(ctx context.Context, command *cli.Command) error {
	args, err := exactArguments(command, "SETTINGS")
	if err != nil {
		return err
	}
	logger, err := newLogger(command.String("log"), command.Bool("debug"))
	if err != nil {
		return err
	}
	settings, err := readSettings(args[0])
	if err != nil {
		return err
	}
	stop, abort, release := stopContexts(ctx)
	defer release()
	return hatchserve.New(settings, hatchserve.WithLogger(logger)).Run(stop, abort)
}

func readSettings(file string) (*hatchconfig.Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, usageError{err}
	}
	settings, err := hatchconfig.ReadSettings(file, string(text))
	if err != nil {
		return nil, refusedError{err}
	}
	return settings, nil
}

func newLogger(format string, debug bool) (*slog.Logger, error) {
	options := &slog.HandlerOptions{}
	if debug {
		options.Level = slog.LevelDebug
	}
	switch format {
	case "text":
		return slog.New(slog.NewTextHandler(os.Stderr, options)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(os.Stderr, options)), nil
	}
	return nil, usageError{errors.Newf("--log must be text or json, not %q", format)}
}

// stopContexts returns a context that is cancelled by the first SIGTERM or SIGINT
// and one that is cancelled by the second.
func stopContexts(ctx context.Context) (stop, abort context.Context, release func()) {
	stop, cancelStop := context.WithCancel(ctx)
	abort, cancelAbort := context.WithCancel(ctx)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancelStop()
		<-signals
		cancelAbort()
	}()
	return stop, abort, func() {
		signal.Stop(signals)
		cancelStop()
		cancelAbort()
	}
}
