package hatchpath

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch"
	"dragonflyhatch/hatchmember"
)

const (
	simulatedDaemons = 137
	streamRate       = 180
	messageLoss      = 0.05
	firstEventTime   = 80 * time.Millisecond
)

// refusalFleet runs the decisions of all daemons in virtual time, in steps of 1 ms.
type refusalFleet struct {
	random  *rand.Rand
	now     time.Time
	step    int // ms since the start
	events  map[int][]func()
	daemons []*refusalDaemon
	delay   int // ms that each message takes in addition
	accepts func(address string) bool

	refused     map[string]int
	refusals    []time.Time
	firstTaken  time.Time // by the process tail-0 after a refusal
	dyingTrials bool      // a daemon dies when it has sent a trial
	died        int
}

type refusalDaemon struct {
	roster *hatchmember.Roster
	view   *View
	pushes Allowance
	pushAt time.Time
	dead   bool
	round  int
}

func newRefusalFleet(seed uint64, tails int) *refusalFleet {
	fleet := &refusalFleet{
		random: rand.New(rand.NewPCG(seed, 1)), now: epoch.Add(time.Minute), events: make(map[int][]func()),
		refused: make(map[string]int), accepts: func(string) bool { return true },
	}
	var replicas []dragonflyhatch.Replica
	for i := range 2 * tails {
		replica := dragonflyhatch.Replica{Service: "lm", Site: "a", ID: fmt.Sprint("head-", i), Held: dragonflyhatch.HeldLayers{LayerRange: dragonflyhatch.LayerRange{End: 40}, Version: 1}}
		if i >= tails {
			replica.ID, replica.Held.LayerRange = fmt.Sprint("tail-", i-tails), dragonflyhatch.LayerRange{First: 40, End: 80}
		}
		replica.Address = replica.ID
		replicas = append(replicas, replica)
	}
	var members []dragonflyhatch.Member
	for i := range simulatedDaemons {
		members = append(members, dragonflyhatch.Member{Host: fmt.Sprint("d-", i), Site: string(rune('a' + i%3)), Version: 1})
	}
	for i, self := range members {
		daemon := &refusalDaemon{
			roster: hatchmember.NewRoster(self), view: NewView(replicas, testServices(80), NewHealthSet()),
			pushes: Allowance{Interval: 250 * time.Millisecond, Burst: 8},
		}
		for _, member := range members {
			daemon.roster.Merge(member)
		}
		fleet.daemons = append(fleet.daemons, daemon)
		fleet.after(fleet.random.IntN(400), func() { fleet.gossip(i) })
	}
	return fleet
}

func (fleet *refusalFleet) after(millis int, run func()) {
	fleet.events[fleet.step+max(millis, 1)] = append(fleet.events[fleet.step+max(millis, 1)], run)
}

// gossip performs the periodic exchanges of a daemon.
func (fleet *refusalFleet) gossip(index int) {
	daemon := fleet.daemons[index]
	if peer, ok := daemon.roster.GossipPeer(fleet.random, daemon.round); ok {
		fleet.exchange(daemon, peer)
	}
	daemon.round++
	fleet.after(300+fleet.random.IntN(200), func() { fleet.gossip(index) })
}

// exchange sends a message that takes at least 2 to 25 ms to the peer, and another one back.
func (fleet *refusalFleet) exchange(daemon *refusalDaemon, member dragonflyhatch.Member) {
	var number int
	fmt.Sscanf(member.Host, "d-%d", &number)
	peer := fleet.daemons[number]
	fleet.send(daemon, peer, func() { fleet.send(peer, daemon, func() {}) })
}

func (fleet *refusalFleet) send(from, to *refusalDaemon, then func()) {
	refusing, reports := from.view.Refusing(fleet.now, 32)
	for _, node := range refusing {
		node.RankTrial(fleet.now, func(trial int) int { return from.roster.TransientRank(fmt.Sprint(node.Address, "/", trial)) })
	}
	if from.dead || to.dead || fleet.random.Float64() < messageLoss {
		return
	}
	fleet.after(2+fleet.delay+fleet.random.IntN(24), func() {
		for _, report := range reports {
			report.First, report.Latest = report.First.Truncate(time.Millisecond), report.Latest.Truncate(time.Millisecond)
			fleet.news(to, to.view.NodeAt(report.Process.Address).MergeRefusals(fleet.now, report))
		}
		then()
	})
}

