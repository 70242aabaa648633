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

// fakeDialer replaces the dialer of a prober. The test sets which addresses are
// silent and how late the others answer.
type fakeDialer struct {
	mu     sync.Mutex
	silent map[string]bool
	delay  time.Duration // until an address that is not silent answers
}

func (dialer *fakeDialer) dial(ctx context.Context, address string) probeOutcome {
	dialer.mu.Lock()
	silent, delay := dialer.silent[address], dialer.delay
	dialer.mu.Unlock()
	if silent {
		<-ctx.Done()
		return probeSilent
	}
	time.Sleep(delay)
	return probeAnswered
}

func TestProbes(t *testing.T) {
	convey.Convey("Given a pipeline of two engines, and a third engine outside it", t, func() {
		one, two, three := newFakeReplica(t, "e-1"), newFakeReplica(t, "e-2"), newFakeReplica(t, "e-3")
		fleet := newFleet("lm", one, two, three)
		dialer := &fakeDialer{silent: make(map[string]bool)}
		prober := newProber(fleet)
		prober.dial = dialer.dial
		pipeline := []*hatchpath.Node{fleet.view.NodeAt(one.address()), fleet.view.NodeAt(two.address())}
		time.Sleep(aliveValidity) // all nodes count as alive for this long after the start of the process
		fleet.view.NodeAt(three.address()).MarkReachable(time.Now())
		check := func() []string { return prober.check(context.Background(), pipeline, pipeline[0]) }
		convey.Convey("An engine that is silent while the other one answers is dead", func() {
			dialer.silent[one.address()] = true
			convey.So(check(), convey.ShouldResemble, []string{one.address()})
			convey.So(pipeline[0].DownFor(time.Now().Add(time.Millisecond)), convey.ShouldBeGreaterThan, 0)
		})
		convey.Convey("Both engines are dead if both are silent and the third one answers", func() {
			dialer.silent[one.address()], dialer.silent[two.address()] = true, true
			convey.So(check(), convey.ShouldHaveLength, 2)
		})
		convey.Convey("If no engine answers, the daemon's own network link is at fault and no engine is dead", func() {
			for _, replica := range []*fakeReplica{one, two, three} {
				dialer.silent[replica.address()] = true
			}
			convey.So(check(), convey.ShouldBeEmpty)
		})
		convey.Convey("An answer that arrives just after the timeout counts", func() {
			dialer.delay = probeTimeout + probeGrace/2
			convey.So(check(), convey.ShouldBeEmpty)
		})
		convey.Convey("Silence is inconclusive while the daemon does not get processor time", func() {
			dialer.silent[one.address()] = true
			release := occupyProcessor()
			defer release()
			convey.So(check(), convey.ShouldBeEmpty)
		})
	})
}

// occupyProcessor limits the process to one processor and keeps it busy, so that
// other goroutines seldom run until release is called.
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
