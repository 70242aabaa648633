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
	// maxMembersPerMessage limits the members in one gossip message.
	maxMembersPerMessage = 16
	// suspectRetention is how long a suspect is kept, so that it is found again
	// after a partition.
	suspectRetention = time.Minute
	// memberSuspectThreshold is the number of consecutive failed calls that
	// makes a member suspect: the first may have failed because it used a
	// connection that had broken.
	memberSuspectThreshold = 2
)

// Roster is one daemon's view of the daemons on the platform. Daemons pass on each
// member's description of itself by gossip, and the highest version wins. This
// daemon's own calls decide whether a member is reachable; suspicions of other
// daemons only cause it to call the member.
type Roster struct {
	self    dragonflyhatch.Member
	members map[string]*rosterEntry // by host, without self

	// What follows is derived from the members, so that the cost of a message does not
	// grow with their number.
	membersDigest uint64               // without self
	pending       map[string]bool      // hosts with pending sends
	suspectCount  int                  // number of suspects
	sortedHosts   []string             // nil if stale
	rings         []ring               // nil if stale
	weights       map[weightKey]uint64 // rendezvous weights that were needed so far
}

// weightKey identifies the rendezvous weight of a host for a duty.
type weightKey struct{ name, host string }

type rosterEntry struct {
	dragonflyhatch.Member
	failures     int       // consecutive failed calls from this daemon
	lastCalled   time.Time // by this daemon
	suspectSince time.Time
	pendingSends int // messages in which the member is still to be sent with priority
}

// updateSendCount is the number of messages in which a changed member is sent
// with priority.
const updateSendCount = 6

// NewRoster returns the roster of a daemon that knows no other members yet.
func NewRoster(self dragonflyhatch.Member) *Roster {
	return &Roster{
		self: self, members: make(map[string]*rosterEntry),
		pending: make(map[string]bool), weights: make(map[weightKey]uint64),
	}
}

// Self returns this daemon's description of itself.
func (roster *Roster) Self() dragonflyhatch.Member {
	return roster.self
}

// MarkLeaving marks this daemon as leaving.
func (roster *Roster) MarkLeaving() {
	roster.self.Leaving = true
	roster.self.Version++
}

// SetStoreLost sets whether this daemon cannot reach the store, and reports
// whether that is a change.
func (roster *Roster) SetStoreLost(lost bool) bool {
	if roster.self.StoreLost == lost {
		return false
	}
	roster.self.StoreLost = lost
	roster.self.Version++
	return true
}

// Merge merges a member's description of itself, received directly or by way of
// others, and reports whether that changed the roster. If it describes another
// process on this daemon's own host and its version is not lower, the daemon
// raises its own version above it.
func (roster *Roster) Merge(member dragonflyhatch.Member) bool {
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
	entry := &rosterEntry{Member: member, pendingSends: updateSendCount}
	if ok && known.Process == member.Process {
		entry.failures, entry.suspectSince, entry.lastCalled = known.failures, known.suspectSince, known.lastCalled
	}
	if ok {
		roster.forget(known)
	}
	if !ok || known.Site != member.Site {
		roster.sortedHosts, roster.rings = nil, nil
	}
	roster.membersDigest ^= memberHash(member)
	roster.pending[member.Host] = true
	if entry.isSuspect() {
		roster.suspectCount++
	}
	roster.members[member.Host] = entry
	return true
}

// forget removes the entry from what is derived from the members.
func (roster *Roster) forget(entry *rosterEntry) {
	roster.membersDigest ^= memberHash(entry.Member)
	if entry.isSuspect() {
		roster.suspectCount--
	}
}

// Member returns the description of the host, or false if it is not a known member.
func (roster *Roster) Member(host string) (dragonflyhatch.Member, bool) {
	entry, ok := roster.members[host]
	if !ok {
		return dragonflyhatch.Member{}, false
	}
	return entry.Member, true
}

// HasAddress reports whether the address is the peer address of this daemon or
// of a member.
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

// RecordSuccess records that a call to the host succeeded, and reports whether the
// host was suspect before.
func (roster *Roster) RecordSuccess(host string, now time.Time) bool {
	entry, ok := roster.members[host]
	if !ok {
		return false
	}
	wasSuspect := entry.isSuspect()
	if wasSuspect {
		roster.suspectCount--
	}
	entry.failures, entry.lastCalled, entry.suspectSince = 0, now, time.Time{}
	return wasSuspect
}

