package hatchforward

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch/hatchpath"
)

// fakeDialer is what dials of a prober meet.
type fakeDialer struct {
	mu     sync.Mutex
	silent map[string]bool
	delay  time.Duration // of the answers
}

func (links *fakeDialer) dial(ctx context.Context, address string) probeOutcome {
	links.mu.Lock()
	silent, delay := links.silent[address], links.delay
	links.mu.Unlock()
	if silent {
		<-ctx.Done()
		return probeSilent
	}
	time.Sleep(delay)
	return probeAnswered
}

func TestProbes(t *testing.T) {
	convey.Convey("Given a pipeline of two engines beside a third", t, func() {
		one, two, three := newFakeReplica(t, "e-1"), newFakeReplica(t, "e-2"), newFakeReplica(t, "e-3")
		fleet := newFleet("lm", one, two, three)
		links := &fakeDialer{silent: make(map[string]bool)}
		prober := newProber(fleet)
		prober.dial = links.dial
		pipeline := []*hatchpath.Node{fleet.view.At(one.address()), fleet.view.At(two.address())}
		time.Sleep(aliveValidity) // since the process began, when all count as alive
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
		convey.Convey("An answer that has come and was not read in time counts", func() {
			links.delay = probeTimeout + probeGrace/2
			convey.So(check(), convey.ShouldBeEmpty)
		})
		convey.Convey("Silence proves nothing while the daemon does not get the processor", func() {
			links.silent[one.address()] = true
			release := occupyProcessor()
			defer release()
			convey.So(check(), convey.ShouldBeEmpty)
		})
	})
}

// occupyProcessor keeps all goroutines but its own from running most of the time,
// until it is released.
func occupyProcessor() (release func()) {
	var done atomic.Bool
	processors := runtime.GOMAXPROCS(1)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for !done.Load() {
			for started := time.Now(); time.Since(started) < 10*time.Millisecond; {
				continue
			}
			runtime.Gosched()
		}
	}()
	return func() {
		done.Store(true)
		<-ended
		runtime.GOMAXPROCS(processors)
	}
}