// news pushes to peers if there is news, as hatchgateway does.
func (fleet *refusalFleet) news(daemon *refusalDaemon, news bool) {
	if !news || !daemon.pushes.Take(fleet.now) || daemon.pushAt.After(fleet.now) {
		return
	}
	at := daemon.pushAt.Add(60 * time.Millisecond)
	if at.Before(fleet.now) {
		at = fleet.now
	}
	daemon.pushAt = at
	fleet.after(int(at.Sub(fleet.now).Milliseconds()), func() {
		for _, peer := range daemon.roster.PushPeers(fleet.random, 3) {
			fleet.exchange(daemon, peer)
		}
	})
}

// stream sends a stream from the daemon, up to three times.
func (fleet *refusalFleet) stream(daemon *refusalDaemon, exclude ...string) {
	pipeline, err := daemon.view.Pipeline(fleet.now, Query{Service: "lm", Site: "a", Exclude: exclude, Daemons: simulatedDaemons, Random: fleet.random})
	if err != nil || daemon.dead {
		return
	}
	sent := fleet.now
	trials, _ := pipeline.BeginTrials(sent)
	tail := pipeline.Nodes[1]
	if trials > 0 && fleet.dyingTrials && fleet.died < 2 {
		daemon.dead = true
		fleet.died++
		return
	}
	if !fleet.accepts(tail.Address) {
		fleet.after(5, func() {
			fleet.refused[tail.Address]++
			fleet.refusals = append(fleet.refusals, fleet.now)
			fleet.news(daemon, tail.RecordRefusal(fleet.now))
			if len(exclude) < 2 {
				fleet.stream(daemon, append(exclude, tail.Address)...)
			}
		})
		return
	}
	fleet.after(int(firstEventTime.Milliseconds()), func() {
		if tail.Address == "tail-0" && len(fleet.refusals) > 0 && fleet.firstTaken.IsZero() {
			fleet.firstTaken = fleet.now
		}
		for _, node := range pipeline.Nodes {
			fleet.news(daemon, node.RecordTaken(fleet.now, sent))
		}
	})
}

// run lets the time pass until stop returns true, for at most the given time, and
// reports whether it did.
func (fleet *refusalFleet) run(limit time.Duration, stop func() bool) bool {
	for end := fleet.now.Add(limit); fleet.now.Before(end); {
		fleet.step++
		fleet.now = fleet.now.Add(time.Millisecond)
		for _, run := range fleet.events[fleet.step] {
			run()
		}
		delete(fleet.events, fleet.step)
		if fleet.random.Float64() < streamRate/1000.0 {
			fleet.stream(fleet.daemons[fleet.random.IntN(len(fleet.daemons))])
		}
		if stop() {
			return true
		}
	}
	return false
}

// avoiding returns the number of daemons that treat the process as refusing.
func (fleet *refusalFleet) avoiding(address string) (count int) {
	for _, daemon := range fleet.daemons {
		if !daemon.dead && daemon.view.NodeAt(address).IsRefusing(fleet.now) {
			count++
		}
	}
	return count
}

func never() bool { return false }

