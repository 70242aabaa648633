package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"dragonflyhatch"
	"dragonflyhatch/hatchaudit"
	"dragonflyhatch/hatchconfig"
	"dragonflyhatch/hatchentry"
)

const configArguments = "BASE [SITE=OVERLAY...]"

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "check, apply and show the shared configuration",
		Description: "The configuration is one base file and one overlay for each site, which contains only\n" +
			"the site's differences. Files are JSON with comments.",
		Commands: []*cli.Command{
			{
				Name:      "check",
				Usage:     "report all faults in the files without applying them",
				ArgsUsage: configArguments,
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "settings", Usage: "check this file of process settings instead"},
				},
				Action: checkConfig,
			},
			{
				Name:      "apply",
				Usage:     "apply the files as the configuration of all sites",
				ArgsUsage: configArguments,
				Description: "Nothing is applied if any file has a fault, or if the version in force is no\n" +
					"longer --if-version.",
				Flags: operatorFlags(&cli.Uint64Flag{
					Name: "if-version", Usage: "version that the files replace; by default the one in force at the host",
				}),
				Action: applyConfig,
			},
			{
				Name:   "get",
				Usage:  "print the configuration in force at a host",
				Flags:  operatorFlags(),
				Action: getConfig,
			},
			{
				Name:      "diff",
				Usage:     "show how the files differ from the accepted configuration",
				ArgsUsage: configArguments,
				Flags:     operatorFlags(),
				Action:    diffConfig,
			},
			{
				Name:   "history",
				Usage:  "list the configuration changes, including refused ones",
				Flags:  operatorFlags(),
				Action: printConfigHistory,
			},
		},
	}
}

func checkConfig(_ context.Context, command *cli.Command) error {
	if file := command.String("settings"); file != "" {
		_, err := readSettings(file)
		return err
	}
	proposal, err := readProposal(command)
	if err != nil {
		return err
	}
	if err := hatchconfig.Check(dragonflyhatch.AcceptedConfiguration{Base: proposal.Base, Overlays: proposal.Overlays}); err != nil {
		return refusedError{err}
	}
	fmt.Printf("%s: no faults\n", strings.Join(command.Args().Slice(), ", "))
	return nil
}

// readProposal reads the base file and the overlays named by the arguments.
func readProposal(command *cli.Command) (hatchentry.Proposal, error) {
	var proposal hatchentry.Proposal
	args := command.Args().Slice()
	if len(args) == 0 {
		return proposal, usageError{errors.Newf("%s requires %s", command.FullName(), configArguments)}
	}
	var err error
	if proposal.Base, err = readSource("", args[0]); err != nil {
		return proposal, err
	}
	for _, argument := range args[1:] {
		site, file, ok := strings.Cut(argument, "=")
		if !ok || site == "" {
			return proposal, usageError{errors.Newf("an overlay must have the form SITE=FILE, not %q", argument)}
		}
		overlay, err := readSource(site, file)
		if err != nil {
			return proposal, err
		}
		proposal.Overlays = append(proposal.Overlays, overlay)
	}
	return proposal, nil
}

func readSource(site, file string) (dragonflyhatch.SourceFile, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return dragonflyhatch.SourceFile{}, usageError{err}
	}
	return dragonflyhatch.SourceFile{Name: file, Site: site, Text: string(text)}, nil
}

func applyConfig(ctx context.Context, command *cli.Command) error {
	proposal, err := readProposal(command)
	if err != nil {
		return err
	}
	client := newOperatorClient(command)
	proposal.IfVersion = command.Uint64("if-version")
	if !command.IsSet("if-version") {
		var current dragonflyhatch.AcceptedConfiguration
		if err := client.get(ctx, "/v1/configuration", &current); err != nil {
			return err
		}
		proposal.IfVersion = current.Version
	}
	var accepted hatchentry.ProposalReply
	if err := client.update(ctx, "/v1/configuration", proposal, &accepted); err != nil {
		return err
	}
	fmt.Printf("accepted as version %d\n", accepted.Version)
	return nil
}

func getConfig(ctx context.Context, command *cli.Command) error {
	var current dragonflyhatch.AcceptedConfiguration
	if err := newOperatorClient(command).get(ctx, "/v1/configuration", &current); err != nil {
		return err
	}
	return printJSON(current)
}

func diffConfig(ctx context.Context, command *cli.Command) error {
	proposal, err := readProposal(command)
	if err != nil {
		return err
	}
	var current dragonflyhatch.AcceptedConfiguration
	if err := newOperatorClient(command).get(ctx, "/v1/configuration", &current); err != nil {
		return err
	}
	lines := hatchconfig.Diff(current, dragonflyhatch.AcceptedConfiguration{Base: proposal.Base, Overlays: proposal.Overlays})
	for _, line := range lines {
		fmt.Println(line)
	}
	return nil
}

func printConfigHistory(ctx context.Context, command *cli.Command) error {
	return printAudit(ctx, command, "configuration")
}

// printAudit prints the audit entries whose action starts with actionPrefix, which
// must be escaped for a URL query.
func printAudit(ctx context.Context, command *cli.Command, actionPrefix string) error {
	var entries []hatchaudit.Entry
	if err := newOperatorClient(command).get(ctx, "/v1/audit?what="+actionPrefix, &entries); err != nil {
		return err
	}
	return printJSON(entries)
}
