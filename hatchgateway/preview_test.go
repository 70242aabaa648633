package hatchgateway

import (
	"encoding/json"
	"regexp"
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
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
		ask := func(request string) ([]byte, error) {
			return gateway.peers.Preview(t.Context(), gateway.settings.PeerAddress, []byte(request))
		}
		attempts := gateway.registry.Get("connections.attempt").(metrics.Counter)
		convey.Convey("A preview names the route, the caller's organisation and a whole pipeline, and no request is sent", func() {
			before := attempts.Count()
			reply, err := ask(`{"host":"h.example","path":"/draft/x","key":"secret","promptTokens":10,"outputTokens":40,"timeLeft":5000000000}`)
			convey.So(err, convey.ShouldBeNil)
			var preview dragonflyhatch.Preview
			convey.So(json.Unmarshal(reply, &preview), convey.ShouldBeNil)
			convey.So(string(reply), convey.ShouldNotContainSubstring, "secret")
			convey.So([]string{preview.Route, preview.Service, preview.Organisation}, convey.ShouldResemble, []string{"draft", serviceName, "office"})
			convey.So(preview.Admitted, convey.ShouldBeTrue)
			convey.So(preview.Rule, convey.ShouldEqual, "wait")
			chosen := slices.IndexFunc(preview.Candidates, func(candidate dragonflyhatch.PreviewCandidate) bool { return candidate.Chosen })
			stages := preview.Candidates[chosen].Stages
			convey.So([]int{stages[0].Layers.First, stages[len(stages)-1].Layers.End}, convey.ShouldResemble, []int{0, layerCount})
			convey.So(attempts.Count(), convey.ShouldEqual, before)
		})
		convey.Convey("The preview of a request with an unknown key is a refusal without the key", func() {
			reply, err := ask(`{"host":"h.example","path":"/draft/x","key":"sk-other"}`)
			convey.So(err, convey.ShouldBeNil)
			convey.So(string(reply), convey.ShouldContainSubstring, `"kind":"unauthorized"`)
			convey.So(string(reply), convey.ShouldNotContainSubstring, "sk-other")
		})
		convey.Convey("Bad descriptions are refused without their content", func() {
			for _, request := range []string{`{"key":"secret"}`, `{"host":"h","path":"/","key":5551234}`, `secret`, `{"host":"h","path":"/","promptTokens":-1}`} {
				_, err := ask(request)
				convey.So(err.Error(), convey.ShouldContainSubstring, "invalid_argument")
				convey.So(regexp.MustCompile("secret|5551234").MatchString(err.Error()), convey.ShouldBeFalse)
			}
		})
	})
}