// TestRefusalsAreShared guards against a fleet in which each daemon finds out by itself
// which engines refuse requests, or goes on avoiding them.
func TestRefusalsAreShared(t *testing.T) {
	for seed := range uint64(3) {
		fleet := newRefusalFleet(seed, 12)
		refusing := func(address string) bool { return address == "tail-0" || address == "tail-1" }
		fleet.run(2*time.Second, never)
		fleet.accepts = func(address string) bool { return address != "tail-0" }
		started := fleet.now
		fleet.run(2*time.Second, func() bool { // until the second refusal that shows that the first was no exception
			count := len(fleet.refusals)
			return count > 1 && fleet.refusals[count-1].Sub(fleet.refusals[0]) >= minRefusalSpan
		})
		second := fleet.now
		ninth := simulatedDaemons * 9 / 10
		known := fleet.run(2*time.Second, func() bool { return fleet.avoiding("tail-0") >= ninth })
		t.Logf("seed %d: second refusal after %v, avoided by 9 in 10 after another %v", seed, second.Sub(started), fleet.now.Sub(second))
		if !known || fleet.now.Sub(second) > 400*time.Millisecond {
			t.Errorf("seed %d: avoided by %d daemons after %v", seed, fleet.avoiding("tail-0"), fleet.now.Sub(second))
		}
		fleet.accepts = func(address string) bool { return !refusing(address) }
		fleet.run(started.Add(8*time.Second).Sub(fleet.now), never)
		fleet.accepts, fleet.firstTaken = func(string) bool { return true }, time.Time{}
		ended := fleet.now
		if !fleet.run(10*time.Second, func() bool { return !fleet.firstTaken.IsZero() }) {
			t.Fatalf("seed %d: no request within 10 s", seed)
		}
		used := fleet.run(2*time.Second, func() bool { return fleet.avoiding("tail-0") == 0 })
		t.Logf("seed %d: refused %v; taken %v after the end, used by all after another %v", seed, fleet.refused, fleet.firstTaken.Sub(ended), fleet.now.Sub(fleet.firstTaken))
		if !used || fleet.now.Sub(fleet.firstTaken) > time.Second {
			t.Errorf("seed %d: avoided by %d daemons %v after it took a request", seed, fleet.avoiding("tail-0"), fleet.now.Sub(fleet.firstTaken))
		}
		for address, count := range fleet.refused {
			if count >= 60 || !refusing(address) {
				t.Errorf("seed %d: %d refused attempts at %s", seed, count, address)
			}
		}
	}
}

// TestDaemonsDieWithTrials guards against a process that stays avoided because the daemons
// whose turn it was to try it have died.
func TestDaemonsDieWithTrials(t *testing.T) {
	fleet := newRefusalFleet(7, 12)
	fleet.dyingTrials = true
	fleet.accepts = func(address string) bool { return address != "tail-0" }
	if !fleet.run(5*time.Second, func() bool { return fleet.died > 0 }) {
		t.Fatal("no trial")
	}
	fleet.accepts = func(string) bool { return true }
	started := fleet.now
	if !fleet.run(2500*time.Millisecond, func() bool { return fleet.died == 2 && fleet.avoiding("tail-0") == 0 }) {
		t.Fatalf("%d died, %d daemons still avoid the process", fleet.died, fleet.avoiding("tail-0"))
	}
	t.Logf("used by all %v after the first death", fleet.now.Sub(started))
}

// TestSlowMessages guards against acceptances before the refusals that seem younger with each
// slow message until they undo the refusals, so that most daemons use the process again.
func TestSlowMessages(t *testing.T) {
	for seed := range uint64(3) {
		fleet := newRefusalFleet(seed, 12)
		fleet.delay = 13
		fleet.run(2*time.Second, never)
		fleet.accepts = func(address string) bool { return address != "tail-0" }
		fleet.run(time.Second, never)
		avoiding, checks := 0, 0
		fleet.run(5*time.Second, func() bool {
			checks++
			avoiding += fleet.avoiding("tail-0")
			return false
		})
		share := float64(avoiding) / float64(checks*simulatedDaemons)
		t.Logf("seed %d: refused %d times, avoided for %.2f of the daemons' time", seed, fleet.refused["tail-0"], share)
		if share < 0.9 {
			t.Errorf("seed %d: avoided for %.2f of the time", seed, share)
		}
	}
}

// TestAcceptanceBeforeRefusals guards against an acceptance that undoes the refusals after it,
// because the peer that reports both knows them by slower messages than this daemon.
func TestAcceptanceBeforeRefusals(t *testing.T) {
	convey.Convey("Given refusals that a peer knows as 80 ms younger, and a taken request before them as 110 ms younger", t, func() {
		at := func(millis int) time.Time { return epoch.Add(time.Duration(millis) * time.Millisecond) }
		refusals := Refusals{Count: 2, First: at(0), Latest: at(200), Accepted: at(-50)}
		peer := Refusals{Count: 2, First: at(80), Latest: at(280), Accepted: at(60)}
		convey.Convey("The refusals remain", func() {
			merged := refusals.Merge(peer)
			convey.So(merged.First, convey.ShouldEqual, refusals.First)
			convey.So(merged.Latest, convey.ShouldEqual, refusals.Latest)
			convey.So(merged.Accepted, convey.ShouldEqual, refusals.Accepted)
		})
		convey.Convey("A request that was taken after them ends them", func() {
			convey.So(refusals.Merge(peer.Took(at(400))).Count, convey.ShouldEqual, 0)
			convey.So(peer.Took(at(400)).Merge(refusals).Count, convey.ShouldEqual, 0)
		})
	})
}

