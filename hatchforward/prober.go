package hatchforward

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"dragonflyhatch/hatchpath"
)

const (
	// probeTimeout bounds the opening of a connection that tests whether a replica
	// is alive. It is twenty times the round trip to another site, and short because
	// a stalled stream must resume within 200 ms.
	probeTimeout = 30 * time.Millisecond
	// secondDialDelay is the delay before a probe dials a second connection,
	// because the packet of the first may have been lost.
	secondDialDelay = 15 * time.Millisecond
	// aliveValidity is how long a replica counts as alive after it was last reached,
	// when a failed attempt is diagnosed. It is longer than the usual interval between
	// events of a stream.
	aliveValidity = 40 * time.Millisecond
	// probeGrace is added to the timeout of a probe, for answers that have arrived
	// but were not read yet.
	probeGrace = 5 * time.Millisecond
	// maxProbeDelay bounds how late the first dial of a probe may start and by how
	// much the probe may overrun. It is several times the lateness of timers
	// on an idle machine. If it is exceeded, this daemon itself was delayed, and a
	// missing answer proves nothing.
	maxProbeDelay = 4 * time.Millisecond
	// lateAnswerDelay is how long the answers that have arrived with that of a control
	// take to be read.
	lateAnswerDelay = 2 * time.Millisecond
	// recheckInterval is the pause between probes of an unreachable replica.
	recheckInterval = 300 * time.Millisecond
	// recheckMinAge is the period after a replica was last reached in which another
	// daemon's suspicion of it is ignored.
	recheckMinAge = 100 * time.Millisecond
)

// prober tests whether replicas are alive by opening connections to them.
type prober struct {
	fleet Fleet
	dial  func(ctx context.Context, address string) probeOutcome
	dials metrics.Counter // connections opened by probes

	mu         sync.Mutex
	rechecking map[*hatchpath.Health]bool // of the unreachable replicas, which are probed regularly
	watches    map[*watch]bool            // of the active streams
}

func newProber(fleet Fleet) *prober {
	return &prober{
		fleet:      fleet,
		dial:       dialOnce,
		dials:      metrics.NewCounter(),
		rechecking: make(map[*hatchpath.Health]bool),
		watches:    make(map[*watch]bool),
	}
}

// addWatch registers the watch to be notified of unreachable replicas.
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

// notifyWatches notifies the watches of all streams through the node that it is
// unreachable, so that these streams resume elsewhere.
func (prober *prober) notifyWatches(node *hatchpath.Node) {
	prober.mu.Lock()
	defer prober.mu.Unlock()
	for watch := range prober.watches {
		if watch.hasNode(node) {
			go watch.handleUnreachable(node)
		}
	}
}

// probeOutcome is the outcome of a probe.
type probeOutcome int

const (
	probeAnswered     probeOutcome = iota
	probeRefused                   // the address refuses connections
	probeSilent                    // no answer in time
	probeInconclusive              // this daemon was delayed or could not open a connection
)

// probe is a test of one replica.
type probe struct {
	outcome probeOutcome      // when the probe ended
	dials   chan probeOutcome // outcomes of further dials
	cancel  context.CancelFunc
}

// probeOnce probes the node and returns the outcome.
func (prober *prober) probeOnce(ctx context.Context, node *hatchpath.Node) probeOutcome {
	probe := prober.probe(ctx, node)
	probe.cancel()
	return probe.outcome
}

// probe opens a connection to the replica, and a second one in parallel if the
// first is slow. The outcome is probeSilent only if this daemon could have received an
// answer: when the processor is busy, the timer may fire before an answer that
// arrived long ago is read. The dials of a silent replica go on until the probe is
// canceled.
func (prober *prober) probe(ctx context.Context, node *hatchpath.Node) *probe {
	ctx, cancel := context.WithCancel(ctx)
	probe := &probe{dials: make(chan probeOutcome, 2), cancel: cancel}
	probe.outcome = probe.await(func() probeOutcome {
		prober.dials.Inc(1)
		return prober.dial(ctx, node.Address)
	})
	return probe
}

// await starts the dials and returns the outcome.
func (probe *probe) await(dialNode func() probeOutcome) probeOutcome {
	started := time.Now()
	var dialDelay atomic.Int64 // nanoseconds until the goroutine of the first dial ran, or 0
	dial := func() {
		dialDelay.CompareAndSwap(0, max(int64(time.Since(started)), 1))
		probe.dials <- dialNode()
	}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	awaitOutcome := func(wait time.Duration) (probeOutcome, bool) {
		timer.Reset(wait)
		select {
		case outcome := <-probe.dials:
			return outcome, true
		case <-timer.C:
			return probeSilent, false
		}
	}
	for _, wait := range []time.Duration{secondDialDelay, probeTimeout - secondDialDelay} {
		go dial()
		if outcome, ok := awaitOutcome(wait); ok {
			return outcome
		}
	}
	if outcome, ok := awaitOutcome(probeGrace); ok {
		return outcome
	}
	delay := time.Duration(dialDelay.Load())
	if delay == 0 || delay > maxProbeDelay || time.Since(started) > probeTimeout+probeGrace+maxProbeDelay {
		return probeInconclusive
	}
	return probeSilent
}

// lookAgain takes the outcome of a dial that has ended since the probe found the replica
// silent, if there is one.
func (probe *probe) lookAgain() {
	select {
	case outcome := <-probe.dials:
		probe.outcome = outcome
	default:
	}
}

