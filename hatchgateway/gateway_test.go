package hatchgateway

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch/hatchstandin"
)

func TestGatewaysServeAPipeline(t *testing.T) {
	convey.Convey("Given three gateways and six engines in two sites", t, func() {
		cluster := newCluster(t, 3)
		cluster.eventually(12*time.Second, "all gateways serve", cluster.allServing)
		// A former leader learns by gossip that another daemon has taken the lease.
		cluster.eventually(2*time.Second, "there is one leader", func() bool { return cluster.leaders() == 1 })
		cluster.eventually(3*time.Second, "the directory lists a gateway", func() bool { return len(cluster.gateways[0].directoryAddresses()) >= 1 })

		convey.Convey("After an engine crashes its layers are placed again, and its streams are resumed", func() {
			var group sync.WaitGroup
			results := make([]int, 6)
			for i := range results {
				group.Add(1)
				go func() {
					defer group.Done()
					_, results[i] = cluster.gateways[i%3].call("/draft/x", fmt.Sprint("s-", i))
				}()
			}
			time.Sleep(100 * time.Millisecond)
			cluster.engines[0].Crash()
			group.Wait()
			for _, events := range results {
				convey.So(events, convey.ShouldEqual, eventsPerStream)
			}
			cluster.eventually(6*time.Second, "the remaining engines hold all layers", func() bool {
				return cluster.holdAllLayers("a", cluster.engines[1:3])
			})
			cluster.eventually(3*time.Second, "all gateways serve again", cluster.allServing)
			for _, engine := range cluster.engines {
				convey.So(engine.ExceededMemory(), convey.ShouldBeFalse)
			}
		})
		convey.Convey("A configuration is in force everywhere though watches deliver no events", func() {
			cluster.platform.SetFaults(hatchstandin.PlatformFaults{HoldWatches: true})
			cluster.configure(2, "/other/")
			cluster.eventually(2*time.Second, "the configuration is in force", func() bool {
				for _, gateway := range cluster.gateways {
					if gateway.Table().Version != 2 {
						return false
					}
				}
				return true
			})
			status, _ := cluster.gateways[0].call("/draft/x", "gone")
			convey.So(status, convey.ShouldEqual, 404)
		})
		convey.Convey("During an outage of the store requests are served, and a new gateway gets its state from peers", func() {
			cluster.platform.SetFaults(hatchstandin.PlatformFaults{Outage: true})
			convey.So(cluster.allServing(), convey.ShouldBeTrue)
			cluster.startGateway(3, cluster.peerAddresses()...)
			cluster.eventually(4*time.Second, "the new gateway serves", cluster.allServing)
		})
		convey.Convey("A stopping gateway completes its requests, leaves the directory immediately, and another becomes leader", func() {
			var leader *testGateway
			for _, gateway := range cluster.gateways {
				if gateway.isLeader() {
					leader = gateway
				}
			}
			events := make(chan int, 1)
			go func() {
				_, count := leader.call("/draft/x", "during the stop")
				events <- count
			}()
			time.Sleep(50 * time.Millisecond)
			leader.stop()
			convey.So(<-events, convey.ShouldEqual, eventsPerStream)
			for _, gateway := range cluster.gateways {
				if gateway != leader {
					cluster.eventually(time.Second, "the directory excludes the stopping gateway", func() bool {
						addresses := gateway.directoryAddresses()
						return len(addresses) > 0 && !strings.Contains(strings.Join(addresses, " "), leader.settings.CallerAddress)
					})
				}
			}
			convey.So(<-leader.runError, convey.ShouldBeNil)
			cluster.eventually(6*time.Second, "another is leader", func() bool { return cluster.leaders() == 1 })
		})
		convey.Convey("The log gives the reason of a failed request", func() {
			for _, engine := range cluster.engines {
				engine.Crash()
			}
			status, _ := cluster.gateways[0].call("/draft/x", "f00d")
			convey.So(status, convey.ShouldBeIn, 502, 503, 504)
			log := cluster.gateways[0].log.String()
			var lines []string
			for _, line := range strings.Split(log, "\n") {
				if strings.Contains(line, `"request":"f00d"`) {
					lines = append(lines, line)
				}
			}
			all := strings.Join(lines, "\n")
			convey.So(all, convey.ShouldContainSubstring, `"msg":"request failed"`)
			convey.So(all, convey.ShouldContainSubstring, "no usable engines of lm cover all layers")
			convey.So(all, convey.ShouldContainSubstring, `"configuration":1`)
		})
	})
}

func TestSeedThatStartsLateIsFound(t *testing.T) {
	convey.Convey("Given two gateways that know each other, and a seed that has not started", t, func() {
		cluster := newCluster(t, 0)
		seed := cluster.gatewayIP(0) + ":8082"
		knows := func(daemons int) func() bool {
			return func() bool {
				for _, gateway := range cluster.gateways {
					if gateway.Daemons() != daemons {
						return false
					}
				}
				return true
			}
		}
		for _, number := range []int{1, 2} {
			cluster.startGateway(number, append(cluster.peerAddresses(), seed)...)
		}
		cluster.eventually(3*time.Second, "two know each other", knows(2))
		convey.Convey("The seed joins them when it starts, although it has no seeds itself", func() {
			cluster.startGateway(0)
			cluster.eventually(3*time.Second, "three know each other", knows(3))
		})
	})
}
