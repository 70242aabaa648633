package hatchgateway

import (
	"context"
	"sync"
	"time"

	"dragonflyhatch"
)

const (
	// sourceTTL is how long after its gossip a daemon of the site counts as a source of
	// snapshots: a few gossip intervals, so that it is likely to answer.
	sourceTTL = time.Second
	// sourceTimeout bounds the transfer of a snapshot within the site, after which it is
	// fetched from the peer that announced it. It normally takes some milliseconds.
	sourceTimeout = 250 * time.Millisecond
)

// source is a daemon of the own site and the version that it has announced.
type source struct {
	member  dragonflyhatch.Member
	version uint64
	at      time.Time
}

// snapshotSources knows which daemon of the own site has announced the highest versions.
// It is safe for concurrent use.
type snapshotSources struct {
	mu     sync.Mutex
	byKind map[dragonflyhatch.SnapshotKind]source
}

// record records what a peer announces, if it is in the site.
func (sources *snapshotSources) record(gossip dragonflyhatch.Gossip, site string, now time.Time) {
	if gossip.From.Site != site || gossip.From.Leaving {
		return
	}
	sources.mu.Lock()
	defer sources.mu.Unlock()
	if sources.byKind == nil {
		sources.byKind = make(map[dragonflyhatch.SnapshotKind]source)
	}
	for kind, version := range map[dragonflyhatch.SnapshotKind]uint64{
		dragonflyhatch.SnapshotRouting: gossip.RoutingVersion, dragonflyhatch.SnapshotReplicas: gossip.ReplicasVersion,
	} {
		if known := sources.byKind[kind]; version >= known.version || now.Sub(known.at) > sourceTTL {
			sources.byKind[kind] = source{gossip.From, version, now}
		}
	}
}

// find returns a daemon of the site that has lately announced the version or a newer one.
func (sources *snapshotSources) find(kind dragonflyhatch.SnapshotKind, version uint64, now time.Time) (dragonflyhatch.Member, bool) {
	sources.mu.Lock()
	defer sources.mu.Unlock()
	known, ok := sources.byKind[kind]
	return known.member, ok && known.version >= version && now.Sub(known.at) <= sourceTTL
}

// fetchSnapshot fetches what the peer has announced, from a daemon of the own site if one
// is known to have it and answers in time, otherwise from the peer. Nothing waits for a
// daemon of the site to announce it. The host is the one asked last.
func (gateway *Gateway) fetchSnapshot(ctx context.Context, peer dragonflyhatch.Gossip, kind dragonflyhatch.SnapshotKind) (version uint64, value []byte, host string, err error) {
	announced := peer.RoutingVersion
	if kind == dragonflyhatch.SnapshotReplicas {
		announced = peer.ReplicasVersion
	}
	isRemote := peer.From.Site != gateway.settings.Site
	if local, ok := gateway.sources.find(kind, announced, time.Now()); ok && isRemote {
		bounded, cancel := context.WithTimeout(ctx, sourceTimeout)
		defer cancel()
		version, value, err = gateway.peers.Snapshot(bounded, local.PeerAddress, kind)
		if err == nil && version >= announced {
			return version, value, local.Host, nil
		}
		gateway.logger.Info("daemon of the site has no snapshot", "host", local.Host, "kind", kind, "version", announced, "error", err)
	}
	version, value, err = gateway.peers.Snapshot(ctx, peer.From.PeerAddress, kind)
	return version, value, peer.From.Host, err
}
