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
	// callInterval is the mean time between two requests of a caller.
	callInterval = 60 * time.Millisecond
	// streamTimeout and plainTimeout are how long callers wait for a response. They
	// equal the timeouts of the routes.
	streamTimeout = 8 * time.Second
	plainTimeout  = 3 * time.Second
	// markerInterval is the time between two checks of the configuration in force.
	markerInterval = 150 * time.Millisecond
)

// lastID is the number of the last request id.
var lastID atomic.Int64

func newID() string { return fmt.Sprintf("r%08d", lastID.Add(1)) }

// newRequest returns a request of the class. The version is that of the
// configuration whose marker route is requested.
func newRequest(class class, version int) hatchstandin.CallerRequest {
	request := hatchstandin.CallerRequest{ID: newID(), Method: "GET", TimeLeft: plainTimeout}
	switch class {
	case classStream:
		request.Method, request.Path, request.TokenCounts, request.TimeLeft = "POST", "/draft/x", "10,120", streamTimeout
	case classOrder:
		request.Method, request.Path = "POST", "/order/x"
	case classStatus:
		request.Path = "/status/x"
	case classMarker:
		request.Path = markerPath(version)
	}
	return request
}

// call sends a request to the daemon at the address and records the response.
func (run *run) call(ctx context.Context, caller *hatchstandin.Caller, address string, class class, version int) hatchstandin.CallerResponse {
	daemon := run.daemonAt(address)
	request := newRequest(class, version)
	service := plainService
	if class == classStream {
		service = modelService
	}
	run.checker.recordRequest(service)
	processNumber := daemon.processNumber()
	response := caller.Call(ctx, address, request)
	if ctx.Err() == nil {
		run.checker.recordResponse(request.ID, record{class, version, daemon.number, processNumber, response, request.TimeLeft})
	}
	return response
}

// callLoop sends requests as one caller until ctx is done. It stays at one address
// as long as that responds and the directory lists it. Odd-numbered callers keep
// the directory's response for three times its TTL.
func (run *run) callLoop(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(run.seed, uint64(number)))
	caller := hatchstandin.NewCaller(callerHost, sites[number%len(sites)], tenantKey)
	defer caller.Close()
	var addresses []string
	var expires time.Time
	address := ""
	for ctx.Err() == nil {
		if time.Now().After(expires) {
			if resolved, ttl, err := caller.Resolve(ctx, run.directoryAddresses(random)); err == nil {
				addresses, expires = resolved, time.Now().Add(ttl*time.Duration(1+2*(number%2)))
				address = chooseAddress(address, addresses, random)
			}
		}
		if address != "" {
			response := run.call(ctx, caller, address, []class{classStream, classStream, classOrder, classStatus}[random.IntN(4)], 0)
			if response.Status == 0 && len(addresses) > 0 {
				address = addresses[random.IntN(len(addresses))]
			}
			waitRetryAfter(ctx, response)
		}
		sleep(ctx, callInterval/2+time.Duration(random.Int64N(int64(callInterval))))
	}
}

// chooseAddress returns the address if it is among the addresses, and a random one
// of them otherwise.
func chooseAddress(address string, addresses []string, random *rand.Rand) string {
	if strings.Contains(strings.Join(addresses, " "), address) && address != "" {
		return address
	}
	return addresses[random.IntN(len(addresses))]
}

// waitRetryAfter waits for the time of the response's Retry-After header, if any.
func waitRetryAfter(ctx context.Context, response hatchstandin.CallerResponse) {
	if seconds, err := strconv.ParseFloat(response.RetryAfter, 64); err == nil {
		sleep(ctx, time.Duration(seconds*float64(time.Second)))
	}
}

// markerLoop requests the marker routes of the last two configurations from the
// daemon until ctx is done, to check which configuration is in force.
func (run *run) markerLoop(ctx context.Context, daemon *daemon) {
	caller := hatchstandin.NewCaller(callerHost, daemon.settings.Site, tenantKey)
	defer caller.Close()
	for ctx.Err() == nil {
		version := run.standins.configurationVersion()
		run.call(ctx, caller, daemon.settings.CallerAddress, classMarker, version)
		if version > 1 {
			run.call(ctx, caller, daemon.settings.CallerAddress, classMarker, version-1)
		}
		sleep(ctx, markerInterval)
	}
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}
