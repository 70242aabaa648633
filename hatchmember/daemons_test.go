package hatchmember

import (
	"strconv"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func newTestDaemons(count int) *Daemons {
	daemons := NewDaemons("host-0")
	for i := range count {
		site := []string{"walu-bay", "toorak"}[i%2]
		daemons.AddRegistration(Daemon{Host: "host-" + strconv.Itoa(i), Site: site, Process: "p" + strconv.Itoa(i)}, 1)
	}
	return daemons
}

func daemonHosts(daemons []Daemon) []string {
	var names []string
	for _, daemon := range daemons {
		names = append(names, daemon.Host)
	}
	return names
}

func TestDaemons(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	convey.Convey("Given a fleet of ten", t, func() {
		fleet := newTestDaemons(10)

		convey.Convey("callers get the hosts of their site first, in an order that differs between callers", func() {
			first := make(map[string]bool)
			for caller := range 50 {
				entries := fleet.Entries("walu-bay", strconv.Itoa(caller))
				convey.So(entries, convey.ShouldHaveLength, 10)
				convey.So(entries[4].Site, convey.ShouldEqual, "walu-bay")
				convey.So(entries[5].Site, convey.ShouldEqual, "toorak")
				first[entries[0].Host] = true
			}
			convey.So(first, convey.ShouldHaveLength, 5)
		})
		convey.Convey("only the shards of a leaving daemon change their owner", func() {
			before := make(map[int]string)
			for shard := range 64 {
				before[shard] = fleet.Owners(shard)[0].Host
			}
			fleet.UpdateProcess("host-3", "p3", true)
			for shard := range 64 {
				if before[shard] != "host-3" {
					convey.So(fleet.Owners(shard)[0].Host, convey.ShouldEqual, before[shard])
				}
			}
		})
		convey.Convey("own failed calls make a host suspect, suspicions of other daemons do not", func() {
			convey.So(daemonHosts(fleet.ApplySuspicions([]string{"host-4", "host-0", "stranger"}, now)), convey.ShouldResemble, []string{"host-4"})
			convey.So(fleet.ApplySuspicions([]string{"host-4"}, now), convey.ShouldBeEmpty)
			convey.So(daemonHosts(fleet.Serving()), convey.ShouldContain, "host-4")
			convey.So(fleet.RecordFailure("host-4"), convey.ShouldBeFalse)
			convey.So(fleet.RecordFailure("host-4"), convey.ShouldBeTrue)
			convey.So(daemonHosts(fleet.Serving()), convey.ShouldNotContain, "host-4")
			convey.So(fleet.Suspects(), convey.ShouldResemble, []string{"host-4"})
			fleet.RecordSuccess("host-4", now)
			convey.So(daemonHosts(fleet.Serving()), convey.ShouldContain, "host-4")
		})
		convey.Convey("a host whose process is leaving serves again with another process", func() {
			fleet.UpdateProcess("host-5", "p5", true)
			fleet.UpdateProcess("host-5", "p5", false)
			convey.So(daemonHosts(fleet.Serving()), convey.ShouldNotContain, "host-5")
			fleet.UpdateProcess("host-5", "next", false)
			convey.So(daemonHosts(fleet.Serving()), convey.ShouldContain, "host-5")
		})
		convey.Convey("an old registration is ignored", func() {
			fleet.AddRegistration(Daemon{Host: "host-6", Leaving: true}, 0)
			convey.So(daemonHosts(fleet.Serving()), convey.ShouldContain, "host-6")
			fleet.RemoveRegistration("host-6", 2)
			convey.So(daemonHosts(fleet.All()), convey.ShouldNotContain, "host-6")
		})
	})
}
