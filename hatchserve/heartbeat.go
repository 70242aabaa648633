package hatchserve

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"dragonflyhatch"
	"dragonflyhatch/hatchmember"
)

const (
	newsFanout    = 3                      // peers that news is told to at once
	newsRounds    = 3                      // times that it is told
	newsPause     = 100 * time.Millisecond // between two rounds of news
	maxDrainsSent = 16
	maxSuspects   = 8
)

// beat exchanges heartbeats with a random peer now and then, and tells news to
// a few peers at once, until ctx is done.
func (daemon *Daemon) beat(ctx context.Context) {
	for ctx.Err() == nil {
		fanout := 1
		if daemon.awaitNews(ctx, time.Duration(daemon.settings.Timing.Heartbeat)) {
			fanout = newsFanout
		}
		var group conc.WaitGroup
		for _, peer := range daemon.randomPeers(fanout) {
			group.Go(func() { daemon.beatOne(ctx, peer) })
		}
		group.Wait()
		if fanout == 1 {
			continue
		}
		if daemon.newsLeft.Add(-1) > 0 {
			daemon.signalNews()
		}
		daemon.pause(ctx, newsPause)
	}
}

// awaitNews waits for about the duration, or returns true at once if there is
// news to tell.
func (daemon *Daemon) awaitNews(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(daemon.spread(duration))
	defer timer.Stop()
	select {
	case <-daemon.news:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// tell has news told to peers soon, a few times.
func (daemon *Daemon) tell() {
	daemon.newsLeft.Store(newsRounds)
	daemon.signalNews()
}

func (daemon *Daemon) signalNews() {
	select {
	case daemon.news <- struct{}{}:
	default:
	}
}

func (daemon *Daemon) randomPeers(count int) []hatchmember.Daemon {
	daemon.mu.Lock()
	peers := daemon.daemons.Peers()
	daemon.mu.Unlock()
	daemon.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), count)]
}

// beatOne exchanges heartbeats with one peer and says whether it answered. A
// peer that does not is tried once more at once, and is then suspect.
func (daemon *Daemon) beatOne(ctx context.Context, peer hatchmember.Daemon) bool {
	for range 2 {
		if daemon.beatOnce(ctx, peer) {
			return true
		}
		daemon.mu.Lock()
		suspect := daemon.daemons.Failed(peer.Host)
		daemon.mu.Unlock()
		if suspect {
			daemon.logger.Warn("host does not answer", "host", peer.Host)
			daemon.tell()
		}
	}
	return false
}

func (daemon *Daemon) beatOnce(ctx context.Context, peer hatchmember.Daemon) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	answer, err := daemon.peer.Heartbeat(ctx, peer.PeerAddress, daemon.heartbeat())
	if err != nil {
		return false
	}
	daemon.mu.Lock()
	daemon.daemons.Answered(peer.Host, time.Now())
	daemon.mu.Unlock()
	daemon.takeHeartbeat(answer)
	daemon.fetchConfiguration(ctx, answer.ConfigurationVersion, peer)
	return true
}

// fetchConfiguration gets a peer's configuration if it is newer.
func (daemon *Daemon) fetchConfiguration(ctx context.Context, version uint64, peer hatchmember.Daemon) {
	if version <= daemon.configurationVersion() {
		return
	}
	accepted, err := daemon.peer.Configuration(ctx, peer.PeerAddress)
	if err != nil {
		daemon.logger.Warn("configuration not fetched", "host", peer.Host, "version", version, "error", err)
		return
	}
	daemon.adopt(accepted, peer.Host)
}

func (daemon *Daemon) heartbeat() dragonflyhatch.Heartbeat {
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	suspects := daemon.daemons.Suspects()
	return dragonflyhatch.Heartbeat{
		Host:                 daemon.settings.Host,
		Process:              daemon.process,
		ConfigurationVersion: daemon.configurationVersion(),
		Leaving:              daemon.leaving.Load(),
		Drains:               daemon.facts.Share(maxDrainsSent),
		Suspects:             suspects[:min(len(suspects), maxSuspects)],
	}
}

func (daemon *Daemon) takeHeartbeat(heartbeat dragonflyhatch.Heartbeat) {
	daemon.mu.Lock()
	daemon.daemons.Said(heartbeat.Host, heartbeat.Process, heartbeat.Leaving)
	toCall := daemon.daemons.Warned(heartbeat.Suspects, time.Now())
	daemon.mu.Unlock()
	for _, peer := range toCall {
		go daemon.beatOne(context.Background(), peer)
	}
	daemon.merge(heartbeat.Host, heartbeat.Drains...)
}

// ExchangeHeartbeat takes a peer's facts and returns the daemon's own.
func (daemon *Daemon) ExchangeHeartbeat(heartbeat dragonflyhatch.Heartbeat) dragonflyhatch.Heartbeat {
	daemon.takeHeartbeat(heartbeat)
	daemon.mu.Lock()
	sender, known := daemon.daemons.Find(heartbeat.Host)
	daemon.mu.Unlock()
	if known {
		go daemon.fetchFrom(heartbeat.ConfigurationVersion, sender)
	}
	return daemon.heartbeat()
}

// fetchFrom fetches a peer's newer configuration within a bound of its own.
func (daemon *Daemon) fetchFrom(version uint64, peer hatchmember.Daemon) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	daemon.fetchConfiguration(ctx, version, peer)
}

// The platform's host list is read once a second by a small fleet. Daemons of a
// larger one take turns and tell each other, so that the platform is asked no
// more often than by hostReaders daemons.
const (
	hostPoll    = time.Second
	hostReaders = 16
)

// pollHosts follows the platform's host list until ctx is done.
func (daemon *Daemon) pollHosts(ctx context.Context) {
	for daemon.pause(ctx, daemon.hostPause()) {
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

func (daemon *Daemon) hostPause() time.Duration {
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	return hostPoll * time.Duration(1+len(daemon.daemons.Peers())/hostReaders)
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
