package hatchmember

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch"
)

// outageDaemon is a daemon of a fleet that polls, watches and gossips in virtual time as
// package hatchgateway does.
type outageDaemon struct {
	*freshnessDaemon
	version                        int // of the configuration, 0 if none
	heardAt, checkAt, freeAt, push time.Time
	isFollower, watches, hasCalled bool
	started                        time.Time // of the call that fails at freeAt
	pushCount                      int
}

// outageMessage arrives one tick after it was sent.
type outageMessage struct {
	from, to           int
	member             []dragonflyhatch.Member
	readAge, failedAge time.Duration
	version            int
	isReply            bool
}

// outageFleet is a fleet whose store is unavailable to some daemons.
type outageFleet struct {
	random   *rand.Rand
	now      time.Time
	daemons  []*outageDaemon
	inFlight []outageMessage
	turnsOff func(daemon int) bool // the store does not serve the daemon
	silent   time.Duration         // time after which a call to a store that does not serve fails
	version  int                   // of the configuration in the store
	calls    int                   // since the start, without the renewal of watches
}

const slowCall = 400 * time.Millisecond

const outageLimit = 2250 * time.Millisecond // for bounds of 3 s

func outageMember(i int, version uint64) dragonflyhatch.Member {
	return dragonflyhatch.Member{Host: fmt.Sprintf("h-%03d", i), Site: string(rune('a' + i%3)), MilliCores: 200, Version: version}
}

func newOutageFleet(size int, seed uint64) *outageFleet {
	fleet := &outageFleet{random: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1000, 0), version: 1, daemons: make([]*outageDaemon, size)}
	fleet.turnsOff = nobody
	for i := range size {
		fleet.restart(i, 1)
		for other := range size {
			fleet.daemons[i].roster.Merge(outageMember(other, 1))
		}
	}
	return fleet
}

// restart starts the daemon, which first knows the seeds only.
func (fleet *outageFleet) restart(i int, version uint64) {
	daemon := &outageDaemon{freshnessDaemon: &freshnessDaemon{roster: NewRoster(outageMember(i, version)), freshness: NewFreshness(outageLimit, fleet.random, fleet.now)}}
	daemon.nextGossip = fleet.now.Add(daemon.freshness.jitter(simulatedGossip))
	if i >= 3 {
		daemon.checkAt = fleet.now.Add(3 * simulatedTick) // the first contact
	}
	fleet.daemons[i] = daemon
	for seed := range 3 {
		fleet.send(i, seed, false)
	}
}

func (fleet *outageFleet) send(from, to int, isReply bool) {
	if daemon := fleet.daemons[from]; from != to && fleet.random.IntN(100) >= 5 {
		fleet.inFlight = append(fleet.inFlight, outageMessage{
			from, to, append(daemon.roster.NextBatch(fleet.random, true), daemon.roster.Self()),
			daemon.freshness.ReportedAge(fleet.now), daemon.freshness.FailureAge(fleet.now), daemon.version, isReply,
		})
	}
}

func (fleet *outageFleet) receive(message outageMessage) {
	daemon := fleet.daemons[message.to]
	for _, member := range message.member {
		daemon.roster.Merge(member)
	}
	daemon.heardAt = fleet.now
	fleet.report(daemon, daemon.freshness.MergeCalls(message.readAge, message.failedAge, daemon.roster.Size(), fleet.now))
	fleet.learn(daemon, message.version)
	if message.version == daemon.version && message.readAge >= 0 {
		daemon.freshness.Confirm(fleet.now.Add(-message.readAge))
	}
	if !message.isReply {
		fleet.send(message.to, message.from, true)
	}
}

func (fleet *outageFleet) report(daemon *outageDaemon, news bool) {
	if news {
		daemon.pushCount = max(daemon.pushCount, 3)
	}
}

func (fleet *outageFleet) learn(daemon *outageDaemon, version int) {
	if version > daemon.version {
		daemon.version, daemon.pushCount = version, MaxNeighbours
	}
}

func (fleet *outageFleet) step() {
	arriving := fleet.inFlight
	fleet.inFlight = nil
	for _, message := range arriving {
		fleet.receive(message)
	}
	for i, daemon := range fleet.daemons {
		if !fleet.now.Before(daemon.nextGossip) {
			daemon.nextGossip = fleet.now.Add(daemon.freshness.jitter(simulatedGossip))
			if peer, ok := daemon.roster.GossipPeer(fleet.random, fleet.random.IntN(8)); ok {
				fleet.send(i, hostNumber(peer.Host), false)
			}
		}
		if daemon.pushCount > 0 && !fleet.now.Before(daemon.push) {
			for _, peer := range daemon.roster.PushPeers(fleet.random, daemon.pushCount) {
				fleet.send(i, hostNumber(peer.Host), false)
			}
			daemon.pushCount, daemon.push = 0, fleet.now.Add(60*time.Millisecond)
		}
		fleet.useStore(i, daemon)
	}
	fleet.now = fleet.now.Add(simulatedTick)
}

