package hatchserve

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"dragonflyhatch"
	"dragonflyhatch/hatchconfig"
	"dragonflyhatch/hatchentry"
)

// newTestDaemon returns a daemon that listens nowhere.
func newTestDaemon(host string, platform dragonflyhatch.Platform) *Daemon {
	settings := &hatchconfig.Settings{
		Host: host, Site: "here",
		CallerAddress: host + ":1", OperatorAddress: host + ":2", PeerAddress: host + ":3",
		Limits: hatchconfig.DefaultLimits(), Timing: hatchconfig.DefaultTiming(),
	}
	return New(settings, WithPlatform(platform), WithLogger(slog.New(slog.DiscardHandler)))
}

// testBase is a valid base that carries a mark.
func testBase(mark int) dragonflyhatch.SourceFile {
	return dragonflyhatch.SourceFile{Name: "base", Text: fmt.Sprintf(`{
		"sealingKeys": ["AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="],
		"organisations": {},
		"models": {"mark": {"layers": 1, "maxTokens": %d}},
	}`, mark)}
}

// operators is a fleet's daemons, each with an operator who proposes changes;
// the platform loses calls and replies, and lets other operators act between
// any two calls of one. It is the oracle: it keeps what was accepted.
type operators struct {
	t        *rapid.T
	platform *fakePlatform
	daemons  []*Daemon
	marks    int
	depth    int
	told     map[int]error // by mark: what the operator was told
	accepted []dragonflyhatch.AcceptedConfiguration
	inForce  map[*Daemon]uint64
}

func newOperators(t *rapid.T) *operators {
	operators := &operators{
		t: t, platform: newFakePlatform(),
		told: make(map[int]error), inForce: make(map[*Daemon]uint64),
	}
	operators.platform.ask = operators.fate
	for _, host := range []string{"a", "b", "c"} {
		operators.daemons = append(operators.daemons, newTestDaemon(host, operators.platform))
	}
	return operators
}

func (operators *operators) propose(at *Daemon) {
	operators.marks++
	mark := operators.marks
	_, err := at.Apply(context.Background(), fmt.Sprintf("operator %d", mark), hatchentry.Proposal{
		IfVersion: at.configurationVersion(), Base: testBase(mark),
	})
	operators.told[mark] = err
}

// fate draws what becomes of a call, after what other operators do meanwhile.
func (operators *operators) fate() fate {
	if operators.depth < 2 && rapid.IntRange(0, 3).Draw(operators.t, "meanwhile") == 0 {
		operators.depth++
		operators.propose(rapid.SampledFrom(operators.daemons).Draw(operators.t, "other"))
		operators.depth--
	}
	if rapid.IntRange(0, 2).Draw(operators.t, "fault") > 0 {
		return served
	}
	return fate(rapid.IntRange(0, int(fateCount)-1).Draw(operators.t, "fate"))
}

// follow has a daemon learn of the configuration: from the platform, or from a
// peer that may be behind.
func (operators *operators) follow(t *rapid.T) {
	at := rapid.SampledFrom(operators.daemons).Draw(t, "at")
	from := rapid.SampledFrom(operators.daemons).Draw(t, "from")
	if rapid.Bool().Draw(t, "byPeer") {
		at.adopt(from.AcceptedConfiguration(), "peer")
		return
	}
	if object, ok := operators.platform.objects[configurationName]; ok {
		at.take(dragonflyhatch.Change{Object: object})
	}
}

// replay has a daemon learn of an old state again.
func (operators *operators) replay(t *rapid.T) {
	if len(operators.platform.writes) > 0 {
		old := rapid.SampledFrom(operators.platform.writes).Draw(t, "old")
		rapid.SampledFrom(operators.daemons).Draw(t, "at").take(dragonflyhatch.Change{Object: old})
	}
}

// check holds the state after each event against the oracle.
func (operators *operators) check(t *rapid.T) {
	operators.accepted = operators.accepted[:0]
	for i, write := range operators.platform.writes {
		var accepted dragonflyhatch.AcceptedConfiguration
		if err := json.Unmarshal(write.Value, &accepted); err != nil {
			t.Fatal(err)
		}
		if accepted.Version != uint64(i+1) {
			t.Fatalf("change %d was accepted as version %d", i+1, accepted.Version)
		}
		operators.accepted = append(operators.accepted, accepted)
	}
	for _, daemon := range operators.daemons {
		version := daemon.configurationVersion()
		if version < operators.inForce[daemon] {
			t.Fatalf("version %d went back to %d", operators.inForce[daemon], version)
		}
		operators.inForce[daemon] = version
		if version > uint64(len(operators.accepted)) {
			t.Fatalf("version %d is in force and was never accepted", version)
		}
		if version > 0 && daemon.AcceptedConfiguration().Base != operators.accepted[version-1].Base {
			t.Fatalf("version %d in force is not the accepted one", version)
		}
	}
	for mark, err := range operators.told {
		operators.checkTold(t, mark, err)
	}
}

// checkTold wants an operator to be told the truth of a proposal.
func (operators *operators) checkTold(t *rapid.T, mark int, err error) {
	times := 0
	for _, accepted := range operators.accepted {
		if accepted.Base == testBase(mark) {
			times++
		}
	}
	switch {
	case times > 1:
		t.Fatalf("proposal %d was accepted %d times", mark, times)
	case err == nil && times == 0:
		t.Fatalf("proposal %d was told accepted and is not", mark)
	case err != nil && times == 1 && dragonflyhatch.KindOf(err).Answer().Ran == dragonflyhatch.RanNo:
		t.Fatalf("proposal %d was told %v and is accepted", mark, err)
	}
}

// inVirtualTime runs in a bubble of virtual time; a panic, by which rapid ends a
// check, goes on outside of it.
func inVirtualTime(t *testing.T, run func()) {
	var reason any
	synctest.Test(t, func(*testing.T) {
		defer func() { reason = recover() }()
		run()
	})
	// rapid tells its own signals from failures by where a panic comes from.
	if fmt.Sprintf("%T", reason) == "rapid.invalidData" {
		panic(reason)
	}
	if reason != nil {
		panic(reason)
	}
}

// TestConfigurationNeverReverts holds that of proposals for one version exactly
// one is accepted, that every operator is told the truth, and that no daemon's
// version goes down, whatever the platform loses and whatever is heard late.
func TestConfigurationNeverReverts(t *testing.T) {
	accepted, told, unknown := 0, 0, 0
	check := func(t *rapid.T) {
		operators := newOperators(t)
		t.Repeat(map[string]func(*rapid.T){
			"propose": func(t *rapid.T) { operators.propose(rapid.SampledFrom(operators.daemons).Draw(t, "at")) },
			"follow":  operators.follow,
			"replay":  operators.replay,
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, len(operators.daemons)-1).Draw(t, "restarted")
				operators.daemons[i] = newTestDaemon("restarted", operators.platform)
			},
			"": operators.check,
		})
		accepted += len(operators.accepted)
		told += len(operators.told)
		for _, err := range operators.told {
			if err != nil && dragonflyhatch.KindOf(err).Answer().Ran == dragonflyhatch.RanUnknown {
				unknown++
			}
		}
	}
	rapid.Check(t, func(rt *rapid.T) { inVirtualTime(t, func() { check(rt) }) })
	t.Logf("%d proposals, %d accepted, %d told unknown", told, accepted, unknown)
}
