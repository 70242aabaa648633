package hatchproof

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"dragonflyhatch"
	"dragonflyhatch/hatchconfig"
	"dragonflyhatch/hatchload"
	"dragonflyhatch/hatchstandin"
)

// measuredFleetSpec returns a fleet of 12 daemons, 40 engines of four speeds and a
// service, with 10 organisations of which a few are large.
func measuredFleetSpec(policy hatchconfig.Policy) fleetSpec {
	return fleetSpec{
		hosts: 12, pipelines: 20, slots: 6, organisations: 10, deadline: "4s", policy: policy, stopBound: 20 * time.Second,
		intervals: []time.Duration{30 * time.Millisecond, 40 * time.Millisecond, 60 * time.Millisecond, 80 * time.Millisecond},
	}
}

// meanTokens is the mean length of the completions of measuredTrace, in tokens.
const meanTokens = 21.5

// measuredTrace returns a load of the given multiple of the fleet's capacity.
func measuredTrace(fleet *fleet, load float64) hatchload.TraceSpec {
	rate := load * fleet.capacity() / meanTokens
	return hatchload.TraceSpec{Seed: 42, Duration: *measureFor, Rate: rate, OrderFraction: 0.02, ReadFraction: 0.02, MaxTokens: 48}
}

func skipUnlessMeasuring(t *testing.T, measurement string) {
	t.Helper()
	if *measure != measurement {
		t.Skipf("runs only with -measure=%s", measurement)
	}
}

// TestMeasureLoad prints the throughput relative to its upper bound at several loads,
// for the router's policy and for simpler ones.
func TestMeasureLoad(t *testing.T) {
	skipUnlessMeasuring(t, "load")
	policies := []struct {
		name   string
		policy hatchconfig.Policy
	}{
		{"cost and admission", hatchconfig.Policy{}},
		{"round robin, no admission", hatchconfig.Policy{Choice: dragonflyhatch.ChooseRoundRobin, DisableAdmission: true}},
		{"least in flight, no admission", hatchconfig.Policy{Choice: dragonflyhatch.ChooseLeastInFlight, DisableAdmission: true}},
		{"cost, no admission", hatchconfig.Policy{DisableAdmission: true}},
	}
	for _, load := range []float64{0.5, 0.9, 1.2, 2} {
		for _, policy := range policies {
			t.Run(fmt.Sprintf("%v at %v", policy.name, load), func(t *testing.T) {
				fleet := startFleetFromSpec(t, measuredFleetSpec(policy.policy))
				var busy, queued float64
				report := fleet.load(measuredTrace(fleet, load), func() { busy, queued = fleet.sampleEngines(*measureFor) })
				t.Logf("%.1f of %d slots busy on average, %.1f streams queued at the engines", busy, fleet.spec.pipelines*fleet.spec.slots, queued)
				fmt.Printf("| %v | %s | %.1f%% | %.1f%% | %d | %d | %v / %v / %v | %v / %v |\n", load, policy.name,
					100*float64(report.InTimeTokens)/float64(report.TokenBound), 100*float64(report.InTime)/float64(report.Sent),
					report.Late, report.Sent-report.InTime-report.Late,
					report.FirstToken.P50.Round(time.Millisecond), report.FirstToken.P95.Round(time.Millisecond), report.FirstToken.P99.Round(time.Millisecond),
					report.BetweenTokens.P95.Round(time.Millisecond), report.BetweenTokens.P99.Round(time.Millisecond))
			})
		}
	}
}

