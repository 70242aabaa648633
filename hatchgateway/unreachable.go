package hatchgateway

import (
	"slices"
	"time"

	"dragonflyhatch"
	"dragonflyhatch/hatchpath"
)

const (
	// reportTTL is how long a daemon's report of an unreachable replica counts. The
	// daemon repeats it in its gossip while the replica is unreachable.
	reportTTL = 2 * time.Second
	// minReporters is how many daemons must report a replica before its layers are
	// placed elsewhere: a single daemon may itself have been delayed.
	minReporters = 3
)

// unreachableReports records which hosts could not reach which replica, and when.
type unreachableReports map[string]map[string]time.Time // by address and host

// add records that the host could not reach the address.
func (reports unreachableReports) add(address, host string, now time.Time) {
	if reports[address] == nil {
		reports[address] = make(map[string]time.Time)
	}
	reports[address][host] = now
}

// isConfirmed reports whether minReporters daemons, or more than half of a small
// fleet, have reported the address within reportTTL. It drops expired reports.
func (reports unreachableReports) isConfirmed(address string, fleet int, now time.Time) bool {
	fresh := 0
	for host, at := range reports[address] {
		if now.Sub(at) > reportTTL {
			delete(reports[address], host)
			continue
		}
		fresh++
	}
	if fresh == 0 {
		delete(reports, address)
	}
	return fresh > 0 && fresh >= min(minReporters, fleet/2+1)
}

// isUnreachable reports whether this daemon has not reached the replica for longer
// than unreachableThreshold and enough daemons confirm it.
func (gateway *Gateway) isUnreachable(address string, health *hatchpath.Health, now time.Time) bool {
	return health.DownFor(now) > unreachableThreshold && gateway.confirmUnreachable(address, now)
}

// IsGone reports whether the replica at the address is no longer registered, or is
// unreachable from this daemon and enough others.
func (gateway *Gateway) IsGone(address string) bool {
	now := time.Now()
	replicas := gateway.View().Replicas()
	index := slices.IndexFunc(replicas, func(replica dragonflyhatch.Replica) bool { return replica.Address == address })
	if index < 0 {
		return true
	}
	return gateway.healths.Get(replicas[index]).DownFor(now) > 0 && gateway.confirmUnreachable(address, now)
}

// confirmUnreachable records this daemon's own report on the address and reports
// whether enough daemons, this one included, cannot reach it.
func (gateway *Gateway) confirmUnreachable(address string, now time.Time) bool {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	gateway.reports.add(address, gateway.settings.Host, now)
	return gateway.reports.isConfirmed(address, gateway.roster.Size(), now)
}
