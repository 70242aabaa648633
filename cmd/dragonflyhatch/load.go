package main

import (
	"context"

	"github.com/urfave/cli/v3"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:   "load",
		Usage:  "send a bounded load and print what became of it",
		Action: func(context.Context, *cli.Command) error { return nil },
	}
}
