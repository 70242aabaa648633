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

var update = flag.Bool("update", false, "write the golden files anew")

// recorder writes what a world logs.
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

// TestTraces replays recorded events and compares all that follows from them
// with the stated outcomes.
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
			convey.Convey("What follows is as stated", t, func() {
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
	world := newWorld(recorder)
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		recorder.Logf("> %s", line)
		world.event(strings.Fields(line))
	}
}

// event carries out one line of a trace.
func (world *world) event(words []string) {
	switch words[0] {
	case "submit":
		id := ID{"office", words[2]}
		if _, ok := world.keyTimes[id]; !ok {
			world.keyTimes[id] = world.now
		}
		world.submit(world.named(words[1]), id, words[3], world.duration(words[4]))
	case "pass":
		world.advance(world.duration(words[1]))
		for _, process := range world.processes {
			world.tick(process)
		}
	case "kill", "killed-arriving":
		for i, process := range world.processes {
			if process.name == words[1] {
				world.kill(i, func() bool { return words[0] == "killed-arriving" })
				return
			}
		}
	case "arrive":
		world.platform.apply(world.platform.late[0])
		world.platform.late = world.platform.late[1:]
	case "settle":
		world.heal()
	default:
		world.resolveNamed(words)
	}
}

// resolveNamed ends a process's first pending action of a type: FATE PROCESS TYPE,
// where serve is short for the fate served.
func (world *world) resolveNamed(words []string) {
	at := world.named(words[1])
	for i, action := range at.pending {
		if fmt.Sprintf("%T", action) != "hatchclaim."+words[2] {
			continue
		}
		for number, name := range fates {
			if name == words[0] || name == words[0]+"d" {
				world.resolve(at, i, fate(number))
				return
			}
		}
	}
	world.t.Fatalf("nothing to do for %v: pending %v", words, at.pending)
}

func (world *world) named(name string) *process {
	for _, process := range world.processes {
		if process.name == name {
			return process
		}
	}
	world.t.Fatalf("no process %s", name)
	return nil
}

func (world *world) duration(text string) time.Duration {
	duration, err := time.ParseDuration(text)
	if err != nil {
		world.t.Fatalf("%v", err)
	}
	return duration
}
