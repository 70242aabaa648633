package hatchforward

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"dragonflyhatch"
	"dragonflyhatch/hatchpath"
	"dragonflyhatch/hatchretry"
	"dragonflyhatch/platform"
)

// streamLoad is the load of one daemon of the fleet of docs/LOAD.md that counted 24,000
// probes for 11,400 streams: first events after 57 ms at the median, 43 to 63 events
// over 0.4 to 2 s, and now and then a slow pass. Time is virtual.
type streamLoad struct {
	forwarder *Forwarder
	nodes     []*hatchpath.Node
	dark      atomic.Pointer[string] // address of the dark engine
	darkAt    time.Time
	probes    atomic.Int64
	wrong     atomic.Int64 // streams abandoned although their stages were alive
}

const (
	loadStages    = 10 // of a pipeline
	loadChoices   = 9  // of engines for each stage, a third of them in the daemon's site
	localRatio    = 0.9
	loadStreams   = 380
	loadDuration  = 60 * time.Second
	slowPassRatio = 0.2 // share of the intervals with a slow pass
	slowPass      = 20 * time.Millisecond
)

func newStreamLoad() *streamLoad {
	time.Sleep(time.Until(time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC))) // after the start of the process, from which times in hatchpath count
	load := new(streamLoad)
	fleet := newFleet("lm")
	var replicas []dragonflyhatch.Replica
	for i := range loadStages * loadChoices {
		replicas = append(replicas, dragonflyhatch.Replica{ID: fmt.Sprint("e-", i), Address: fmt.Sprint("e-", i), Service: "lm", Slots: 8})
	}
	fleet.view = hatchpath.NewView(replicas, fleet.table.Services, fleet.healths)
	for _, replica := range replicas {
		load.nodes = append(load.nodes, fleet.view.NodeAt(replica.Address))
	}
	load.forwarder = New(fleet, platform.Dialect{}, WithLogger(slog.New(slog.DiscardHandler)))
	load.forwarder.prober.dial = func(ctx context.Context, address string) probeOutcome {
		load.probes.Add(1)
		if dark := load.dark.Load(); dark != nil && address == *dark {
			<-ctx.Done()
			return probeSilent
		}
		time.Sleep(time.Millisecond)
		return probeAnswered
	}
	return load
}

// begin begins a stream through one engine of each stage of a site.
func (load *streamLoad) begin(random *rand.Rand) (pipeline *hatchpath.Pipeline, begun *watch, abandoned context.Context) {
	pipeline = new(hatchpath.Pipeline)
	site := 0
	if random.Float64() > localRatio {
		site = 1 + random.IntN(2)
	}
	for stage := range loadStages {
		pipeline.Nodes = append(pipeline.Nodes, load.nodes[stage*loadChoices+site*loadChoices/3+random.IntN(loadChoices/3)])
	}
	abandoned, cancel := context.WithCancel(context.Background())
	stream := &stream{call: &call{
		forwarder: load.forwarder, ctx: context.Background(), logger: load.forwarder.logger, route: new(dragonflyhatch.Route),
		attempts: hatchretry.NewAttempts(time.Now().Add(time.Minute), false),
	}}
	return pipeline, stream.newWatch(pipeline, cancel), abandoned
}

// firstEvent draws the time to a first event: 57 ms at the median, 200 ms at the 99th
// percentile.
func firstEvent(random *rand.Rand) time.Duration {
	return time.Duration(57e6 * math.Exp(0.54*random.NormFloat64()))
}

// eventInterval draws an interval between events.
func eventInterval(random *rand.Rand, mean time.Duration) time.Duration {
	drawn := time.Duration(float64(mean) * math.Exp(0.35*random.NormFloat64()))
	if random.Float64() < slowPassRatio {
		drawn += time.Duration(random.ExpFloat64() * float64(slowPass))
	}
	return drawn
}

