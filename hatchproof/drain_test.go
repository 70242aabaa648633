package hatchproof

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"dragonflyhatch"
	"dragonflyhatch/hatchentry"
	"dragonflyhatch/hatchload"
	"dragonflyhatch/hatchstandin"
)

// drainSource is a way in which the fleet learns that an engine is leaving, or that
// it is back.
type drainSource struct {
	name     string
	announce func(fleet *fleet, engine int, leaving bool)
}

var drainSources = []drainSource{
	{"host list", func(fleet *fleet, engine int, leaving bool) {
		fleet.put(fleet.platform, "/standin/hosts", dragonflyhatch.ListedHost{Address: fleet.engines[engine], Leaving: leaving})
	}},
	{"operator", func(fleet *fleet, engine int, leaving bool) {
		command := hatchentry.DrainChange{Address: fleet.engines[engine], Leaving: leaving}
		if status, body := fleet.put(fleet.hosts[0].settings.OperatorAddress, "/v1/drains", command); status != http.StatusOK {
			fleet.t.Errorf("drain command refused: %s", body)
		}
	}},
	{"engine response", func(fleet *fleet, engine int, leaving bool) {
		fleet.setEngineFaults(engine, hatchstandin.EngineFaults{Leaving: leaving})
	}},
	{"engine response during a platform outage", func(fleet *fleet, engine int, leaving bool) {
		fleet.setPlatformFaults(hatchstandin.PlatformFaults{Outage: true})
		fleet.setEngineFaults(engine, hatchstandin.EngineFaults{Leaving: leaving})
	}},
}

// isDrainKnown reports whether every host regards the engine as leaving or, if leaving
// is false, as not leaving.
func (fleet *fleet) isDrainKnown(engine int, leaving bool) bool {
	for _, host := range fleet.hosts {
		var status hatchentry.Status
		if err := fleet.get(host.settings.OperatorAddress, "/v1/status", &status); err != nil {
			return false
		}
		if slices.ContainsFunc(status.Drains, func(drain dragonflyhatch.Drain) bool {
			return drain.Address == fleet.engines[engine] && drain.Leaving
		}) != leaving {
			return false
		}
	}
	return true
}

// awaitDrainKnown waits until isDrainKnown returns true, and returns how long that
// took.
func (fleet *fleet) awaitDrainKnown(engine int, leaving bool) time.Duration {
	started := time.Now()
	for range 1500 {
		if fleet.isDrainKnown(engine, leaving) {
			return time.Since(started)
		}
		time.Sleep(20 * time.Millisecond)
	}
	fleet.t.Errorf("engine %d: not all hosts have leaving=%v", engine, leaving)
	return time.Since(started)
}

// requestCount returns the number of requests that an engine has received.
func (fleet *fleet) requestCount(engine int) int {
	var count hatchstandin.StreamCounts
	if err := fleet.get(fleet.engines[engine], "/standin/streams", &count); err != nil {
		fleet.t.Error(err)
	}
	return count.Requests
}

// TestLeavingEngineGetsNoNewRequests marks an engine as leaving and as back under
// load, through each drain source. A leaving engine must get no new requests, and
// all requests must be served.
func TestLeavingEngineGetsNoNewRequests(t *testing.T) {
	for _, source := range drainSources {
		t.Run(source.name, func(t *testing.T) {
			fleet := startFleet(t, 4, 2)
			trace := hatchload.TraceSpec{Seed: 8, Duration: 6 * time.Second, Rate: 60, MaxTokens: 16}
			report := fleet.load(trace, func() {
				time.Sleep(time.Second)
				source.announce(fleet, 0, true)
				t.Logf("leaving at all hosts after %v", fleet.awaitDrainKnown(0, true))
				time.Sleep(100 * time.Millisecond) // for requests in transit
				before := fleet.requestCount(0)
				time.Sleep(time.Second)
				if after := fleet.requestCount(0); after != before {
					t.Errorf("a leaving engine got %d new requests", after-before)
				}
				source.announce(fleet, 0, false)
				t.Logf("back at all hosts after %v", fleet.awaitDrainKnown(0, false))
				for range 500 {
					if fleet.requestCount(0) > before {
						return
					}
					time.Sleep(20 * time.Millisecond)
				}
				t.Error("an engine that is back got no requests")
			})
			fleet.checkReport(report)
			if report.Outcomes["served"] != report.Sent {
				t.Errorf("%d of %d requests were served", report.Outcomes["served"], report.Sent)
			}
		})
	}
}
