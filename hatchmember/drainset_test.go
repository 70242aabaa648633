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

func drawDrain(t *rapid.T) dragonflyhatch.Drain {
	return dragonflyhatch.Drain{
		Address: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "address"),
		Source:  dragonflyhatch.DrainSource(rapid.IntRange(0, int(dragonflyhatch.DrainSourceCount)-1).Draw(t, "source")),
		Version: rapid.Uint64Range(1, 5).Draw(t, "version"),
		Leaving: rapid.Bool().Draw(t, "leaving"),
	}
}

// expectedLeaving is the oracle: of each source only the drains with the highest
// version count, and one of them with Leaving set suffices.
func expectedLeaving(drains []dragonflyhatch.Drain, address string) bool {
	for source := range dragonflyhatch.DrainSourceCount {
		highest, leaving := uint64(0), false
		for _, drain := range drains {
			if drain.Address != address || drain.Source != source || drain.Version < highest {
				continue
			}
			leaving = drain.Leaving || leaving && drain.Version == highest
			highest = drain.Version
		}
		if leaving {
			return true
		}
	}
	return false
}

// TestDrainsMergeInAnyOrder checks that daemons agree after merging the same drains
// in any order, any number of times, directly or by way of another daemon.
func TestDrainsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drains := rapid.SliceOfN(rapid.Custom(drawDrain), 1, 20).Draw(t, "drains")
		shuffled := rapid.Permutation(drains).Draw(t, "shuffled")
		first, second := NewDrainSet(), NewDrainSet()
		for _, drain := range drains {
			first.Merge(drain)
		}
		for _, drain := range slices.Concat(shuffled, shuffled[:len(shuffled)/2]) {
			second.Merge(drain)
		}
		third := NewDrainSet()
		for _, drain := range first.NextBatch(1000) {
			third.Merge(drain)
		}
		for _, address := range []string{"a", "b"} {
			want := expectedLeaving(drains, address)
			if first.Leaving(address) != want || second.Leaving(address) != want || third.Leaving(address) != want {
				t.Fatalf("%s leaving: %v, %v and %v, want %v", address, first.Leaving(address), second.Leaving(address), third.Leaving(address), want)
			}
		}
	})
}

// TestUpdatesSpread spreads a drain among 320 daemons as hatchserve does: a
// daemon that receives an update sends it to three others in each of three
// rounds. A round takes at most 200 ms: the pause of 100 ms with a jitter of
// one half, and a call. The bound of 3 s is 15 rounds. A third of the calls are
// lost, and each daemon also has older drains to send.
func TestUpdatesSpread(t *testing.T) {
	const daemons, fanout, sendRounds, rounds = 320, 3, 3, 15
	convey.Convey("An update reaches all of 320 daemons within the bound", t, func() {
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 1))
			fleet := make([]*DrainSet, daemons)
			for i := range fleet {
				fleet[i] = NewDrainSet()
				for old := range 100 {
					fleet[i].Merge(dragonflyhatch.Drain{Address: fmt.Sprintf("old%d", old), Version: 1, Leaving: true})
				}
			}
			drain := dragonflyhatch.Drain{Address: "new", Version: 2, Leaving: true}
			fleet[0].Merge(drain)
			roundsLeft := map[int]int{0: sendRounds} // rounds in which a daemon still sends updates
			for round := range rounds {
				updated := make(map[int]bool)
				for i := range fleet {
					// Without updates a daemon exchanges drains about once a second.
					calls := 0
					if roundsLeft[i] > 0 {
						roundsLeft[i]--
						calls = fanout
					} else if (round+i)%5 == 0 {
						calls = 1
					}
					for range calls {
						other := random.IntN(daemons)
						if random.IntN(3) == 0 {
							continue
						}
						exchangeDrains(fleet, i, other, updated)
					}
				}
				for i := range updated {
					roundsLeft[i] = sendRounds
				}
			}
			missing := slices.DeleteFunc(fleet, func(set *DrainSet) bool { return set.Leaving("new") })
			convey.So(missing, convey.ShouldBeEmpty)
		}
	})
}

func exchangeDrains(fleet []*DrainSet, a, b int, updated map[int]bool) {
	const maxDrains = 16
	fromA, fromB := fleet[a].NextBatch(maxDrains), fleet[b].NextBatch(maxDrains)
	for _, drain := range fromA {
		updated[b] = fleet[b].Merge(drain) || updated[b]
	}
	for _, drain := range fromB {
		updated[a] = fleet[a].Merge(drain) || updated[a]
	}
}
