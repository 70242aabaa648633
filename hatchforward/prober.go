package hatchforward

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"dragonflyhatch/hatchpath"
)

const (
	// probeTimeout bounds the opening of a connection that tells whether a
	// replica is alive: twenty times the way to another site and back. A stream that
	// stands still must go on within 200 ms.
	probeTimeout = 30 * time.Millisecond
	// secondDialDelay is when a second connection is tried beside the first, whose
	// packet may have been lost.
	secondDialDelay = 15 * time.Millisecond
	// aliveValidity is how long a proof of life counts: longer than the usual time
	// between two events of a stream, and shorter than minCheckDelay.
	aliveValidity = 40 * time.Millisecond
	// probeGrace is added to a probe without an answer, for answers that have come
	// and are not read yet. maxProbeDelay is by how much the addition may be longer,
	// and how late the first packet may leave: some times the lateness of timers on
	// an idle machine. Beyond it this daemon was held up, and silence proves nothing.
	probeGrace    = 5 * time.Millisecond
	maxProbeDelay = 4 * time.Millisecond
	// recheckInterval is the pause between probes of a replica that is down.
	recheckInterval = 300 * time.Millisecond
	// recheckMinAge is how long a proof of life outweighs another daemon's warning.
	recheckMinAge = 100 * time.Millisecond
)

// prober tells whether replicas are alive by opening connections to them.
type prober struct {
	fleet Fleet
	dial  func(ctx context.Context, address string) probeOutcome

	mu         sync.Mutex
	rechecking map[*hatchpath.Health]bool // down, and probed now and then
	watches    map[*watch]bool            // of the streams under way
}

func newProber(fleet Fleet) *prober {
	return &prober{
		fleet:      fleet,
		dial:       dialOnce,
		rechecking: make(map[*hatchpath.Health]bool),
		watches:    make(map[*watch]bool),
	}
}

// addWatch has the watch told of replicas that are found unreachable.
func (prober *prober) addWatch(watch *watch) {
	prober.mu.Lock()
	defer prober.mu.Unlock()
	prober.watches[watch] = true
}

func (prober *prober) removeWatch(watch *watch) {
	prober.mu.Lock()
	defer prober.mu.Unlock()
	delete(prober.watches, watch)
}

// notifyWatches has all streams over the node go on elsewhere.
func (prober *prober) notifyWatches(node *hatchpath.Node) {
	prober.mu.Lock()
	defer prober.mu.Unlock()
	for watch := range prober.watches {
		if watch.uses(node) {
			go watch.handleUnreachable(node)
		}
	}
}

// probeOutcome is what a probe has shown.
type probeOutcome int

const (
	probeAnswered     probeOutcome = iota
	probeRefused                   // the address accepts no connections
	probeSilent                    // nothing came back in time
	probeInconclusive              // this daemon was held up itself, or can open no connection
)

// probe opens a connection to the replica, and a second one beside it if the
// first is slow. Silence counts only if this daemon could have heard an answer:
// when its processor is busy, a timer may fire before an answer that has long
// come is read.
func (prober *prober) probe(ctx context.Context, node *hatchpath.Node) probeOutcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan probeOutcome, 2)
	started := time.Now()
	var dialled atomic.Int64 // how long the first dial waited for the processor
	dial := func() {
		dialled.CompareAndSwap(0, int64(time.Since(started)))
		outcomes <- prober.dial(ctx, node.Address)
	}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	within := func(wait time.Duration) (probeOutcome, bool) {
		timer.Reset(wait)
		select {
		case outcome := <-outcomes:
			return outcome, true
		case <-timer.C:
			return probeSilent, false
		}
	}
	for _, wait := range []time.Duration{secondDialDelay, probeTimeout - secondDialDelay} {
		go dial()
		if outcome, ok := within(wait); ok {
			return outcome
		}
	}
	settling := time.Now()
	if outcome, ok := within(probeGrace); ok {
		return outcome
	}
	if time.Since(settling) > probeGrace+maxProbeDelay || time.Duration(dialled.Load()) > maxProbeDelay {
		return probeInconclusive
	}
	return probeSilent
}

