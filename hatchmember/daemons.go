package hatchmember

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Daemon is one daemon of the fleet as it has registered itself.
type Daemon struct {
	Host            string `json:"host"`
	Site            string `json:"site"`
	Process         string `json:"process"` // name of this start of the daemon, used once
	CallerAddress   string `json:"callerAddress"`
	OperatorAddress string `json:"operatorAddress"`
	PeerAddress     string `json:"peerAddress"`
	Leaving         bool   `json:"leaving"`
}

// suspectAfter is the number of failed calls in a row after which a daemon is
// avoided.
const suspectAfter = 2

// Daemons is one daemon's view of the fleet.
type Daemons struct {
	self  string
	known map[string]*member // by host
}

type member struct {
	Daemon
	version   uint64 // of the registration
	failures  int    // calls in a row that this daemon made in vain
	lastTried time.Time
}

// NewDaemons returns the view of the daemon named self.
func NewDaemons(self string) *Daemons {
	return &Daemons{self: self, known: make(map[string]*member)}
}

// Registered takes a registration; an older version changes nothing.
func (daemons *Daemons) Registered(daemon Daemon, version uint64) {
	known, ok := daemons.known[daemon.Host]
	if !ok {
		daemons.known[daemon.Host] = &member{Daemon: daemon, version: version}
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

// Removed takes the end of a registration.
func (daemons *Daemons) Removed(host string, version uint64) {
	if known, ok := daemons.known[host]; ok && version >= known.version {
		delete(daemons.known, host)
	}
}

// Answered notes that a call of this daemon to the host came through.
func (daemons *Daemons) Answered(host string, now time.Time) {
	if known, ok := daemons.known[host]; ok {
		known.failures = 0
		known.lastTried = now
	}
}

// Said takes what a process says of itself. It may not be registered yet; a
// process that leaves never comes back, but its host may, with another one.
func (daemons *Daemons) Said(host, process string, leaving bool) {
	known, ok := daemons.known[host]
	if !ok {
		return
	}
	if known.Process != process {
		known.Process, known.Leaving = process, false
	}
	known.Leaving = known.Leaving || leaving
}

// Failed notes that a call to the host did not come through, and says whether
// the host has become suspect by it.
func (daemons *Daemons) Failed(host string) bool {
	known, ok := daemons.known[host]
	if !ok {
		return false
	}
	known.failures++
	return known.failures == suspectAfter
}

// Suspects returns the hosts that do not answer this daemon.
func (daemons *Daemons) Suspects() []string {
	var hosts []string
	for _, host := range slices.Sorted(maps.Keys(daemons.known)) {
		if daemons.known[host].suspect() {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// warnInterval is how long a daemon's own contact with a host outweighs the
// warning of another.
const warnInterval = time.Second

// Warned takes the word of another daemon that hosts do not answer it. It
// returns those that this daemon should call to see for itself; nothing else
// follows from the word of others.
func (daemons *Daemons) Warned(hosts []string, now time.Time) []Daemon {
	var toCall []Daemon
	for _, host := range hosts {
		known, ok := daemons.known[host]
		if !ok || host == daemons.self || known.suspect() || now.Sub(known.lastTried) < warnInterval {
			continue
		}
		known.lastTried = now
		toCall = append(toCall, known.Daemon)
	}
	return toCall
}

func (member *member) suspect() bool {
	return member.failures >= suspectAfter
}

// Find returns the daemon on the host, or false.
func (daemons *Daemons) Find(host string) (Daemon, bool) {
	known, ok := daemons.known[host]
	if !ok {
		return Daemon{}, false
	}
	return known.Daemon, true
}

// All returns every registered daemon by host.
func (daemons *Daemons) All() []Daemon {
	list := make([]Daemon, 0, len(daemons.known))
	for _, host := range slices.Sorted(maps.Keys(daemons.known)) {
		list = append(list, daemons.known[host].Daemon)
	}
	return list
}

// Peers returns the other daemons by host, suspects included, so that one that
// has come back is noticed.
func (daemons *Daemons) Peers() []Daemon {
	return slices.DeleteFunc(daemons.All(), func(daemon Daemon) bool { return daemon.Host == daemons.self })
}

// Serving returns the daemons that are neither leaving nor suspect, by host.
func (daemons *Daemons) Serving() []Daemon {
	return slices.DeleteFunc(daemons.All(), func(daemon Daemon) bool {
		return daemon.Leaving || daemons.known[daemon.Host].suspect()
	})
}

// Entries returns the daemons that a caller may use: those of the site first,
// and among equals in an order that differs from caller to caller.
func (daemons *Daemons) Entries(site, caller string) []Daemon {
	list := daemons.Serving()
	slices.SortStableFunc(list, func(a, b Daemon) int {
		return cmp.Or(
			compareBool(a.Site != site, b.Site != site),
			cmp.Compare(weight(caller, a.Host), weight(caller, b.Host)),
		)
	})
	return list
}

// Owners returns the daemons by their right to own the claim shard: the
// serving ones by rendezvous hash, so that one daemon's going moves only its
// own shards.
func (daemons *Daemons) Owners(shard int) []Daemon {
	name := strconv.Itoa(shard)
	list := daemons.Serving()
	slices.SortFunc(list, func(a, b Daemon) int {
		return cmp.Compare(weight(name, a.Host), weight(name, b.Host))
	})
	return list
}

func weight(name, host string) uint64 {
	return xxhash.Sum64String(name + "\x00" + host)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