func hostNumber(host string) (number int) {
	_, _ = fmt.Sscanf(host, "h-%d", &number) // hosts are named by outageMember
	return number
}

// useStore lets the daemon follow and poll the store.
func (fleet *outageFleet) useStore(i int, daemon *outageDaemon) {
	served, now := !fleet.turnsOff(i), fleet.now
	if daemon.watches && served {
		fleet.learn(daemon, fleet.version)
	} else if daemon.watches && fleet.silent == 0 {
		daemon.watches = false
		fleet.report(daemon, daemon.freshness.RecordCall(now, now, false))
	}
	if !now.Before(daemon.checkAt) {
		rank := daemon.roster.Rank("store")
		daemon.isPoller = rank < simulatedPollers
		daemon.isFollower = (daemon.version == 0 || rank < 4 || now.Sub(daemon.heardAt) > peerTimeout) && !daemon.freshness.IsPaced(now)
		daemon.checkAt = now.Add(daemon.freshness.jitter(rankInterval))
		if daemon.watches = daemon.watches && daemon.isFollower; daemon.isFollower && !daemon.watches {
			fleet.calls++
			if served || daemon.hasCalled {
				fleet.calls++ // both kinds are listed
			}
			daemon.watches, daemon.hasCalled = served, true
			daemon.roster.SetStoreLost(!served)
			fleet.report(daemon, daemon.freshness.RecordCall(now, now, served))
			if served {
				fleet.learn(daemon, fleet.version)
			}
		}
	}
	if !daemon.started.IsZero() && now.Sub(daemon.started) == slowCall {
		fleet.report(daemon, daemon.freshness.RecordCall(now, now, false))
	}
	if !daemon.started.IsZero() && !now.Before(daemon.freeAt) {
		if daemon.isPoller {
			daemon.roster.SetStoreLost(true)
		}
		fleet.report(daemon, daemon.freshness.RecordRead(daemon.started, now, false))
		daemon.started = time.Time{}
	}
	paced := daemon.freshness.IsPaced(now)
	if !daemon.started.IsZero() || daemon.version == 0 && !daemon.isPoller && !paced || now.Before(daemon.freshness.NextCall(now, daemon.isPoller, daemon.roster.Self().StoreLost)) {
		return
	}
	fleet.calls++
	if !served {
		daemon.started, daemon.freeAt = now, now.Add(fleet.silent)
		return
	}
	fleet.learn(daemon, fleet.version)
	daemon.roster.SetStoreLost(false)
	fleet.report(daemon, daemon.freshness.RecordRead(now, now, true))
}

// run plays the fleet for the duration. It returns the number of calls and the most in a
// second.
func (fleet *outageFleet) run(duration time.Duration) (calls, most int) {
	history := []int{fleet.calls}
	for end := fleet.now.Add(duration); fleet.now.Before(end); {
		fleet.step()
		history = append(history, fleet.calls)
		most = max(most, fleet.calls-history[max(0, len(history)-1-int(time.Second/simulatedTick))])
	}
	return fleet.calls - history[0], most
}

// spread plays the fleet until all daemons know the configuration, and returns the time.
func (fleet *outageFleet) spread() time.Duration {
	start := fleet.now
	for _, daemon := range fleet.daemons {
		for daemon.version < fleet.version && fleet.now.Sub(start) < time.Minute {
			fleet.step()
		}
	}
	return fleet.now.Sub(start)
}

func nobody(int) bool   { return false }
func everyone(int) bool { return true }

