package hatchserve

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"dragonflyhatch"
	"dragonflyhatch/hatchmember"
)

const (
	pushFanout    = 3                      // peers that an update is pushed to in one round
	pushRounds    = 3                      // rounds in which an update is pushed
	pushInterval  = 100 * time.Millisecond // between two rounds
	maxDrainsSent = 16                     // per heartbeat
	maxSuspects   = 8                      // per heartbeat
)

// gossip exchanges heartbeats with a random peer at the heartbeat interval until
// ctx is done. If there are updates to push, it immediately exchanges heartbeats
// with pushFanout peers instead.
func (daemon *Daemon) gossip(ctx context.Context) {
	for ctx.Err() == nil {
		fanout := 1
		if daemon.awaitUpdates(ctx, time.Duration(daemon.settings.Timing.HeartbeatInterval)) {
			fanout = pushFanout
		}
		var group conc.WaitGroup
		for _, peer := range daemon.randomPeers(fanout) {
			group.Go(func() { daemon.heartbeatPeer(ctx, peer) })
		}
		group.Wait()
		if fanout == 1 {
			continue
		}
		if daemon.pushRoundsLeft.Add(-1) > 0 {
			daemon.signalUpdates()
		}
		daemon.sleep(ctx, pushInterval)
	}
}

// awaitUpdates waits for the jittered duration. It returns true as soon as
// there are updates to push.
func (daemon *Daemon) awaitUpdates(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(daemon.jitter(duration))
	defer timer.Stop()
	select {
	case <-daemon.updateSignal:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// pushUpdates makes the gossip loop push updates to peers soon, in pushRounds
// rounds.
func (daemon *Daemon) pushUpdates() {
	daemon.pushRoundsLeft.Store(pushRounds)
	daemon.signalUpdates()
}

func (daemon *Daemon) signalUpdates() {
	select {
	case daemon.updateSignal <- struct{}{}:
	default:
	}
}

func (daemon *Daemon) randomPeers(count int) []hatchmember.Daemon {
	daemon.mu.Lock()
	peers := daemon.members.Peers()
	daemon.mu.Unlock()
	daemon.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), count)]
}

// heartbeatPeer exchanges heartbeats with one peer and reports whether it
// responded. A peer that does not respond is immediately called once more, and
// becomes suspect if it does not respond then either.
func (daemon *Daemon) heartbeatPeer(ctx context.Context, peer hatchmember.Daemon) bool {
	for range 2 {
		if daemon.heartbeatPeerOnce(ctx, peer) {
			return true
		}
		daemon.mu.Lock()
		suspect := daemon.members.RecordFailure(peer.Host)
		daemon.mu.Unlock()
		if suspect {
			daemon.logger.Warn("host does not respond", "host", peer.Host)
			daemon.pushUpdates()
		}
	}
	return false
}

func (daemon *Daemon) heartbeatPeerOnce(ctx context.Context, peer hatchmember.Daemon) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	response, err := daemon.peer.Heartbeat(ctx, peer.PeerAddress, daemon.heartbeat())
	if err != nil {
		return false
	}
	daemon.mu.Lock()
	daemon.members.RecordSuccess(peer.Host, time.Now())
	daemon.mu.Unlock()
	daemon.mergeHeartbeat(response)
	daemon.fetchNewerConfiguration(ctx, response.ConfigurationVersion, peer)
	return true
}

// fetchNewerConfiguration fetches and adopts a peer's configuration if its
// version is newer.
func (daemon *Daemon) fetchNewerConfiguration(ctx context.Context, version uint64, peer hatchmember.Daemon) {
	if version <= daemon.configurationVersion() {
		return
	}
	accepted, err := daemon.peer.Configuration(ctx, peer.PeerAddress)
	if err != nil {
		daemon.logger.Warn("fetching a configuration failed", "host", peer.Host, "version", version, "error", err)
		return
	}
	daemon.adopt(accepted, peer.Host)
}

