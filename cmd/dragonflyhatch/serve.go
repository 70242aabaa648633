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
			"stop, which cuts no request within the stop bound; a second one ends it at once.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "log", Value: "text", Usage: "format of the log: text or json"},
			&cli.BoolFlag{Name: "debug", Usage: "log debug messages too"},
		},
		Action: serve,
	}
}

func serve(ctx context.Context, command *cli.Command) error {
	args, err := arguments(command, "SETTINGS")
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
	stop, hurry, end := stopContexts(ctx)
	defer end()
	return hatchserve.New(settings, hatchserve.WithLogger(logger)).Run(stop, hurry)
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
	return nil, usageError{errors.Newf("--log wants text or json, not %q", format)}
}

// stopContexts returns a context that the first signal ends and one that the
// second ends.
func stopContexts(ctx context.Context) (stop, hurry context.Context, end func()) {
	stop, cancelStop := context.WithCancel(ctx)
	hurry, cancelHurry := context.WithCancel(ctx)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancelStop()
		<-signals
		cancelHurry()
	}()
	return stop, hurry, func() {
		signal.Stop(signals)
		cancelStop()
		cancelHurry()
	}
}
