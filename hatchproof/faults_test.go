package hatchproof

import (
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"dragonflyhatch/hatchload"
	"dragonflyhatch/hatchstandin"
)

// orderLoad returns a load that consists mostly of orders.
func orderLoad(seed uint64, length time.Duration) hatchload.TraceSpec {
	return hatchload.TraceSpec{Seed: seed, Duration: length, Rate: 120, OrderFraction: 0.9, ReadFraction: 0.1}
}

// completionLoad returns a load that consists mostly of completions.
func completionLoad(seed uint64, length time.Duration) hatchload.TraceSpec {
	return hatchload.TraceSpec{Seed: seed, Duration: length, Rate: 60, ReadFraction: 0.1}
}

func TestOrdersWhileHostsAreKilled(t *testing.T) {
	fleet := startFleet(t, 5, 1)
	fleet.checkReport(fleet.load(orderLoad(1, 4*time.Second), func() {
		for _, host := range fleet.hosts[:2] {
			time.Sleep(time.Second)
			host.signal(syscall.SIGKILL)
		}
	}))
}

func TestOrdersWhileHostsAreFrozen(t *testing.T) {
	fleet := startFleet(t, 4, 1)
	fleet.checkReport(fleet.load(orderLoad(2, 5*time.Second), func() {
		for _, host := range fleet.hosts[:3] {
			time.Sleep(300 * time.Millisecond)
			host.signal(syscall.SIGSTOP)
			time.Sleep(1200 * time.Millisecond)
			host.signal(syscall.SIGCONT)
		}
	}))
}

func TestOrdersDuringPlatformOutage(t *testing.T) {
	fleet := startFleet(t, 4, 1)
	fleet.checkReport(fleet.load(orderLoad(3, 4*time.Second), func() {
		time.Sleep(500 * time.Millisecond)
		fleet.setPlatformFaults(hatchstandin.PlatformFaults{LoseReplies: 20})
		time.Sleep(time.Second)
		fleet.setPlatformFaults(hatchstandin.PlatformFaults{Outage: true})
		time.Sleep(time.Second)
		fleet.setPlatformFaults(hatchstandin.PlatformFaults{Delay: hatchstandin.Duration(200 * time.Millisecond)})
		time.Sleep(time.Second)
		fleet.setPlatformFaults(hatchstandin.PlatformFaults{})
	}))
}

func TestOrdersWhileTheServiceFails(t *testing.T) {
	fleet := startFleet(t, 3, 1)
	fleet.checkReport(fleet.load(orderLoad(4, 3*time.Second), func() {
		for _, faults := range []hatchstandin.ServiceFaults{
			{LoseReply: true}, {Refuse: true}, {Delay: hatchstandin.Duration(300 * time.Millisecond)}, {Freeze: true}, {},
		} {
			time.Sleep(400 * time.Millisecond)
			fleet.setServiceFaults(faults)
		}
	}))
}

func TestCompletionsWhileEnginesFail(t *testing.T) {
	fleet := startFleet(t, 3, 3)
	fleet.checkReport(fleet.load(completionLoad(5, 5*time.Second), func() {
		for i, faults := range []hatchstandin.EngineFaults{
			{Dead: true}, {Frozen: true}, {SilenceOpen: true}, {Leaving: true},
		} {
			time.Sleep(500 * time.Millisecond)
			fleet.setEngineFaults(i, faults)
			time.Sleep(600 * time.Millisecond)
			fleet.setEngineFaults(i, hatchstandin.EngineFaults{})
		}
	}))
	fleet.checkLayerRuns()
}

