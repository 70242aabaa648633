package hatchretry

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch"
)

// TestNoThirdReplicaTerminates guards against a request that is sent on after two replicas terminated under it.
func TestNoThirdReplicaTerminates(t *testing.T) {
	convey.Convey("A request under which two replicas terminated before they answered is not sent again", t, func() {
		now := time.Unix(100, 0)
		attempts, budget := NewAttempts(now.Add(time.Minute), false, WithMaxRuns(5)), NewBudget()
		lost := &dragonflyhatch.Failure{Kind: dragonflyhatch.KindUpstreamLost, Detail: "test"}
		attempts.RecordTermination()
		convey.So(attempts.HandleReplicaFailure(now, lost, "a", []string{"a"}, budget), convey.ShouldBeNil)
		convey.So(attempts.HandleReplicaFailure(now, lost, "b", []string{"b"}, budget), convey.ShouldBeNil) // after its first events
		attempts.RecordTermination()
		err := attempts.HandleReplicaFailure(now, lost, "c", []string{"c"}, budget)
		convey.So(dragonflyhatch.KindOf(err), convey.ShouldEqual, dragonflyhatch.KindUpstreamLost)
	})
}
