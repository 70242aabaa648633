package hatchclaim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"dragonflyhatch"
)

// world is a fleet of processes around one shard, its platform and its
// upstream, driven one event at a time. It is the oracle: it knows every run
// that happened, and checks each answer against them.
type world struct {
	t         reporter
	now       time.Time
	options   []Option
	names     int
	processes []*process
	platform  fakePlatform
	keys      []ID
	keyTimes  map[ID]time.Time
	runs      map[ID][]run
	steps     int
	answers   map[dragonflyhatch.Ran]int
	outcomes  int
	forwards  []*forwarded
}

// forwarded is an order that an entry host hands to one process after the other
// until it has an answer for its caller.
type forwarded struct {
	forward *Forward
	order   Order
	by      map[string]*process
	at      *process      // which has it now
	handed  []*submission // to all processes so far
	told    bool
	kind    dragonflyhatch.Kind // if refused
	refused bool
}

// reporter is what a world needs of a test.
type reporter interface {
	Fatalf(format string, args ...any)
	Logf(format string, args ...any)
}

// run is one execution at the upstream.
type run struct {
	digest string
	status int
}

// process is one process's shard with what it has asked for and not got yet.
type process struct {
	name       string
	shard      *Shard
	pending    []Action // platform calls and dispatches, by age
	waiters    map[uint64]*submission
	lastWaiter uint64
	ran        map[ID]bool // requests that this process's dispatches ran
}

// String names the process in a report.
func (process *process) String() string { return process.name }

type submission struct {
	order  Order
	of     *forwarded // nil if submitted directly
	joined bool       // the key was dispatched here while it waited
	ran    bool       // the same request had run before it came
}

// fakePlatform is the shard's object with writes that arrive late.
type fakePlatform struct {
	head     Head
	version  uint64
	next     uint64
	segments map[string][]Claim
	late     []WriteHead // sent, not answered, and not applied yet
}

func newWorld(t reporter, options ...Option) *world {
	world := &world{
		t:        t,
		now:      time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC),
		options:  options,
		platform: fakePlatform{segments: make(map[string][]Claim)},
		keyTimes: make(map[ID]time.Time),
		runs:     make(map[ID][]run),
		answers:  make(map[dragonflyhatch.Ran]int),
	}
	for range 3 {
		world.startProcess()
	}
	return world
}

func (world *world) startProcess() *process {
	world.names++
	started := &process{
		name:    fmt.Sprintf("p%d", world.names),
		waiters: make(map[uint64]*submission),
		ran:     make(map[ID]bool),
	}
	started.shard = NewShard(0, started.name, world.options...)
	world.processes = append(world.processes, started)
	return started
}

func (world *world) newKey() ID {
	id := ID{"office", fmt.Sprintf("k%d", len(world.keys))}
	world.keys = append(world.keys, id)
	world.keyTimes[id] = world.now
	return id
}

func (world *world) submit(at *process, id ID, digest string, patience time.Duration) *submission {
	return world.submitFor(nil, at, world.newOrder(id, digest, patience))
}

func (world *world) newOrder(id ID, digest string, patience time.Duration) Order {
	return Order{ID: id, Digest: digest, KeyTime: world.keyTimes[id], Deadline: world.now.Add(patience)}
}

func (world *world) submitFor(of *forwarded, at *process, order Order) *submission {
	at.lastWaiter++
	order.Waiter = at.lastWaiter
	made := &submission{order: order, of: of, ran: world.ranAs(order.ID, order.Digest)}
	if of != nil {
		of.handed = append(of.handed, made)
	}
	at.waiters[order.Waiter] = made
	world.perform(at, at.shard.Submit(world.now, order))
	return made
}

// perform checks the answers and dispatches at once and keeps the rest for
// later.
func (world *world) perform(at *process, actions []Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case Answer:
			world.t.Logf("%s answers %d: %s", at.name, action.Waiter, describe(action))
			world.checkAnswer(at, action)
		case Dispatch:
			world.t.Logf("%s dispatches %s", at.name, action.ID.Key)
			world.checkDispatch(at, action)
			at.pending = append(at.pending, action)
		case TookOver:
			world.t.Logf("%s takes over from %q", at.name, action.From)
		case DeleteSegment:
			delete(world.platform.segments, action.Name)
		default:
			at.pending = append(at.pending, action)
		}
	}
}

func describe(answer Answer) string {
	if answer.Outcome == nil {
		return fmt.Sprintf("%v, ran %v", answer.Kind, answer.Kind.Answer().Ran)
	}
	if answer.Repeated {
		return fmt.Sprintf("outcome %d, repeated", answer.Outcome.Status)
	}
	return fmt.Sprintf("outcome %d", answer.Outcome.Status)
}

