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

// seeds lists the runs in CI: one arbitrary seed, and the seeds that have shown a
// failure.
var seeds = []struct {
	seed  uint64
	cause string // of the failure that it has shown
}{
	{1, "none"},
	{105, "SIGHUP reached a daemon that had started but not yet installed its signal handlers, and ended it"},
	{45, "a response with a broken head, or what followed it, was taken for the answer"},
	{7001, "bytes that are no events were forwarded in a stream"},
}

const (
	testLength  = 5 * time.Second
	testDaemons = 4
)

// TestSoak builds the program and does short runs with it.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "dragonflyhatch")
	if output, err := exec.Command("go", "build", "-o", program, "../cmd/dragonflyhatch").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	for slot, run := range seeds {
		t.Run(strconv.FormatUint(run.seed, 10), func(t *testing.T) {
			t.Parallel()
			report, err := Run(context.Background(), Plan{
				Program: program, Dir: t.TempDir(), Seed: run.seed, Length: testLength, Daemons: testDaemons, Slot: slot,
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d requests, %d served, %d faults", report.Requests, report.Served, len(report.Events))
			for _, violation := range report.Violations {
				t.Error(violation)
			}
			if report.Served == 0 {
				t.Error("no request was served")
			}
		})
	}
}

func TestGenerateEvents(t *testing.T) {
	convey.Convey("A seed determines the faults, which are ordered by time and include a daemon stop and a configuration change", t, func() {
		for seed := range uint64(100) {
			events := GenerateEvents(seed, testLength)
			convey.So(GenerateEvents(seed, testLength), convey.ShouldResemble, events)
			drawn := make(map[Fault]bool)
			for i, event := range events {
				drawn[event.Fault] = true
				convey.So(event.Start, convey.ShouldBeLessThan, testLength)
				convey.So(i == 0 || events[i-1].Start <= event.Start, convey.ShouldBeTrue)
			}
			convey.So(drawn[DaemonStop] && drawn[ConfigurationChange], convey.ShouldBeTrue)
		}
	})
}

// TestChecker checks that the checker detects a violation of each guarantee.
func TestChecker(t *testing.T) {
	now := time.Now()
	ran := func(id string) testArrival { return testArrival{id: id, at: now} }
	for name, violate := range map[string]func(*checker){
		"an order that ran twice": func(checker *checker) {
			checker.addArrival(ran("a"))
			checker.addArrival(ran("a"))
			checker.recordResponse("a", responseTo(classOrder, "a", 502))
		},
		"a refused order that ran": func(checker *checker) {
			checker.addArrival(ran("a"))
			checker.recordResponse("a", responseTo(classOrder, "a", 503))
		},
		"a response to another request": func(checker *checker) {
			checker.recordResponse("a", responseTo(classStatus, "b", 200))
		},
		"an incomplete stream that ended normally": func(checker *checker) {
			record := responseTo(classStream, "a", 200)
			record.response.Body = completeStream("a")[:100]
			checker.recordResponse("a", record)
		},
		"a layer that was not run": func(checker *checker) {
			checker.addArrival(testArrival{id: "a", at: now, stages: []string{"x:1=0-4", "y:1=5-8"}, layers: modelLayers})
		},
		"a request to a replica that is leaving": func(checker *checker) {
			checker.leavingSince["i-1"] = now.Add(-drainBound - time.Second)
			checker.addArrival(ran("a"))
		},
		"a configuration that takes effect too late": func(checker *checker) {
			checker.acceptedAt[2] = now.Add(-configBound - time.Second)
			record := responseTo(classMarker, "a", 404)
			record.version = 2
			checker.recordResponse("a", record)
		},
		"a reverted configuration": func(checker *checker) {
			checker.acceptedAt[2] = now.Add(-time.Second)
			record := responseTo(classMarker, "a", 200)
			record.version, record.response.Ended = 2, now.Add(-time.Second)
			checker.recordResponse("a", record)
			record = responseTo(classMarker, "b", 404)
			record.version = 2
			checker.recordResponse("b", record)
		},
		"a request cut by a planned stop": func(checker *checker) {
			checker.addArrival(ran("a"))
			checker.beginPlannedStop(0)
			checker.recordResponse("a", responseTo(classOrder, "a", 0))
		},
		"more retries than the budget allows": func(checker *checker) {
			for range int(retryExtra) + 2 {
				checker.addArrival(ran("a"))
			}
			checker.recordResponse("a", responseTo(classStatus, "a", 500))
		},
	} {
		checker := newChecker()
		violate(checker)
		if len(checker.checkAll()) == 0 {
			t.Errorf("not detected: %s", name)
		}
	}
}

// testArrival is a request that reached replica i-1.
type testArrival struct {
	id     string
	at     time.Time
	stages []string
	layers int
}

func (checker *checker) addArrival(arrival testArrival) {
	checker.recordArrival(plainService, "i-1", arrival.layers, hatchstandin.Arrival{
		ID: arrival.id, Tenant: tenantName, Stages: arrival.stages, Ran: true, At: arrival.at,
	})
}

// responseTo returns the record of a response to a request that was just sent.
func responseTo(class class, id string, status int) record {
	now := time.Now()
	return record{class: class, timeout: plainTimeout, response: hatchstandin.CallerResponse{
		Status: status, ID: id, Sealed: true, Complete: status != 0, Body: hatchstandin.PlainResponseBody(id),
		Sent: now, Ended: now.Add(time.Millisecond), RequestWritten: true,
	}}
}
