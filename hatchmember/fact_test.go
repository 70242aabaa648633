package hatchmember

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"dragonflyhatch"
)

func drawFact(t *rapid.T) dragonflyhatch.Drain {
	return dragonflyhatch.Drain{
		Address: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "address"),
		Source:  dragonflyhatch.DrainSource(rapid.IntRange(0, int(dragonflyhatch.DrainSourceCount)-1).Draw(t, "source")),
		Version: rapid.Uint64Range(1, 5).Draw(t, "version"),
		Leaving: rapid.Bool().Draw(t, "leaving"),
	}
}

// leaving is the oracle: of each source the facts with the highest version
// count, and one that says leaving is enough.
func leaving(facts []dragonflyhatch.Drain, address string) bool {
	for source := range dragonflyhatch.DrainSourceCount {
		highest, says := uint64(0), false
		for _, fact := range facts {
			if fact.Address != address || fact.Source != source || fact.Version < highest {
				continue
			}
			says = fact.Leaving || says && fact.Version == highest
			highest = fact.Version
		}
		if says {
			return true
		}
	}
	return false
}

// TestFactsMergeInAnyOrder holds that daemons that have heard the same facts, in
// any order, any number of times and by way of each other, know the same.
func TestFactsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		facts := rapid.SliceOfN(rapid.Custom(drawFact), 1, 20).Draw(t, "facts")
		shuffled := rapid.Permutation(facts).Draw(t, "shuffled")
		heard, told := NewFacts(), NewFacts()
		for _, fact := range facts {
			heard.Merge(fact)
		}
		for _, fact := range slices.Concat(shuffled, shuffled[:len(shuffled)/2]) {
			told.Merge(fact)
		}
		third := NewFacts()
		for _, fact := range heard.Share(1000) {
			third.Merge(fact)
		}
		for _, address := range []string{"a", "b"} {
			want := leaving(facts, address)
			if heard.Leaving(address) != want || told.Leaving(address) != want || third.Leaving(address) != want {
				t.Fatalf("%s leaving: %v, %v and %v, want %v", address, heard.Leaving(address), told.Leaving(address), third.Leaving(address), want)
			}
		}
	})
}

// TestNewsSpreads passes a fact among 320 daemons as hatchserve does: whoever
// hears news tells three others, in each of three rounds. Each round is at most 200 ms: the pause of 100
// ms, spread by half, and a call. The bound of 3 s is 15 rounds; a third of the
// calls are lost, and each daemon has older facts to tell as well.
func TestNewsSpreads(t *testing.T) {
	const daemons, fanout, told, rounds = 320, 3, 3, 15
	convey.Convey("A fact reaches all of 320 daemons within the bound", t, func() {
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 1))
			fleet := make([]*Facts, daemons)
			for i := range fleet {
				fleet[i] = NewFacts()
				for old := range 100 {
					fleet[i].Merge(dragonflyhatch.Drain{Address: fmt.Sprintf("old%d", old), Version: 1, Leaving: true})
				}
			}
			fact := dragonflyhatch.Drain{Address: "new", Version: 2, Leaving: true}
			fleet[0].Merge(fact)
			left := map[int]int{0: told} // rounds in which a daemon still tells news
			for round := range rounds {
				news := make(map[int]bool)
				for i := range fleet {
					// Without news a daemon exchanges facts about once a second.
					calls := 0
					if left[i] > 0 {
						left[i]--
						calls = fanout
					} else if (round+i)%5 == 0 {
						calls = 1
					}
					for range calls {
						other := random.IntN(daemons)
						if random.IntN(3) == 0 {
							continue
						}
						exchange(fleet, i, other, news)
					}
				}
				for i := range news {
					left[i] = told
				}
			}
			unaware := slices.DeleteFunc(fleet, func(facts *Facts) bool { return facts.Leaving("new") })
			convey.So(unaware, convey.ShouldBeEmpty)
		}
	})
}

func exchange(fleet []*Facts, a, b int, news map[int]bool) {
	const sent = 16
	fromA, fromB := fleet[a].Share(sent), fleet[b].Share(sent)
	for _, fact := range fromA {
		news[b] = fleet[b].Merge(fact) || news[b]
	}
	for _, fact := range fromB {
		news[a] = fleet[a].Merge(fact) || news[a]
	}
}
