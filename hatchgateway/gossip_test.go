package hatchgateway

import (
	"context"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch"
	"dragonflyhatch/hatchmember"
)

func TestGossipOfReplicas(t *testing.T) {
	convey.Convey("Given a daemon that knows two engines", t, func() {
		gateway := newTestPlacer("lm").gateway
		engines := []dragonflyhatch.Replica{testEngine("lm", 0, 0, 8), testEngine("lm", 1, 0, 8)}
		gateway.mu.Lock()
		gateway.replicas.replace(engines, 2, time.Now())
		gateway.rebuildView()
		gateway.mu.Unlock()
		peer := dragonflyhatch.Gossip{From: dragonflyhatch.Member{Host: "h-2", PeerAddress: "127.0.0.1:1", Version: 1}, ReplicasVersion: 2}
		convey.Convey("An engine that stated to a peer that it is leaving is out of use here, and the news goes on", func() {
			peer.LeavingReplicas = []dragonflyhatch.ReplicaProcess{engines[0].Process()}
			gateway.ExchangeGossip(peer)
			convey.So(gateway.View().NodeAt(engines[0].Address).IsLeaving(), convey.ShouldBeTrue)
			convey.So(gateway.View().NodeAt(engines[1].Address).IsLeaving(), convey.ShouldBeFalse)
			convey.So(gateway.ExchangeGossip(peer).LeavingReplicas, convey.ShouldResemble, peer.LeavingReplicas)
			convey.Convey("also when its registration was missing for a while, but not a new process", func() {
				gateway.mu.Lock()
				gateway.replicas.replace(engines[1:], 3, time.Now())
				gateway.rebuildView()
				restarted := engines[0]
				restarted.Started, restarted.Revision, restarted.ID = 5, 5, "lm-5"
				engines[0].Revision = 4
				gateway.replicas.replace([]dragonflyhatch.Replica{engines[0], engines[1]}, 4, time.Now())
				gateway.rebuildView()
				gateway.mu.Unlock()
				convey.So(gateway.View().NodeAt(engines[0].Address).IsLeaving(), convey.ShouldBeTrue)
				gateway.mu.Lock()
				gateway.replicas.replace([]dragonflyhatch.Replica{restarted, engines[1]}, 5, time.Now())
				gateway.rebuildView()
				gateway.mu.Unlock()
				convey.So(gateway.View().NodeAt(engines[0].Address).IsLeaving(), convey.ShouldBeFalse)
			})
		})
		convey.Convey("The latest known wait in an engine's queue is kept and sent on, an older one is not", func() {
			report := func(wait, age time.Duration) time.Duration {
				peer.QueueWaits = []dragonflyhatch.QueueWait{{Address: engines[0].Address, Wait: wait, Age: age}}
				gateway.ExchangeGossip(peer)
				return gateway.View().NodeAt(engines[0].Address).ExpectedWait(time.Now())
			}
			convey.So(report(time.Second, time.Second), convey.ShouldEqual, time.Second)
			convey.So(report(9*time.Second, 1500*time.Millisecond), convey.ShouldEqual, time.Second)
			convey.So(report(500*time.Millisecond, 100*time.Millisecond), convey.ShouldEqual, 750*time.Millisecond)
			sent := gateway.ExchangeGossip(dragonflyhatch.Gossip{}).QueueWaits
			convey.So(sent, convey.ShouldHaveLength, 1)
			convey.So(sent[0].Wait, convey.ShouldEqual, 750*time.Millisecond)
			convey.So(sent[0].Age, convey.ShouldBeBetween, 100*time.Millisecond, time.Second)
		})
		convey.Convey("An engine that refuses all requests of a peer is avoided and reported here, until it takes one", func() {
			refusals := dragonflyhatch.ReplicaRefusals{Process: engines[0].Process(), Refusals: 3, First: time.Second, Latest: 500 * time.Millisecond, Accepted: -1}
			peer.RefusingReplicas = []dragonflyhatch.ReplicaRefusals{refusals}
			gateway.ExchangeGossip(peer)
			node, soon := gateway.View().NodeAt(engines[0].Address), time.Now().Add(300*time.Millisecond)
			convey.So(node.IsRefusing(soon), convey.ShouldBeTrue)
			gateway.mu.Lock()
			sent := gateway.composeRefusals(soon)
			gateway.mu.Unlock()
			convey.So(sent, convey.ShouldHaveLength, 1)
			convey.So(sent[0].Latest-refusals.Latest, convey.ShouldBeBetween, 250*time.Millisecond, 350*time.Millisecond)
			convey.So(gateway.refusals.started.Count(), convey.ShouldEqual, 1)
			convey.So(node.IsFull(soon.Add(2*time.Second)), convey.ShouldBeFalse) // its only daemon is the first by rank
			peer.RefusingReplicas[0] = dragonflyhatch.ReplicaRefusals{Process: engines[0].Process(), Accepted: 10 * time.Millisecond}
			convey.So(gateway.ExchangeGossip(peer).RefusingReplicas, convey.ShouldHaveLength, 1) // the news goes on
			convey.So(node.IsRefusing(soon), convey.ShouldBeFalse)
			convey.So(gateway.refusals.ended.Count(), convey.ShouldEqual, 1)
		})
		convey.Convey("Refusals of processes that are not registered here are neither kept nor sent on", func() {
			restarted := engines[0].Process()
			restarted.Started++
			for number := range 5 {
				unknown := dragonflyhatch.ReplicaProcess{ID: "unknown", Address: "127.0.0.1:9", Started: int64(number)}
				for _, process := range []dragonflyhatch.ReplicaProcess{unknown, restarted} {
					peer.RefusingReplicas = append(peer.RefusingReplicas, dragonflyhatch.ReplicaRefusals{Process: process, Refusals: 3, First: time.Second, Accepted: -1})
				}
			}
			convey.So(gateway.ExchangeGossip(peer).RefusingReplicas, convey.ShouldBeEmpty)
			convey.So(gateway.pushRequests, convey.ShouldBeEmpty)
			for _, refusals := range peer.RefusingReplicas {
				convey.So(gateway.healths.GetProcess(refusals.Process).IsRefusing(time.Now().Add(300*time.Millisecond)), convey.ShouldBeFalse)
			}
		})
		convey.Convey("More waits and leaving processes than a message may have are not all taken", func() {
			for range 10 * maxLeavingSent {
				peer.LeavingReplicas = append(peer.LeavingReplicas, dragonflyhatch.ReplicaProcess{ID: "unknown", Started: int64(len(peer.LeavingReplicas))})
				peer.QueueWaits = append(peer.QueueWaits, dragonflyhatch.QueueWait{Address: "unknown"})
			}
			gateway.ExchangeGossip(peer)
			convey.So(gateway.View().LeavingProcesses(100), convey.ShouldBeEmpty)
		})
	})
}