// TestFullForAMoment guards against treating a process as refusing that takes other
// daemons' requests between its refusals, for more than the time in which the others hear of that.
func TestFullForAMoment(t *testing.T) {
	for _, tails := range []int{3, 12} {
		fleet := newRefusalFleet(11, tails)
		fleet.accepts = func(address string) bool { return address != "tail-0" || fleet.random.Float64() > 0.2 }
		avoiding, checks := 0, 0
		fleet.run(20*time.Second, func() bool {
			checks++
			avoiding += fleet.avoiding("tail-0")
			return false
		})
		share := float64(avoiding) / float64(checks*simulatedDaemons)
		t.Logf("of %d engines one refused %d times and was avoided for %.4f of the daemons' time", tails, fleet.refused["tail-0"], share)
		if fleet.refused["tail-0"] < 50 || share > 0.03 {
			t.Errorf("refused %d times, avoided for %.4f of the time", fleet.refused["tail-0"], share)
		}
	}
}

// TestTrialSchedule guards against daemons that try at other times than the others.
func TestTrialSchedule(t *testing.T) {
	convey.Convey("Trials follow after 0.5, 1, 2 and then 4 s, and the daemons that may try double", t, func() {
		refusals, start := Refusals{}.Refused(epoch).Refused(epoch.Add(200*time.Millisecond)), epoch
		for number, delay := range []time.Duration{500, 1000, 2000, 4000, 4000, 4000} {
			next, at := refusals.NextTrial()
			convey.So(next, convey.ShouldEqual, number)
			convey.So(at.Sub(refusals.Latest), convey.ShouldEqual, delay*time.Millisecond)
			convey.So(refusals.TrialAt(0), convey.ShouldEqual, at)
			convey.So(refusals.TrialAt(1).Sub(at), convey.ShouldEqual, trialDoubling)
			convey.So(refusals.TrialAt(3).Sub(at), convey.ShouldEqual, 2*trialDoubling)
			refusals = refusals.Refused(at.Add(20 * time.Millisecond))
		}
		convey.Convey("An old report of them does not undo an acceptance, and reports that come back do not age less", func() {
			accepted := refusals.Latest.Add(time.Second)
			convey.So(refusals.Took(accepted).Merge(refusals).Count, convey.ShouldEqual, 0)
			convey.So(refusals.Merge(refusals.Took(accepted)).Count, convey.ShouldEqual, 0)
			now := accepted.Add(time.Second)
			late := NewRefusals(now.Add(30*time.Millisecond), refusals.Report(now, dragonflyhatch.ReplicaProcess{}))
			convey.So(refusals.Merge(late), convey.ShouldResemble, refusals)
			convey.So(late.Merge(refusals).First, convey.ShouldEqual, start)
			convey.So(refusals.Current(refusals.Latest.Add(refusingMemory+1)).Count, convey.ShouldEqual, 0)
		})
	})
}

// TestOddReport guards against a count or an age in one message that is so large that the
// reports of this daemon, in fields of 32 bits, no longer mention the refusals.
func TestOddReport(t *testing.T) {
	convey.Convey("After the largest count and age, refusals are still reported", t, func() {
		now, health := epoch.Add(time.Minute), new(Health)
		health.MergeRefusals(now, dragonflyhatch.ReplicaRefusals{Refusals: math.MaxUint32, First: math.MaxUint32 * time.Millisecond, Accepted: -1})
		now = now.Add(200 * time.Millisecond)
		health.RecordRefusal(now)
		convey.So(health.IsRefusing(now), convey.ShouldBeTrue)
		report := health.refusalState.Load().Report(now, dragonflyhatch.ReplicaProcess{})
		convey.So(report.Refusals, convey.ShouldBeBetween, 1, math.MaxUint32)
		convey.So(report.First.Milliseconds(), convey.ShouldBeBetween, 200, math.MaxUint32)
	})
}
