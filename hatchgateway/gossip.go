package hatchgateway

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"dragonflyhatch"
	"dragonflyhatch/hatchmember"
)

const (
	// gossipInterval is the mean pause between two exchanges of a daemon. As each
	// daemon calls its neighbours in turn, and is called by as many, a dead daemon is
	// called within about this time.
	gossipInterval = 400 * time.Millisecond
	// seedInterval is the pause between two calls to a seed that is not a known
	// member. Its address may be out of date, so it is called less often than members.
	seedInterval = time.Second
	// gossipTimeout bounds one exchange, which normally takes some milliseconds.
	gossipTimeout = 300 * time.Millisecond
	// maxUnreachableSent bounds the unreachable replicas in one gossip message.
	maxUnreachableSent = 32
	// maxLeavingSent bounds the leaving replicas in one gossip message.
	maxLeavingSent = 32
	// maxLimitsSent bounds the limits of replicas in one gossip message.
	maxLimitsSent = 32
	// maxSuspectsSent bounds the suspected parts of prompts in one gossip message.
	maxSuspectsSent = 32
	// maxWaitsSent bounds the waits of engines in one gossip message.
	maxWaitsSent = 16
	// largeSnapshotPause is the pause after a daemon has fetched a large replica
	// snapshot, so that further changes are fetched together. It is far below the
	// time within which a drain must take effect.
	largeSnapshotPause = 500 * time.Millisecond
	// configurationPauseFactor is the pause after a configuration was fetched from a
	// peer, as a multiple of the time that it took, up to maxConfigurationPause, which is
	// far below the time within which a configuration must take effect.
	configurationPauseFactor = 5
	maxConfigurationPause    = 250 * time.Millisecond
	// snapshotDelay is how long a daemon waits before it fetches newer replicas from
	// a peer, as its own watch on the store usually delivers them meanwhile.
	snapshotDelay = 250 * time.Millisecond
)

// runGossip periodically exchanges gossip with a peer until ctx is done.
func (gateway *Gateway) runGossip(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		gateway.pause(ctx, gossipInterval)
		peer, ok := gateway.nextPeer(round)
		if ok {
			gateway.gossipWith(ctx, peer)
		} else {
			gateway.rankTrials()
		}
	}
}

// nextPeer returns the peer of the round, or false if no peer is known.
func (gateway *Gateway) nextPeer(round int) (dragonflyhatch.Member, bool) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	gateway.roster.RemoveExpired(time.Now())
	return gateway.roster.GossipPeer(gateway.random, round)
}

// runSeedJoins periodically joins the seeds that are not known members, until ctx
// is done. It continues once other daemons are known, because two partitions of a
// fleet that never find each other would each elect a leader.
func (gateway *Gateway) runSeedJoins(ctx context.Context) {
	for ctx.Err() == nil {
		gateway.joinSeeds(ctx)
		pause := seedInterval
		if gateway.Daemons() == 1 {
			pause = gossipInterval
		}
		gateway.pause(ctx, pause)
	}
}

// unknownSeeds returns the seed addresses that no known daemon has.
func (gateway *Gateway) unknownSeeds() []string {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(*gateway.seeds.Load()), gateway.roster.HasAddress)
}

// joinSeeds exchanges gossip with the seeds that are not known members.
func (gateway *Gateway) joinSeeds(ctx context.Context) {
	var group conc.WaitGroup
	for _, address := range gateway.unknownSeeds() {
		group.Go(func() {
			if err := gateway.exchange(ctx, address); err != nil {
				gateway.logger.Debug("gossip with seed failed", "address", address, "error", err)
			}
		})
	}
	group.Wait()
}

// gossipWith exchanges gossip with a member. If the call fails it is repeated once
// immediately; a second failure in a row makes the member suspect.
func (gateway *Gateway) gossipWith(ctx context.Context, member dragonflyhatch.Member) {
	for range 2 {
		err := gateway.exchange(ctx, member.PeerAddress)
		if err == nil || ctx.Err() != nil {
			return
		}
		gateway.mu.Lock()
		suspect := gateway.roster.RecordFailure(member.Host, time.Now())
		gateway.updateDaemonCount()
		gateway.mu.Unlock()
		if suspect {
			gateway.logger.Warn("daemon does not answer", "host", member.Host, "address", member.PeerAddress, "error", err)
			gateway.requestPush()
		}
	}
}

