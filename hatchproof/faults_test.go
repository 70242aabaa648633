package hatchproof

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"dragonflyhatch/hatchload"
	"dragonflyhatch/hatchstandin"
)

// orders is a load of orders above all.
func orders(seed uint64, length time.Duration) hatchload.Shape {
	return hatchload.Shape{Seed: seed, Duration: length, Rate: 120, Orders: 0.9, Reads: 0.1}
}

// answers is a load of completions above all.
func answers(seed uint64, length time.Duration) hatchload.Shape {
	return hatchload.Shape{Seed: seed, Duration: length, Rate: 60, Reads: 0.1}
}

func TestOrdersWhileHostsAreKilled(t *testing.T) {
	fleet := startFleet(t, 5, 1)
	fleet.wantKept(fleet.load(orders(1, 4*time.Second), func() {
		for _, host := range fleet.hosts[:2] {
			time.Sleep(time.Second)
			host.signal(syscall.SIGKILL)
		}
	}))
}

func TestOrdersWhileHostsAreFrozen(t *testing.T) {
	fleet := startFleet(t, 4, 1)
	fleet.wantKept(fleet.load(orders(2, 5*time.Second), func() {
		for _, host := range fleet.hosts[:3] {
			time.Sleep(300 * time.Millisecond)
			host.signal(syscall.SIGSTOP)
			time.Sleep(1200 * time.Millisecond)
			host.signal(syscall.SIGCONT)
		}
	}))
}

func TestOrdersWhileThePlatformIsOut(t *testing.T) {
	fleet := startFleet(t, 4, 1)
	fleet.wantKept(fleet.load(orders(3, 4*time.Second), func() {
		time.Sleep(500 * time.Millisecond)
		fleet.platformFaults(hatchstandin.PlatformFaults{LoseReplies: 20})
		time.Sleep(time.Second)
		fleet.platformFaults(hatchstandin.PlatformFaults{Outage: true})
		time.Sleep(time.Second)
		fleet.platformFaults(hatchstandin.PlatformFaults{Delay: hatchstandin.Duration(200 * time.Millisecond)})
		time.Sleep(time.Second)
		fleet.platformFaults(hatchstandin.PlatformFaults{})
	}))
}

func TestOrdersWhileTheServiceFails(t *testing.T) {
	fleet := startFleet(t, 3, 1)
	fleet.wantKept(fleet.load(orders(4, 3*time.Second), func() {
		for _, faults := range []hatchstandin.ServiceFaults{
			{LoseReply: true}, {Refuse: true}, {Delay: hatchstandin.Duration(300 * time.Millisecond)}, {Freeze: true}, {},
		} {
			time.Sleep(400 * time.Millisecond)
			fleet.serviceFaults(faults)
		}
	}))
}

func TestAnswersWhileEnginesFail(t *testing.T) {
	fleet := startFleet(t, 3, 3)
	fleet.wantKept(fleet.load(answers(5, 5*time.Second), func() {
		for i, faults := range []hatchstandin.EngineFaults{
			{Dead: true}, {Frozen: true}, {SilenceOpen: true}, {Leaving: true},
		} {
			time.Sleep(500 * time.Millisecond)
			fleet.engineFaults(i, faults)
			time.Sleep(600 * time.Millisecond)
			fleet.engineFaults(i, hatchstandin.EngineFaults{})
		}
	}))
	fleet.checkSteps()
}

// checkSteps wants each attempt to have run each layer at most once for each
// token, by the engines' own record.
func (fleet *fleet) checkSteps() {
	fleet.t.Helper()
	ran := make(map[hatchstandin.Step]int)
	for _, engine := range fleet.engines {
		var steps []hatchstandin.Step
		if err := fleet.get(engine, "/standin/steps", &steps); err != nil {
			fleet.t.Error(err)
		}
		for _, step := range steps {
			if ran[step]++; ran[step] > 1 {
				fleet.t.Fatalf("ran %d times: %+v", ran[step], step)
			}
		}
	}
	fleet.t.Logf("%d layer runs, each once", len(ran))
}

func TestAnswersWhileHostsAreKilled(t *testing.T) {
	fleet := startFleet(t, 4, 2)
	report := fleet.load(answers(6, 4*time.Second), func() {
		time.Sleep(time.Second)
		fleet.hosts[0].signal(syscall.SIGKILL)
		time.Sleep(time.Second)
		fleet.hosts[1].signal(syscall.SIGSTOP)
		time.Sleep(3 * time.Second)
		fleet.hosts[1].signal(syscall.SIGCONT)
	})
	fleet.wantKept(report)
	fleet.checkSteps()
	if report.Outcomes["served"] != report.Sent {
		t.Errorf("%d of %d were served", report.Outcomes["served"], report.Sent)
	}
}

// TestPlannedStopsCutNothing stops and restarts each host in turn under load;
// callers keep old addresses for as long as they may.
func TestPlannedStopsCutNothing(t *testing.T) {
	fleet := startFleet(t, 4, 2)
	shape := answers(7, 9*time.Second)
	shape.Orders = 0.3
	report := fleet.load(shape, func() {
		for _, host := range fleet.hosts {
			time.Sleep(300 * time.Millisecond)
			host.signal(syscall.SIGTERM)
			if err := <-host.ended; err != nil {
				t.Errorf("%s did not stop gracefully: %v", host.settings.Host, err)
			}
			fleet.startHost(host)
			fleet.await(host.settings.OperatorAddress, "/readyz")
		}
	})
	fleet.wantKept(report)
	if report.Outcomes["served"] != report.Sent || report.Reconnects > 0 {
		t.Errorf("%d of %d were served, with %d reconnects", report.Outcomes["served"], report.Sent, report.Reconnects)
	}
}

// TestStopBoundIsLogged stops a host whose answers take longer than its stop
// bound: each request that this cuts is named in the log, and the exit code
// tells.
func TestStopBoundIsLogged(t *testing.T) {
	spec := smallFleet(2, 1)
	spec.intervals = []time.Duration{300 * time.Millisecond}
	spec.stopBound = 700 * time.Millisecond
	fleet := startSpec(t, spec)
	stopped := fleet.hosts[0]
	report := fleet.load(hatchload.Shape{Seed: 9, Duration: time.Second, Rate: 40}, func() {
		time.Sleep(time.Second)
		stopped.signal(syscall.SIGTERM)
		if err := <-stopped.ended; err == nil {
			t.Error("a stop that cut requests ended as if it had not")
		}
	})
	if faults := report.Faults(); faults > 0 {
		t.Errorf("%d promises were broken", faults)
	}
	text, err := os.ReadFile(stopped.log)
	if err != nil {
		t.Fatal(err)
	}
	if cut := strings.Count(string(text), "stop cut a request"); cut == 0 {
		t.Error("the log names no request that was cut")
	}
}