// sampleEngines returns the average numbers of slots in use and of streams queued at
// all pipeline heads, sampled over the length of the load. An engine stand-in reports
// the number of queued streams as QueuedTokens.
func (fleet *fleet) sampleEngines(length time.Duration) (busy, queued float64) {
	samples := 0.0
	sumsByInterval := make(map[time.Duration][2]float64) // of busy slots and queued streams
	defer func() {
		for interval, sums := range sumsByInterval {
			fleet.t.Logf("token interval %v: %.1f slots busy, %.1f streams queued", interval, sums[0]/samples, sums[1]/samples)
		}
	}()
	for end := time.Now().Add(length); time.Now().Before(end); samples++ {
		for i := 0; i < len(fleet.engines); i += 2 {
			var report dragonflyhatch.LoadReport
			if err := fleet.get(fleet.engines[i], "/v1/load", &report); err == nil {
				interval := fleet.tokenInterval(i / 2)
				sumsByInterval[interval] = [2]float64{sumsByInterval[interval][0] + float64(report.Streams), sumsByInterval[interval][1] + float64(report.QueuedTokens)}
				busy += float64(report.Streams)
				queued += float64(report.QueuedTokens)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return busy / samples, queued / samples
}

// TestMeasureRecovery prints the longest stalls that callers observe for each kind
// of failure, at half of the fleet's capacity.
func TestMeasureRecovery(t *testing.T) {
	skipUnlessMeasuring(t, "recovery")
	engine := func(faults hatchstandin.EngineFaults) func(*fleet) {
		return func(fleet *fleet) { fleet.setEngineFaults(0, faults) }
	}
	failures := []struct {
		name string
		fail func(*fleet)
	}{
		{"nothing", func(*fleet) {}},
		{"head engine killed", engine(hatchstandin.EngineFaults{Dead: true})},
		{"head engine frozen", engine(hatchstandin.EngineFaults{Frozen: true})},
		{"second stage killed", func(fleet *fleet) { fleet.setEngineFaults(1, hatchstandin.EngineFaults{Dead: true}) }},
		{"second stage frozen", func(fleet *fleet) { fleet.setEngineFaults(1, hatchstandin.EngineFaults{Frozen: true}) }},
		{"open connections silenced", engine(hatchstandin.EngineFaults{SilenceOpen: true})},
		{"engine slowed tenfold", engine(hatchstandin.EngineFaults{SlowdownPercent: 900})},
		{"entry host killed", func(fleet *fleet) { fleet.hosts[0].signal(syscall.SIGKILL) }},
		{"platform outage of 3 s", func(fleet *fleet) {
			fleet.setPlatformFaults(hatchstandin.PlatformFaults{Outage: true})
			time.Sleep(3 * time.Second)
			fleet.setPlatformFaults(hatchstandin.PlatformFaults{})
		}},
		{"all hosts of a site killed", func(fleet *fleet) {
			for i := 0; i < len(fleet.hosts); i += 2 {
				fleet.hosts[i].signal(syscall.SIGKILL)
			}
		}},
	}
	for _, failure := range failures {
		t.Run(failure.name, func(t *testing.T) {
			fleet := startFleetFromSpec(t, measuredFleetSpec(hatchconfig.Policy{}))
			report := fleet.load(measuredTrace(fleet, 0.5), func() {
				time.Sleep(4 * time.Second)
				failure.fail(fleet)
			})
			fmt.Printf("| %s | %.1f%% | %v / %v / %v | %d | %d |\n", failure.name, 100*float64(report.InTime)/float64(report.Sent),
				report.LongestStall.P95.Round(time.Millisecond), report.LongestStall.P99.Round(time.Millisecond), report.LongestStall.Max.Round(time.Millisecond),
				report.Reconnects, report.Violations())
		})
	}
}

// controlMetrics holds the metrics of a daemon's control-plane traffic and CPU time.
type controlMetrics struct {
	PeerBytes     metric `json:"peers.bytes"`
	PlatformBytes metric `json:"platform.bytes"`
	Reads         metric `json:"platform.reads"`
	Writes        metric `json:"platform.writes"`
	Watches       metric `json:"platform.watches"`
	CPU           metric `json:"process.cpuMilliseconds"`
}

type metric struct {
	Count float64 `json:"count"`
	Value float64 `json:"value"`
}

// sumControlMetrics returns the sums of the metrics of all hosts.
func (fleet *fleet) sumControlMetrics() controlMetrics {
	var sum controlMetrics
	for _, host := range fleet.hosts {
		var metrics controlMetrics
		if err := fleet.get(host.settings.OperatorAddress, "/metrics", &metrics); err != nil {
			fleet.t.Fatal(err)
		}
		sum.PeerBytes.Count += metrics.PeerBytes.Count
		sum.PlatformBytes.Count += metrics.PlatformBytes.Count
		sum.Reads.Count += metrics.Reads.Count
		sum.Writes.Count += metrics.Writes.Count
		sum.Watches.Count += metrics.Watches.Count
		sum.CPU.Value += metrics.CPU.Value
	}
	return sum
}

// TestMeasureControl prints the control-plane traffic and CPU time of an idle fleet,
// for several fleet sizes.
func TestMeasureControl(t *testing.T) {
	skipUnlessMeasuring(t, "control")
	for _, hosts := range []int{8, 16, 32, 64} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			spec := smallFleet(hosts, 4)
			fleet := startFleetFromSpec(t, spec)
			time.Sleep(5 * time.Second)
			before := fleet.sumControlMetrics()
			time.Sleep(*measureFor)
			after := fleet.sumControlMetrics()
			hostSeconds := float64(hosts) * measureFor.Seconds()
			fmt.Printf("| %d | %.0f B/s | %.0f B/s | %.2f%% | %.1f/s | %.2f/s | %.2f/s |\n", hosts,
				(after.PeerBytes.Count-before.PeerBytes.Count)/hostSeconds, (after.PlatformBytes.Count-before.PlatformBytes.Count)/hostSeconds,
				(after.CPU.Value-before.CPU.Value)/hostSeconds/10, // milliseconds per second, as a percentage
				(after.Reads.Count-before.Reads.Count)/measureFor.Seconds(), (after.Writes.Count-before.Writes.Count)/measureFor.Seconds(),
				(after.Watches.Count-before.Watches.Count)/measureFor.Seconds())
		})
	}
}