// TestStoreOutage guards against calls to an unavailable store that grow with the fleet,
// and against a fleet that is slow to learn that the store is available again. Outages
// last for 8 s; 5 in 100 messages are lost.
func TestStoreOutage(t *testing.T) {
	for _, size := range []int{30, 137, 300} {
		for _, spec := range []struct {
			name     string
			turnsOff func(i int) bool
			silent   time.Duration
			restart  bool
		}{
			{name: "all", turnsOff: everyone},
			{name: "all, without response", turnsOff: everyone, silent: time.Second},
			{name: "all, restarted", turnsOff: everyone, restart: true},
			{name: "a third", turnsOff: func(i int) bool { return i%3 == 1 }},
		} {
			convey.Convey(fmt.Sprintf("Given %d daemons and an outage for %s", size, spec.name), t, func() {
				fleet := newOutageFleet(size, uint64(size))
				fleet.run(10 * time.Second)
				fleet.turnsOff, fleet.silent = spec.turnsOff, spec.silent
				begin, mostAtBegin := fleet.run(3 * time.Second)
				for i := 0; spec.restart && i < size; i++ {
					fleet.restart(i, 2)
				}
				middle, mostInMiddle := fleet.run(2 * time.Second)
				fleet.version++
				end, mostAtEnd := fleet.run(3 * time.Second)
				behind := 0
				for _, daemon := range fleet.daemons {
					behind += fleet.version - max(daemon.version, 1)
				}
				fleet.turnsOff = nobody
				missed := fleet.spread()
				after, mostAfter := fleet.run(4*time.Second - missed)
				fleet.version++
				later := fleet.spread()
				t.Logf("%d, %s: %d calls, most in a second %d, %d, %d; a configuration of the outage is missing at %d, known after %v; then %d calls in 4 s, most %d; a later one known after %v",
					size, spec.name, begin+middle+end, mostAtBegin, mostInMiddle, mostAtEnd, behind, missed, after, mostAfter, later)
				convey.So(max(mostInMiddle, mostAtEnd), convey.ShouldBeLessThanOrEqualTo, 20)
				if spec.silent == 0 || size < 300 {
					// Until the first calls count as failed, 300 daemons read as in calm, which is more.
					convey.So(mostAtBegin, convey.ShouldBeLessThanOrEqualTo, 20)
				}
				convey.So(missed, convey.ShouldBeLessThan, 4*time.Second)
				convey.So(later, convey.ShouldBeLessThan, time.Second)
				if spec.name == "a third" {
					convey.So(behind, convey.ShouldEqual, 0)
				}
			})
		}
	}
}

// TestAloneInOutage guards against a daemon without peers that waits for the fleet, and
// against the only daemon that the store serves being held back by the failures of others.
func TestAloneInOutage(t *testing.T) {
	convey.Convey("Given a daemon that hears of an outage from a fleet of 137", t, func() {
		now := time.Unix(1000, 0)
		freshness := NewFreshness(outageLimit, rand.New(rand.NewPCG(1, 3)), now)
		convey.So(freshness.ReportedAge(now), convey.ShouldBeLessThan, 0)
		convey.So(freshness.MergeCalls(-1, 10*time.Millisecond, 137, now), convey.ShouldBeTrue)
		convey.So(freshness.IsPaced(now), convey.ShouldBeTrue)
		convey.Convey("It calls with its own backoff once it hears from no peer", func() {
			now = now.Add(peerTimeout + time.Millisecond)
			convey.So(freshness.NextCall(now, true, false), convey.ShouldEqual, freshness.NextRead(true, false))
		})
		convey.Convey("It reads as in calm once the store has served it, whatever others report", func() {
			freshness.RecordRead(now, now, true)
			convey.So(freshness.IsPaced(now), convey.ShouldBeFalse)
			now = now.Add(time.Second)
			freshness.MergeCalls(-1, 10*time.Millisecond, 137, now)
			convey.So(freshness.FailureAge(now), convey.ShouldBeGreaterThan, 0)
			convey.So(freshness.IsPaced(now), convey.ShouldBeFalse)
		})
	})
}

// TestStaleInPartialOutage guards against a daemon whose knowledge grows older than its
// limit because others that the store turns away make it pace its calls: a replica that had
// left got a request 2.3 s after the store had acknowledged it.
func TestStaleInPartialOutage(t *testing.T) {
	convey.Convey("Given a daemon that has missed a change, while others read the store", t, func() {
		now := time.Unix(1000, 0)
		freshness := NewFreshness(outageLimit, rand.New(rand.NewPCG(1, 3)), now)
		freshness.Confirm(now)
		due := freshness.NextRead(false, false)
		now = now.Add(outageLimit / 2)
		freshness.MergeCalls(10*time.Millisecond, 0, 13, now)
		convey.Convey("It reads at its limit, although the store has begun to turn a daemon away", func() {
			freshness.MergeCalls(50*time.Millisecond, time.Millisecond, 13, now)
			convey.So(freshness.IsPaced(now), convey.ShouldBeTrue)
			convey.So(freshness.NextCall(now, false, false), convey.ShouldHappenOnOrBefore, due)
		})
		convey.Convey("It reads at its limit, although a failure was followed by a success just now", func() {
			now = due.Add(time.Millisecond)
			freshness.MergeCalls(500*time.Millisecond, 400*time.Millisecond, 13, now)
			freshness.MergeCalls(0, 0, 13, now)
			convey.So(freshness.IsPaced(now), convey.ShouldBeFalse)
			convey.So(freshness.NextCall(now, false, false), convey.ShouldHappenOnOrBefore, due)
		})
	})
}
