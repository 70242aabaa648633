package hatchgateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch"
)

// crashed returns how many engines have crashed at the deadly part.
func (cluster *cluster) crashed() int {
	crashed := 0
	for _, engine := range cluster.engines {
		if !engine.IsRunning() {
			crashed++
		}
	}
	return crashed
}

// TestQueryOfDeathAtAllGateways guards against requests with a common part that terminate one engine at each
// gateway, or again at a gateway that has started later.
func TestQueryOfDeathAtAllGateways(t *testing.T) {
	convey.Convey("Given four gateways and six engines", t, func() {
		cluster := newCluster(t, 4)
		cluster.eventually(12*time.Second, "all gateways serve", cluster.allServing)
		for i := range 16 {
			cluster.gateways[i%4].call("/draft/x", fmt.Sprint("deadly-", i), "common", deadlyPart, fmt.Sprint("own-", i))
			time.Sleep(50 * time.Millisecond)
		}
		convey.Convey("At most three engines crash, and requests without the part are served", func() {
			convey.So(cluster.crashed(), convey.ShouldBeBetweenOrEqual, 1, 3)
			cluster.eventually(6*time.Second, "all gateways serve again", cluster.allServing)
			status, events := cluster.gateways[0].call("/draft/x", "sound", "common", "own")
			convey.So(status, convey.ShouldEqual, 200)
			convey.So(events, convey.ShouldEqual, eventsPerStream)
		})
		convey.Convey("A gateway that starts later knows what is held back, and an operator can lift it at all", func() {
			late := cluster.startGateway(4, cluster.peerAddresses()...)
			cluster.eventually(6*time.Second, "the gateway accepts connections", func() bool {
				status, _ := late.call("/other/", "first")
				return status == 404
			})
			before := cluster.crashed()
			status, _ := late.call("/draft/x", "deadly-late", "common", deadlyPart, "own")
			convey.So(status, convey.ShouldEqual, 503)
			convey.So(cluster.crashed(), convey.ShouldEqual, before)
			parts, _ := late.Quarantine(dragonflyhatch.PromptPart{})
			convey.So(string(parts), convey.ShouldContainSubstring, `"id":"dead"`)
			convey.So(string(parts), convey.ShouldContainSubstring, `"held":true`)

			for _, part := range []string{deadlyPart, "common"} {
				_, _, err := late.peers.Quarantine(t.Context(), cluster.gateways[0].settings.PeerAddress, dragonflyhatch.PromptPart{Service: serviceName, ID: part})
				convey.So(err, convey.ShouldBeNil)
			}
			cluster.eventually(2*time.Second, "no gateway suspects a part", func() bool {
				for _, gateway := range cluster.gateways {
					if parts, _ := gateway.Quarantine(dragonflyhatch.PromptPart{}); strings.Contains(string(parts), "dead") {
						return false
					}
				}
				return true
			})
		})
	})
}
