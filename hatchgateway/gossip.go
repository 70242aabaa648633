package hatchgateway

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"dragonflyhatch"
)

const (
	// gossipInterval is the pause between two exchanges of a daemon: a dead
	// daemon is met by some other within about this time.
	gossipInterval = 400 * time.Millisecond
	// seedInterval is the pause between two calls of a seed that no known daemon is:
	// it may be stale, so it is called less often than members are.
	seedInterval = time.Second
	// gossipTimeout bounds one exchange, which takes some milliseconds.
	gossipTimeout = 300 * time.Millisecond
	// maxLostTold bounds the unreachable replicas in one message.
	maxLostTold = 32
	// snapshotPause is the pause of a daemon after it has fetched all replicas, in
	// which more may change: far below the bounds on drains.
	snapshotPause = 500 * time.Millisecond
	// behindTime is how long a peer may know newer replicas before they are
	// fetched from it: usually the store tells all at once.
	behindTime = 250 * time.Millisecond
)

// gossip exchanges what is known with a random peer now and then until ctx is
// done.
func (gateway *Gateway) gossip(ctx context.Context) {
	for ctx.Err() == nil {
		gateway.pause(ctx, gossipInterval)
		gateway.mu.Lock()
		gateway.roster.Forget(time.Now())
		peers := gateway.roster.Peers(gateway.random)
		gateway.mu.Unlock()
		if len(peers) > 0 {
			gateway.gossipWith(ctx, peers[0])
		}
	}
}

// seek joins the seeds that the daemon does not know, until ctx is done. A daemon
// that knows others goes on with it: two parts of a fleet that know nothing of
// each other would each choose a leader.
func (gateway *Gateway) seek(ctx context.Context) {
	for ctx.Err() == nil {
		gateway.join(ctx)
		pause := seedInterval
		if gateway.Daemons() == 1 {
			pause = gossipInterval
		}
		gateway.pause(ctx, pause)
	}
}

// unknownSeeds returns the addresses of the seeds that no known daemon has.
func (gateway *Gateway) unknownSeeds() []string {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(*gateway.seeds.Load()), gateway.roster.HasAddress)
}

// join exchanges gossip with the seeds that the daemon does not know.
func (gateway *Gateway) join(ctx context.Context) {
	var group conc.WaitGroup
	for _, address := range gateway.unknownSeeds() {
		group.Go(func() {
			if err := gateway.exchange(ctx, address); err != nil {
				gateway.logger.Debug("seed not reached", "address", address, "error", err)
			}
		})
	}
	group.Wait()
}

// gossipWith exchanges gossip with a member. One that does not answer is called
// once more at once, and is then suspect.
func (gateway *Gateway) gossipWith(ctx context.Context, member dragonflyhatch.Member) {
	for range 2 {
		err := gateway.exchange(ctx, member.PeerAddress)
		if err == nil || ctx.Err() != nil {
			return
		}
		gateway.mu.Lock()
		suspect := gateway.roster.Failed(member.Host, time.Now())
		gateway.countDaemons()
		gateway.mu.Unlock()
		if suspect {
			gateway.logger.Warn("daemon does not answer", "host", member.Host, "address", member.PeerAddress, "error", err)
			gateway.tellNews()
		}
	}
}

// exchange sends the daemon's gossip to the address and takes the answer.
func (gateway *Gateway) exchange(ctx context.Context, address string) error {
	gateway.mu.Lock()
	own := gateway.ownGossip(gateway.membersDiffer)
	gateway.mu.Unlock()
	answer, err := gateway.peers.Gossip(ctx, address, own)
	if err != nil {
		return err
	}
	gateway.take(answer)
	gateway.mu.Lock()
	gateway.membersDiffer = answer.MembersDigest != gateway.roster.Digest()
	gateway.mu.Unlock()
	return nil
}

// ownGossip returns what the daemon says to a peer, which may know other members;
// the mutex must be held.
func (gateway *Gateway) ownGossip(differs bool) dragonflyhatch.Gossip {
	now := time.Now()
	gossip := dragonflyhatch.Gossip{
		From:            gateway.roster.Self(),
		Members:         gateway.roster.Tell(gateway.random, differs),
		MembersDigest:   gateway.roster.Digest(),
		Suspects:        gateway.roster.Suspects(),
		RoutingVersion:  gateway.routing.version,
		ReplicasVersion: gateway.replicas.version,
		Leader:          gateway.leader.host,
		Term:            gateway.leader.term,
	}
	gossip.ReplicaNews, gossip.ReplicaNewsFrom = gateway.replicas.news(now)
	gossip.LostReplicas = gateway.View().Unreachable(now, maxLostTold)
	return gossip
}

// ExchangeGossip takes what a peer says and returns the daemon's own.
func (gateway *Gateway) ExchangeGossip(gossip dragonflyhatch.Gossip) dragonflyhatch.Gossip {
	gateway.take(gossip)
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return gateway.ownGossip(gossip.MembersDigest != gateway.roster.Digest())
}

