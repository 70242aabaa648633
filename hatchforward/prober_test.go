package hatchforward

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch/hatchpath"
)

// fakeLinks is what dials of a prober meet.
type fakeLinks struct {
	mu     sync.Mutex
	silent map[string]bool
	heldUp time.Duration // added to each dial, as by a daemon that does not get the processor
}

func (links *fakeLinks) dial(ctx context.Context, address string) probeOutcome {
	links.mu.Lock()
	silent, heldUp := links.silent[address], links.heldUp
	links.mu.Unlock()
	if silent {
		<-ctx.Done()
	}
	time.Sleep(heldUp)
	if silent {
		return probeSilent
	}
	return probeAnswered
}

func TestProbes(t *testing.T) {
	convey.Convey("Given a pipeline of two engines beside a third", t, func() {
		one, two, three := newFakeReplica(t, "e-1"), newFakeReplica(t, "e-2"), newFakeReplica(t, "e-3")
		fleet := newFleet("lm", one, two, three)
		links := &fakeLinks{silent: make(map[string]bool)}
		prober := newProber(fleet)
		prober.dial = links.dial
		pipeline := []*hatchpath.Node{fleet.view.At(one.address()), fleet.view.At(two.address())}
		fleet.view.At(three.address()).Reached(time.Now())
		check := func() []string { return prober.check(context.Background(), pipeline, pipeline[0]) }
		convey.Convey("An engine that is silent while the other answers is dead", func() {
			links.silent[one.address()] = true
			convey.So(check(), convey.ShouldResemble, []string{one.address()})
			convey.So(pipeline[0].DownFor(time.Now().Add(time.Millisecond)), convey.ShouldBeGreaterThan, 0)
		})
		convey.Convey("Both are dead if a third answers", func() {
			links.silent[one.address()], links.silent[two.address()] = true, true
			convey.So(check(), convey.ShouldHaveLength, 2)
		})
		convey.Convey("If nobody answers, it is the daemon's own link", func() {
			for _, replica := range []*fakeReplica{one, two, three} {
				links.silent[replica.address()] = true
			}
			convey.So(check(), convey.ShouldBeEmpty)
		})
		convey.Convey("A probe that was held up in the daemon proves nothing", func() {
			links.silent[one.address()] = true
			links.heldUp = 2 * probeSlack
			convey.So(check(), convey.ShouldBeEmpty)
		})
	})
}
