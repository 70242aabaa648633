package hatchmember

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"dragonflyhatch"
)

func newMember(host, site string, version uint64) dragonflyhatch.Member {
	return dragonflyhatch.Member{Host: host, Site: site, Process: fmt.Sprintf("%s/%d", host, version), Version: version}
}

func memberHosts(members []dragonflyhatch.Member) []string {
	var names []string
	for _, member := range members {
		names = append(names, member.Host)
	}
	return names
}

func TestRoster(t *testing.T) {
	now := time.Now()
	convey.Convey("Given a daemon that knows three others", t, func() {
		roster := NewRoster(newMember("a1", "a", 10))
		for _, each := range []dragonflyhatch.Member{newMember("a2", "a", 10), newMember("b1", "b", 10), newMember("b2", "b", 10)} {
			convey.So(roster.Merge(each), convey.ShouldBeTrue)
			convey.So(roster.Merge(each), convey.ShouldBeFalse)
		}
		convey.Convey("Callers use their own site while it has enough daemons", func() {
			convey.So(memberHosts(roster.Entries("a")), convey.ShouldResemble, []string{"a1", "a2"})
			leaving := newMember("a2", "a", 10)
			leaving.Leaving, leaving.Version = true, 11
			roster.Merge(leaving)
			convey.So(memberHosts(roster.Entries("a")), convey.ShouldResemble, []string{"a1", "b1", "b2"})
		})
		convey.Convey("Its own failed calls make a member suspect, and a successful call clears that", func() {
			convey.So(roster.RecordFailure("b1", now), convey.ShouldBeFalse)
			convey.So(roster.RecordFailure("b1", now), convey.ShouldBeTrue)
			convey.So(roster.IsServing("b1"), convey.ShouldBeFalse)
			convey.So(roster.Suspects(), convey.ShouldResemble, []string{"b1"})
			convey.So(roster.RecordSuccess("b1", now), convey.ShouldBeTrue)
			convey.So(roster.IsServing("b1"), convey.ShouldBeTrue)
		})
		convey.Convey("A suspicion of another daemon causes a call, but no second one immediately after", func() {
			convey.So(memberHosts(roster.ApplySuspicions([]string{"b1", "unknown"}, now)), convey.ShouldResemble, []string{"b1"})
			convey.So(roster.IsServing("b1"), convey.ShouldBeTrue)
			convey.So(roster.ApplySuspicions([]string{"b1"}, now), convey.ShouldBeEmpty)
		})
		convey.Convey("A new process is not suspect because the previous one on its host was", func() {
			roster.RecordFailure("b1", now)
			roster.RecordFailure("b1", now)
			roster.Merge(newMember("b1", "b", 20))
			convey.So(roster.IsServing("b1"), convey.ShouldBeTrue)
		})
		convey.Convey("An entry of another process on its host makes it raise its own version", func() {
			convey.So(roster.Merge(newMember("a1", "a", 99)), convey.ShouldBeTrue)
			convey.So(roster.Self().Version, convey.ShouldEqual, 100)
		})
		convey.Convey("Duties go to hosts with more CPU, unless they cannot reach the store", func() {
			roster.Merge(dragonflyhatch.Member{Host: "b1", Version: 11, MilliCores: 800})
			roster.Merge(dragonflyhatch.Member{Host: "b2", Version: 11, MilliCores: 800, StoreLost: true})
			for _, duty := range []string{"x", "y", "z"} {
				convey.So(roster.Rank(duty), convey.ShouldBeBetweenOrEqual, 1, 2)
			}
		})
		convey.Convey("A suspect member is removed after suspectRetention", func() {
			roster.RecordFailure("b1", now)
			roster.RecordFailure("b1", now)
			roster.RemoveExpired(now.Add(suspectRetention + time.Second))
			convey.So(roster.Size(), convey.ShouldEqual, 3)
		})
	})
}

// TestGossipSpreads has rosters exchange gossip and checks that all of them
// agree within 60 rounds.
func TestGossipSpreads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 30).Draw(t, "daemons")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		rosters, differs := make([]*Roster, count), make([]bool, count)
		for i := range rosters {
			rosters[i] = NewRoster(newMember(fmt.Sprintf("h%02d", i), "a", 1))
			rosters[i].Merge(rosters[0].Self()) // the seed node
		}
		rosters[rapid.IntRange(0, count-1).Draw(t, "leaver")].MarkLeaving()
		rounds := 0
		for ; !viewsAgree(rosters) && rounds < 60; rounds++ {
			for i, roster := range rosters {
				peers := roster.Peers(random)
				if len(peers) == 0 {
					continue
				}
				var other int
				fmt.Sscanf(peers[0].Host, "h%02d", &other)
				exchangeGossip(roster, rosters[other], &differs[i], random)
			}
		}
		if !viewsAgree(rosters) {
			t.Fatalf("%d daemons do not agree after %d rounds of gossip", count, rounds)
		}
	})
}

// exchangeGossip has daemon a call daemon b. Daemon a sends random members only if
// the peer of its previous call knew other members than a did.
func exchangeGossip(a, b *Roster, differs *bool, random *rand.Rand) {
	toB := append(a.NextBatch(random, *differs), a.Self())
	digest := a.Digest()
	for _, each := range toB {
		b.Merge(each)
	}
	toA := append(b.NextBatch(random, digest != b.Digest()), b.Self())
	*differs = b.Digest() != digest
	for _, each := range toA {
		a.Merge(each)
	}
}

// viewsAgree reports whether all rosters have the same digest and list the same
// daemons as serving: all but the one that is leaving.
func viewsAgree(rosters []*Roster) bool {
	want := fmt.Sprint(memberHosts(rosters[0].Serving()))
	for _, roster := range rosters {
		if fmt.Sprint(memberHosts(roster.Serving())) != want || len(roster.Serving()) != len(rosters)-1 || roster.Digest() != rosters[0].Digest() {
			return false
		}
	}
	return true
}
