// Command dragonflyhatch is the router's daemon, its operators' tool, its load
// generator, and the stand-ins for the systems around it.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"dragonflyhatch"
)

// The exit codes of the command.
const (
	exitFailed  = 1 // something broke
	exitUsage   = 2 // the command line is wrong
	exitRefused = 3 // the fleet or a check said no
)

func main() {
	os.Exit(run(os.Args, os.Stderr))
}

func run(args []string, stderr *os.File) int {
	err := newCommand().Run(context.Background(), args)
	if err == nil {
		return 0
	}
	fmt.Fprintln(stderr, err)
	return exitCode(err)
}

// usageError is a mistake on the command line.
type usageError struct{ error }

// refusedError is the answer of a check that found faults.
type refusedError struct{ error }

func exitCode(err error) int {
	var usage usageError
	var refused refusedError
	var failure *dragonflyhatch.Failure
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &refused):
		return exitRefused
	case errors.As(err, &failure) && failure.Kind != dragonflyhatch.KindInternal:
		return exitRefused
	}
	return exitFailed
}

func newCommand() *cli.Command {
	root := &cli.Command{
		Name:  "dragonflyhatch",
		Usage: "route requests through pipelines of language models",
		Description: "The daemon runs on each entry host. Operators' commands talk to the operator\n" +
			"listener of any daemon; each change is checked, versioned and audited.\n\n" +
			"Exit codes: 0 done, 1 failed, 2 usage, 3 refused.",
		Commands: []*cli.Command{
			serveCommand(),
			gatewayCommand(),
			soakCommand(),
			storyCommand(),
			configCommand(),
			drainCommand(),
			statusCommand(),
			explainCommand(),
			auditCommand(),
			loadCommand(),
			standinCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	setUsageErrors(root)
	return root
}

// setUsageErrors makes every mistake on the command line a usageError.
func setUsageErrors(command *cli.Command) {
	command.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return usageError{err}
	}
	if len(command.Commands) > 0 && command.Action == nil {
		command.Action = func(_ context.Context, command *cli.Command) error {
			if command.Args().Present() {
				return usageError{errors.Newf("%s has no command %q", command.FullName(), command.Args().First())}
			}
			return cli.ShowSubcommandHelp(command)
		}
	}
	for _, sub := range command.Commands {
		setUsageErrors(sub)
	}
}

// arguments returns exactly the named arguments.
func arguments(command *cli.Command, names ...string) ([]string, error) {
	args := command.Args().Slice()
	if len(args) != len(names) {
		return nil, usageError{errors.Newf("%s wants %d arguments: %v", command.FullName(), len(names), names)}
	}
	return args, nil
}
