package hatchmember

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Daemon is one daemon of the fleet, as described by its registration.
type Daemon struct {
	Host            string `json:"host"`
	Site            string `json:"site"`
	Process         string `json:"process"` // unique name of this start of the daemon
	CallerAddress   string `json:"callerAddress"`
	OperatorAddress string `json:"operatorAddress"`
	PeerAddress     string `json:"peerAddress"`
	Leaving         bool   `json:"leaving"`
}

// daemonSuspectThreshold is the number of consecutive failed calls that makes a
// daemon suspect.
const daemonSuspectThreshold = 2

// Daemons is one daemon's view of a fleet whose daemons are registered. See Roster
// for a fleet whose daemons know each other by gossip.
type Daemons struct {
	self  string
	known map[string]*daemonEntry // by host
}

type daemonEntry struct {
	Daemon
	version    uint64    // of the registration
	failures   int       // consecutive failed calls from this daemon
	lastCalled time.Time // by this daemon
}

// NewDaemons returns an empty view for the daemon on the host self.
func NewDaemons(self string) *Daemons {
	return &Daemons{self: self, known: make(map[string]*daemonEntry)}
}

// AddRegistration applies a registration unless a newer one is known.
func (daemons *Daemons) AddRegistration(daemon Daemon, version uint64) {
	known, ok := daemons.known[daemon.Host]
	if !ok {
		daemons.known[daemon.Host] = &daemonEntry{Daemon: daemon, version: version}
		return
	}
	if version < known.version {
		return
	}
	if daemon.Process != known.Process {
		known.failures = 0
	}
	known.Daemon, known.version = daemon, version
}

// RemoveRegistration deletes the daemon of the host unless a newer registration is
// known.
func (daemons *Daemons) RemoveRegistration(host string, version uint64) {
	if known, ok := daemons.known[host]; ok && version >= known.version {
		delete(daemons.known, host)
	}
}

// RecordSuccess records that a call of this daemon to the host succeeded.
func (daemons *Daemons) RecordSuccess(host string, now time.Time) {
	if known, ok := daemons.known[host]; ok {
		known.failures = 0
		known.lastCalled = now
	}
}

// UpdateProcess applies what a process on a registered host reports about itself. It
// replaces the process known there, as its own registration may arrive later. A
// process that is leaving never serves again, but another process on its host may.
func (daemons *Daemons) UpdateProcess(host, process string, leaving bool) {
	known, ok := daemons.known[host]
	if !ok {
		return
	}
	if known.Process != process {
		known.Process, known.Leaving = process, false
	}
	known.Leaving = known.Leaving || leaving
}

// RecordFailure records that a call of this daemon to the host failed, and reports
// whether that has made the host suspect.
func (daemons *Daemons) RecordFailure(host string) bool {
	known, ok := daemons.known[host]
	if !ok {
		return false
	}
	known.failures++
	return known.failures == daemonSuspectThreshold
}

// Suspects returns the hosts that are suspect because they did not answer this
// daemon.
func (daemons *Daemons) Suspects() []string {
	var hosts []string
	for _, host := range slices.Sorted(maps.Keys(daemons.known)) {
		if daemons.known[host].isSuspect() {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// suspicionCheckInterval is how long a daemon ignores other daemons' suspicions of a
// host after it has called the host itself.
const suspicionCheckInterval = time.Second

// ApplySuspicions handles another daemon's suspicions. It returns the daemons that
// this daemon should call to check them, and records them as called. Other daemons'
// suspicions do not make a host suspect.
func (daemons *Daemons) ApplySuspicions(hosts []string, now time.Time) []Daemon {
	var toCall []Daemon
	for _, host := range hosts {
		known, ok := daemons.known[host]
		if !ok || host == daemons.self || known.isSuspect() || now.Sub(known.lastCalled) < suspicionCheckInterval {
			continue
		}
		known.lastCalled = now
		toCall = append(toCall, known.Daemon)
	}
	return toCall
}

func (entry *daemonEntry) isSuspect() bool {
	return entry.failures >= daemonSuspectThreshold
}

// Find returns the daemon on the host and whether there is one.
func (daemons *Daemons) Find(host string) (Daemon, bool) {
	known, ok := daemons.known[host]
	if !ok {
		return Daemon{}, false
	}
	return known.Daemon, true
}

// All returns every registered daemon, sorted by host.
func (daemons *Daemons) All() []Daemon {
	list := make([]Daemon, 0, len(daemons.known))
	for _, host := range slices.Sorted(maps.Keys(daemons.known)) {
		list = append(list, daemons.known[host].Daemon)
	}
	return list
}

// Peers returns the other daemons, sorted by host. It includes suspects, so
// that calls find out when one has recovered.
func (daemons *Daemons) Peers() []Daemon {
	return slices.DeleteFunc(daemons.All(), func(daemon Daemon) bool { return daemon.Host == daemons.self })
}

// Serving returns the daemons that are neither leaving nor suspect, sorted by
// host.
func (daemons *Daemons) Serving() []Daemon {
	return slices.DeleteFunc(daemons.All(), func(daemon Daemon) bool {
		return daemon.Leaving || daemons.known[daemon.Host].isSuspect()
	})
}

// Entries returns the serving daemons in the order in which the caller should
// try them: those of the site first, and among equals in an order that differs
// between callers.
func (daemons *Daemons) Entries(site, caller string) []Daemon {
	list := daemons.Serving()
	slices.SortStableFunc(list, func(a, b Daemon) int {
		return cmp.Or(
			compareBool(a.Site != site, b.Site != site),
			cmp.Compare(rendezvousWeight(caller, a.Host), rendezvousWeight(caller, b.Host)),
		)
	})
	return list
}

// Owners returns the serving daemons by precedence as owner of the claim shard.
// The order is by rendezvous hash, so that only the shards of a daemon that
// stops change their owner.
func (daemons *Daemons) Owners(shard int) []Daemon {
	name := strconv.Itoa(shard)
	list := daemons.Serving()
	slices.SortFunc(list, func(a, b Daemon) int {
		return cmp.Compare(rendezvousWeight(name, a.Host), rendezvousWeight(name, b.Host))
	})
	return list
}

func rendezvousWeight(name, host string) uint64 {
	return xxhash.Sum64String(name + "\x00" + host)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