// checkLayerRuns checks in the engines' records that each attempt ran each layer at
// most once for each token.
func (fleet *fleet) checkLayerRuns() {
	fleet.t.Helper()
	ran := make(map[hatchstandin.Step]int)
	for _, engine := range fleet.engines {
		var steps []hatchstandin.Step
		if err := fleet.get(engine, "/standin/steps", &steps); err != nil {
			fleet.t.Error(err)
		}
		for _, step := range steps {
			if ran[step]++; ran[step] > 1 {
				fleet.t.Fatalf("layer ran %d times: %+v", ran[step], step)
			}
		}
	}
	fleet.t.Logf("%d layer runs, no repeats", len(ran))
}

func TestCompletionsWhileHostsAreKilled(t *testing.T) {
	fleet := startFleet(t, 4, 2)
	report := fleet.load(completionLoad(6, 4*time.Second), func() {
		time.Sleep(time.Second)
		fleet.hosts[0].signal(syscall.SIGKILL)
		time.Sleep(time.Second)
		fleet.hosts[1].signal(syscall.SIGSTOP)
		time.Sleep(3 * time.Second)
		fleet.hosts[1].signal(syscall.SIGCONT)
	})
	fleet.checkReport(report)
	fleet.checkLayerRuns()
	if report.Outcomes["served"] != report.Sent {
		t.Errorf("%d of %d requests were served", report.Outcomes["served"], report.Sent)
	}
}

// TestPlannedStopsCutNothing stops and restarts each host in turn under load, while
// callers keep using old addresses for as long as they are allowed to. Every request
// must be served, without a reconnect.
func TestPlannedStopsCutNothing(t *testing.T) {
	fleet := startFleet(t, 4, 2)
	trace := completionLoad(7, 9*time.Second)
	trace.OrderFraction = 0.3
	report := fleet.load(trace, func() {
		for _, host := range fleet.hosts {
			time.Sleep(300 * time.Millisecond)
			host.signal(syscall.SIGTERM)
			if err := <-host.exited; err != nil {
				t.Errorf("%s did not stop gracefully: %v", host.settings.Host, err)
			}
			fleet.startHost(host)
			fleet.awaitOK(host.settings.OperatorAddress, "/readyz")
		}
	})
	fleet.checkReport(report)
	if report.Outcomes["served"] != report.Sent || report.Reconnects > 0 {
		t.Errorf("%d of %d requests were served, with %d reconnects", report.Outcomes["served"], report.Sent, report.Reconnects)
	}
}

// TestStopWithUnusedConnections stops a host to which connections are open on which
// no byte was sent. Such a connection must not make the stop fail.
func TestStopWithUnusedConnections(t *testing.T) {
	fleet := startFleet(t, 2, 1)
	stopped := fleet.hosts[0]
	for _, address := range []string{stopped.settings.PeerAddress, stopped.settings.OperatorAddress} {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	stopped.signal(syscall.SIGTERM)
	if err := <-stopped.exited; err != nil {
		t.Errorf("%s did not stop gracefully: %v", stopped.settings.Host, err)
	}
}

// TestRequestsCutByStopAreLogged stops a host whose completions take longer than its
// stop bound. The host must log the requests that this cuts, and exit with an error.
func TestRequestsCutByStopAreLogged(t *testing.T) {
	spec := smallFleet(2, 1)
	spec.intervals = []time.Duration{300 * time.Millisecond}
	spec.stopBound = 700 * time.Millisecond
	fleet := startFleetFromSpec(t, spec)
	stopped := fleet.hosts[0]
	report := fleet.load(hatchload.TraceSpec{Seed: 9, Duration: time.Second, Rate: 40}, func() {
		time.Sleep(time.Second)
		stopped.signal(syscall.SIGTERM)
		if err := <-stopped.exited; err == nil {
			t.Error("the host cut requests but exited without an error")
		}
	})
	if violations := report.Violations(); violations > 0 {
		t.Errorf("%d guarantees were violated", violations)
	}
	text, err := os.ReadFile(stopped.logFile)
	if err != nil {
		t.Fatal(err)
	}
	if cut := strings.Count(string(text), "stop cut a request"); cut == 0 {
		t.Error("the log lists no request that was cut")
	}
}
