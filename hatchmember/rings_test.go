package hatchmember

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dragonflyhatch"
)

// TestRosterDerivedState compares what a roster keeps up to date with each change with
// what follows from its members.
func TestRosterDerivedState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		roster := NewRoster(newMember("h0", "a", 1))
		now := time.Unix(1000, 0)
		host := rapid.SampledFrom([]string{"h1", "h2", "h3", "h4", "h5"})
		t.Repeat(map[string]func(*rapid.T){
			"merge": func(t *rapid.T) {
				member := newMember(host.Draw(t, "host"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "site"), rapid.Uint64Range(1, 9).Draw(t, "version"))
				member.Process = rapid.SampledFrom([]string{"p", "q"}).Draw(t, "process")
				member.Leaving = rapid.Bool().Draw(t, "leaving")
				member.StoreLost = rapid.Bool().Draw(t, "storeLost")
				member.MilliCores = rapid.SampledFrom([]int{100, 200}).Draw(t, "milliCores")
				roster.Merge(member)
			},
			"failure":   func(t *rapid.T) { roster.RecordFailure(host.Draw(t, "host"), now) },
			"success":   func(t *rapid.T) { roster.RecordSuccess(host.Draw(t, "host"), now) },
			"send":      func(t *rapid.T) { roster.NextBatch(random, rapid.Bool().Draw(t, "differs")) },
			"storeLost": func(t *rapid.T) { roster.SetStoreLost(rapid.Bool().Draw(t, "lost")) },
			"expire": func(*rapid.T) {
				now = now.Add(suspectRetention + time.Second)
				roster.RemoveExpired(now)
			},
			"": func(t *rapid.T) { checkDerivedState(t, roster) },
		})
	})
}

func checkDerivedState(t *rapid.T, roster *Roster) {
	digest := memberHash(roster.self)
	var suspects, pending []string
	for _, host := range slices.Sorted(maps.Keys(roster.members)) {
		entry := roster.members[host]
		digest ^= memberHash(entry.Member)
		if entry.isSuspect() {
			suspects = append(suspects, host)
		}
		if entry.pendingSends > 0 {
			pending = append(pending, host)
		}
	}
	if got := roster.Digest(); got != digest {
		t.Fatalf("digest %x, want %x", got, digest)
	}
	if got := roster.Suspects(); !slices.Equal(got, suspects) {
		t.Fatalf("suspects %v, want %v", got, suspects)
	}
	if got := slices.Sorted(maps.Keys(roster.pending)); !slices.Equal(got, pending) {
		t.Fatalf("pending %v, want %v", got, pending)
	}
	for _, duty := range []string{"x", "y"} {
		serving := roster.Serving()
		slices.SortFunc(serving, func(a, b dragonflyhatch.Member) int {
			return slices.Compare(
				[]string{fmt.Sprint(compareBool(a.StoreLost, false)), fmt.Sprintf("%09d", 1_000_000-a.MilliCores), fmt.Sprintf("%020d", rendezvousWeight(duty, a.Host))},
				[]string{fmt.Sprint(compareBool(b.StoreLost, false)), fmt.Sprintf("%09d", 1_000_000-b.MilliCores), fmt.Sprintf("%020d", rendezvousWeight(duty, b.Host))})
		})
		want := slices.IndexFunc(serving, func(member dragonflyhatch.Member) bool { return member.Host == roster.self.Host })
		if holder, ok := roster.Holder(duty); ok != (len(serving) > 0) || ok && holder.Host != serving[0].Host {
			t.Fatalf("holder %s of %s, want the first of %v", holder.Host, duty, memberHosts(serving))
		}
		if got := roster.Rank(duty); got != want {
			t.Fatalf("rank %d for %s, want %d of %v", got, duty, want, memberHosts(serving))
		}
	}
	if got := memberHosts(roster.Peers(rand.New(rand.NewPCG(1, 1)))); !slices.Equal(slices.Sorted(slices.Values(got)), slices.Sorted(maps.Keys(roster.members))) {
		t.Fatalf("peers %v", got)
	}
	for _, neighbour := range roster.Neighbours() {
		if entry := roster.members[neighbour.Host]; entry == nil || entry.isSuspect() {
			t.Fatalf("neighbour %s is unknown or suspect", neighbour.Host)
		}
	}
}

// newFleet returns the rosters of daemons in sites that all know each other.
func newFleet(daemons, sites int) []*Roster {
	var members []dragonflyhatch.Member
	for i := range daemons {
		members = append(members, newMember(fmt.Sprintf("h%04d", i), fmt.Sprintf("site-%d", i%sites), 1))
	}
	var fleet []*Roster
	for _, self := range members {
		roster := NewRoster(self)
		for _, other := range members {
			roster.Merge(other)
		}
		fleet = append(fleet, roster)
	}
	return fleet
}

