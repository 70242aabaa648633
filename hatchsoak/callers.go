package hatchsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"dragonflyhatch/hatchstandin"
)

const (
	callersPerSite = 4
	// callPause is the mean pause between two requests of a caller.
	callPause = 60 * time.Millisecond
	// draftTime and plainTime are how long callers wait for an answer, as long as
	// the routes allow.
	draftTime = 8 * time.Second
	plainTime = 3 * time.Second
	// markerPause is the pause between two looks at the configuration in force.
	markerPause = 150 * time.Millisecond
)

// ids numbers the requests of the process.
var ids atomic.Int64

func newID() string { return fmt.Sprintf("r%08d", ids.Add(1)) }

// requestOf returns a request of the class.
func requestOf(class class, version int) hatchstandin.CallerRequest {
	sent := hatchstandin.CallerRequest{ID: newID(), Method: "GET", TimeLeft: plainTime}
	switch class {
	case draft:
		sent.Method, sent.Path, sent.Tokens, sent.TimeLeft = "POST", "/draft/x", "10,120", draftTime
	case order:
		sent.Method, sent.Path = "POST", "/order/x"
	case status:
		sent.Path = "/status/x"
	case marker:
		sent.Path = markerPath(version)
	}
	return sent
}

// call sends a request to the machine's daemon and keeps what came of it.
func (run *run) call(ctx context.Context, caller *hatchstandin.Caller, address string, class class, version int) hatchstandin.CallerAnswer {
	daemon := run.daemonAt(address)
	sent := requestOf(class, version)
	service := deskService
	if class == draft {
		service = modelService
	}
	run.checker.asked(service)
	lifetime := daemon.lifetime()
	answer := caller.Call(ctx, address, sent)
	if ctx.Err() == nil {
		run.checker.answered(sent.ID, record{class, version, daemon.number, lifetime, answer, sent.TimeLeft})
	}
	return answer
}

// callLoop is a caller that keeps to one address while that serves it and is in
// the directory's answer, until ctx is done. Some keep an answer three times as
// long as it says.
func (run *run) callLoop(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(run.seed, uint64(number)))
	caller := hatchstandin.NewCaller(callerHost, sites[number%len(sites)], tenantKey)
	defer caller.Close()
	var addresses []string
	var until time.Time
	address := ""
	for ctx.Err() == nil {
		if time.Now().After(until) {
			if found, kept, err := caller.Resolve(ctx, run.directories(random)); err == nil {
				addresses, until = found, time.Now().Add(kept*time.Duration(1+2*(number%2)))
				address = keep(address, addresses, random)
			}
		}
		if address != "" {
			answer := run.call(ctx, caller, address, []class{draft, draft, order, status}[random.IntN(4)], 0)
			if answer.Status == 0 && len(addresses) > 0 {
				address = addresses[random.IntN(len(addresses))]
			}
			comeBack(ctx, answer)
		}
		sleep(ctx, callPause/2+time.Duration(random.Int64N(int64(callPause))))
	}
}

// keep returns the address if it is among the addresses, and else one of them.
func keep(address string, addresses []string, random *rand.Rand) string {
	if strings.Contains(strings.Join(addresses, " "), address) && address != "" {
		return address
	}
	return addresses[random.IntN(len(addresses))]
}

// comeBack waits as long as a refusal says.
func comeBack(ctx context.Context, answer hatchstandin.CallerAnswer) {
	if seconds, err := strconv.ParseFloat(answer.ComeBack, 64); err == nil {
		sleep(ctx, time.Duration(seconds*float64(time.Second)))
	}
}

// markerLoop looks at which configuration is in force at the daemon until ctx is
// done.
func (run *run) markerLoop(ctx context.Context, daemon *daemon) {
	caller := hatchstandin.NewCaller(callerHost, daemon.settings.Site, tenantKey)
	defer caller.Close()
	for ctx.Err() == nil {
		version := run.backends.current()
		run.call(ctx, caller, daemon.settings.CallerAddress, marker, version)
		if version > 1 {
			run.call(ctx, caller, daemon.settings.CallerAddress, marker, version-1)
		}
		sleep(ctx, markerPause)
	}
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}