// run runs one stream until its end or until it is abandoned. If a stage of it goes dark
// after its first event, run returns the silence before it was abandoned and the time from the darkness
// to that, both beyond its mean interval.
func (load *streamLoad) run(seed uint64) (silence, sinceDark time.Duration) {
	random := rand.New(rand.NewPCG(seed, 2))
	pipeline, watch, abandoned := load.begin(random)
	defer watch.stop()
	base := time.Duration(10+random.IntN(30)) * time.Millisecond
	time.Sleep(firstEvent(random))
	for event := range 43 + random.IntN(21) {
		dark := load.dark.Load()
		if dark != nil && slices.ContainsFunc(pipeline.Nodes, func(node *hatchpath.Node) bool { return node.Address == *dark }) {
			<-abandoned.Done()
			if event < 2 {
				return 0, 0
			}
			mean := watch.checkDelay - new(hatchpath.Pace).CheckDelay()
			return time.Since(watch.lastProgress) - mean, time.Since(load.darkAt) - mean
		}
		if abandoned.Err() != nil {
			load.wrong.Add(1)
			return 0, 0
		}
		watch.recordRead(true)
		watch.startWaiting()
		time.Sleep(eventInterval(random, base))
	}
	return 0, 0
}

// start starts the streams of the load in their own goroutines, in Poisson arrivals. Each
// result of run is passed to done.
func (load *streamLoad) start(seed uint64, streams int, done func(silence, sinceDark time.Duration)) {
	random := rand.New(rand.NewPCG(seed, 1))
	for i := range uint64(streams) {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(loadDuration) / loadStreams))
		go func() { done(load.run(seed<<32 + i)) }()
	}
}

// TestProbesOfSteadyLoad guards against probes of engines that only take their time: each
// of them is a connection. With checks after twice the mean interval, at which all stages
// were probed that had shown no sign of life for 40 ms, this load had 2.2 probes for each stream.
func TestProbesOfSteadyLoad(t *testing.T) {
	const seeds = 4
	var probes int64
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			load := newStreamLoad()
			load.start(seed, loadStreams, func(_, _ time.Duration) {})
			time.Sleep(time.Minute)
			probes += load.probes.Load()
			if load.wrong.Load() > 0 {
				t.Errorf("seed %d: %d streams at live engines were abandoned", seed, load.wrong.Load())
			}
		})
	}
	ratio := float64(probes) / (seeds * loadStreams)
	t.Logf("%.2f probes for each stream", ratio)
	if ratio > 1 {
		t.Errorf("%.2f probes for each stream, want at most 1", ratio)
	}
}

// TestDarkStageIsFound guards against streams that stay at a dead engine because fewer
// probes are sent: 100 ms beyond the mean interval are allowed. The silence of a stream may
// have begun before the engine died, in a slow pass.
func TestDarkStageIsFound(t *testing.T) {
	const allowed = 100 * time.Millisecond
	var mu sync.Mutex
	var silences, sincesDark []time.Duration
	for seed := range uint64(30) {
		synctest.Test(t, func(*testing.T) {
			load := newStreamLoad()
			go load.start(seed, 100, func(silence, sinceDark time.Duration) {
				if silence > 0 {
					mu.Lock()
					defer mu.Unlock()
					silences, sincesDark = append(silences, silence), append(sincesDark, sinceDark)
				}
			})
			time.Sleep(10 * time.Second)
			load.darkAt = time.Now()
			load.dark.Store(&load.nodes[int(seed)%loadStages*loadChoices].Address)
			time.Sleep(time.Minute)
			load.dark.Store(nil) // the engine is back, so that the prober stops testing it
			time.Sleep(time.Second)
		})
	}
	slices.Sort(silences)
	slices.Sort(sincesDark)
	median, longest := silences[len(silences)/2], sincesDark[len(sincesDark)-1]
	t.Logf("%d streams, beyond the mean interval: median silence %s, 90th percentile %s, longest %s; longest since the darkness %s",
		len(silences), median, silences[len(silences)*9/10], silences[len(silences)-1], longest)
	if median > allowed || longest > allowed {
		t.Errorf("beyond the mean interval: median silence %s, longest time since the darkness %s, want at most %s", median, longest, allowed)
	}
}