// TestNeighboursAreShared checks that no daemon is called by many others or by none.
func TestNeighboursAreShared(t *testing.T) {
	for _, size := range []struct{ daemons, sites int }{{2, 1}, {13, 3}, {320, 11}, {1000, 11}} {
		called := make(map[string]int)
		links, crossing := 0, 0
		for _, roster := range newFleet(size.daemons, size.sites) {
			neighbours := roster.Neighbours()
			if len(neighbours) == 0 || len(neighbours) > MaxNeighbours {
				t.Errorf("%d daemons: %d neighbours", size.daemons, len(neighbours))
			}
			for _, neighbour := range neighbours {
				called[neighbour.Host]++
				links++
				if neighbour.Site != roster.self.Site {
					crossing++
				}
			}
		}
		for host, count := range called {
			if count > MaxNeighbours {
				t.Errorf("%d daemons: %s is called by %d", size.daemons, host, count)
			}
		}
		if len(called) != size.daemons {
			t.Errorf("%d daemons: %d are called by none", size.daemons, size.daemons-len(called))
		}
		if size.sites > 3 && crossing*2 > links {
			t.Errorf("%d daemons: %d of %d links leave the site", size.daemons, crossing, links)
		}
	}
}

// delivery is a message of the simulation that arrives at a time.
type delivery struct {
	at     time.Duration
	action func()
}

type deliveries []delivery

func (queue deliveries) Len() int           { return len(queue) }
func (queue deliveries) Less(i, j int) bool { return queue[i].at < queue[j].at }
func (queue deliveries) Swap(i, j int)      { queue[i], queue[j] = queue[j], queue[i] }
func (queue *deliveries) Push(each any)     { *queue = append(*queue, each.(delivery)) }
func (queue *deliveries) Pop() any {
	last := (*queue)[len(*queue)-1]
	*queue = (*queue)[:len(*queue)-1]
	return last
}

// spread simulates how a configuration that one daemon has read spreads: each daemon
// that has it notifies all its neighbours at once, and exchanges gossip with a peer
// about every 0.4 s; who hears of it fetches it from the sender. Messages take 1 to 4 ms
// and are lost with the given probability. It returns when each daemon had it.
func spread(fleet []*Roster, loss float64, random *rand.Rand) []time.Duration {
	const gossipInterval = 400 * time.Millisecond
	index := make(map[string]int)
	for i, roster := range fleet {
		index[roster.self.Host] = i
	}
	var queue deliveries
	now := time.Duration(0)
	after := func(delay time.Duration, action func()) { heap.Push(&queue, delivery{now + delay, action}) }
	message := func(action func()) {
		if random.Float64() >= loss {
			after(time.Millisecond+time.Duration(random.Int64N(int64(3*time.Millisecond))), action)
		}
	}
	known := make([]time.Duration, len(fleet))
	for i := range known {
		known[i] = -1
	}
	remaining := len(fleet)
	var learn func(daemon int)
	fetch := func(daemon, source int) {
		if known[daemon] < 0 && known[source] >= 0 {
			message(func() { message(func() { learn(daemon) }) })
		}
	}
	learn = func(daemon int) {
		if known[daemon] >= 0 {
			return
		}
		known[daemon] = now
		remaining--
		for _, peer := range fleet[daemon].PushPeers(random, MaxNeighbours) {
			if other, live := index[peer.Host]; live {
				message(func() { fetch(other, daemon) })
			}
		}
	}
	var gossip func(daemon, round int)
	gossip = func(daemon, round int) {
		if peer, ok := fleet[daemon].GossipPeer(random, round); ok {
			if other, live := index[peer.Host]; live {
				message(func() {
					fetch(other, daemon)
					message(func() { fetch(daemon, other) })
				})
			}
		}
		after(gossipInterval/2+time.Duration(random.Int64N(int64(gossipInterval))), func() { gossip(daemon, round+1) })
	}
	for daemon := range fleet {
		after(time.Duration(random.Int64N(int64(gossipInterval))), func() { gossip(daemon, random.IntN(64)) })
	}
	learn(random.IntN(len(fleet)))
	for remaining > 0 && now < time.Minute {
		next := heap.Pop(&queue).(delivery)
		now = next.at
		next.action()
	}
	return known
}

// TestConfigurationSpreads checks the bound of the design: with 5 in 100 messages lost a
// configuration is in force everywhere within 1 s, and at 99.9 in 100 daemons within
// 0.5 s. The news of a fleet of 1,000 daemons and that of one with daemons that have
// ended are held to the same.
func TestConfigurationSpreads(t *testing.T) {
	for _, test := range []struct {
		daemons, sites, ended int
		loss                  float64
	}{{320, 11, 0, 0.05}, {320, 5, 0, 0.05}, {1000, 11, 0, 0.05}, {320, 11, 32, 0.05}, {13, 3, 0, 0.05}} {
		fleet := newFleet(test.daemons+test.ended, test.sites)
		live := fleet[test.ended:]
		for _, roster := range live {
			for _, ended := range fleet[:test.ended] {
				roster.RecordFailure(ended.self.Host, time.Unix(0, 0))
				roster.RecordFailure(ended.self.Host, time.Unix(0, 0))
			}
		}
		var all []time.Duration
		for seed := range uint64(40) {
			random := rand.New(rand.NewPCG(seed, 7))
			for _, at := range spread(live, test.loss, random) {
				if at < 0 {
					t.Fatalf("%+v, seed %d: a daemon never got the configuration", test, seed)
				}
				all = append(all, at)
			}
		}
		slices.Sort(all)
		most, last := all[len(all)*999/1000], all[len(all)-1]
		if most > 500*time.Millisecond || last > time.Second {
			t.Errorf("%+v: 99.9 in 100 after %s, all after %s", test, most, last)
		}
		t.Logf("%s: half after %s, 99.9 in 100 after %s, all after %s", strings.TrimSpace(fmt.Sprintf("%+v", test)), all[len(all)/2], most, last)
	}
}
