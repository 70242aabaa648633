package hatchgateway

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch"
)

// TestPreviewOfARunningGateway guards against previews that reach an engine, that differ
// from what happens to the request, or that contain the key.
func TestPreviewOfARunningGateway(t *testing.T) {
	convey.Convey("Given a gateway that serves a pipeline", t, func() {
		cluster := newCluster(t, 1)
		cluster.eventually(12*time.Second, "the gateway serves", cluster.allServing)
		gateway := cluster.gateways[0]
		ask := func(request string) (dragonflyhatch.Preview, string, error) {
			reply, err := gateway.peers.Preview(t.Context(), gateway.settings.PeerAddress, []byte(request))
			var preview dragonflyhatch.Preview
			if err == nil {
				convey.So(json.Unmarshal(reply, &preview), convey.ShouldBeNil)
			}
			return preview, string(reply), err
		}
		convey.Convey("A preview names the route, the caller's organisation and a whole pipeline, and no request is sent", func() {
			requests := gateway.registry.Get("connections.attempt").(interface{ Count() int64 }).Count()
			preview, text, err := ask(`{"host":"h.example","path":"/draft/x","key":"secret","promptTokens":10,"outputTokens":40,"timeLeft":5000000000}`)
			convey.So(err, convey.ShouldBeNil)
			convey.So(text, convey.ShouldNotContainSubstring, "secret")
			convey.So([]string{preview.Route, preview.Service, preview.Organisation}, convey.ShouldResemble, []string{"draft", serviceName, "office"})
			convey.So(preview.Admitted, convey.ShouldBeTrue)
			convey.So(preview.Rule, convey.ShouldEqual, "wait")
			chosen := 0
			for _, candidate := range preview.Candidates {
				convey.So(candidate.Stages[0].Layers.First, convey.ShouldEqual, 0)
				convey.So(candidate.Stages[len(candidate.Stages)-1].Layers.End, convey.ShouldEqual, layerCount)
				if candidate.Chosen {
					chosen++
				}
			}
			convey.So(chosen, convey.ShouldEqual, 1)
			convey.So(gateway.registry.Get("connections.attempt").(interface{ Count() int64 }).Count(), convey.ShouldEqual, requests)
		})
		convey.Convey("Bad descriptions are refused without their content", func() {
			for _, request := range []string{`{"key":"secret"}`, `{"host":"h","path":"/","key":5551234}`, `secret`, `{"host":"h","path":"/","promptTokens":-1}`} {
				_, _, err := ask(request)
				convey.So(err, convey.ShouldNotBeNil)
				convey.So(err.Error(), convey.ShouldContainSubstring, "invalid_argument")
				convey.So(err.Error(), convey.ShouldNotContainSubstring, "secret")
				convey.So(err.Error(), convey.ShouldNotContainSubstring, "5551234")
			}
		})
	})
}
