package hatchforward

import (
	"fmt"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch"
)

// TestExpectedTokens guards against streams that reserve KV memory for the longest answer
// that they allow, or for more than that, and against means kept for routes without end.
func TestExpectedTokens(t *testing.T) {
	convey.Convey("The expected answer is the mean of the route's streams, and no longer than the caller allows", t, func() {
		forwarder := New(nil, nil)
		expected := func(route string, allowed int) int {
			return (&call{
				forwarder: forwarder, route: &dragonflyhatch.Route{Name: route},
				info: dragonflyhatch.RequestInfo{PromptTokens: 1000, OutputTokens: allowed},
			}).expectedTokens()
		}
		convey.So(expected("chat", 400), convey.ShouldEqual, 1400)
		for range 200 {
			forwarder.recordAnswerLength("chat", 100)
		}
		convey.So(expected("chat", 400), convey.ShouldEqual, 1100)
		convey.So(expected("chat", 60), convey.ShouldEqual, 1060)
		convey.So(expected("chat", 0), convey.ShouldEqual, 1100)
		convey.So(expected("other", 400), convey.ShouldEqual, 1400)
		for i := range 3 * maxAnswerMeans {
			forwarder.recordAnswerLength(fmt.Sprint(i), 100)
		}
		convey.So(len(forwarder.answerMeans), convey.ShouldEqual, maxAnswerMeans)
		convey.So(countDataLines([]byte(": ping\n\nid: 7\ndata: a\n\nid: 8\ndata: b\n\n")), convey.ShouldEqual, 2)
	})
}