// exchange sends the daemon's gossip to the address and merges the response.
func (gateway *Gateway) exchange(ctx context.Context, address string) error {
	gateway.mu.Lock()
	message := gateway.composeGossip(gateway.membersDiffer, gateway.peerVersions[address])
	gateway.mu.Unlock()
	reply, err := gateway.peers.Gossip(ctx, address, message)
	if err != nil {
		gateway.mu.Lock()
		delete(gateway.peerVersions, address) // another process may have the address next time
		gateway.mu.Unlock()
		return err
	}
	gateway.mergeGossip(reply)
	gateway.forwarder.AdoptDemand(time.Now(), message.Demand, reply.Demand)
	gateway.mu.Lock()
	gateway.peerVersions[address] = reply.ReplicasVersion
	gateway.membersDiffer = reply.MembersDigest != gateway.roster.Digest()
	gateway.mu.Unlock()
	return nil
}

// composeGossip returns the gossip message to a peer. If membersDiffer is set, that
// is, if the peer may know other members than this daemon, it includes random ones. It
// leaves out the changes of replicas up to the version that the peer is known to have.
// The mutex must be held.
func (gateway *Gateway) composeGossip(membersDiffer bool, peerVersion uint64) dragonflyhatch.Gossip {
	now := time.Now()
	gossip := dragonflyhatch.Gossip{
		From:            gateway.roster.Self(),
		Members:         gateway.roster.NextBatch(gateway.random, membersDiffer),
		MembersDigest:   gateway.roster.Digest(),
		Suspects:        gateway.roster.Suspects(),
		RoutingVersion:  gateway.routing.version,
		ReplicasVersion: gateway.replicas.announced(),
		ReplicasDigest:  gateway.replicas.digest(),
		StoreAge:        gateway.freshness.ReportedAge(now),
		StoreFailureAge: gateway.freshness.FailureAge(now),
		Leader:          gateway.leader.host,
		Term:            gateway.leader.term,
	}
	gossip.ReplicaUpdates, gossip.ReplicaUpdatesFrom = gateway.replicas.recentUpdates(now, peerVersion)
	gossip.LostReplicas = gateway.View().UnreachableAddresses(now, maxUnreachableSent)
	gossip.QueueWaits = gateway.View().QueueWaits(now, maxWaitsSent)
	gossip.LeavingReplicas = gateway.View().LeavingProcesses(maxLeavingSent)
	gossip.ReplicaLimits = gateway.View().Limits(now, maxLimitsSent)
	gossip.RefusingReplicas = gateway.composeRefusals(now)
	gossip.SuspectParts = gateway.quarantine.Snapshot(now, maxSuspectsSent)
	gossip.Demand = gateway.forwarder.Demand(now)
	return gossip
}

// ExchangeGossip merges a peer's gossip and returns the daemon's own.
func (gateway *Gateway) ExchangeGossip(gossip dragonflyhatch.Gossip) dragonflyhatch.Gossip {
	gateway.mergeGossip(gossip)
	gateway.forwarder.MergeDemand(time.Now(), gossip.Demand)
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return gateway.composeGossip(gossip.MembersDigest != gateway.roster.Digest(), gossip.ReplicasVersion)
}

// mergeGossip merges a peer's gossip, calls the members that it suspects, rechecks
// the replicas that it cannot reach, and fetches newer snapshots from it.
func (gateway *Gateway) mergeGossip(gossip dragonflyhatch.Gossip) {
	now := time.Now()
	toCall := gateway.mergeState(gossip, now)
	gateway.recordQueueWaits(now, gossip.QueueWaits)
	gateway.forwarder.MergeSuspects(gossip.SuspectParts)
	gateway.mergeRefusals(now, gossip.RefusingReplicas)
	gateway.firstContact.Do(func() { close(gateway.peerContact) })
	leavingFound := false
	for _, process := range gossip.LeavingReplicas[:min(len(gossip.LeavingReplicas), maxLeavingSent)] {
		leavingFound = gateway.healths.GetProcess(process).MarkLeaving(now) || leavingFound
	}
	limitFound := false
	for _, limit := range gossip.ReplicaLimits[:min(len(gossip.ReplicaLimits), maxLimitsSent)] {
		limitFound = gateway.healths.GetProcess(limit.Process).RecordLimit(now.Add(-limit.Age), limit.PerSecond) || limitFound
	}
	if leavingFound || limitFound {
		gateway.requestPush()
	}
	for _, member := range toCall {
		go gateway.gossipWith(context.Background(), member)
	}
	for _, address := range gossip.LostReplicas {
		gateway.forwarder.RecheckReplica(address)
	}
	gateway.sources.record(gossip, gateway.settings.Site, now)
	confirmedAt := now.Add(-gossip.StoreAge)
	if gateway.isBehind(gossip) {
		gateway.newerPeer.Store(&newerPeer{gossip, confirmedAt})
		go gateway.fetchNewer()
		return
	}
	gateway.confirmFreshness(gossip, confirmedAt)
}

