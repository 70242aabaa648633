package hatchclaim

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// recorder collects the log of a simulation.
type recorder struct {
	t    *testing.T
	text strings.Builder
}

func (recorder *recorder) Logf(format string, args ...any) {
	fmt.Fprintf(&recorder.text, format+"\n", args...)
}

func (recorder *recorder) Fatalf(format string, args ...any) {
	recorder.t.Fatalf(format+"\n%s", append(args, recorder.text.String())...)
}

// TestTraces replays recorded events and compares the log of the simulation
// with the golden files.
func TestTraces(t *testing.T) {
	traces, err := filepath.Glob("testdata/traces/*.trace")
	if err != nil || len(traces) == 0 {
		t.Fatal("no traces", err)
	}
	for _, trace := range traces {
		t.Run(strings.TrimSuffix(filepath.Base(trace), ".trace"), func(t *testing.T) {
			recorder := &recorder{t: t}
			replay(recorder, trace)
			golden := strings.TrimSuffix(trace, ".trace") + ".golden"
			if *update {
				if err := os.WriteFile(golden, []byte(recorder.text.String()), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(golden)
			convey.Convey("The log equals the golden file", t, func() {
				convey.So(err, convey.ShouldBeNil)
				convey.So(recorder.text.String(), convey.ShouldEqual, string(want))
			})
		})
	}
}

func replay(recorder *recorder, trace string) {
	text, err := os.ReadFile(trace)
	if err != nil {
		recorder.t.Fatal(err)
	}
	simulation := newSimulation(recorder)
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		recorder.Logf("> %s", line)
		simulation.runCommand(strings.Fields(line))
	}
}

// runCommand executes one line of a trace, which is one of:
//
//	submit PROCESS KEY DIGEST TIMEOUT  submits an order
//	pass DURATION                      advances the time and ticks all processes
//	kill PROCESS                       kills a process; its pending actions have no effect
//	killed-arriving PROCESS            kills a process; its pending head writes become late
//	                                   writes, and its pending dispatches run
//	arrive                             applies the oldest late write
//	settle                             completes all actions until no waiter is left
//	RESULT PROCESS TYPE                see completeNamedCall
func (simulation *simulation) runCommand(words []string) {
	switch words[0] {
	case "submit":
		id := ID{"office", words[2]}
		if _, ok := simulation.keyTimes[id]; !ok {
			simulation.keyTimes[id] = simulation.now
		}
		simulation.submit(simulation.processNamed(words[1]), id, words[3], simulation.duration(words[4]))
	case "pass":
		simulation.advance(simulation.duration(words[1]))
		for _, process := range simulation.processes {
			simulation.tick(process)
		}
	case "kill", "killed-arriving":
		for i, process := range simulation.processes {
			if process.name == words[1] {
				simulation.kill(i, func() bool { return words[0] == "killed-arriving" })
				return
			}
		}
	case "arrive":
		simulation.platform.apply(simulation.platform.lateWrites[0])
		simulation.platform.lateWrites = simulation.platform.lateWrites[1:]
	case "settle":
		simulation.serveAll()
	default:
		simulation.completeNamedCall(words)
	}
}

// completeNamedCall completes a process's first pending action of a type. The
// line has the form RESULT PROCESS TYPE, where "serve" stands for served.
func (simulation *simulation) completeNamedCall(words []string) {
	at := simulation.processNamed(words[1])
	for i, action := range at.pending {
		if fmt.Sprintf("%T", action) != "hatchclaim."+words[2] {
			continue
		}
		for number, name := range callResultNames {
			if name == words[0] || name == words[0]+"d" {
				simulation.completeCall(at, i, callResult(number))
				return
			}
		}
	}
	simulation.t.Fatalf("no pending action matches %v: %v", words, at.pending)
}

func (simulation *simulation) processNamed(name string) *process {
	for _, process := range simulation.processes {
		if process.name == name {
			return process
		}
	}
	simulation.t.Fatalf("no process %s", name)
	return nil
}

func (simulation *simulation) duration(text string) time.Duration {
	duration, err := time.ParseDuration(text)
	if err != nil {
		simulation.t.Fatalf("%v", err)
	}
	return duration
}
