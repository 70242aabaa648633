package main

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"dragonflyhatch"
	"dragonflyhatch/hatchpeer"
)

func quarantineCommand() *cli.Command {
	peerFlag := &cli.StringFlag{
		Name: "peer", Required: true, Sources: cli.EnvVars("DRAGONFLYHATCH_PEER"),
		Usage: "address of any gateway for its peers (listen.control_plane of its settings), as IP:PORT",
	}
	return &cli.Command{
		Name:  "quarantine",
		Usage: "show or lift the suspicion that parts of prompts terminate replicas",
		Commands: []*cli.Command{
			{
				Name:  "list",
				Usage: "list the suspected parts, the evidence, and which are held back",
				Flags: []cli.Flag{peerFlag},
				Action: func(ctx context.Context, command *cli.Command) error {
					return printQuarantine(ctx, command, dragonflyhatch.PromptPart{})
				},
			},
			{
				Name:      "lift",
				Usage:     "let requests with a part pass again, at all gateways",
				ArgsUsage: "SERVICE PART",
				Flags:     []cli.Flag{peerFlag},
				Action: func(ctx context.Context, command *cli.Command) error {
					args, err := exactArguments(command, "SERVICE", "PART")
					if err != nil {
						return err
					}
					return printQuarantine(ctx, command, dragonflyhatch.PromptPart{Service: args[0], ID: args[1]})
				},
			},
		},
	}
}

// printQuarantine lifts the suspicion of the part, unless its ID is empty, and prints the
// suspected parts.
func printQuarantine(ctx context.Context, command *cli.Command, lift dragonflyhatch.PromptPart) error {
	parts, lifted, err := hatchpeer.NewFleetClient(operatorTimeout).Quarantine(ctx, command.String("peer"), lift)
	if err != nil {
		return err
	}
	if lift.ID != "" && !lifted {
		return refusedError{errors.Newf("part %s of service %s is not suspected", lift.ID, lift.Service)}
	}
	return printJSON(json.RawMessage(parts))
}
