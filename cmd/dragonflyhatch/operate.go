package main

import (
	"context"
	"encoding/json"
	"net/url"

	"github.com/urfave/cli/v3"

	"dragonflyhatch/hatchentry"
)

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "stop sending new requests to an upstream, or resume it",
		ArgsUsage: "ADDRESS",
		Flags:     operatorFlags(&cli.BoolFlag{Name: "undo", Usage: "resume sending requests to the upstream"}),
		Action: func(ctx context.Context, command *cli.Command) error {
			args, err := exactArguments(command, "ADDRESS")
			if err != nil {
				return err
			}
			change := hatchentry.DrainChange{Address: args[0], Leaving: !command.Bool("undo")}
			if err := newOperatorClient(command).update(ctx, "/v1/drains", change, &change); err != nil {
				return err
			}
			return printJSON(change)
		},
	}
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the state of a host and its view of the fleet",
		Flags: operatorFlags(),
		Action: func(ctx context.Context, command *cli.Command) error {
			return getAndPrint(ctx, command, "/v1/status")
		},
	}
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show how a recent request was handled, and why",
		ArgsUsage: "REQUEST",
		Description: "REQUEST is the Request-Id header of the response. Any host can be queried; the answer comes\n" +
			"from the host that received the request, while it still has the record.",
		Flags: operatorFlags(),
		Action: func(ctx context.Context, command *cli.Command) error {
			args, err := exactArguments(command, "REQUEST")
			if err != nil {
				return err
			}
			return getAndPrint(ctx, command, "/v1/explain/"+url.PathEscape(args[0]))
		},
	}
}

func auditCommand() *cli.Command {
	return &cli.Command{
		Name:  "audit",
		Usage: "list the changes: who, what, from, to and the outcome",
		Flags: operatorFlags(&cli.StringFlag{Name: "what", Usage: "only changes whose description has this prefix"}),
		Action: func(ctx context.Context, command *cli.Command) error {
			return printAudit(ctx, command, url.QueryEscape(command.String("what")))
		},
	}
}

func getAndPrint(ctx context.Context, command *cli.Command, path string) error {
	var response json.RawMessage
	if err := newOperatorClient(command).get(ctx, path, &response); err != nil {
		return err
	}
	return printJSON(response)
}
