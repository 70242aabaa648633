package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"net"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"
	"github.com/urfave/cli/v3"

	"dragonflyhatch"
	"dragonflyhatch/hatchpeer"
)

// maxKeySize bounds the size in bytes of a key that is read from a file. Keys are part of
// a header, which daemons bound to a few kilobytes.
const maxKeySize = 4 << 10

// explainRounding is the unit to which durations are rounded in text for people.
const explainRounding = time.Millisecond

func explainRequestCommand() *cli.Command {
	return &cli.Command{
		Name:  "explain-request",
		Usage: "show where a request would go now, and why, without sending it",
		Description: "Asks a running gateway. The answer is that of this gateway at this moment; decisions that\n" +
			"requests make at random are made as if each draw were 0.5.",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "peer", Required: true, Sources: cli.EnvVars("DRAGONFLYHATCH_PEER"),
				Usage: "address of the gateway for its peers (listen.control_plane of its settings), as IP:PORT",
			},
			&cli.StringFlag{Name: "host", Required: true, Usage: "host that the caller names"},
			&cli.StringFlag{Name: "path", Required: true, Usage: "path of the request, from the first slash"},
			&cli.StringFlag{Name: "keyFile", Usage: "file with the caller's API key, or - for the standard input"},
			&cli.IntFlag{Name: "promptTokens", Usage: "tokens of the prompt"},
			&cli.IntFlag{Name: "outputTokens", Usage: "maximum number of tokens of the answer"},
			&cli.IntFlag{Name: "expectedTokens", Usage: "the caller's estimate of the tokens of the answer"},
			&cli.DurationFlag{Name: "timeLeft", Usage: "how long the caller waits, for example 5s"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON with durations in nanoseconds"},
		},
		Action: explainRequest,
	}
}

// explainRequest prints the preview of the described request.
func explainRequest(ctx context.Context, command *cli.Command) error {
	if command.Args().Present() { // not quoted, as it may be a key
		return usageError{errors.Newf("%s takes no arguments", command.FullName())}
	}
	request := dragonflyhatch.PreviewRequest{
		Host: command.String("host"), Path: command.String("path"), PromptTokens: command.Int("promptTokens"),
		OutputTokens: command.Int("outputTokens"), ExpectedTokens: command.Int("expectedTokens"), TimeLeft: command.Duration("timeLeft"),
	}
	peer := command.String("peer")
	if _, _, err := net.SplitHostPort(peer); err != nil {
		return usageError{errors.Wrap(err, "peer address")}
	}
	if err := request.Check(); err != nil {
		return usageError{err}
	}
	var err error
	if request.Key, err = readKey(command.String("keyFile"), os.Stdin); err != nil {
		return usageError{err}
	}
	encoded, err := json.Marshal(request)
	if err != nil {
		return err
	}
	reply, err := hatchpeer.NewFleetClient(operatorTimeout).Preview(ctx, peer, encoded)
	var twirpError twirp.Error
	if errors.As(err, &twirpError) && twirpError.Code() == twirp.InvalidArgument {
		return usageError{err}
	}
	if err != nil {
		return err
	}
	if command.Bool("json") {
		return printJSON(json.RawMessage(reply))
	}
	var preview dragonflyhatch.Preview
	if err := json.Unmarshal(reply, &preview); err != nil {
		return errors.Wrap(err, "the daemon's answer")
	}
	return writePreview(os.Stdout, request, preview)
}

// readKey returns the key in the file without surrounding space, or the one on the standard
// input if the name is "-", or an empty one without a name. Its errors do not contain the
// name, which may be a key by mistake.
func readKey(name string, stdin io.Reader) (string, error) {
	if name == "" {
		return "", nil
	}
	source := stdin
	if name != "-" {
		file, err := os.Open(name)
		var pathError *fs.PathError
		if errors.As(err, &pathError) {
			err = pathError.Err
		}
		if err != nil {
			return "", errors.Newf("the key file cannot be opened: %s", err)
		}
		defer file.Close()
		source = file
	}
	text, err := io.ReadAll(io.LimitReader(source, maxKeySize+1))
	switch {
	case err != nil:
		return "", errors.New("the key file cannot be read")
	case len(text) > maxKeySize:
		return "", errors.Newf("the key file exceeds %d bytes", maxKeySize)
	}
	key := strings.TrimSpace(string(text))
	if key == "" {
		return "", errors.New("the key file is empty")
	}
	return key, nil
}

