package hatchforward

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"dragonflyhatch/hatchpath"
)

const (
	// probeTimeout bounds the opening of a connection that tells whether a
	// replica is alive: twenty times the way to another site and back. A stream that
	// stands still must go on within 200 ms.
	probeTimeout = 30 * time.Millisecond
	// secondProbe is when a second connection is tried beside the first, whose
	// packet may have been lost.
	secondProbe = 15 * time.Millisecond
	// probeAge is how long a proof of life counts: longer than the usual time
	// between two events of a stream, and shorter than eventSilence.
	probeAge = 40 * time.Millisecond
	// recheckInterval is the pause between probes of a replica that is down.
	recheckInterval = 300 * time.Millisecond
	// recheckAge is how long a proof of life outweighs another daemon's warning.
	recheckAge = 100 * time.Millisecond
)

// prober tells whether replicas are alive by opening connections to them.
type prober struct {
	fleet Fleet

	mu      sync.Mutex
	waiting map[*hatchpath.Health]bool // down, and probed now and then
	watches map[*watch]bool            // of the streams under way
}

func newProber(fleet Fleet) *prober {
	return &prober{
		fleet:   fleet,
		waiting: make(map[*hatchpath.Health]bool),
		watches: make(map[*watch]bool),
	}
}

// add has the watch told of replicas that are found unreachable.
func (prober *prober) add(watch *watch) {
	prober.mu.Lock()
	defer prober.mu.Unlock()
	prober.watches[watch] = true
}

func (prober *prober) remove(watch *watch) {
	prober.mu.Lock()
	defer prober.mu.Unlock()
	delete(prober.watches, watch)
}

// tellWatches has all streams over the node go on elsewhere.
func (prober *prober) tellWatches(node *hatchpath.Node) {
	prober.mu.Lock()
	defer prober.mu.Unlock()
	for watch := range prober.watches {
		if watch.uses(node) {
			go watch.lost(node)
		}
	}
}

// alive says whether the replica accepts connections.
func alive(ctx context.Context, node *hatchpath.Node) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answers := make(chan bool, 2)
	dial := func() {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", node.Address)
		if err == nil {
			conn.Close()
		}
		answers <- err == nil
	}
	go dial()
	second := time.NewTimer(secondProbe)
	defer second.Stop()
	for dials := 1; ; {
		select {
		case answer := <-answers:
			dials--
			if answer || dials == 0 {
				return answer
			}
		case <-second.C:
			dials++
			go dial()
		}
	}
}

// check probes the nodes that have not shown lately that they are alive, and
// returns the addresses of those that do not answer.
func (prober *prober) check(ctx context.Context, nodes []*hatchpath.Node) []string {
	dead := make([]bool, len(nodes))
	var group conc.WaitGroup
	for i, node := range nodes {
		now := time.Now()
		if node.DownFor(now) > 0 {
			dead[i] = true // another stream has found it
			continue
		}
		if node.SinceReached(now) < probeAge || !node.TakeProbe(now) {
			continue
		}
		group.Go(func() {
			switch {
			case alive(ctx, node):
				node.Reached(time.Now())
			case ctx.Err() == nil:
				dead[i] = true
				prober.unreachable(node)
			}
		})
	}
	group.Wait()
	var culprits []string
	for i, node := range nodes {
		if dead[i] {
			culprits = append(culprits, node.Address)
		}
	}
	return culprits
}

// unreachable leaves the node out until it accepts connections again.
func (prober *prober) unreachable(node *hatchpath.Node) {
	if node.Unreachable(time.Now()) {
		prober.fleet.Lost(node.Replica)
		prober.tellWatches(node)
	}
	prober.mu.Lock()
	defer prober.mu.Unlock()
	if prober.waiting[node.Health] {
		return
	}
	prober.waiting[node.Health] = true
	go prober.await(node)
}

// await probes the node until it answers or is no longer registered.
func (prober *prober) await(node *hatchpath.Node) {
	defer func() {
		prober.mu.Lock()
		defer prober.mu.Unlock()
		delete(prober.waiting, node.Health)
	}()
	for {
		time.Sleep(recheckInterval)
		known := prober.fleet.View().Node(node.Service, node.Address)
		if known == nil || known.Health != node.Health {
			return
		}
		if alive(context.Background(), node) {
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
	if node == nil || node.Down(now) || node.SinceReached(now) < recheckAge {
		return
	}
	go forwarder.prober.check(context.Background(), []*hatchpath.Node{node})
}