// mergeState merges what a peer's gossip says of daemons and registrations. It returns
// the members to call because the peer suspects them.
func (gateway *Gateway) mergeState(gossip dragonflyhatch.Gossip, now time.Time) []dragonflyhatch.Member {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	gateway.lastPeerContact = now
	for _, member := range append(gossip.Members, gossip.From) {
		if gateway.roster.Merge(member) {
			gateway.logger.Info("member updated", "host", member.Host, "process", member.Process,
				"leaving", member.Leaving, "version", member.Version)
		}
	}
	if gateway.roster.RecordSuccess(gossip.From.Host, now) {
		gateway.logger.Info("daemon reachable again", "host", gossip.From.Host)
	}
	toCall := gateway.roster.ApplySuspicions(gossip.Suspects, now)
	gateway.mergeLeader(gossip.Leader, gossip.Term)
	for _, address := range gossip.LostReplicas {
		gateway.reports.add(address, gossip.From.Host, now)
	}
	gateway.updateDaemonCount()
	gateway.reportOutage(gateway.freshness.MergeCalls(gossip.StoreAge, gossip.StoreFailureAge, gateway.roster.Size(), now))
	gateway.replicas.observeVersion(gossip.ReplicasVersion)
	if gateway.replicas.applyUpdates(gossip, now) {
		gateway.logger.Info("replica updates received", "host", gossip.From.Host, "version", gateway.replicas.version)
		gateway.requestRebuild()
		gateway.requestPush()
	}
	return toCall
}

// newerPeer is a peer that has newer versions than this daemon.
type newerPeer struct {
	dragonflyhatch.Gossip
	confirmedAt time.Time // when the peer's knowledge of the store was last confirmed
}

// fetchNewer fetches from the latest peer that has newer versions, until this daemon is
// no longer behind it, unless another call does so already. A peer that is found newer
// meanwhile is not forgotten.
func (gateway *Gateway) fetchNewer() {
	for gateway.newerPeer.Load() != nil && gateway.fetchingSnapshots.CompareAndSwap(false, true) {
		if peer := gateway.newerPeer.Swap(nil); peer != nil {
			if gateway.isBehind(peer.Gossip) {
				gateway.fetchSnapshots(context.Background(), peer.Gossip)
			}
			gateway.confirmFreshness(peer.Gossip, peer.confirmedAt)
		}
		gateway.fetchingSnapshots.Store(false)
	}
}

// recordQueueWaits records what a peer reports of the queues of engines.
func (gateway *Gateway) recordQueueWaits(now time.Time, waits []dragonflyhatch.QueueWait) {
	view := gateway.View()
	for _, wait := range waits[:min(len(waits), maxWaitsSent)] {
		if node := view.NodeAt(wait.Address); node != nil {
			observed := now.Add(-wait.Age)
			node.RecordQueueWait(observed, wait.Wait)
			if wait.Running > 0 {
				node.RecordHeadLoad(observed, wait.Running, wait.Waiting)
			}
		}
	}
}

// isBehind reports whether the peer has a newer configuration or newer replicas.
func (gateway *Gateway) isBehind(peer dragonflyhatch.Gossip) bool {
	local := gateway.versions()
	return peer.RoutingVersion > local.RoutingVersion || peer.ReplicasVersion > local.ReplicasVersion
}

// maxPushPeers is the number of peers to which a daemon pushes an update that they
// may not get from the store.
const maxPushPeers = 3

