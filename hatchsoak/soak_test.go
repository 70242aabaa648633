package hatchsoak

import (
	"context"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch/hatchstandin"
)

// The runs in CI: one seed that is always played, and those that have failed.
var seeds = []struct {
	seed  uint64
	cause string // of the failure that it showed
}{
	{1, "none"},
	{105, "SIGHUP reached a daemon that had begun and did not yet catch it, and ended it"},
}

const (
	testLength  = 5 * time.Second
	testDaemons = 4
)

// TestSoak plays short runs with the program as it is built now.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "dragonflyhatch")
	if output, err := exec.Command("go", "build", "-o", program, "../cmd/dragonflyhatch").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	for slot, each := range seeds {
		t.Run(strconv.FormatUint(each.seed, 10), func(t *testing.T) {
			t.Parallel()
			report, err := Run(context.Background(), Plan{
				Program: program, Folder: t.TempDir(), Seed: each.seed, Length: testLength, Daemons: testDaemons, Slot: slot,
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d requests, %d served, %d faults", report.Requests, report.Served, len(report.Events))
			for _, violation := range report.Violations {
				t.Error(violation)
			}
			if report.Served == 0 {
				t.Error("nothing was served")
			}
		})
	}
}

func TestDraw(t *testing.T) {
	convey.Convey("A seed always draws the same faults, in order, with a stop and a configuration among them", t, func() {
		for seed := range uint64(100) {
			events := Draw(seed, testLength)
			convey.So(Draw(seed, testLength), convey.ShouldResemble, events)
			drawn := make(map[Fault]bool)
			for i, event := range events {
				drawn[event.Fault] = true
				convey.So(event.At, convey.ShouldBeLessThan, testLength)
				convey.So(i == 0 || events[i-1].At <= event.At, convey.ShouldBeTrue)
			}
			convey.So(drawn[DaemonStop] && drawn[ConfigurationChange], convey.ShouldBeTrue)
		}
	})
}

// TestChecker shows that each promise's check can fail.
func TestChecker(t *testing.T) {
	now := time.Now()
	ran := func(id string) arrivalAt { return arrivalAt{id: id, at: now} }
	for name, broken := range map[string]func(*checker){
		"an order that ran twice": func(checker *checker) {
			checker.reach(ran("a"))
			checker.reach(ran("a"))
			checker.answered("a", answerTo(order, "a", 502))
		},
		"a refusal of an order that ran": func(checker *checker) {
			checker.reach(ran("a"))
			checker.answered("a", answerTo(order, "a", 503))
		},
		"another request's answer": func(checker *checker) {
			checker.answered("a", answerTo(status, "b", 200))
		},
		"a stream that looks whole": func(checker *checker) {
			record := answerTo(draft, "a", 200)
			record.answer.Body = wholeDraft("a")[:100]
			checker.answered("a", record)
		},
		"a layer that did not run": func(checker *checker) {
			checker.reach(arrivalAt{id: "a", at: now, stages: []string{"x:1=0-4", "y:1=5-8"}, layers: modelLayers})
		},
		"work for a replica that has left": func(checker *checker) {
			checker.left["i-1"] = now.Add(-drainBound - time.Second)
			checker.reach(ran("a"))
		},
		"a configuration that is late": func(checker *checker) {
			checker.accepted[2] = now.Add(-configBound - time.Second)
			record := answerTo(marker, "a", 404)
			record.version = 2
			checker.answered("a", record)
		},
		"a configuration that goes back": func(checker *checker) {
			checker.accepted[2] = now.Add(-time.Second)
			record := answerTo(marker, "a", 200)
			record.version, record.answer.Ended = 2, now.Add(-time.Second)
			checker.answered("a", record)
			record = answerTo(marker, "b", 404)
			record.version = 2
			checker.answered("b", record)
		},
		"a request that a planned stop cuts": func(checker *checker) {
			checker.reach(ran("a"))
			checker.stop(0)
			checker.answered("a", answerTo(order, "a", 0))
		},
		"more repeats than the budget": func(checker *checker) {
			for range int(retryExtra) + 2 {
				checker.reach(ran("a"))
			}
			checker.answered("a", answerTo(status, "a", 500))
		},
	} {
		checker := newChecker()
		broken(checker)
		if len(checker.finish()) == 0 {
			t.Errorf("not found: %s", name)
		}
	}
}

// arrivalAt is a request that reached the replica i-1.
type arrivalAt struct {
	id     string
	at     time.Time
	stages []string
	layers int
}

func (checker *checker) reach(arrival arrivalAt) {
	checker.arrived(deskService, "i-1", arrival.layers, hatchstandin.Arrival{
		ID: arrival.id, Tenant: tenantName, Stages: arrival.stages, Ran: true, At: arrival.at,
	})
}

// answerTo is an answer to a request that was sent just now.
func answerTo(class class, id string, status int) record {
	now := time.Now()
	return record{class: class, timeLeft: plainTime, answer: hatchstandin.CallerAnswer{
		Status: status, ID: id, Sealed: true, Whole: status != 0, Body: hatchstandin.PlainAnswer(id),
		Sent: now, Ended: now.Add(time.Millisecond), Written: true,
	}}
}
