package hatchgateway

import (
	"slices"
	"time"

	"dragonflyhatch"
	"dragonflyhatch/hatchpath"
)

const (
	// reportAge is how long a daemon's word counts that it cannot reach a
	// replica: daemons repeat it in their gossip while it holds.
	reportAge = 2 * time.Second
	// reportersNeeded is how many daemons must say so before layers are placed
	// elsewhere: one alone may have been held up itself.
	reportersNeeded = 3
)

// lossReports is who could not reach which replica, and when.
type lossReports map[string]map[string]time.Time // by address and host

// add notes that the host could not reach the address.
func (reports lossReports) add(address, host string, now time.Time) {
	if reports[address] == nil {
		reports[address] = make(map[string]time.Time)
	}
	reports[address][host] = now
}

// confirmed says whether enough daemons, or more than half of a small fleet,
// could not reach the address lately.
func (reports lossReports) confirmed(address string, fleet int, now time.Time) bool {
	fresh := 0
	for host, at := range reports[address] {
		if now.Sub(at) > reportAge {
			delete(reports[address], host)
			continue
		}
		fresh++
	}
	if fresh == 0 {
		delete(reports, address)
	}
	return fresh > 0 && fresh >= min(reportersNeeded, fleet/2+1)
}

// isLost says whether the replica is unreachable for this daemon and for others.
func (gateway *Gateway) isLost(address string, health *hatchpath.Health, now time.Time) bool {
	return health.DownFor(now) > lostAfter && gateway.othersMiss(address, now)
}

// Gone says whether the replica at the address is not registered any more, or is
// unreachable for this daemon and for others.
func (gateway *Gateway) Gone(address string) bool {
	now := time.Now()
	replicas := gateway.View().Replicas()
	at := slices.IndexFunc(replicas, func(replica dragonflyhatch.Replica) bool { return replica.Address == address })
	if at < 0 {
		return true
	}
	return gateway.healths.Of(replicas[at]).DownFor(now) > 0 && gateway.othersMiss(address, now)
}

// othersMiss says whether enough daemons cannot reach the address, this one
// included.
func (gateway *Gateway) othersMiss(address string, now time.Time) bool {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	gateway.reports.add(address, gateway.settings.Host, now)
	return gateway.reports.confirmed(address, gateway.roster.Size(), now)
}