// heartbeat returns the heartbeat to send to a peer.
func (daemon *Daemon) heartbeat() dragonflyhatch.Heartbeat {
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	suspects := daemon.members.Suspects()
	return dragonflyhatch.Heartbeat{
		Host:                 daemon.settings.Host,
		Process:              daemon.process,
		ConfigurationVersion: daemon.configurationVersion(),
		Leaving:              daemon.leaving.Load(),
		Drains:               daemon.drainSet.NextBatch(maxDrainsSent),
		Suspects:             suspects[:min(len(suspects), maxSuspects)],
	}
}

// mergeHeartbeat merges a peer's heartbeat, and calls the hosts that the peer
// suspects to check them.
func (daemon *Daemon) mergeHeartbeat(heartbeat dragonflyhatch.Heartbeat) {
	daemon.mu.Lock()
	daemon.members.UpdateProcess(heartbeat.Host, heartbeat.Process, heartbeat.Leaving)
	toCall := daemon.members.ApplySuspicions(heartbeat.Suspects, time.Now())
	daemon.mu.Unlock()
	for _, peer := range toCall {
		go daemon.heartbeatPeer(context.Background(), peer)
	}
	daemon.mergeDrains(heartbeat.Host, heartbeat.Drains...)
}

// ExchangeHeartbeat merges a peer's heartbeat and returns the daemon's own.
func (daemon *Daemon) ExchangeHeartbeat(heartbeat dragonflyhatch.Heartbeat) dragonflyhatch.Heartbeat {
	daemon.mergeHeartbeat(heartbeat)
	daemon.mu.Lock()
	sender, known := daemon.members.Find(heartbeat.Host)
	daemon.mu.Unlock()
	if known {
		go daemon.fetchNewerConfigurationWithTimeout(heartbeat.ConfigurationVersion, sender)
	}
	return daemon.heartbeat()
}

// fetchNewerConfigurationWithTimeout calls fetchNewerConfiguration with a timeout
// of its own.
func (daemon *Daemon) fetchNewerConfigurationWithTimeout(version uint64, peer hatchmember.Daemon) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	daemon.fetchNewerConfiguration(ctx, version, peer)
}

// Each daemon of a small fleet reads the platform's host list once a second. In a
// larger fleet they read it less often and also learn of drains by gossip, so that
// on average all daemons together make at most maxHostPollers calls per
// hostPollInterval.
const (
	hostPollInterval = time.Second
	maxHostPollers   = 16
)

// pollHosts merges the drains of the platform's host list periodically until
// ctx is done.
func (daemon *Daemon) pollHosts(ctx context.Context) {
	for daemon.sleep(ctx, daemon.hostPollDelay()) {
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
		daemon.mergeDrains("host list", drains...)
	}
}

func (daemon *Daemon) hostPollDelay() time.Duration {
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	return hostPollInterval * time.Duration(1+len(daemon.members.Peers())/maxHostPollers)
}

// recordUpstreamLeaving merges the report of an upstream on whether it is
// leaving.
func (daemon *Daemon) recordUpstreamLeaving(address string, leaving bool) {
	daemon.mu.Lock()
	known := daemon.drainSet.Get(address, dragonflyhatch.DrainByUpstream)
	version := daemon.drainSet.NextVersion(address, dragonflyhatch.DrainByUpstream, uint64(time.Now().UnixMilli()))
	daemon.mu.Unlock()
	if known.Leaving != leaving {
		daemon.mergeDrains("upstream", dragonflyhatch.Drain{
			Address: address, Source: dragonflyhatch.DrainByUpstream, Version: version, Leaving: leaving,
		})
	}
}

// probeInterval is the interval between two load queries of a daemon.
const probeInterval = 250 * time.Millisecond

// probeUpstreams queries the load of the engines in turn until ctx is done.
// Engines that reported that they are leaving are included.
func (daemon *Daemon) probeUpstreams(ctx context.Context) {
	next := 0
	for daemon.sleep(ctx, probeInterval) {
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
		daemon.health.Get(address).ApplyReport(report)
		daemon.recordUpstreamLeaving(address, report.Leaving)
	}
}
