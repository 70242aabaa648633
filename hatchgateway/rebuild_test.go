package hatchgateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch"
	"dragonflyhatch/platform"
)

func TestRebuild(t *testing.T) {
	convey.Convey("Given a daemon in the pause after a rebuild of its view", t, func() {
		gateway := New(&platform.Settings{Host: "a", PeerAddress: "127.0.0.1:1", StoreAddress: "127.0.0.1:1"})
		change := func(number int) {
			gateway.mu.Lock()
			defer gateway.mu.Unlock()
			gateway.replicas.put(dragonflyhatch.Replica{ID: fmt.Sprint("r-", number), Service: "desk", Address: fmt.Sprint("127.0.0.1:", number), Revision: uint64(number)})
			gateway.requestRebuild()
		}
		viewSize := func() int { return len(gateway.View().Replicas()) }
		gateway.mu.Lock()
		gateway.earliestRebuild = time.Now().Add(100 * time.Millisecond)
		gateway.mu.Unlock()
		convey.Convey("Changes in the pause are all in the view after it", func() {
			for i := range 50 {
				change(i + 1)
			}
			convey.So(viewSize(), convey.ShouldEqual, 0)
			for deadline := time.Now().Add(2 * time.Second); viewSize() < 50 && time.Now().Before(deadline); {
				time.Sleep(5 * time.Millisecond)
			}
			convey.So(viewSize(), convey.ShouldEqual, 50)
		})
		convey.Convey("A snapshot for peers has the known replicas, not those of the view", func() {
			change(1)
			_, value := gateway.Snapshot(dragonflyhatch.SnapshotReplicas)
			convey.So(strings.Count(string(value), "r-"), convey.ShouldEqual, 1)
			change(2)
			_, value = gateway.Snapshot(dragonflyhatch.SnapshotReplicas)
			convey.So(strings.Count(string(value), "r-"), convey.ShouldEqual, 2)
		})
	})
}