// RecordFailure records that a call to the host failed, and reports whether that has
// made the host suspect.
func (roster *Roster) RecordFailure(host string, now time.Time) bool {
	entry, ok := roster.members[host]
	if !ok {
		return false
	}
	entry.failures++
	entry.lastCalled = now
	if entry.failures != memberSuspectThreshold {
		return false
	}
	entry.suspectSince = now
	roster.suspectCount++
	return true
}

func (entry *rosterEntry) isSuspect() bool {
	return entry.failures >= memberSuspectThreshold
}

// ApplySuspicions handles another daemon's suspicions. It returns the members that
// this daemon should call to check them, and records them as called.
func (roster *Roster) ApplySuspicions(hosts []string, now time.Time) []dragonflyhatch.Member {
	var toCall []dragonflyhatch.Member
	for _, host := range hosts {
		entry, ok := roster.members[host]
		if !ok || entry.isSuspect() || now.Sub(entry.lastCalled) < suspicionCheckInterval {
			continue
		}
		entry.lastCalled = now
		toCall = append(toCall, entry.Member)
	}
	return toCall
}

// Suspects returns the hosts that are suspect because they did not answer this
// daemon.
func (roster *Roster) Suspects() []string {
	if roster.suspectCount == 0 {
		return nil
	}
	var hosts []string
	for _, host := range roster.hosts() {
		if roster.members[host].isSuspect() {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// RemoveExpired removes members that have been suspect for longer than
// suspectRetention.
func (roster *Roster) RemoveExpired(now time.Time) {
	if roster.suspectCount == 0 {
		return
	}
	for host, entry := range roster.members {
		if entry.isSuspect() && now.Sub(entry.suspectSince) > suspectRetention {
			roster.forget(entry)
			delete(roster.members, host)
			delete(roster.pending, host)
			roster.sortedHosts, roster.rings = nil, nil
		}
	}
}

// hosts returns the hosts of the other members in order. The slice is shared.
func (roster *Roster) hosts() []string {
	if roster.sortedHosts == nil {
		roster.sortedHosts = slices.Sorted(maps.Keys(roster.members))
	}
	return roster.sortedHosts
}

// Peers returns the other members in random order. It includes suspects, so
// that calls find out when one has recovered.
func (roster *Roster) Peers(random *rand.Rand) []dragonflyhatch.Member {
	return roster.RandomPeers(random, len(roster.members))
}

// RandomPeers returns up to count other members, each set of them with the same
// probability. It includes suspects.
func (roster *Roster) RandomPeers(random *rand.Rand, count int) []dragonflyhatch.Member {
	hosts := roster.hosts()
	count = min(count, len(hosts))
	moved := make(map[int]int, count) // positions of a shuffle that only its first steps have changed
	peers := make([]dragonflyhatch.Member, 0, count)
	at := func(position int) int {
		if index, ok := moved[position]; ok {
			return index
		}
		return position
	}
	for i := range count {
		j := i + random.IntN(len(hosts)-i)
		chosen := at(j)
		moved[j] = at(i)
		peers = append(peers, roster.members[hosts[chosen]].Member)
	}
	return peers
}

// Digest returns a hash of the hosts and versions of all members, this daemon
// included. Rosters with the same members in the same versions have the same
// digest.
func (roster *Roster) Digest() uint64 {
	return roster.membersDigest ^ memberHash(roster.self)
}

func memberHash(member dragonflyhatch.Member) uint64 {
	return xxhash.Sum64String(member.Host + "\x00" + strconv.FormatUint(member.Version, 10))
}

// NextBatch returns the members to send in one message: first those with pending
// updates, then random others if differs is set, that is, if the peer's roster may
// differ.
func (roster *Roster) NextBatch(random *rand.Rand, differs bool) []dragonflyhatch.Member {
	hosts := slices.Sorted(maps.Keys(roster.pending))
	random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	slices.SortStableFunc(hosts, func(a, b string) int {
		return cmp.Compare(roster.members[b].pendingSends, roster.members[a].pendingSends)
	})
	var batch []dragonflyhatch.Member
	for _, host := range hosts[:min(len(hosts), maxMembersPerMessage)] {
		entry := roster.members[host]
		batch = append(batch, entry.Member)
		if entry.pendingSends--; entry.pendingSends == 0 {
			delete(roster.pending, host)
		}
	}
	if !differs {
		return batch
	}
	for _, peer := range roster.RandomPeers(random, maxMembersPerMessage) {
		if len(batch) < maxMembersPerMessage && !slices.ContainsFunc(batch, func(member dragonflyhatch.Member) bool { return member.Host == peer.Host }) {
			batch = append(batch, peer)
		}
	}
	return batch
}

// Serving returns the members that accept requests, sorted by host. It includes
// this daemon unless it is leaving.
func (roster *Roster) Serving() []dragonflyhatch.Member {
	var serving []dragonflyhatch.Member
	if !roster.self.Leaving {
		serving = append(serving, roster.self)
	}
	for _, entry := range roster.members {
		if !entry.Leaving && !entry.isSuspect() {
			serving = append(serving, entry.Member)
		}
	}
	slices.SortFunc(serving, func(a, b dragonflyhatch.Member) int { return cmp.Compare(a.Host, b.Host) })
	return serving
}

// Size returns the number of known daemons, this one and suspects included.
func (roster *Roster) Size() int {
	return len(roster.members) + 1
}

// minLocalEntries is the number of serving daemons that a site needs for its
// callers to use these only.
const minLocalEntries = 2

// Entries returns the daemons that callers in the site should use: those of the
// site if there are at least minLocalEntries, otherwise all.
func (roster *Roster) Entries(site string) []dragonflyhatch.Member {
	serving := roster.Serving()
	var local []dragonflyhatch.Member
	for _, member := range serving {
		if member.Site == site {
			local = append(local, member)
		}
	}
	if len(local) >= minLocalEntries {
		return local
	}
	return serving
}

// Rank returns the position of this daemon, from 0, among the candidates for
// the named duty. Daemons that cannot reach the store come last; hosts with
// more CPU come first. It returns -1 if this daemon is leaving.
func (roster *Roster) Rank(name string) int {
	return roster.rank(name, roster.weight)
}

// TransientRank is Rank for a duty that exists for a short time: nothing is kept of it.
func (roster *Roster) TransientRank(name string) int {
	return roster.rank(name, rendezvousWeight)
}

func (roster *Roster) rank(name string, weight func(name, host string) uint64) int {
	if roster.self.Leaving {
		return -1
	}
	rank, ownWeight := 0, weight(name, roster.self.Host)
	for _, entry := range roster.members {
		if entry.Leaving || entry.isSuspect() {
			continue
		}
		order := cmp.Or(
			compareBool(entry.StoreLost, roster.self.StoreLost),
			cmp.Compare(roster.self.MilliCores, entry.MilliCores),
		)
		if order == 0 {
			order = cmp.Compare(weight(name, entry.Host), ownWeight)
		}
		if order < 0 {
			rank++
		}
	}
	return rank
}

// Holder returns the daemon whose rank for the named duty is 0, or false if all known
// daemons are leaving.
func (roster *Roster) Holder(name string) (holder dragonflyhatch.Member, ok bool) {
	var weight uint64
	consider := func(member dragonflyhatch.Member) {
		order, memberWeight := -1, roster.weight(name, member.Host)
		if ok {
			order = cmp.Or(
				compareBool(member.StoreLost, holder.StoreLost),
				cmp.Compare(holder.MilliCores, member.MilliCores),
				cmp.Compare(memberWeight, weight),
			)
		}
		if order < 0 {
			holder, weight, ok = member, memberWeight, true
		}
	}
	if !roster.self.Leaving {
		consider(roster.self)
	}
	for _, entry := range roster.members {
		if !entry.Leaving && !entry.isSuspect() {
			consider(entry.Member)
		}
	}
	return holder, ok
}

// weight returns the rendezvous weight of the host for the name.
func (roster *Roster) weight(name, host string) uint64 {
	key := weightKey{name, host}
	weight, ok := roster.weights[key]
	if !ok {
		weight = rendezvousWeight(name, host)
		roster.weights[key] = weight
	}
	return weight
}

// IsServing reports whether the host accepts requests, as far as this daemon
// knows.
func (roster *Roster) IsServing(host string) bool {
	if host == roster.self.Host {
		return !roster.self.Leaving
	}
	entry, ok := roster.members[host]
	return ok && !entry.Leaving && !entry.isSuspect()
}

// IsServingProcess reports whether the process accepts requests on the host, as
// far as this daemon knows.
func (roster *Roster) IsServingProcess(host, process string) bool {
	entry, ok := roster.members[host]
	return ok && entry.Process == process && roster.IsServing(host)
}