// take merges what a peer says, and looks after what it warns of.
func (gateway *Gateway) take(gossip dragonflyhatch.Gossip) {
	now := time.Now()
	gateway.mu.Lock()
	gateway.lastHeard = now
	for _, member := range append(gossip.Members, gossip.From) {
		if gateway.roster.Heard(member) {
			gateway.logger.Info("daemon heard of", "host", member.Host, "process", member.Process,
				"leaving", member.Leaving, "version", member.Version)
		}
	}
	if gateway.roster.Answered(gossip.From.Host, now) {
		gateway.logger.Info("daemon answers again", "host", gossip.From.Host)
	}
	toCall := gateway.roster.Warned(gossip.Suspects, now)
	gateway.heardLeader(gossip.Leader, gossip.Term)
	for _, address := range gossip.LostReplicas {
		gateway.reports.add(address, gossip.From.Host, now)
	}
	gateway.countDaemons()
	news := gateway.replicas.follow(gossip.ReplicaNews, gossip.ReplicaNewsFrom, now)
	if news {
		gateway.logger.Info("replicas heard of", "host", gossip.From.Host, "version", gateway.replicas.version)
		gateway.rebuild()
	}
	gateway.mu.Unlock()

	if news {
		gateway.tellNews()
	}
	for _, member := range toCall {
		go gateway.gossipWith(context.Background(), member)
	}
	for _, address := range gossip.LostReplicas {
		gateway.forwarder.Recheck(address)
	}
	if gateway.isBehind(gossip) && gateway.catchingUp.CompareAndSwap(false, true) {
		go func() {
			defer gateway.catchingUp.Store(false)
			gateway.catchUp(context.Background(), gossip)
		}()
	}
}

// isBehind says whether the peer knows something newer.
func (gateway *Gateway) isBehind(peer dragonflyhatch.Gossip) bool {
	own := gateway.versions()
	return peer.RoutingVersion > own.RoutingVersion || peer.ReplicasVersion > own.ReplicasVersion
}

// toldOfNews is the number of peers that a daemon tells at once of what it has
// learnt and others may not hear from the store.
const toldOfNews = 3

// newsPause is the pause between two rounds of telling news, in which more may
// gather: far below the bounds on drains and configurations.
const newsPause = 60 * time.Millisecond

// tellNews has the peers told at once that there is news, or soon after the last
// time.
func (gateway *Gateway) tellNews() {
	select {
	case gateway.news <- struct{}{}:
	default: // it is about to be told
	}
}

// spreadNews tells news until ctx is done.
func (gateway *Gateway) spreadNews(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-gateway.news:
		}
		gateway.tellPeers(ctx)
		gateway.pause(ctx, newsPause)
	}
}

// tellPeers exchanges gossip with the leader and some random peers.
func (gateway *Gateway) tellPeers(ctx context.Context) {
	gateway.mu.Lock()
	peers := gateway.roster.Peers(gateway.random)
	leader := gateway.leader.host
	gateway.mu.Unlock()
	if at := slices.IndexFunc(peers, func(peer dragonflyhatch.Member) bool { return peer.Host == leader }); at > 0 {
		peers[0], peers[at] = peers[at], peers[0]
	}
	for _, peer := range peers[:min(len(peers), toldOfNews)] {
		go func() { _ = gateway.exchange(ctx, peer.PeerAddress) }() // the next exchange tells it again
	}
}

// countDaemons notes how many daemons share the work; the mutex must be held.
func (gateway *Gateway) countDaemons() {
	gateway.daemons.Store(int32(gateway.roster.Size()))
}

// catchUp fetches from the peer what it knows and this daemon does not.
func (gateway *Gateway) catchUp(ctx context.Context, peer dragonflyhatch.Gossip) {
	own := gateway.versions()
	if peer.RoutingVersion > own.RoutingVersion {
		_, value, err := gateway.peers.Snapshot(ctx, peer.From.PeerAddress, dragonflyhatch.SnapshotRouting)
		if err != nil {
			gateway.logger.Warn("configuration not fetched", "host", peer.From.Host, "error", err)
			return
		}
		gateway.adoptRouting(value, peer.From.Host)
	}
	if peer.ReplicasVersion <= own.ReplicasVersion {
		return
	}
	gateway.pause(ctx, behindTime) // usually the store tells meanwhile
	if peer.ReplicasVersion <= gateway.versions().ReplicasVersion {
		return
	}
	version, value, err := gateway.peers.Snapshot(ctx, peer.From.PeerAddress, dragonflyhatch.SnapshotReplicas)
	if err != nil {
		gateway.logger.Warn("replicas not fetched", "host", peer.From.Host, "error", err)
		return
	}
	gateway.adoptReplicas(version, value, peer.From.Host)
	if len(value) > largeSnapshot {
		gateway.pause(ctx, snapshotPause)
	}
}

// largeSnapshot is the size of a listing of replicas, in bytes, from which a
// daemon rests after it has taken one: about 250 replicas.
const largeSnapshot = 64 << 10

// versions returns the versions up to which the daemon knows all.
func (gateway *Gateway) versions() dragonflyhatch.Gossip {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return dragonflyhatch.Gossip{RoutingVersion: gateway.routing.version, ReplicasVersion: gateway.replicas.seen}
}

// Snapshot returns the routing or the replicas that the daemon knows, as JSON,
// and the version.
func (gateway *Gateway) Snapshot(kind dragonflyhatch.SnapshotKind) (uint64, []byte) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if kind == dragonflyhatch.SnapshotReplicas {
		return gateway.replicas.version, gateway.encodeReplicas()
	}
	return gateway.routing.version, gateway.routing.value
}