// writePreview writes the preview as text for people.
func writePreview(writer io.Writer, request dragonflyhatch.PreviewRequest, preview dragonflyhatch.Preview) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	line := func(name, format string, args ...any) {
		fmt.Fprintf(table, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}

	line("request", "%s%s, %d prompt tokens, at most %d of the answer (%d expected), caller waits %s",
		request.Host, request.Path, request.PromptTokens, request.OutputTokens, request.ExpectedTokens, orUnknown(request.TimeLeft))
	line("versions", "configuration %d, replicas %d", preview.ConfigurationVersion, preview.ReplicasVersion)
	line("route", "%s", orNone(preview.Route))
	line("service", "%s", orNone(preview.Service))
	line("organisation", "%s", orNone(preview.Organisation))
	if preview.Ranks > 0 {
		line("rank", "%d of %d, from 0; priority %d at the engines", preview.Rank, preview.Ranks, preview.Priority)
	} else {
		line("rank", "none; priority %d at the engines", preview.Priority)
	}
	decision := "admitted"
	if !preview.Admitted {
		decision = "refused"
	}
	if preview.Rule != "" {
		decision += fmt.Sprintf(" by rule %s, with probability %.2f of admission", preview.Rule, preview.Probability)
	}
	line("decision", "%s", decision)
	if refusal := preview.Refusal; refusal.Kind != "" {
		line("refusal", "%s: %s", refusal.Kind, refusal.Detail)
		line("retry after", "%s", orUnknown(refusal.RetryAfter))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if preview.Inputs != nil {
		writeInputs(table, *preview.Inputs, preview.Ranks > 0)
	}
	if len(preview.Candidates) > 0 {
		writeCandidates(table, preview)
	}
	if len(preview.LeftOut) > 0 {
		fmt.Fprintf(table, "\nleft out (%d of %d)\nADDRESS\tSITE\tREASON\tFOR\n", len(preview.LeftOut), preview.LeftOutCount)
		for _, leftOut := range preview.LeftOut {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", leftOut.Address, orNone(leftOut.Site), leftOut.Reason, orUnknown(leftOut.For))
		}
	}
	return table.Flush()
}

// writeInputs writes what the admission is based on.
func writeInputs(table *tabwriter.Writer, inputs dragonflyhatch.PreviewInputs, ranked bool) {
	fmt.Fprintf(table, "\ninputs of the admission\n")
	fmt.Fprintf(table, "request\twork %.0f tokens, target %s, returned %t\n", inputs.Work, inputs.Target, inputs.Returned)
	fmt.Fprintf(table, "wait at the head\t%s\n", inputs.Wait.Round(explainRounding))
	if ranked {
		fmt.Fprintf(table, "share that fits\t%.3f of all work, %.3f of the rank's\n", inputs.Fits, inputs.RankFits)
		fmt.Fprintf(table, "demand\t%.1f tokens a second at a daemon; share of the organisation %.3f, fair %.3f\n", inputs.Demand, inputs.Share, inputs.FairShare)
		fmt.Fprintf(table, "capacity\t%.0f streams\n", inputs.Capacity)
	}
	fmt.Fprintf(table, "load\t%.0f running, %.0f waiting; mean run time %s; %d daemons\n",
		inputs.Running, inputs.Waiting, inputs.RunTime.Round(explainRounding), inputs.Daemons)
	fmt.Fprintf(table, "oldest report\t%s\n", inputs.OldestReport.Round(explainRounding))
	if len(inputs.Heads) == 0 {
		return
	}
	fmt.Fprintf(table, "\nheads\nADDRESS\tRUNNING\tWAITING\tSLOTS\tAGE OF REPORT\n")
	for _, head := range inputs.Heads {
		if !head.Reported {
			fmt.Fprintf(table, "%s\t-\t-\t%d\tno report\n", head.Address, head.Slots)
			continue
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%s\n", head.Address, head.Running, head.Waiting, head.Slots, head.Age.Round(explainRounding))
	}
}

// writeCandidates writes the pipelines that were compared.
func writeCandidates(table *tabwriter.Writer, preview dragonflyhatch.Preview) {
	fmt.Fprintf(table, "\ncompared\nCHOSEN\tSITE\tCOST\tHEAD\tWAIT\tVERSION\tSTAGES\n")
	for _, candidate := range preview.Candidates {
		chosen, site := "-", candidate.Site
		if candidate.Chosen {
			chosen = "yes"
		}
		if site == "" {
			site = "several"
		}
		var stages []string
		for _, stage := range candidate.Stages {
			stages = append(stages, fmt.Sprintf("%s[%d,%d)", stage.Address, stage.Layers.First, stage.Layers.End))
		}
		fmt.Fprintf(table, "%s\t%s\t%.4f\t%s\t%s\t%d\t%s\n", chosen, site, candidate.Cost, candidate.Head,
			candidate.Wait.Round(explainRounding), candidate.Version, orNone(strings.Join(stages, " ")))
	}
	if preview.UsesFull {
		fmt.Fprintln(table, "engines that are full or pausing were considered, as there is no pipeline without them")
	}
}

// orNone returns the text, or "none" if it is empty.
func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

// orUnknown returns the duration as text, or "unknown" if it is 0.
func orUnknown(duration time.Duration) string {
	if duration == 0 {
		return "unknown"
	}
	return duration.Round(explainRounding).String()
}
