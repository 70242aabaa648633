package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"dragonflyhatch/hatchaudit"
)

func storyCommand() *cli.Command {
	return &cli.Command{
		Name:      "story",
		Usage:     "print the timeline of a request from the gateways' logs",
		ArgsUsage: "REQUEST LOG...",
		Description: "REQUEST is the caller's attempt id. Prints by time the log lines of the request, the\n" +
			"line by which the configuration that applied to it came into force, and the lines about the\n" +
			"replicas that its failures are attributed to or that it was sent to last.",
		Action: printStory,
	}
}

func printStory(_ context.Context, command *cli.Command) error {
	args := command.Args().Slice()
	if len(args) < 2 {
		return usageError{errors.New("story requires a request and at least one log")}
	}
	var logs []hatchaudit.Log
	for _, path := range args[1:] {
		file, err := os.Open(path)
		if err != nil {
			return usageError{err}
		}
		defer file.Close()
		logs = append(logs, hatchaudit.Log{Name: filepath.Base(path), Reader: file})
	}
	lines, err := hatchaudit.Timeline(args[0], logs)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return refusedError{errors.Newf("no log mentions request %s", args[0])}
	}
	for _, line := range lines {
		fmt.Println(line)
	}
	return nil
}
