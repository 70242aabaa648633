package hatchgateway

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch/platform"
)

func TestFirstRead(t *testing.T) {
	started := time.Now()
	follows := func(bootstrap bool, address string, after time.Duration) bool {
		gateway := New(&platform.Settings{Host: "h", PeerAddress: address, Seeds: []string{"s:1", "s:2"}, Bootstrap: bootstrap})
		return gateway.shouldFollowStore(started.Add(after))
	}
	convey.Convey("When all daemons start for the first time, the seeds read the store at once", t, func() {
		convey.So(follows(true, "s:2", 0), convey.ShouldBeTrue)
		convey.So(follows(true, "h:9", 0), convey.ShouldBeFalse)
		convey.So(follows(true, "h:9", bootstrapDelay-10*time.Millisecond), convey.ShouldBeFalse)
	})
	convey.Convey("The others read it if no peer has given them a configuration", t, func() {
		convey.So(follows(true, "h:9", 3*bootstrapDelay), convey.ShouldBeTrue)
	})
	convey.Convey("A daemon that starts again reads it at once", t, func() {
		convey.So(follows(false, "h:9", 0), convey.ShouldBeTrue)
	})
}
