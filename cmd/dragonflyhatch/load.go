package main

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"dragonflyhatch/hatchload"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:      "load",
		Usage:     "send a bounded load as callers do, and print the results",
		ArgsUsage: "ENTRY...",
		Description: "ENTRY is the caller address of an entry host to connect to first. The load is generated\n" +
			"from a seed or read from a trace file. With the stand-in systems behind the fleet,\n" +
			"--model-version and --layers check the text of each completion and --runs checks how\n" +
			"often each order ran; the command fails if a guarantee was violated.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "token", Usage: "bearer token of an organisation; repeat for more", Required: true},
			&cli.DurationFlag{Name: "promise", Value: 8 * time.Second, Usage: "time within which a response counts as on time"},
			&cli.StringFlag{Name: "model", Value: "assistant", Usage: "model of the completions"},
			&cli.StringFlag{Name: "service", Value: "orders/standing", Usage: "service and path of the orders"},
			&cli.StringFlag{Name: "read", Value: "orders/menu", Usage: "service and path of the repeatable calls"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the generated load"},
			&cli.FloatFlag{Name: "rate", Value: 20, Usage: "requests per second"},
			&cli.DurationFlag{Name: "duration", Value: 5 * time.Second, Usage: "duration of the load"},
			&cli.FloatFlag{Name: "orders", Value: 0.1, Usage: "share of the requests that are orders"},
			&cli.FloatFlag{Name: "reads", Value: 0.1, Usage: "share of the requests that are repeatable calls"},
			&cli.IntFlag{Name: "prefixes", Value: 20, Usage: "number of distinct prompt prefixes"},
			&cli.IntFlag{Name: "prompt-max", Value: 40, Usage: "maximum length of a prompt after its prefix, in words"},
			&cli.IntFlag{Name: "max-tokens", Value: 32, Usage: "maximum length of a completion, in tokens"},
			&cli.IntFlag{Name: "max-open", Value: 4096, Usage: "maximum number of concurrent requests"},
			&cli.FloatFlag{Name: "capacity", Usage: "tokens per second that the engines can generate, to compute the throughput bound"},
			&cli.StringFlag{Name: "model-version", Usage: "model version of the stand-in engines, to check completions"},
			&cli.IntFlag{Name: "layers", Usage: "number of layers of the stand-in model"},
			&cli.StringFlag{Name: "runs", Usage: "address of the stand-in service, to check orders"},
			&cli.StringFlag{Name: "trace", Usage: "trace file to send instead of a generated load"},
			&cli.StringFlag{Name: "record", Usage: "file to write the trace to"},
			&cli.BoolFlag{Name: "json", Usage: "print the report as JSON"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, command *cli.Command) error {
	items, err := loadItems(command)
	if err != nil {
		return err
	}
	if command.Args().Len() == 0 {
		return usageError{errors.New("load requires the address of an entry host")}
	}
	tokens := command.StringSlice("token")
	plan := hatchload.Plan{
		EntryHosts:     command.Args().Slice(),
		BearerTokens:   tokens,
		Model:          command.String("model"),
		ModelVersion:   command.String("model-version"),
		Layers:         command.Int("layers"),
		OrderPath:      command.String("service"),
		ReadPath:       command.String("read"),
		ServiceAddress: command.String("runs"),
		Capacity:       command.Float("capacity"),
		MaxConcurrent:  command.Int("max-open"),
	}
	for range tokens {
		plan.MaxDurations = append(plan.MaxDurations, command.Duration("promise"))
	}
	stop, _, release := stopContexts(ctx)
	defer release()
	report, err := hatchload.Run(stop, plan, items)
	if err != nil {
		return err
	}
	if command.Bool("json") {
		err = printJSON(report)
	} else {
		report.Print(os.Stdout)
	}
	if faults := report.Violations(); faults > 0 {
		return errors.Newf("%d guarantees were violated", faults)
	}
	return err
}

// loadItems reads the trace file, or generates the load and writes it to the file of
// --record if that is set.
func loadItems(command *cli.Command) ([]hatchload.Item, error) {
	if name := command.String("trace"); name != "" {
		file, err := os.Open(name)
		if err != nil {
			return nil, usageError{err}
		}
		defer file.Close()
		return hatchload.ReadTrace(file)
	}
	weights := make([]float64, len(command.StringSlice("token")))
	for i := range weights {
		weights[i] = 1 / float64(1+i) // a few organisations send most of the requests
	}
	items := hatchload.Generate(hatchload.TraceSpec{
		Seed:           command.Uint64("seed"),
		Duration:       command.Duration("duration"),
		Rate:           command.Float("rate"),
		Weights:        weights,
		OrderFraction:  command.Float("orders"),
		ReadFraction:   command.Float("reads"),
		Prefixes:       command.Int("prefixes"),
		MaxPromptWords: command.Int("prompt-max"),
		MaxTokens:      command.Int("max-tokens"),
	})
	name := command.String("record")
	if name == "" {
		return items, nil
	}
	file, err := os.Create(name)
	if err != nil {
		return nil, usageError{err}
	}
	return items, errors.CombineErrors(hatchload.WriteTrace(file, items), file.Close())
}
