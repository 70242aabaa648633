package hatchserve

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"dragonflyhatch"
	"dragonflyhatch/hatchmember"
)

// beatsEach is the number of peers that one round of heartbeats goes to.
const beatsEach = 3

// maxDrainsSent bounds the facts in one heartbeat.
const maxDrainsSent = 16

// beat exchanges heartbeats with random peers until ctx is done.
func (daemon *Daemon) beat(ctx context.Context) {
	for daemon.pause(ctx, time.Duration(daemon.settings.Timing.Heartbeat)) {
		var group conc.WaitGroup
		for _, peer := range daemon.randomPeers(beatsEach) {
			group.Go(func() { daemon.beatOne(ctx, peer) })
		}
		group.Wait()
	}
}

func (daemon *Daemon) randomPeers(count int) []hatchmember.Daemon {
	daemon.mu.Lock()
	peers := daemon.daemons.Peers()
	daemon.mu.Unlock()
	daemon.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), count)]
}

// beatOne exchanges heartbeats with one peer and says whether it answered.
func (daemon *Daemon) beatOne(ctx context.Context, peer hatchmember.Daemon) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	answer, err := daemon.peer.Heartbeat(ctx, peer.PeerAddress, daemon.heartbeat())
	if err != nil {
		daemon.mu.Lock()
		daemon.daemons.Failed(peer.Host)
		daemon.mu.Unlock()
		return false
	}
	daemon.takeHeartbeat(answer)
	if answer.ConfigurationVersion > daemon.configurationVersion() {
		if accepted, err := daemon.peer.Configuration(ctx, peer.PeerAddress); err == nil {
			daemon.adopt(accepted, peer.Host)
		}
	}
	return true
}

func (daemon *Daemon) heartbeat() dragonflyhatch.Heartbeat {
	daemon.mu.Lock()
	drains := daemon.facts.List()
	daemon.mu.Unlock()
	daemon.random.Shuffle(len(drains), func(i, j int) { drains[i], drains[j] = drains[j], drains[i] })
	return dragonflyhatch.Heartbeat{
		Host:                 daemon.settings.Host,
		ConfigurationVersion: daemon.configurationVersion(),
		Leaving:              daemon.leaving.Load(),
		Drains:               drains[:min(len(drains), maxDrainsSent)],
	}
}

func (daemon *Daemon) takeHeartbeat(heartbeat dragonflyhatch.Heartbeat) {
	daemon.mu.Lock()
	daemon.daemons.Answered(heartbeat.Host, time.Now(), heartbeat.Leaving)
	daemon.mu.Unlock()
	daemon.merge(heartbeat.Host, heartbeat.Drains...)
}

// ExchangeHeartbeat takes a peer's facts and returns the daemon's own.
func (daemon *Daemon) ExchangeHeartbeat(heartbeat dragonflyhatch.Heartbeat) dragonflyhatch.Heartbeat {
	daemon.takeHeartbeat(heartbeat)
	return daemon.heartbeat()
}

// hostPoll is how often the platform's host list is read.
const hostPoll = time.Second

// pollHosts follows the platform's host list until ctx is done.
func (daemon *Daemon) pollHosts(ctx context.Context) {
	for daemon.pause(ctx, hostPoll) {
		hosts, err := daemon.platform.Hosts(ctx)
		if err != nil {
			continue
		}
		drains := make([]dragonflyhatch.Drain, len(hosts))
		for i, host := range hosts {
			drains[i] = dragonflyhatch.Drain{
				Address: host.Address, Source: dragonflyhatch.DrainByHostList, Version: host.Version, Leaving: host.Leaving,
			}
		}
		daemon.merge("host list", drains...)
	}
}

// upstreamSaid records what an upstream says of itself.
func (daemon *Daemon) upstreamSaid(address string, leaving bool) {
	daemon.mu.Lock()
	known := daemon.facts.Of(address, dragonflyhatch.DrainByUpstream)
	version := daemon.facts.Next(address, dragonflyhatch.DrainByUpstream, uint64(time.Now().UnixMilli()))
	daemon.mu.Unlock()
	if known.Leaving != leaving {
		daemon.merge("upstream", dragonflyhatch.Drain{
			Address: address, Source: dragonflyhatch.DrainByUpstream, Version: version, Leaving: leaving,
		})
	}
}

// probePause is the time between two load reports that a daemon asks for.
const probePause = 250 * time.Millisecond

// probeUpstreams reads the load of one engine after the other until ctx is
// done, those that said they are leaving included.
func (daemon *Daemon) probeUpstreams(ctx context.Context) {
	next := 0
	for daemon.pause(ctx, probePause) {
		current := daemon.view.Load()
		if current == nil || len(current.engines) == 0 {
			continue
		}
		next = (next + 1) % len(current.engines)
		address := current.engines[next]
		report, err := daemon.engine.Load(ctx, address)
		if err != nil {
			continue
		}
		daemon.tracks.Of(address).Report(report)
		daemon.upstreamSaid(address, report.Leaving)
	}
}