// TestTrialsWithoutPeers guards against a daemon without peers that tries a refusing engine
// seconds late, because only exchanges with peers determine its rank for the trials.
func TestTrialsWithoutPeers(t *testing.T) {
	convey.Convey("Given a daemon that knows no other one and an engine that has refused its requests", t, func() {
		gateway := newTestPlacer("lm").gateway
		engine := testEngine("lm", 0, 0, 8)
		gateway.mu.Lock()
		gateway.replicas.replace([]dragonflyhatch.Replica{engine}, 1, time.Now())
		gateway.rebuildView()
		gateway.mu.Unlock()
		node, latest := gateway.View().NodeAt(engine.Address), time.Now().Add(-150*time.Millisecond)
		node.RecordRefusal(latest.Add(-300 * time.Millisecond))
		node.RecordRefusal(latest)
		due := latest.Add(600 * time.Millisecond) // the first trial is due 500 ms after the latest refusal
		convey.So(node.IsRefusing(due), convey.ShouldBeTrue)
		convey.So(node.IsFull(due), convey.ShouldBeTrue)
		ctx, cancel := context.WithTimeout(context.Background(), 2*gossipInterval)
		defer cancel()
		gateway.runGossip(ctx)
		convey.So(node.IsFull(due), convey.ShouldBeFalse)
	})
}

func TestPeersOfAPush(t *testing.T) {
	convey.Convey("Given a daemon in a fleet of forty", t, func() {
		gateway := newTestPlacer("lm").gateway
		gateway.roster = hatchmember.NewRoster(dragonflyhatch.Member{Host: "h-0", Site: "a", Version: 1})
		for i := range 39 {
			host := string(rune('A'+i%26)) + string(rune('a'+i/26))
			gateway.roster.Merge(dragonflyhatch.Member{Host: host, Site: string(rune('a' + i%3)), Version: 1})
		}
		gateway.leader.host = "Aa"
		hosts := func() (list []string) {
			for _, peer := range gateway.pushPeers() {
				list = append(list, peer.Host)
			}
			return list
		}
		convey.Convey("An update goes to a few neighbours, a configuration to all of them", func() {
			convey.So(hosts(), convey.ShouldHaveLength, maxPushPeers)
			gateway.pushToAll.Store(true)
			convey.So(hosts(), convey.ShouldHaveLength, len(gateway.roster.Neighbours()))
			convey.So(hosts(), convey.ShouldHaveLength, maxPushPeers)
		})
		convey.Convey("An unreachable replica is reported to the leader once", func() {
			gateway.ReportUnreachable(testEngine("lm", 0, 0, 8))
			convey.So(hosts(), convey.ShouldContain, "Aa")
			convey.So(len(hosts()), convey.ShouldEqual, maxPushPeers)
		})
	})
}
