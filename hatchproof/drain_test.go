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

// leavingWay is one way in which the fleet learns that an engine is leaving, or
// that it is back.
type leavingWay struct {
	name string
	say  func(fleet *fleet, engine int, leaving bool)
}

var leavingWays = []leavingWay{
	{"host list", func(fleet *fleet, engine int, leaving bool) {
		fleet.put(fleet.platform, "/standin/hosts", dragonflyhatch.ListedHost{Address: fleet.engines[engine], Leaving: leaving})
	}},
	{"operator", func(fleet *fleet, engine int, leaving bool) {
		order := hatchentry.DrainOrder{Address: fleet.engines[engine], Leaving: leaving}
		if status, answer := fleet.put(fleet.hosts[0].settings.OperatorAddress, "/v1/drains", order); status != http.StatusOK {
			fleet.t.Errorf("drain refused: %s", answer)
		}
	}},
	{"its own answer", func(fleet *fleet, engine int, leaving bool) {
		fleet.engineFaults(engine, hatchstandin.EngineFaults{Leaving: leaving})
	}},
	{"its own answer, the platform out", func(fleet *fleet, engine int, leaving bool) {
		fleet.platformFaults(hatchstandin.PlatformFaults{Outage: true})
		fleet.engineFaults(engine, hatchstandin.EngineFaults{Leaving: leaving})
	}},
}

// known says whether every host knows that the engine is, or is not, leaving.
func (fleet *fleet) known(engine int, leaving bool) bool {
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

// awaitKnown waits until every host knows, and returns how long that took.
func (fleet *fleet) awaitKnown(engine int, leaving bool) time.Duration {
	begun := time.Now()
	for range 1500 {
		if fleet.known(engine, leaving) {
			return time.Since(begun)
		}
		time.Sleep(20 * time.Millisecond)
	}
	fleet.t.Errorf("not all hosts know that engine %d leaving is %v", engine, leaving)
	return time.Since(begun)
}

func (fleet *fleet) requestsAt(engine int) int {
	var count hatchstandin.StreamCount
	if err := fleet.get(fleet.engines[engine], "/standin/streams", &count); err != nil {
		fleet.t.Error(err)
	}
	return count.Requests
}

// TestLeavingEngineGetsNoNewWork has an engine leave and come back, known in one
// way after the other, under load.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	for _, way := range leavingWays {
		t.Run(way.name, func(t *testing.T) {
			fleet := startFleet(t, 4, 2)
			shape := hatchload.Shape{Seed: 8, Duration: 6 * time.Second, Rate: 60, MaxTokens: 16}
			report := fleet.load(shape, func() {
				time.Sleep(time.Second)
				way.say(fleet, 0, true)
				t.Logf("known everywhere after %v", fleet.awaitKnown(0, true))
				time.Sleep(100 * time.Millisecond) // requests on their way
				before := fleet.requestsAt(0)
				time.Sleep(time.Second)
				if after := fleet.requestsAt(0); after != before {
					t.Errorf("%d new requests at a leaving engine", after-before)
				}
				way.say(fleet, 0, false)
				t.Logf("back everywhere after %v", fleet.awaitKnown(0, false))
				for range 500 {
					if fleet.requestsAt(0) > before {
						return
					}
					time.Sleep(20 * time.Millisecond)
				}
				t.Error("an engine that is back gets no work")
			})
			fleet.wantKept(report)
			if report.Outcomes["served"] != report.Sent {
				t.Errorf("%d of %d were served", report.Outcomes["served"], report.Sent)
			}
		})
	}
}