// pushPause is the pause between two pushes, in which updates accumulate. It is
// far below the time within which a drain or a configuration must take effect.
const pushPause = 60 * time.Millisecond

// requestPush schedules a push of updates to peers: immediately, or after pushPause
// if there has just been one.
func (gateway *Gateway) requestPush() {
	select {
	case gateway.pushRequests <- struct{}{}:
	default: // a push is due already
	}
}

// runPushes performs the requested pushes until ctx is done.
func (gateway *Gateway) runPushes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-gateway.pushRequests:
		}
		gateway.pushToPeers(ctx)
		gateway.pause(ctx, pushPause)
	}
}

// pushToPeers exchanges gossip with some of the neighbours, and with the leader if it
// places layers by what this daemon has found.
func (gateway *Gateway) pushToPeers(ctx context.Context) {
	for _, peer := range gateway.pushPeers() {
		go func() { _ = gateway.exchange(ctx, peer.PeerAddress) }() // if it fails, the next exchange repeats the updates
	}
}

// pushPeers returns the peers of a push: all neighbours for a new configuration,
// otherwise maxPushPeers of them, and the leader if a replica was found unreachable.
func (gateway *Gateway) pushPeers() []dragonflyhatch.Member {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	count := maxPushPeers
	if gateway.pushToAll.Swap(false) {
		count = hatchmember.MaxNeighbours
	}
	peers := gateway.roster.PushPeers(gateway.random, count)
	if leader, ok := gateway.roster.Member(gateway.leader.host); ok && gateway.pushToLeader.Swap(false) &&
		!slices.ContainsFunc(peers, func(peer dragonflyhatch.Member) bool { return peer.Host == leader.Host }) {
		peers = append(peers, leader)
	}
	return peers
}

// updateDaemonCount stores the size of the roster for Daemons; the mutex must be
// held.
func (gateway *Gateway) updateDaemonCount() {
	gateway.daemonCount.Store(int32(gateway.roster.Size()))
}

// fetchSnapshots fetches the configuration and the replicas if the peer's versions are
// newer, each from a daemon of the own site that is known to have it, or else from the peer.
func (gateway *Gateway) fetchSnapshots(ctx context.Context, peer dragonflyhatch.Gossip) {
	local := gateway.versions()
	if peer.RoutingVersion > local.RoutingVersion {
		started := time.Now()
		_, value, host, err := gateway.fetchSnapshot(ctx, peer, dragonflyhatch.SnapshotRouting)
		if err != nil {
			gateway.logger.Warn("fetching configuration from peer failed", "host", host, "error", err)
			return
		}
		gateway.applyRouting(value, host)
		// Versions that follow in quick succession are fetched together.
		gateway.pause(ctx, min(configurationPauseFactor*time.Since(started), maxConfigurationPause))
	}
	if peer.ReplicasVersion <= local.ReplicasVersion {
		return
	}
	gateway.pause(ctx, snapshotDelay)
	if peer.ReplicasVersion <= gateway.versions().ReplicasVersion {
		return
	}
	version, value, host, err := gateway.fetchSnapshot(ctx, peer, dragonflyhatch.SnapshotReplicas)
	if err != nil {
		gateway.logger.Warn("fetching replicas from peer failed", "host", host, "error", err)
		return
	}
	gateway.applyReplicaSnapshot(version, value, host)
	if len(value) > largeSnapshotBytes {
		gateway.pause(ctx, largeSnapshotPause)
	}
}

// largeSnapshotBytes is the size in bytes above which a replica snapshot counts as
// large: about 250 replicas.
const largeSnapshotBytes = 64 << 10

// versions returns the version of the configuration in force and the version up
// to which all replica changes are known, in an otherwise empty message.
func (gateway *Gateway) versions() dragonflyhatch.Gossip {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return dragonflyhatch.Gossip{RoutingVersion: gateway.routing.version, ReplicasVersion: gateway.replicas.completeVersion}
}

// Snapshot returns the version and the JSON encoding of the routing configuration
// or of the known replicas.
func (gateway *Gateway) Snapshot(kind dragonflyhatch.SnapshotKind) (uint64, []byte) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if kind == dragonflyhatch.SnapshotReplicas {
		return gateway.replicas.announced(), gateway.encodeReplicas()
	}
	return gateway.routing.version, gateway.routing.value
}