// checkDispatch wants somebody to wait for what is sent to the upstream.
func (world *world) checkDispatch(at *process, dispatch Dispatch) {
	asked, ok := at.waiters[dispatch.Waiter]
	if !ok {
		world.t.Fatalf("%s dispatches %v, which nobody waits for", at.name, dispatch.ID)
	}
	if !world.now.Before(asked.order.Deadline) {
		world.t.Fatalf("%s dispatches %v after its deadline", at.name, dispatch.ID)
	}
	for _, waiting := range at.waiters {
		if waiting.order.ID == dispatch.ID && waiting.order.Digest == asked.order.Digest {
			waiting.joined = true
			waiting.of.checkDispatch(world.t)
		}
	}
}

// checkDispatch wants no caller to have been told that what is dispatched now
// was not run.
func (forwarded *forwarded) checkDispatch(t reporter) {
	if forwarded != nil && forwarded.told && forwarded.refused && forwarded.kind.Answer().Ran == dragonflyhatch.RanNo {
		t.Fatalf("%v is dispatched after its caller was told %v", forwarded.order.ID, forwarded.kind)
	}
}

// handOn gives a forwarded order to the next process, or ends it.
func (world *world) handOn(forwarded *forwarded) {
	for !forwarded.told {
		name, ok := forwarded.forward.Next()
		if !ok {
			forwarded.tell(world, forwarded.forward.End("no host is left"))
			return
		}
		forwarded.at = forwarded.by[name]
		if slices.Contains(world.processes, forwarded.at) {
			world.submitFor(forwarded, forwarded.at, forwarded.order)
			return
		}
	}
}

// tell gives the caller of a forwarded order its answer.
func (forwarded *forwarded) tell(world *world, failure *dragonflyhatch.Failure) {
	forwarded.told = true
	if failure == nil {
		return
	}
	forwarded.refused, forwarded.kind = true, failure.Kind
	if failure.Kind.Answer().Ran != dragonflyhatch.RanNo {
		return
	}
	for _, handed := range forwarded.handed {
		if handed.joined && world.ranAs(handed.order.ID, handed.order.Digest) {
			world.t.Fatalf("the caller of %v is told %v, and it ran", forwarded.order.ID, failure.Kind)
		}
	}
}

// answered takes a process's answer to a forwarded order.
func (forwarded *forwarded) answered(world *world, at *process, answer Answer) {
	if forwarded.told || forwarded.at != at {
		return
	}
	if answer.Outcome != nil {
		forwarded.tell(world, nil)
		return
	}
	if final := forwarded.forward.Failed(&dragonflyhatch.Failure{Kind: answer.Kind}); final != nil {
		forwarded.tell(world, final)
		return
	}
	world.handOn(forwarded)
}

// checkAnswer holds an answer against the runs that happened.
func (world *world) checkAnswer(at *process, answer Answer) {
	asked, ok := at.waiters[answer.Waiter]
	if !ok {
		world.t.Fatalf("%s answers waiter %d twice", at.name, answer.Waiter)
	}
	delete(at.waiters, answer.Waiter)
	if asked.of != nil {
		defer asked.of.answered(world, at, answer)
	}
	id, digest := asked.order.ID, asked.order.Digest
	if answer.Outcome != nil {
		world.outcomes++
		for _, run := range world.runs[id] {
			if run.digest == digest && run.status == answer.Outcome.Status {
				return
			}
		}
		world.t.Fatalf("%s answers %v %s with outcome %d, which is of no run of it: %v", at.name, id, digest, answer.Outcome.Status, world.runs[id])
	}
	ran := answer.Kind.Answer().Ran
	world.answers[ran]++
	if ran != dragonflyhatch.RanNo {
		return
	}
	// A run that began later is of another submission, which got its answer.
	if answer.Kind == dragonflyhatch.KindKeyReused && asked.ran {
		world.t.Fatalf("%s answers %v %s with %v, but it ran", at.name, id, digest, answer.Kind)
	}
	if asked.joined && (at.ran[id] || at.dispatching(id)) {
		world.t.Fatalf("%s answers %v %s with %v, but its dispatch ran or may run", at.name, id, digest, answer.Kind)
	}
}

func (world *world) ranAs(id ID, digest string) bool {
	for _, run := range world.runs[id] {
		if run.digest == digest {
			return true
		}
	}
	return false
}

func (process *process) dispatching(id ID) bool {
	for _, action := range process.pending {
		if dispatch, ok := action.(Dispatch); ok && dispatch.ID == id {
			return true
		}
	}
	return false
}

