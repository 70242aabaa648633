package hatchquarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch"
)

var start = time.Unix(1000, 0)

// at returns the time after the start of a test.
func at(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

func request(organisation string, parts ...string) Request {
	return Request{Service: "lm", Organisation: organisation, Parts: parts}
}

func firstRank(dragonflyhatch.PromptPart) int { return 0 }

// check returns the action for the request at the daemon of the first rank.
func (table *Table) check(millis int, request Request) Action {
	return table.Check(at(millis), request, firstRank).Action
}

func TestTable(t *testing.T) {
	deadly, sound := request("a", "common", "deadly"), request("a", "common")
	convey.Convey("A request is delayed after one termination and refused after two, one without the part is tried", t, func() {
		table := New()
		convey.So(table.check(0, deadly), convey.ShouldEqual, Send)
		table.RecordTermination(at(0), 1, deadly)
		convey.So(table.check(10, deadly), convey.ShouldEqual, Delay)
		convey.So(table.check(160, deadly), convey.ShouldEqual, Trial)
		convey.So(table.BeginTrial(at(160), deadly), convey.ShouldBeTrue)
		convey.So(table.BeginTrial(at(160), sound), convey.ShouldBeFalse)
		convey.So(table.check(170, deadly), convey.ShouldEqual, Delay)
		table.RecordTermination(at(300), 2, deadly)
		table.EndTrial(deadly)
		convey.So(table.check(310, deadly), convey.ShouldEqual, Refuse)
		convey.So(table.IsHeld(at(310), deadly, 0), convey.ShouldBeTrue)
		convey.So(table.IsHeld(at(310), deadly, 2), convey.ShouldBeFalse)
		convey.So(table.check(310, sound), convey.ShouldEqual, Delay)
		convey.So(table.check(460, sound), convey.ShouldEqual, Trial)
		table.RecordAnswer(at(500), sound)
		convey.So(table.check(510, sound), convey.ShouldEqual, Send)
		convey.So(table.check(510, deadly), convey.ShouldEqual, Refuse)
		convey.So(table.check(300+20_100, deadly), convey.ShouldEqual, Trial)
		table.RecordTermination(at(21_000), 3, deadly)
		convey.So(table.check(21_000+59_000, deadly), convey.ShouldEqual, Refuse)
		convey.So(table.check(21_000+60_100, deadly), convey.ShouldEqual, Trial)
	})
	convey.Convey("A part that becomes sound again is free after one answered trial, or when an operator lifts it", t, func() {
		for _, free := range []func(*Table){
			func(table *Table) { table.RecordAnswer(at(21_000), deadly) },
			func(table *Table) {
				table.Lift(at(21_000), dragonflyhatch.PromptPart{Service: "lm", ID: "deadly"})
				table.Lift(at(21_000), dragonflyhatch.PromptPart{Service: "lm", ID: "common"})
			},
		} {
			table := New()
			table.RecordTermination(at(0), 1, deadly)
			table.RecordTermination(at(500), 2, deadly)
			convey.So(len(table.List(at(600))), convey.ShouldEqual, 2)
			free(table)
			convey.So(table.check(21_001, deadly), convey.ShouldEqual, Send)
			convey.So(table.List(at(21_001)), convey.ShouldBeEmpty)
		}
	})
	convey.Convey("A suspicion that no request confirms expires", t, func() {
		table := New()
		table.RecordTermination(at(0), 1, deadly)
		table.RecordTermination(at(500), 2, deadly)
		convey.So(table.check(50_499, deadly), convey.ShouldNotEqual, Send)
		convey.So(table.check(50_501, deadly), convey.ShouldEqual, Send)
		table.RecordTermination(at(60_000), 3, request("a", "other"))
		convey.So(table.suspects, convey.ShouldHaveLength, 1)
	})
	convey.Convey("Replicas that terminate at the same time count once", t, func() {
		table := New()
		for process := range uint64(20) {
			table.RecordTermination(at(int(process)), process, deadly)
		}
		convey.So(table.check(400, deadly), convey.ShouldEqual, Trial)
	})
	convey.Convey("A part that was answered shortly before needs one more termination", t, func() {
		table := New()
		table.RecordAnswer(at(0), deadly)
		table.RecordTermination(at(1000), 1, deadly)
		convey.So(table.check(1001, deadly), convey.ShouldEqual, Send)
		table.RecordTermination(at(2000), 2, deadly)
		convey.So(table.check(2001, deadly), convey.ShouldEqual, Delay)
		table.RecordTermination(at(3000), 3, deadly)
		convey.So(table.check(3001, deadly), convey.ShouldEqual, Refuse)
	})
	convey.Convey("A part is not blamed for terminations that another part explains better", t, func() {
		table := New()
		table.RecordTermination(at(0), 1, deadly)
		table.RecordTermination(at(1000), 2, request("a", "deadly"))
		table.RecordTermination(at(1000), 2, request("b", "bystander"))
		convey.So(table.check(1010, request("b", "bystander")), convey.ShouldEqual, Send)
		convey.So(table.check(1010, request("a", "deadly")), convey.ShouldEqual, Refuse)
	})
}

// TestWholeRequests guards against a request that is deadly by what is its own, and comes back under new ids at
// other daemons, and against sound requests that are refused because they share its parts.
func TestWholeRequests(t *testing.T) {
	deadly := Request{Service: "lm", Organisation: "a", Parts: []string{"shared"}, Own: "deadly"}
	sound := Request{Service: "lm", Organisation: "a", Parts: []string{"shared"}, Own: "sound"}
	convey.Convey("A request is refused after two terminations, also at a daemon that only heard of them; one with its parts is tried", t, func() {
		first, second := New(), New()
		first.RecordTermination(at(0), 1, deadly)
		second.Merge(at(20), first.Snapshot(at(10), 32))
		convey.So(first.check(160, deadly), convey.ShouldEqual, Trial)
		convey.So(second.check(160, deadly), convey.ShouldEqual, Delay)
		first.RecordTermination(at(300), 2, deadly)
		second.Merge(at(320), first.Snapshot(at(310), 32))
		for _, table := range []*Table{first, second} {
			convey.So(table.check(330, deadly), convey.ShouldEqual, Refuse)
			convey.So(table.check(330, sound), convey.ShouldEqual, Delay)
			convey.So(table.check(490, sound), convey.ShouldEqual, Trial)
			table.RecordAnswer(at(600), sound)
			convey.So(table.check(610, sound), convey.ShouldEqual, Send)
			convey.So(table.check(300_000, deadly), convey.ShouldEqual, Refuse)
			convey.So(table.Lift(at(300_000), dragonflyhatch.PromptPart{Service: "lm", ID: deadly.ids()[1]}), convey.ShouldHaveLength, 1)
			convey.So(table.check(300_001, deadly), convey.ShouldEqual, Send)
		}
	})
	convey.Convey("A request without shared parts has evidence of its own, one without parts has none", t, func() {
		table := New()
		alone := Request{Service: "lm", Organisation: "a", Own: "alone"}
		for _, process := range []uint64{1, 2} {
			table.RecordTermination(at(1000*int(process)), process, alone)
			table.RecordTermination(at(1000*int(process)), process, request("a"))
		}
		convey.So(table.check(2010, alone), convey.ShouldEqual, Refuse)
		convey.So(table.check(2010, request("a")), convey.ShouldEqual, Send)
	})
}

// TestOrganisationsCannotBlameEachOther guards against a caller that gets the parts of others held back by
// naming them in requests that terminate replicas.
func TestOrganisationsCannotBlameEachOther(t *testing.T) {
	convey.Convey("What one organisation reports does not count for another one", t, func() {
		table := New()
		for process := range uint64(20) {
			table.RecordTermination(at(1000*int(process)), process, request("attacker", "secret"))
		}
		convey.So(table.check(20_000, request("victim", "secret")), convey.ShouldEqual, Send)
		convey.So(table.check(20_000, request("attacker", "secret")), convey.ShouldEqual, Refuse)
	})
	convey.Convey("What several organisations report counts for all", t, func() {
		table := New()
		for process, organisation := range []string{"a", "b", "c"} {
			table.RecordTermination(at(1000*process), uint64(process), request(organisation, "deadly"))
		}
		convey.So(table.check(2001, request("d", "deadly")), convey.ShouldEqual, Refuse)
	})
	convey.Convey("The table is bounded as a whole and for each organisation", t, func() {
		table := New()
		table.RecordTermination(at(0), 1, request("victim", "deadly"))
		table.RecordTermination(at(200), 2, request("victim", "deadly"))
		for i := range 2000 {
			table.RecordTermination(at(1000+i), uint64(i), request("attacker", fmt.Sprint("p", i)))
			table.RecordAnswer(at(1000+i), request("attacker", fmt.Sprint("q", i)))
		}
		convey.So(len(table.suspects), convey.ShouldBeLessThanOrEqualTo, maxSuspectsPerOrganisation+1)
		convey.So(table.check(3000, request("victim", "deadly")), convey.ShouldEqual, Refuse)
		for i := range 2000 {
			table.RecordTermination(at(4000+i), uint64(i), request(fmt.Sprint("o", i), fmt.Sprint("p", i)))
		}
		convey.So(len(table.suspects), convey.ShouldBeLessThanOrEqualTo, maxSuspects)
		convey.So(len(table.Snapshot(at(6000), 32)), convey.ShouldEqual, 32)
		convey.So(len(table.answered.newer)+len(table.answered.older), convey.ShouldBeLessThanOrEqualTo, 2*maxRecentParts)
	})
}

func TestMerge(t *testing.T) {
	deadly := request("a", "deadly")
	convey.Convey("Evidence of two daemons together holds a part back, in any order and repeated", t, func() {
		first, second := New(), New()
		first.RecordTermination(at(0), 1, deadly)
		second.RecordTermination(at(400), 2, deadly)
		for range 3 {
			first.Merge(at(450), second.Snapshot(at(440), 32))
			second.Merge(at(450), first.Snapshot(at(440), 32))
		}
		for _, table := range []*Table{first, second} {
			convey.So(table.check(460, deadly), convey.ShouldEqual, Refuse)
			convey.So(table.List(at(460))[0].Terminations, convey.ShouldEqual, 2)
		}
	})
	convey.Convey("An answer that one daemon knows of clears the part at the others, and is not forgotten for an echo", t, func() {
		first, second := New(), New()
		first.RecordTermination(at(0), 1, deadly)
		second.Merge(at(20), first.Snapshot(at(10), 32))
		echo := second.Snapshot(at(190), 32)
		first.RecordAnswer(at(200), deadly)
		second.Merge(at(220), first.Snapshot(at(210), 32))
		convey.So(second.check(230, deadly), convey.ShouldEqual, Send)
		first.Merge(at(900), echo) // arrives late, so that the termination seems later than the answer
		convey.So(first.check(901, deadly), convey.ShouldEqual, Send)
	})
	convey.Convey("A daemon that knows of a later answer says so", t, func() {
		first, second := New(), New()
		first.RecordTermination(at(0), 1, deadly)
		second.RecordAnswer(at(50), deadly)
		_, refuted := second.Merge(at(60), first.Snapshot(at(60), 32))
		convey.So(refuted, convey.ShouldBeTrue)
		changes, _ := first.Merge(at(70), second.Snapshot(at(70), 32))
		convey.So(changes, convey.ShouldResemble, []Change{{Part: dragonflyhatch.PromptPart{Service: "lm", ID: "deadly"}, Cleared: true}})
	})
	convey.Convey("A trial of one daemon delays those of others", t, func() {
		first, second := New(), New()
		first.RecordTermination(at(0), 1, deadly)
		convey.So(first.BeginTrial(at(200), deadly), convey.ShouldBeTrue)
		second.Merge(at(210), first.Snapshot(at(205), 32))
		convey.So(second.check(220, deadly), convey.ShouldEqual, Delay)
		convey.So(second.check(1300, deadly), convey.ShouldEqual, Trial)
	})
	convey.Convey("The message of a peer is bounded, and odd values are harmless", t, func() {
		table := New()
		var received []dragonflyhatch.SuspectPart
		for i := range 5000 {
			part := dragonflyhatch.SuspectPart{Part: dragonflyhatch.PromptPart{Service: "lm", ID: fmt.Sprint(i)}, SoundAge: -1, TrialAge: -1}
			for process := range uint64(100) {
				part.Terminations = append(part.Terminations, dragonflyhatch.PartTermination{Process: process, Age: -time.Hour})
			}
			received = append(received, part)
		}
		table.Merge(at(0), received)
		convey.So(len(table.suspects), convey.ShouldBeLessThanOrEqualTo, maxSuspects)
		for _, entry := range table.suspects {
			convey.So(len(entry.terminations), convey.ShouldBeLessThanOrEqualTo, maxTerminations)
		}
	})
}
