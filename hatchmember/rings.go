package hatchmember

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"dragonflyhatch"
)

const (
	// siteRings and fleetRings are the numbers of rings through the daemons of one site
	// and through all daemons. With the same successors at each exchange, connections
	// are used again; most of them stay within a site, where traffic is cheap.
	siteRings  = 4
	fleetRings = 2
	// MaxNeighbours is the largest number of neighbours of a daemon.
	MaxNeighbours = siteRings + fleetRings
	// randomPeerShare is the share of exchanges with a random peer, as its inverse.
	// They repair what the neighbours missed and find out whether suspects have
	// recovered.
	randomPeerShare = 8
)

// ring is a cyclic order of daemons that is the same at all daemons which know the same
// members. Each daemon calls its successor, so that each is called by as many as it
// calls. The union of a few random rings is, with high probability, an expander: news
// reaches all daemons in a number of steps that grows with the logarithm of theirs.
type ring struct {
	hosts []string
	self  int // position of this daemon
}

func (roster *Roster) newRing(name string, hosts []string) ring {
	order := slices.Clone(hosts)
	weights := make(map[string]uint64, len(order))
	for _, host := range order {
		weights[host] = xxhash.Sum64String(name + "\x00" + host)
	}
	slices.SortFunc(order, func(a, b string) int { return cmp.Or(cmp.Compare(weights[a], weights[b]), cmp.Compare(a, b)) })
	return ring{hosts: order, self: slices.Index(order, roster.self.Host)}
}

// buildRings builds the rings through this daemon, those of its site first.
func (roster *Roster) buildRings() {
	all := append([]string{roster.self.Host}, roster.hosts()...)
	local := slices.DeleteFunc(slices.Clone(all), func(host string) bool {
		return host != roster.self.Host && roster.members[host].Site != roster.self.Site
	})
	roster.rings = []ring{}
	for i := range siteRings {
		roster.rings = append(roster.rings, roster.newRing("site "+strconv.Itoa(i), local))
	}
	for i := range fleetRings {
		roster.rings = append(roster.rings, roster.newRing("fleet "+strconv.Itoa(i), all))
	}
}

// Neighbours returns this daemon's successors in the rings, each once, those in the
// rings of its site first. Suspects are passed over.
func (roster *Roster) Neighbours() []dragonflyhatch.Member {
	if roster.rings == nil {
		roster.buildRings()
	}
	var neighbours []dragonflyhatch.Member
	for _, ring := range roster.rings {
		if successor := roster.successor(ring); successor != nil &&
			!slices.ContainsFunc(neighbours, func(other dragonflyhatch.Member) bool { return other.Host == successor.Host }) {
			neighbours = append(neighbours, successor.Member)
		}
	}
	return neighbours
}

// GossipPeer returns the peer to exchange gossip with in the round: one of the neighbours
// in turn, or now and then a random member. It returns false if no other member is known.
func (roster *Roster) GossipPeer(random *rand.Rand, round int) (dragonflyhatch.Member, bool) {
	if neighbours := roster.Neighbours(); len(neighbours) > 0 && round%randomPeerShare != 0 {
		return neighbours[round%len(neighbours)], true
	}
	if peers := roster.RandomPeers(random, 1); len(peers) > 0 {
		return peers[0], true
	}
	return dragonflyhatch.Member{}, false
}

// PushPeers returns up to count neighbours to push an update to. One of them is of the
// rings through all daemons, so that the update leaves the site.
func (roster *Roster) PushPeers(random *rand.Rand, count int) []dragonflyhatch.Member {
	peers := roster.Neighbours()
	if last := len(peers) - 1; last > 0 {
		random.Shuffle(last, func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		peers[0], peers[last] = peers[last], peers[0]
	}
	return peers[:min(len(peers), count)]
}

// successor returns the next member of the ring that is not suspect, or nil if there is
// none.
func (roster *Roster) successor(ring ring) *rosterEntry {
	for i := 1; i < len(ring.hosts); i++ {
		if entry := roster.members[ring.hosts[(ring.self+i)%len(ring.hosts)]]; !entry.isSuspect() {
			return entry
		}
	}
	return nil
}
