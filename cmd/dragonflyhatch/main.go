// Command dragonflyhatch is the router's daemon, its operators' tool, its load
// generator, and the stand-ins for the systems that it depends on.
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
	exitFailed  = 1 // an error occurred
	exitUsage   = 2 // invalid command line
	exitRefused = 3 // refused by the fleet or by a check
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

// usageError is an error in the command line.
type usageError struct{ error }

// refusedError is a refusal because of faults that a check found.
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
			quarantineCommand(),
			soakCommand(),
			storyCommand(),
			configCommand(),
			drainCommand(),
			statusCommand(),
			explainCommand(),
			explainRequestCommand(),
			auditCommand(),
			loadCommand(),
			standinCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	setUsageErrors(root)
	return root
}

// setUsageErrors makes every command line error a usageError, also in subcommands.
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

// exactArguments returns the arguments, or an error unless there is one for each name.
func exactArguments(command *cli.Command, names ...string) ([]string, error) {
	args := command.Args().Slice()
	if len(args) != len(names) {
		return nil, usageError{errors.Newf("%s requires %d arguments: %v", command.FullName(), len(names), names)}
	}
	return args, nil
}