func dialOnce(ctx context.Context, address string) probeOutcome {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	switch {
	case err == nil:
		conn.Close()
		return probeAnswered
	case errors.Is(err, syscall.ECONNREFUSED):
		return probeRefused
	case errors.IsAny(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL):
		return probeInconclusive
	}
	return probeSilent
}

// check probes the nodes that have not shown lately that they are alive, and the
// one whose connection broke in any case, and returns the addresses of those that
// are dead. Broken may be nil.
func (prober *prober) check(ctx context.Context, nodes []*hatchpath.Node, broken *hatchpath.Node) []string {
	var culprits []string
	var probed []*hatchpath.Node
	for _, node := range nodes {
		now := time.Now()
		switch {
		case node.DownFor(now) > 0: // another stream has found it
			culprits = append(culprits, node.Address)
		case node == broken, node.SinceReached(now) >= aliveValidity && node.TakeProbe(now):
			probed = append(probed, node)
		}
	}
	outcomes := make([]probeOutcome, len(probed))
	var group conc.WaitGroup
	for i, node := range probed {
		group.Go(func() { outcomes[i] = prober.probe(ctx, node) })
	}
	group.Wait()
	if ctx.Err() != nil {
		return culprits
	}
	trusted := prober.silenceIsConclusive(ctx, probed, outcomes)
	for i, node := range probed {
		switch {
		case outcomes[i] == probeAnswered:
			node.Reached(time.Now())
		case outcomes[i] == probeRefused, outcomes[i] == probeSilent && trusted:
			culprits = append(culprits, node.Address)
			prober.markUnreachable(node)
		}
	}
	return culprits
}

// silenceIsConclusive says whether silence in a round of probes means that replicas are
// dead. It may as well be this daemon or its link that was held up: then many
// are silent at once, and so is a replica that has just shown that it is alive.
func (prober *prober) silenceIsConclusive(ctx context.Context, probed []*hatchpath.Node, outcomes []probeOutcome) bool {
	silent, answered := 0, 0
	for _, outcome := range outcomes {
		switch outcome {
		case probeSilent:
			silent++
		case probeAnswered:
			answered++
		}
	}
	if silent == 0 || answered > 0 && silent <= max(1, len(outcomes)/3) {
		return true
	}
	control := prober.fleet.View().Alive(time.Now(), probed)
	return control == nil || prober.probe(ctx, control) == probeAnswered
}

// markUnreachable leaves the node out until it accepts connections again.
func (prober *prober) markUnreachable(node *hatchpath.Node) {
	if node.Unreachable(time.Now()) {
		prober.fleet.Lost(node.Replica)
		prober.notifyWatches(node)
	}
	prober.mu.Lock()
	defer prober.mu.Unlock()
	if prober.rechecking[node.Health] {
		return
	}
	prober.rechecking[node.Health] = true
	go prober.recheckUntilAlive(node)
}

// recheckUntilAlive probes the node until it answers or is no longer registered.
func (prober *prober) recheckUntilAlive(node *hatchpath.Node) {
	defer func() {
		prober.mu.Lock()
		defer prober.mu.Unlock()
		delete(prober.rechecking, node.Health)
	}()
	for {
		time.Sleep(recheckInterval)
		known := prober.fleet.View().At(node.Address)
		if known == nil || known.Health != node.Health {
			return
		}
		if prober.probe(context.Background(), node) == probeAnswered {
			node.Reached(time.Now())
			return
		}
	}
}

// Recheck sees for itself whether the replica at the address is alive, on
// another daemon's warning.
func (forwarder *Forwarder) Recheck(address string) {
	now := time.Now()
	node := forwarder.fleet.View().At(address)
	if node == nil || node.Down(now) || node.SinceReached(now) < recheckMinAge {
		return
	}
	go forwarder.prober.check(context.Background(), []*hatchpath.Node{node}, nil)
}
