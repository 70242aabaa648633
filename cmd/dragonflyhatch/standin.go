package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"
	"github.com/tailscale/hujson"
	"github.com/urfave/cli/v3"

	"dragonflyhatch/hatchstandin"
)

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run a stand-in for a system that the router depends on, for tests",
		Description: "Each stand-in implements the published protocol of the system it replaces. PUT /standin/faults\n" +
			"injects faults; see the package hatchstandin for the fields.",
		Commands: []*cli.Command{
			{
				Name:      "platform",
				Usage:     "the object API and the host list",
				ArgsUsage: "ADDRESS",
				Flags: []cli.Flag{
					&cli.DurationFlag{Name: "host-lag", Usage: "delay after which the host list shows a change"},
				},
				Action: func(ctx context.Context, command *cli.Command) error {
					args, err := exactArguments(command, "ADDRESS")
					if err != nil {
						return err
					}
					platform := hatchstandin.NewPlatform(hatchstandin.WithHostLag(command.Duration("host-lag")))
					return serveStandins(ctx, []standin{{args[0], platform.Handler()}})
				},
			},
			{
				Name:      "engine",
				Usage:     "model engines that hold ranges of layers",
				ArgsUsage: "SPECS",
				Description: "SPECS is a file of JSON with comments: a list of engines, each with its address\n" +
					"and the layers it holds.",
				Action: runStandinEngines,
			},
			{
				Name:      "service",
				Usage:     "a plain service that counts how often each key ran",
				ArgsUsage: "ADDRESS...",
				Action: func(ctx context.Context, command *cli.Command) error {
					service := hatchstandin.NewService()
					var standins []standin
					for _, address := range command.Args().Slice() {
						standins = append(standins, standin{address, service.Handler()})
					}
					return serveStandins(ctx, standins)
				},
			},
		},
	}
}

// engineSpec is an entry of a SPECS file.
type engineSpec struct {
	Address string `json:"address"`
	hatchstandin.EngineSpec
}

func runStandinEngines(ctx context.Context, command *cli.Command) error {
	args, err := exactArguments(command, "SPECS")
	if err != nil {
		return err
	}
	text, err := os.ReadFile(args[0])
	if err != nil {
		return usageError{err}
	}
	if text, err = hujson.Standardize(text); err != nil {
		return refusedError{err}
	}
	var specs []engineSpec
	if err := json.Unmarshal(text, &specs); err != nil {
		return refusedError{err}
	}
	var standins []standin
	for _, spec := range specs {
		standins = append(standins, standin{spec.Address, hatchstandin.NewEngine(spec.EngineSpec).Handler()})
	}
	return serveStandins(ctx, standins)
}

// standin is the handler of a stand-in and the address to serve it at.
type standin struct {
	address string
	handler http.Handler
}

// serveStandins serves the stand-ins until SIGTERM or SIGINT.
func serveStandins(ctx context.Context, standins []standin) error {
	if len(standins) == 0 {
		return usageError{errors.New("no address to listen on")}
	}
	stop, _, release := stopContexts(ctx)
	defer release()
	group := pool.New().WithContext(stop).WithCancelOnError()
	for _, standin := range standins {
		listener, err := net.Listen("tcp", standin.address)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: standin.handler, ReadHeaderTimeout: 10 * time.Second}
		group.Go(func(ctx context.Context) error {
			go func() {
				<-ctx.Done()
				server.Close()
			}()
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	return group.Wait()
}
