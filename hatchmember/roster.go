package hatchmember

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"dragonflyhatch"
)

const (
	// membersTold bounds the members in one message of gossip.
	membersTold = 16
	// forgetAfter is how long a member that answers nobody is kept, so that one
	// that was cut off is found again.
	forgetAfter = time.Minute
	// failuresToSuspect is the number of failed calls in a row after which a
	// member is suspect: the first may have met a connection that had gone
	// silent.
	failuresToSuspect = 2
)

// Roster is one daemon's view of the daemons of a gateway. What members say of
// themselves is passed on by all, and the highest version wins. Whether a member
// can be reached is decided by this daemon's own calls; a warning by others only
// makes it call.
type Roster struct {
	self    dragonflyhatch.Member
	members map[string]*rosterEntry // by host, without self
}

type rosterEntry struct {
	dragonflyhatch.Member
	failures     int       // own calls in a row in vain
	lastCalled   time.Time // by this daemon
	suspectSince time.Time
	news         int // messages in which the member is still to be told first
}

// newsTold is how often a changed member is told before others.
const newsTold = 6

// NewRoster returns the roster of a daemon that knows nobody yet.
func NewRoster(self dragonflyhatch.Member) *Roster {
	return &Roster{self: self, members: make(map[string]*rosterEntry)}
}

// Self returns what the daemon says of itself.
func (roster *Roster) Self() dragonflyhatch.Member {
	return roster.self
}

// Leave makes the daemon say that it is leaving.
func (roster *Roster) Leave() {
	roster.self.Leaving = true
	roster.self.Version++
}

// SetStoreLost makes the daemon say whether it reaches the store, and returns
// true if that is a change.
func (roster *Roster) SetStoreLost(lost bool) bool {
	if roster.self.StoreLost == lost {
		return false
	}
	roster.self.StoreLost = lost
	roster.self.Version++
	return true
}

// Heard takes what a member has said of itself, by whatever way, and says
// whether it was news. A description of this host by another process, or of an
// earlier one with a higher version, makes the daemon raise its own.
func (roster *Roster) Heard(member dragonflyhatch.Member) bool {
	if member.Host == "" {
		return false
	}
	if member.Host == roster.self.Host {
		if member.Process != roster.self.Process && member.Version >= roster.self.Version {
			roster.self.Version = member.Version + 1
			return true
		}
		return false
	}
	known, ok := roster.members[member.Host]
	if ok && member.Version <= known.Version {
		return false
	}
	entry := &rosterEntry{Member: member, news: newsTold}
	if ok && known.Process == member.Process {
		entry.failures, entry.suspectSince, entry.lastCalled = known.failures, known.suspectSince, known.lastCalled
	}
	roster.members[member.Host] = entry
	return true
}

// HasAddress says whether peers call this daemon or a member at the address.
func (roster *Roster) HasAddress(peerAddress string) bool {
	if roster.self.PeerAddress == peerAddress {
		return true
	}
	for _, entry := range roster.members {
		if entry.PeerAddress == peerAddress {
			return true
		}
	}
	return false
}

// Answered notes that a call to the host came through. It returns true if the
// host was suspect.
func (roster *Roster) Answered(host string, now time.Time) bool {
	entry, ok := roster.members[host]
	if !ok {
		return false
	}
	was := entry.suspect()
	entry.failures, entry.lastCalled, entry.suspectSince = 0, now, time.Time{}
	return was
}

// Failed notes that a call to the host did not come through. It returns true if
// the host has become suspect by it.
func (roster *Roster) Failed(host string, now time.Time) bool {
	entry, ok := roster.members[host]
	if !ok {
		return false
	}
	entry.failures++
	entry.lastCalled = now
	if entry.failures != failuresToSuspect {
		return false
	}
	entry.suspectSince = now
	return true
}

func (entry *rosterEntry) suspect() bool {
	return entry.failures >= failuresToSuspect
}

// Warned takes the word of another daemon that hosts do not answer it, and
// returns the members that this daemon should call to see for itself.
func (roster *Roster) Warned(hosts []string, now time.Time) []dragonflyhatch.Member {
	var toCall []dragonflyhatch.Member
	for _, host := range hosts {
		entry, ok := roster.members[host]
		if !ok || entry.suspect() || now.Sub(entry.lastCalled) < warnInterval {
			continue
		}
		entry.lastCalled = now
		toCall = append(toCall, entry.Member)
	}
	return toCall
}