// dialOnce opens and closes a connection to the address.
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

// check returns the addresses of the nodes that are dead. It probes those that were
// not reached recently. The node broken, if not nil, is one whose connection broke;
// it is probed in any case.
func (prober *prober) check(ctx context.Context, nodes []*hatchpath.Node, broken *hatchpath.Node) []string {
	var culprits []string
	var probed []*hatchpath.Node
	for _, node := range nodes {
		now := time.Now()
		switch {
		case node.DownFor(now) > 0: // already found to be unreachable
			culprits = append(culprits, node.Address)
		case node == broken, node.SinceLastSeen(now) >= aliveValidity && node.TryStartProbe(now):
			probed = append(probed, node)
		}
	}
	return append(culprits, prober.probeAll(ctx, probed)...)
}

// checkSilent returns the addresses of the nodes of a silent stream's pipeline that are
// dead, and the time after which another one may be due for a probe. It probes those that
// hatchpath.DueProbes returns: the head first, and the others only if the head is not dead
// and the stream is still silent then.
func (prober *prober) checkSilent(ctx context.Context, nodes []*hatchpath.Node, isSilent func() bool) (culprits []string, next time.Duration) {
	now := time.Now()
	for _, node := range nodes {
		if node.DownFor(now) > 0 { // already found to be unreachable
			culprits = append(culprits, node.Address)
		}
	}
	if len(culprits) > 0 {
		return culprits, 0
	}
	for _, part := range [][]*hatchpath.Node{nodes[:1], nodes[1:]} {
		now := time.Now()
		due, partNext := hatchpath.DueProbes(now, part)
		if len(part) > 0 && (next == 0 || partNext < next) {
			next = partNext
		}
		due = slices.DeleteFunc(due, func(node *hatchpath.Node) bool { return !node.TryStartProbe(now) })
		if culprits = prober.probeAll(ctx, due); len(culprits) > 0 || !isSilent() {
			return culprits, next
		}
	}
	return nil, next
}

// probeAll probes the nodes at the same time and returns the addresses of those that are
// dead.
func (prober *prober) probeAll(ctx context.Context, probed []*hatchpath.Node) []string {
	if len(probed) == 0 {
		return nil
	}
	var culprits []string
	probes := make([]*probe, len(probed))
	var group conc.WaitGroup
	for i, node := range probed {
		group.Go(func() { probes[i] = prober.probe(ctx, node) })
	}
	group.Wait()
	defer func() {
		for _, probe := range probes {
			probe.cancel()
		}
	}()
	if ctx.Err() != nil {
		return culprits
	}
	conclusive := prober.silenceIsConclusive(ctx, probed, probes)
	for i, node := range probed {
		switch outcome := probes[i].outcome; {
		case outcome == probeAnswered:
			node.MarkReachable(time.Now())
		case outcome == probeRefused, outcome == probeSilent && conclusive:
			culprits = append(culprits, node.Address)
			if outcome == probeRefused {
				node.MarkTerminated()
			}
			prober.markUnreachable(node)
		}
	}
	return culprits
}

// silenceIsConclusive reports whether silence in a round of probes means that
// replicas are dead. If instead this daemon or its network link was delayed, many
// replicas are silent at the same time, even one that was reached just before. So
// when many are silent, the most recently reached replica is probed as a control.
// Answers that have arrived before that of the control count: the control may be
// the first to be answered after the delay.
func (prober *prober) silenceIsConclusive(ctx context.Context, probed []*hatchpath.Node, probes []*probe) bool {
	silent, answered := 0, 0
	for _, probe := range probes {
		switch probe.outcome {
		case probeSilent:
			silent++
		case probeAnswered:
			answered++
		}
	}
	if silent == 0 {
		return true
	}
	conclusive := true
	if answered == 0 || silent > max(1, len(probes)/3) {
		control := prober.fleet.View().MostRecentlySeen(time.Now(), probed)
		conclusive = control == nil || prober.probeOnce(ctx, control) == probeAnswered
	}
	time.Sleep(lateAnswerDelay)
	for _, probe := range probes {
		if probe.outcome == probeSilent {
			probe.lookAgain()
		}
	}
	return conclusive
}

// markUnreachable excludes the node until it accepts connections again.
func (prober *prober) markUnreachable(node *hatchpath.Node) {
	if node.MarkUnreachable(time.Now()) {
		prober.fleet.ReportUnreachable(node.Replica)
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

// recheckUntilAlive probes the node until it answers or its process is no longer
// registered.
func (prober *prober) recheckUntilAlive(node *hatchpath.Node) {
	defer func() {
		prober.mu.Lock()
		defer prober.mu.Unlock()
		delete(prober.rechecking, node.Health)
	}()
	for {
		time.Sleep(recheckInterval)
		current := prober.fleet.View().NodeAt(node.Address)
		if current == nil || current.Health != node.Health {
			return
		}
		if prober.probeOnce(context.Background(), node) == probeAnswered {
			node.MarkReachable(time.Now())
			return
		}
	}
}

// RecheckReplica probes the replica at the address in the background, because
// another daemon suspects it.
func (forwarder *Forwarder) RecheckReplica(address string) {
	now := time.Now()
	node := forwarder.fleet.View().NodeAt(address)
	if node == nil || node.IsDown(now) || node.SinceLastSeen(now) < recheckMinAge {
		return
	}
	go forwarder.prober.check(context.Background(), []*hatchpath.Node{node}, nil)
}
