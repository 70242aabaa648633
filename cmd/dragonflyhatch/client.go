package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"dragonflyhatch"
	"dragonflyhatch/hatchentry"
)

// operatorTimeout bounds one call to an operator listener.
const operatorTimeout = 15 * time.Second

// operatorFlags returns the flags of every command that calls a daemon.
func operatorFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{
			Name: "host", Required: true, Sources: cli.EnvVars("DRAGONFLYHATCH_HOST"),
			Usage: "operator address of any daemon, as IP:PORT",
		},
		&cli.StringFlag{
			Name: "token", Required: true, Sources: cli.EnvVars("DRAGONFLYHATCH_TOKEN"),
			Usage: "operator's bearer token; preferably set in the environment",
		},
	}, more...)
}

// operatorClient is a client of a daemon's operator listener.
type operatorClient struct {
	base  string
	token string
}

func newOperatorClient(command *cli.Command) *operatorClient {
	return &operatorClient{base: "http://" + command.String("host"), token: command.String("token")}
}

// get sends a query and decodes the response.
func (client *operatorClient) get(ctx context.Context, path string, into any) error {
	return client.do(ctx, http.MethodGet, path, nil, into)
}

// update sends a command and decodes the response.
func (client *operatorClient) update(ctx context.Context, path string, body, into any) error {
	return client.do(ctx, http.MethodPut, path, body, into)
}

func (client *operatorClient) do(ctx context.Context, method, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, client.base+path, bytes.NewReader(text))
	if err != nil {
		return usageError{err}
	}
	request.Header.Set("Authorization", "Bearer "+client.token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	reply, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return refusalError(response.Status, reply)
	}
	return json.Unmarshal(reply, into)
}

// problem is the body of a refusal. Its Ran replaces the embedded one, which can
// only be encoded.
type problem struct {
	hatchentry.Problem
	Ran string `json:"ran"`
}

// refusalError returns the error for a response that is not OK.
func refusalError(status string, reply []byte) error {
	var refusal problem
	if err := json.Unmarshal(reply, &refusal); err != nil {
		return errors.Newf("status %s: %s", status, reply)
	}
	kind, known := dragonflyhatch.KindByName(refusal.Kind)
	if !known {
		return errors.Newf("status %s: %s", status, reply)
	}
	if len(refusal.Faults) > 0 {
		return refusedError{refusal.Faults}
	}
	return dragonflyhatch.Failf(kind, "%s (ran: %s)", refusal.Detail, refusal.Ran)
}

// printJSON writes a value to stdout as indented JSON.
func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
