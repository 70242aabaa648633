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
		Usage:     "keep new work from an upstream, or let it have work again",
		ArgsUsage: "ADDRESS",
		Flags:     operatorFlags(&cli.BoolFlag{Name: "undo", Usage: "let the upstream have work again"}),
		Action: func(ctx context.Context, command *cli.Command) error {
			args, err := arguments(command, "ADDRESS")
			if err != nil {
				return err
			}
			order := hatchentry.DrainOrder{Address: args[0], Leaving: !command.Bool("undo")}
			if err := newOperatorClient(command).order(ctx, "/v1/drains", order, &order); err != nil {
				return err
			}
			return printJSON(order)
		},
	}
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show what a host knows of itself and of the fleet",
		Flags: operatorFlags(),
		Action: func(ctx context.Context, command *cli.Command) error {
			return askAndPrint(ctx, command, "/v1/status")
		},
	}
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show what was done with a recent request, and why",
		ArgsUsage: "REQUEST",
		Description: "REQUEST is the Request-Id header of the answer. Any host can be asked; the one that\n" +
			"took the request answers, as long as it remembers.",
		Flags: operatorFlags(),
		Action: func(ctx context.Context, command *cli.Command) error {
			args, err := arguments(command, "REQUEST")
			if err != nil {
				return err
			}
			return askAndPrint(ctx, command, "/v1/explain/"+url.PathEscape(args[0]))
		},
	}
}

func auditCommand() *cli.Command {
	return &cli.Command{
		Name:  "audit",
		Usage: "list the changes: who, what, from, to and the outcome",
		Flags: operatorFlags(&cli.StringFlag{Name: "what", Usage: "only changes whose description begins so"}),
		Action: func(ctx context.Context, command *cli.Command) error {
			return printAudit(ctx, command, url.QueryEscape(command.String("what")))
		},
	}
}

func askAndPrint(ctx context.Context, command *cli.Command, path string) error {
	var answer json.RawMessage
	if err := newOperatorClient(command).ask(ctx, path, &answer); err != nil {
		return err
	}
	return printJSON(answer)
}
