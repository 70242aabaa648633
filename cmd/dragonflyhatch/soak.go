package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"
	"github.com/urfave/cli/v3"

	"dragonflyhatch/hatchsoak"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run gateways as processes on loopback, inject faults, and check the guarantees",
		Description: "Each seed determines the faults of one run. The command fails if a run violated a\n" +
			"guarantee, and prints the path of the logs.",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the first run; taken from the current time if 0"},
			&cli.IntFlag{Name: "runs", Usage: "number of runs, each with the next seed", Value: 1},
			&cli.IntFlag{Name: "jobs", Usage: "number of concurrent runs", Value: 1},
			&cli.IntFlag{Name: "daemons", Usage: "number of daemons in each run", Value: 4},
			&cli.DurationFlag{Name: "length", Usage: "period in which faults start", Value: 10 * time.Second},
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, command *cli.Command) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	first := command.Uint64("seed")
	if first == 0 {
		first = uint64(time.Now().UnixMilli())
	}
	jobs := command.Int("jobs")
	slots := make(chan int, jobs)
	for slot := range jobs {
		slots <- slot
	}
	group := pool.NewWithResults[error]().WithMaxGoroutines(jobs)
	for run := range command.Int("runs") {
		plan := hatchsoak.Plan{
			Program: program, Seed: first + uint64(run), Length: command.Duration("length"), Daemons: command.Int("daemons"),
		}
		group.Go(func() error {
			plan.Slot = <-slots
			defer func() { slots <- plan.Slot }()
			return runSeed(ctx, plan)
		})
	}
	return errors.Join(group.Wait()...)
}

// runSeed does one run and prints its results. It keeps the logs only if a guarantee
// was violated.
func runSeed(ctx context.Context, plan hatchsoak.Plan) error {
	report, err := hatchsoak.Run(ctx, plan)
	if err != nil {
		return errors.Wrapf(err, "seed %d", plan.Seed)
	}
	fmt.Printf("seed %d: %d requests, %d served, %d faults, %d violations\n",
		plan.Seed, report.Requests, report.Served, len(report.Events), len(report.Violations))
	if len(report.Violations) == 0 {
		return os.RemoveAll(report.Dir)
	}
	for _, event := range report.Events {
		fmt.Printf("  seed %d fault: %v\n", plan.Seed, event)
	}
	for _, violation := range report.Violations {
		fmt.Printf("  seed %d violation: %s\n", plan.Seed, violation)
	}
	return refusedError{errors.Newf("seed %d violated %d guarantees; logs are in %s", plan.Seed, len(report.Violations), report.Dir)}
}
