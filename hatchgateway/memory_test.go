package hatchgateway

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch"
)

// memoryEngines answers queries of KV memory by address.
type memoryEngines struct {
	dragonflyhatch.EngineControl
	mu              sync.Mutex
	reports         map[string]dragonflyhatch.EngineReport
	queries         int
	running, widest int
}

func (engines *memoryEngines) Report(_ context.Context, address string) (dragonflyhatch.EngineReport, error) {
	engines.mu.Lock()
	engines.queries++
	engines.running++
	engines.widest = max(engines.widest, engines.running)
	report, ok := engines.reports[address]
	engines.mu.Unlock()
	time.Sleep(time.Millisecond)
	engines.mu.Lock()
	defer engines.mu.Unlock()
	engines.running--
	if !ok {
		return report, errors.New("no answer")
	}
	return report, nil
}

// TestMemoryRounds guards against queries to engines without layers or more often than
// needed, reports of another process, and usage that a restarted engine inherits from peers.
func TestMemoryRounds(t *testing.T) {
	convey.Convey("Given a leader and fifty engines, of which one holds no layers and one does not answer", t, func() {
		engines := &memoryEngines{reports: make(map[string]dragonflyhatch.EngineReport)}
		var replicas []dragonflyhatch.Replica
		for i := range 50 {
			replicas = append(replicas, testEngine("lm", i, 0, 8))
			engines.reports[replicas[i].Address] = dragonflyhatch.EngineReport{KVUsed: 10, KVTotal: 100}
		}
		replicas[49].Held = dragonflyhatch.HeldLayers{}
		delete(engines.reports, replicas[48].Address)
		daemon := func() *Gateway {
			gateway := newTestPlacer("lm").gateway
			gateway.mu.Lock()
			gateway.replicas.replace(replicas, 50, time.Now())
			gateway.rebuildView()
			gateway.mu.Unlock()
			return gateway
		}
		leader, peer, now := daemon(), daemon(), time.Now()
		leader.engines = engines
		collector := newMemoryCollector(leader)
		collect := func() time.Duration {
			collector.collect(context.Background(), now)
			return collector.next.Sub(now)
		}
		report := func(replica, used int) {
			engines.reports[replicas[replica].Address] = dragonflyhatch.EngineReport{KVUsed: int64(used), KVTotal: 100, Started: replicas[replica].Started}
		}
		share := func(gateway *Gateway, replica int) float64 {
			share, _ := gateway.View().NodeAt(replicas[replica].Address).ReportedMemory(time.Now())
			return share
		}
		convey.Convey("Only engines with layers are asked, some at a time, and less often while they have room", func() {
			convey.So(collect(), convey.ShouldEqual, lowMemoryInterval)
			convey.So(engines.queries, convey.ShouldEqual, 49)
			convey.So(engines.widest, convey.ShouldBeLessThanOrEqualTo, maxMemoryQueries)
			convey.So(collector.failed.Count(), convey.ShouldEqual, 1)
			report(3, 97)
			convey.So(collect(), convey.ShouldEqual, memoryRoundInterval)
			for i := range 48 {
				report(i, 0)
			}
			convey.So(collect(), convey.ShouldEqual, unusedMemoryInterval)
		})
		convey.Convey("Peers learn of the engines with little room, also after the leader is gone, but not of another process", func() {
			report(3, 97)
			collect()
			peer.mergeGossip(leader.ExchangeGossip(peer.composeGossip(false, 0)))
			convey.So(share(peer, 3), convey.ShouldEqual, 0.97)
			convey.So(share(peer, 4), convey.ShouldEqual, 0)
			message := peer.ExchangeGossip(dragonflyhatch.Gossip{})
			convey.So(message.EngineUsage, convey.ShouldHaveLength, 1)
			replicas[3].Started = 9
			third := daemon()
			third.mergeGossip(message)
			convey.So(share(third, 3), convey.ShouldEqual, 0)
			engines.reports[replicas[3].Address] = dragonflyhatch.EngineReport{KVUsed: 97, KVTotal: 100, Started: 8}
			third.engines = engines
			newMemoryCollector(third).collect(context.Background(), now)
			convey.So(share(third, 3), convey.ShouldEqual, 0)
		})
		convey.Convey("More reports than a message may have are not all taken", func() {
			var usages []dragonflyhatch.EngineUsage
			for i := range 49 {
				usages = append(usages, dragonflyhatch.EngineUsage{Process: replicas[i].Process(), Share: 0.9})
			}
			peer.mergeEngineUsage(time.Now(), usages, "h-2")
			convey.So(share(peer, 47), convey.ShouldEqual, 0.9)
			convey.So(share(peer, 48), convey.ShouldEqual, 0)
			convey.So(peer.ExchangeGossip(dragonflyhatch.Gossip{}).EngineUsage, convey.ShouldHaveLength, maxUsageSent)
			convey.So(peer.ExchangeGossip(dragonflyhatch.Gossip{EngineUsage: usages}).EngineUsage, convey.ShouldBeEmpty)
		})
	})
}
