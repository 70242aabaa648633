package hatchquarantine

import (
	"container/heap"
	"flag"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"dragonflyhatch"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// fleetSpec describes a simulated fleet and what happens to it.
type fleetSpec struct {
	daemons int
	deadly  float64 // share of the requests with a deadly part, for each of the parts
	parts   int     // deadly parts
	common  bool    // the deadly part is one that half of the requests have
	own     bool    // whole requests are deadly, not their shared parts; a tenth of the sound ones are repeats of five
	ends    int     // unrelated terminations of all heads at once, 7 s apart
}

const (
	simulatedTime  = 24 * time.Second
	answerTime     = 80 * time.Millisecond
	restartTime    = 3 * time.Second
	simulatedHeads = 5
	soundParts     = 180
	requestRate    = 1.5 // requests a second at each daemon
	messageLoss    = 0.05
	periodicGossip = 400 * time.Millisecond
	pushDelay      = 60 * time.Millisecond
)

// simulation runs the decisions of all daemons of a fleet in virtual time.
type simulation struct {
	spec    fleetSpec
	random  *rand.Rand
	now     time.Time
	events  eventQueue
	tables  []*Table
	pushing []bool // a push of the daemon is due
	heads   []*simulatedHead

	arrived int

	deadlyEnds, soundSent, soundRefused, soundHeld int
}

type simulatedHead struct {
	process  uint64
	down     bool
	requests map[*simulatedRequest]bool // without an answer
}

type simulatedRequest struct {
	daemon  int
	request Request
	deadly  bool
	sent    time.Time
	ends    int // replicas that terminated under it
	trial   bool
	delayed time.Time // since when it is delayed
}

type event struct {
	at  time.Time
	run func()
}

type eventQueue []event

func (queue eventQueue) Len() int           { return len(queue) }
func (queue eventQueue) Less(i, j int) bool { return queue[i].at.Before(queue[j].at) }
func (queue eventQueue) Swap(i, j int)      { queue[i], queue[j] = queue[j], queue[i] }
func (queue *eventQueue) Push(x any)        { *queue = append(*queue, x.(event)) }
func (queue *eventQueue) Pop() any {
	last := (*queue)[len(*queue)-1]
	*queue = (*queue)[:len(*queue)-1]
	return last
}

func (simulation *simulation) after(delay time.Duration, run func()) {
	heap.Push(&simulation.events, event{simulation.now.Add(delay), run})
}

func simulate(spec fleetSpec, seed uint64) *simulation {
	simulation := &simulation{spec: spec, random: rand.New(rand.NewPCG(seed, uint64(spec.daemons))), now: start, pushing: make([]bool, spec.daemons)}
	for range simulatedHeads {
		simulation.heads = append(simulation.heads, &simulatedHead{process: simulation.random.Uint64(), requests: make(map[*simulatedRequest]bool)})
	}
	for daemon := range spec.daemons {
		simulation.tables = append(simulation.tables, New())
		simulation.after(simulation.upTo(periodicGossip), func() { simulation.gossipPeriodically(daemon) })
		simulation.after(simulation.exponential(), func() { simulation.arrive(daemon) })
	}
	for i := range spec.ends {
		simulation.after(time.Duration(10+7*i)*time.Second, func() {
			for _, head := range simulation.heads {
				simulation.terminate(head)
			}
		})
	}
	for end := start.Add(simulatedTime); len(simulation.events) > 0 && simulation.events[0].at.Before(end); {
		next := heap.Pop(&simulation.events).(event)
		simulation.now = next.at
		next.run()
	}
	return simulation
}

func (simulation *simulation) upTo(longest time.Duration) time.Duration {
	return time.Duration(simulation.random.Int64N(int64(longest)))
}

func (simulation *simulation) exponential() time.Duration {
	return time.Duration(simulation.random.ExpFloat64() / requestRate * float64(time.Second))
}

// arrive lets a request arrive at the daemon. Sound parts are as unevenly used as words.
func (simulation *simulation) arrive(daemon int) {
	simulation.after(simulation.exponential(), func() { simulation.arrive(daemon) })
	first := int(math.Exp(simulation.random.Float64()*math.Log(soundParts))) - 1
	arrived := &simulatedRequest{daemon: daemon, request: Request{
		Service: "lm", Organisation: fmt.Sprint("o", simulation.random.IntN(10)), Parts: []string{fmt.Sprint("part-", first)},
	}}
	simulation.arrived++
	arrived.request.Own = fmt.Sprint("own-", simulation.arrived)
	if simulation.spec.own && simulation.arrived%10 == 0 {
		arrived.request.Parts, arrived.request.Own = []string{"part-0"}, fmt.Sprint("repeated-", simulation.arrived/10%5)
	}
	past := simulation.now.Sub(start) > 4*time.Second
	if draw := simulation.random.Float64(); past && simulation.spec.common && draw < 0.5 {
		arrived.deadly, arrived.request.Parts[0] = true, "common"
	} else if part := int(draw / max(simulation.spec.deadly, 1e-9)); past && part < simulation.spec.parts {
		arrived.deadly = true
		arrived.request.Organisation = fmt.Sprint("o", part)
		if simulation.spec.own {
			arrived.request.Parts, arrived.request.Own = []string{"part-0"}, fmt.Sprint("deadly-", part)
		} else {
			arrived.request.Parts = append(arrived.request.Parts, fmt.Sprint("deadly-", part))
		}
	}
	if !arrived.deadly {
		simulation.soundSent++
	}
	simulation.decide(arrived)
}

func (simulation *simulation) rank(daemon int) func(dragonflyhatch.PromptPart) int {
	return func(part dragonflyhatch.PromptPart) int {
		return int((uint64(daemon) + xxhash.Sum64String(part.ID)) % uint64(simulation.spec.daemons))
	}
}

// decide sends, delays or refuses the request.
func (simulation *simulation) decide(request *simulatedRequest) {
	head := simulation.heads[simulation.random.IntN(len(simulation.heads))]
	if head.down {
		simulation.after(25*time.Millisecond, func() { simulation.decide(request) })
		return
	}
	table := simulation.tables[request.daemon]
	verdict := table.Check(simulation.now, request.request, simulation.rank(request.daemon))
	switch {
	case verdict.Action == Send:
		simulation.send(request, head)
	case verdict.Action == Trial && table.BeginTrial(simulation.now, request.request):
		request.trial = true
		simulation.push(request.daemon)
		simulation.send(request, head)
	case verdict.Action == Refuse, !request.delayed.IsZero() && simulation.now.Sub(request.delayed) > time.Second:
		if !request.deadly {
			simulation.soundRefused++
			if verdict.Action == Refuse {
				simulation.soundHeld++
			}
		}
	default:
		if request.delayed.IsZero() {
			request.delayed = simulation.now
		}
		simulation.after(25*time.Millisecond, func() { simulation.decide(request) })
	}
}

func (simulation *simulation) send(request *simulatedRequest, head *simulatedHead) {
	request.sent = simulation.now
	head.requests[request] = true
	sent := request.sent
	simulation.after(answerTime/2+simulation.upTo(answerTime), func() {
		if !head.requests[request] || request.sent != sent {
			return // the head has terminated
		}
		if request.deadly {
			simulation.deadlyEnds++
			simulation.terminate(head)
			return
		}
		delete(head.requests, request)
		request.trial = false
		simulation.apply(request.daemon, simulation.tables[request.daemon].RecordAnswer(simulation.now, request.request))
	})
}

// terminate ends the head's process; its requests are decided on again.
func (simulation *simulation) terminate(head *simulatedHead) {
	if head.down {
		return
	}
	head.down = true
	cut := make([]*simulatedRequest, 0, len(head.requests))
	for request := range head.requests {
		cut = append(cut, request)
	}
	sortRequests(cut)
	clear(head.requests)
	for _, request := range cut {
		table := simulation.tables[request.daemon]
		simulation.apply(request.daemon, table.RecordTermination(simulation.now, head.process, request.request))
		if request.trial {
			request.trial = false
			table.EndTrial(request.request)
		}
		if request.ends++; request.ends < 2 {
			simulation.after(simulation.upTo(5*time.Millisecond), func() { simulation.decide(request) })
		}
	}
	simulation.after(restartTime, func() { head.down, head.process = false, simulation.random.Uint64() })
}

// sortRequests makes the order of a map's keys the same in each run.
func sortRequests(requests []*simulatedRequest) {
	for i := range requests {
		for j := i; j > 0 && requests[j].before(requests[j-1]); j-- {
			requests[j], requests[j-1] = requests[j-1], requests[j]
		}
	}
}

func (request *simulatedRequest) before(other *simulatedRequest) bool {
	if !request.sent.Equal(other.sent) {
		return request.sent.Before(other.sent)
	}
	return request.daemon < other.daemon
}

// apply pushes changes of the daemon's evidence to peers.
func (simulation *simulation) apply(daemon int, changes []Change) {
	if len(changes) > 0 {
		simulation.push(daemon)
	}
}

func (simulation *simulation) push(daemon int) {
	if simulation.pushing[daemon] {
		return
	}
	simulation.pushing[daemon] = true
	simulation.after(simulation.upTo(pushDelay), func() {
		simulation.pushing[daemon] = false
		for range 3 {
			simulation.exchange(daemon)
		}
	})
}

func (simulation *simulation) gossipPeriodically(daemon int) {
	simulation.exchange(daemon)
	simulation.after(periodicGossip, func() { simulation.gossipPeriodically(daemon) })
}

// exchange sends the daemon's evidence to a random peer, which answers with its own.
func (simulation *simulation) exchange(daemon int) {
	peer := simulation.random.IntN(simulation.spec.daemons)
	simulation.deliver(daemon, peer, func() { simulation.deliver(peer, daemon, func() {}) })
}

func (simulation *simulation) deliver(from, to int, then func()) {
	if simulation.random.Float64() < messageLoss {
		return
	}
	message := simulation.tables[from].Snapshot(simulation.now, 32)
	simulation.after(time.Millisecond+simulation.upTo(30*time.Millisecond), func() {
		changes, refuted := simulation.tables[to].Merge(simulation.now, message)
		simulation.apply(to, changes)
		if refuted {
			simulation.push(to)
		}
		then()
	})
}

// TestSimulatedFleet guards against evidence that daemons do not join: replicas that go on terminating, and
// sound requests that are held back. The golden file states the odds.
func TestSimulatedFleet(t *testing.T) {
	var table strings.Builder
	fmt.Fprintf(&table, "%-34s %8s %14s %14s %10s %10s %10s\n", "", "daemons", "ends by part", "most in a run", "sound", "refused", "held back")
	for _, scenario := range []struct {
		name string
		spec fleetSpec
		ends int         // bound on the replicas that terminate by the parts in a run
		runs map[int]int // by the number of daemons
	}{
		{"a part in 5% of the requests", fleetSpec{deadly: 0.05, parts: 1}, 8, map[int]int{12: 5, 100: 2, 300: 1}},
		{"a part in 1% of the requests", fleetSpec{deadly: 0.01, parts: 1}, 8, map[int]int{12: 5, 100: 1}},
		{"two parts in 2% each", fleetSpec{deadly: 0.02, parts: 2}, 16, map[int]int{12: 5, 100: 1}},
		{"a part that half of them share", fleetSpec{common: true}, 16, map[int]int{12: 5, 100: 1}},
		{"a part in 2%, all heads lost twice", fleetSpec{deadly: 0.02, parts: 1, ends: 2}, 8, map[int]int{12: 5, 100: 1}},
		{"a request in 3%, the parts sound", fleetSpec{deadly: 0.03, parts: 1, own: true}, 8, map[int]int{12: 5, 100: 2, 300: 1}},
		{"three requests in 1% each", fleetSpec{deadly: 0.01, parts: 3, own: true}, 10, map[int]int{12: 5, 100: 2, 300: 1}},
		{"the same, all heads lost twice", fleetSpec{deadly: 0.01, parts: 3, own: true, ends: 2}, 10, map[int]int{12: 5, 100: 2, 300: 1}},
		{"no such part, all heads lost thrice", fleetSpec{ends: 3}, 0, map[int]int{12: 5, 100: 1, 300: 1}},
	} {
		for _, daemons := range slices.Sorted(maps.Keys(scenario.runs)) {
			spec := scenario.spec
			spec.daemons = daemons
			var total simulation
			most := 0
			for seed := range scenario.runs[daemons] {
				run := simulate(spec, uint64(seed))
				total.deadlyEnds += run.deadlyEnds
				total.soundSent += run.soundSent
				total.soundRefused += run.soundRefused
				total.soundHeld += run.soundHeld
				most = max(most, run.deadlyEnds)
			}
			if most > scenario.ends {
				t.Errorf("%s, %d daemons: %d replicas terminated, at most %d are allowed", scenario.name, daemons, most, scenario.ends)
			}
			if total.soundHeld*1000 > total.soundSent {
				t.Errorf("%s, %d daemons: %d of %d sound requests held back", scenario.name, daemons, total.soundHeld, total.soundSent)
			}
			fmt.Fprintf(&table, "%-34s %8d %14d %14d %10d %10d %10d\n", scenario.name, daemons, total.deadlyEnds, most, total.soundSent, total.soundRefused, total.soundHeld)
		}
	}
	path := filepath.Join("testdata", "simulation.golden")
	if *update {
		if err := os.WriteFile(path, []byte(table.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if table.String() != string(want) {
		t.Errorf("got\n%swant\n%s", table.String(), want)
	}
}