// execute runs a request at the upstream, which counts it.
func (world *world) execute(at *process, dispatch Dispatch, digest string) run {
	done := run{digest: digest, status: 200 + len(world.runs[dispatch.ID])}
	world.runs[dispatch.ID] = append(world.runs[dispatch.ID], done)
	world.t.Logf("%s runs, as %s, with outcome %d", dispatch.ID.Key, digest, done.status)
	at.ran[dispatch.ID] = true
	if len(world.runs[dispatch.ID]) > 1 {
		world.t.Fatalf("%v ran %d times, now by %s", dispatch.ID, len(world.runs[dispatch.ID]), at.name)
	}
	return done
}

// fate is what becomes of a call.
type fate int

const (
	served    fate = iota
	replyLost      // the call takes effect, and its reply is lost
	callLost       // the call takes no effect, and no reply comes
	callLate       // no reply comes, and the call may take effect later
	fateCount
)

var fates = [fateCount]string{"served", "replyLost", "callLost", "callLate"}

// resolve ends the process's pending action number i.
func (world *world) resolve(at *process, i int, fate fate) {
	action := at.pending[i]
	world.t.Logf("%s: %s %s", at.name, strings.TrimPrefix(fmt.Sprintf("%T", action), "hatchclaim."), fates[fate])
	at.pending = append(at.pending[:i:i], at.pending[i+1:]...)
	shard := at.shard
	switch action := action.(type) {
	case ReadHead:
		head, version := world.platform.head, world.platform.version
		world.perform(at, shard.HeadRead(world.now, head, version, fate == served))
	case ReadSegment:
		claims, exists := world.platform.segments[action.Name]
		world.perform(at, shard.SegmentRead(world.now, action.Name, claims, exists, fate == served))
	case CreateSegment:
		if fate == served || fate == replyLost {
			world.platform.segments[action.Name] = action.Claims
		}
		world.perform(at, shard.SegmentCreated(world.now, fate == served))
	case WriteHead:
		version, result := world.platform.write(action, fate)
		world.perform(at, shard.HeadWritten(world.now, version, result))
	case Dispatch:
		world.perform(at, shard.RunDone(world.now, action.ID, world.upstream(at, action, fate)))
	}
}

func (platform *fakePlatform) write(write WriteHead, fate fate) (uint64, WriteResult) {
	switch fate {
	case served:
		return platform.apply(write)
	case replyLost:
		platform.apply(write)
	case callLate:
		platform.late = append(platform.late, write)
	}
	return 0, WriteUnsure
}

func (platform *fakePlatform) apply(write WriteHead) (uint64, WriteResult) {
	if write.Version != platform.version {
		return 0, WriteRefused
	}
	platform.next++
	platform.head, platform.version = write.Head, platform.next
	return platform.version, WriteApplied
}

// upstream runs or does not run a dispatched request.
func (world *world) upstream(at *process, dispatch Dispatch, fate fate) RunResult {
	digest := at.shard.entries[dispatch.ID].digest
	switch fate {
	case served:
		done := world.execute(at, dispatch, digest)
		return RunResult{Outcome: &Outcome{Status: done.status}}
	case replyLost:
		world.execute(at, dispatch, digest)
		return RunResult{Kind: dragonflyhatch.KindUpstreamLost}
	case callLost:
		return RunResult{Kind: dragonflyhatch.KindUpstreamUnavailable}
	}
	return RunResult{Kind: dragonflyhatch.KindUpstreamLost}
}

// kill ends a process at any moment; of what it had sent, the writes and the
// requests may still arrive.
func (world *world) kill(i int, arrives func() bool) {
	killed := world.processes[i]
	world.processes = append(world.processes[:i:i], world.processes[i+1:]...)
	for _, action := range killed.pending {
		if !arrives() {
			continue
		}
		switch action := action.(type) {
		case WriteHead:
			world.platform.late = append(world.platform.late, action)
		case Dispatch:
			world.execute(killed, action, killed.shard.entries[action.ID].digest)
		}
	}
}

func (world *world) advance(by time.Duration) {
	world.now = world.now.Add(by)
}

func (world *world) tick(at *process) {
	world.perform(at, at.shard.Tick(world.now))
}

// heal serves everything that is pending until nobody waits any more.
func (world *world) heal() {
	for range 400 {
		waiting := false
		for _, process := range world.processes {
			for len(process.pending) > 0 {
				world.resolve(process, 0, served)
			}
			world.tick(process)
			waiting = waiting || len(process.waiters) > 0 || !process.shard.Idle()
		}
		if !waiting {
			return
		}
		world.advance(50 * time.Millisecond)
	}
	world.t.Fatalf("somebody still waits after everything has healed")
}
