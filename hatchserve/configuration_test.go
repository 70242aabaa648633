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

// newTestDaemon returns a daemon that opens no listeners.
func newTestDaemon(host string, platform dragonflyhatch.Platform) *Daemon {
	settings := &hatchconfig.Settings{
		Host: host, Site: "here",
		CallerAddress: host + ":1", OperatorAddress: host + ":2", PeerAddress: host + ":3",
		Limits: hatchconfig.DefaultLimits(), Timing: hatchconfig.DefaultTiming(),
	}
	return New(settings, WithPlatform(platform), WithLogger(slog.New(slog.DiscardHandler)))
}

// testBase returns a valid base configuration for the proposal with the given
// number, which identifies it: it is the maxTokens of the only model.
func testBase(proposal int) dragonflyhatch.SourceFile {
	return dragonflyhatch.SourceFile{Name: "base", Text: fmt.Sprintf(`{
		"sealingKeys": ["AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="],
		"organisations": {},
		"models": {"mark": {"layers": 1, "maxTokens": %d}},
	}`, proposal)}
}

// operators models a fleet of daemons whose operators propose changes. The
// platform loses calls and replies, and other operators may act between any two
// calls of one. operators also keeps the accepted changes, as the oracle.
type operators struct {
	t             *rapid.T
	platform      *fakePlatform
	daemons       []*Daemon
	proposalCount int
	depth         int           // nesting of proposals made during a platform call of another one
	results       map[int]error // result returned to the operator, by proposal number
	accepted      []dragonflyhatch.AcceptedConfiguration
	inForce       map[*Daemon]uint64
}

func newOperators(t *rapid.T) *operators {
	operators := &operators{
		t: t, platform: newFakePlatform(),
		results: make(map[int]error), inForce: make(map[*Daemon]uint64),
	}
	operators.platform.nextOutcome = operators.callOutcome
	for _, host := range []string{"a", "b", "c"} {
		operators.daemons = append(operators.daemons, newTestDaemon(host, operators.platform))
	}
	return operators
}

func (operators *operators) propose(at *Daemon) {
	operators.proposalCount++
	number := operators.proposalCount
	_, err := at.ApplyConfiguration(context.Background(), fmt.Sprintf("operator %d", number), hatchentry.Proposal{
		IfVersion: at.configurationVersion(), Base: testBase(number),
	})
	operators.results[number] = err
}

// callOutcome draws the outcome of a platform call. Before the call takes effect,
// another operator may make a proposal.
func (operators *operators) callOutcome() callOutcome {
	if operators.depth < 2 && rapid.IntRange(0, 3).Draw(operators.t, "meanwhile") == 0 {
		operators.depth++
		operators.propose(rapid.SampledFrom(operators.daemons).Draw(operators.t, "other"))
		operators.depth--
	}
	if rapid.IntRange(0, 2).Draw(operators.t, "fault") > 0 {
		return callServed
	}
	return callOutcome(rapid.IntRange(0, int(outcomeCount)-1).Draw(operators.t, "outcome"))
}

// follow passes a configuration to a daemon: from the platform, or from a peer,
// which may have an older one.
func (operators *operators) follow(t *rapid.T) {
	at := rapid.SampledFrom(operators.daemons).Draw(t, "at")
	from := rapid.SampledFrom(operators.daemons).Draw(t, "from")
	if rapid.Bool().Draw(t, "byPeer") {
		at.adopt(from.AcceptedConfiguration(), "peer")
		return
	}
	if object, ok := operators.platform.objects[configurationName]; ok {
		at.applyChange(dragonflyhatch.Change{Object: object})
	}
}

// replay passes an old state of the platform to a daemon again.
func (operators *operators) replay(t *rapid.T) {
	if len(operators.platform.writes) > 0 {
		old := rapid.SampledFrom(operators.platform.writes).Draw(t, "old")
		rapid.SampledFrom(operators.daemons).Draw(t, "at").applyChange(dragonflyhatch.Change{Object: old})
	}
}

// check compares the state after each event with the oracle.
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
			t.Fatalf("the version in force decreased from %d to %d", operators.inForce[daemon], version)
		}
		operators.inForce[daemon] = version
		if version > uint64(len(operators.accepted)) {
			t.Fatalf("version %d is in force and was never accepted", version)
		}
		if version > 0 && daemon.AcceptedConfiguration().Base != operators.accepted[version-1].Base {
			t.Fatalf("version %d in force differs from the accepted one", version)
		}
	}
	for number, err := range operators.results {
		operators.checkResult(t, number, err)
	}
}

// checkResult checks that the result returned to an operator agrees with
// whether the proposal was accepted.
func (operators *operators) checkResult(t *rapid.T, number int, err error) {
	times := 0
	for _, accepted := range operators.accepted {
		if accepted.Base == testBase(number) {
			times++
		}
	}
	switch {
	case times > 1:
		t.Fatalf("proposal %d was accepted %d times", number, times)
	case err == nil && times == 0:
		t.Fatalf("proposal %d was reported as accepted, but was not", number)
	case err != nil && times == 1 && dragonflyhatch.KindOf(err).ErrorResponse().Ran == dragonflyhatch.RanNo:
		t.Fatalf("proposal %d was reported as failed (%v), but was accepted", number, err)
	}
}

// inVirtualTime runs the function in a synctest bubble. A panic of the function is
// raised again outside the bubble, because rapid ends a check by panicking.
func inVirtualTime(t *testing.T, run func()) {
	var reason any
	synctest.Test(t, func(*testing.T) {
		defer func() { reason = recover() }()
		run()
	})
	// rapid distinguishes its own signals from failures by where a panic is
	// raised, so the two are raised at different places.
	if fmt.Sprintf("%T", reason) == "rapid.invalidData" {
		panic(reason)
	}
	if reason != nil {
		panic(reason)
	}
}

// TestConfigurationNeverReverts checks that exactly one of several proposals
// for a version is accepted, that every operator gets a true result, and that
// the version of no daemon decreases. The platform loses calls and replies, and
// daemons receive states late or repeatedly.
func TestConfigurationNeverReverts(t *testing.T) {
	accepted, results, unknown := 0, 0, 0
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
		results += len(operators.results)
		for _, err := range operators.results {
			if err != nil && dragonflyhatch.KindOf(err).ErrorResponse().Ran == dragonflyhatch.RanUnknown {
				unknown++
			}
		}
	}
	rapid.Check(t, func(rt *rapid.T) { inVirtualTime(t, func() { check(rt) }) })
	t.Logf("%d proposals, %d accepted, %d with unknown outcome", results, accepted, unknown)
}