// Suspects returns the hosts that do not answer this daemon.
func (roster *Roster) Suspects() []string {
	var hosts []string
	for _, host := range slices.Sorted(maps.Keys(roster.members)) {
		if roster.members[host].suspect() {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// Forget drops the members that have been suspect for long.
func (roster *Roster) Forget(now time.Time) {
	for host, entry := range roster.members {
		if entry.suspect() && now.Sub(entry.suspectSince) > forgetAfter {
			delete(roster.members, host)
		}
	}
}

// Peers returns the other members in random order, suspects included, so that
// one that has come back is noticed.
func (roster *Roster) Peers(random *rand.Rand) []dragonflyhatch.Member {
	var peers []dragonflyhatch.Member
	for _, host := range slices.Sorted(maps.Keys(roster.members)) {
		peers = append(peers, roster.members[host].Member)
	}
	random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}

// Digest sums up what the daemon knows of all members; two that know the same
// have the same digest.
func (roster *Roster) Digest() uint64 {
	sum := describeSum(roster.self)
	for _, entry := range roster.members {
		sum ^= describeSum(entry.Member)
	}
	return sum
}

func describeSum(member dragonflyhatch.Member) uint64 {
	return xxhash.Sum64String(member.Host + "\x00" + strconv.FormatUint(member.Version, 10))
}

// Tell returns the members to tell in one message: those with news first, and if
// the peer may know others than this daemon, random ones too.
func (roster *Roster) Tell(random *rand.Rand, differs bool) []dragonflyhatch.Member {
	peers := roster.Peers(random)
	if !differs {
		peers = slices.DeleteFunc(peers, func(peer dragonflyhatch.Member) bool { return roster.members[peer.Host].news == 0 })
	}
	slices.SortStableFunc(peers, func(a, b dragonflyhatch.Member) int {
		return cmp.Compare(roster.members[b.Host].news, roster.members[a.Host].news)
	})
	peers = peers[:min(len(peers), membersTold)]
	for _, peer := range peers {
		if entry := roster.members[peer.Host]; entry.news > 0 {
			entry.news--
		}
	}
	return peers
}

// Serving returns the members that take requests, this daemon included unless
// it is leaving, by host.
func (roster *Roster) Serving() []dragonflyhatch.Member {
	var serving []dragonflyhatch.Member
	if !roster.self.Leaving {
		serving = append(serving, roster.self)
	}
	for _, entry := range roster.members {
		if !entry.Leaving && !entry.suspect() {
			serving = append(serving, entry.Member)
		}
	}
	slices.SortFunc(serving, func(a, b dragonflyhatch.Member) int { return cmp.Compare(a.Host, b.Host) })
	return serving
}

// Size returns how many daemons the roster knows, suspects included.
func (roster *Roster) Size() int {
	return len(roster.members) + 1
}

// minimumLocal is the number of daemons in a caller's own site below which it is
// sent to all sites.
const minimumLocal = 2

// Entries returns the daemons that callers in the site should use: those of the
// site if there are enough, and else all.
func (roster *Roster) Entries(site string) []dragonflyhatch.Member {
	serving := roster.Serving()
	var local []dragonflyhatch.Member
	for _, member := range serving {
		if member.Site == site {
			local = append(local, member)
		}
	}
	if len(local) >= minimumLocal {
		return local
	}
	return serving
}

// Rank returns the place of this daemon among those that may have the duty of
// that name, 0 for the first: machines with more processor come first, daemons
// that do not reach the store last. It returns -1 if this daemon is leaving.
func (roster *Roster) Rank(name string) int {
	serving := roster.Serving()
	slices.SortFunc(serving, func(a, b dragonflyhatch.Member) int {
		return cmp.Or(
			compareBool(a.StoreLost, b.StoreLost),
			cmp.Compare(b.MilliCores, a.MilliCores),
			cmp.Compare(weight(name, a.Host), weight(name, b.Host)),
		)
	})
	return slices.IndexFunc(serving, func(member dragonflyhatch.Member) bool { return member.Host == roster.self.Host })
}

// IsServing says whether the host takes requests as far as this daemon knows.
func (roster *Roster) IsServing(host string) bool {
	if host == roster.self.Host {
		return !roster.self.Leaving
	}
	entry, ok := roster.members[host]
	return ok && !entry.Leaving && !entry.suspect()
}

// IsServingProcess says whether that process takes requests on the host, as far
// as this daemon knows.
func (roster *Roster) IsServingProcess(host, process string) bool {
	entry, ok := roster.members[host]
	return ok && entry.Process == process && roster.IsServing(host)
}
