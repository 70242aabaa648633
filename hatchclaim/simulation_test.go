package hatchclaim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"dragonflyhatch"
)

// simulation runs several processes with one shard, its platform and its
// upstream, one event at a time. It records every run at the upstream and checks
// each answer against these runs.
type simulation struct {
	t          reporter
	now        time.Time
	options    []Option
	startCount int
	processes  []*process
	platform   fakePlatform
	keys       []ID
	keyTimes   map[ID]time.Time
	runs       map[ID][]run
	steps      int
	answers    map[dragonflyhatch.Ran]int
	outcomes   int
	forwards   []*forwardedOrder
}

// forwardedOrder is an order that the host which received it from the caller
// submits to one process after the other until it has an answer for the caller.
type forwardedOrder struct {
	plan      *ForwardPlan
	order     Order
	byName    map[string]*process
	at        *process      // the process that handles it now
	submitted []*submission // to all processes so far
	finished  bool
	kind      dragonflyhatch.Kind // if refused
	refused   bool
}

// reporter is the part of testing.TB that a simulation uses.
type reporter interface {
	Fatalf(format string, args ...any)
	Logf(format string, args ...any)
}

// run is one execution at the upstream.
type run struct {
	digest string
	status int
}

// process is a process's shard with the actions that are not completed yet.
type process struct {
	name       string
	shard      *Shard
	pending    []Action // platform calls and dispatches, oldest first
	waiters    map[uint64]*submission
	lastWaiter uint64
	ran        map[ID]bool // requests that this process dispatched and that ran
}

// String returns the name of the process.
func (process *process) String() string { return process.name }

type submission struct {
	order            Order
	forwarded        *forwardedOrder // nil if submitted directly
	waitedAtDispatch bool            // the key was dispatched here while it waited
	ran              bool            // the same request had run before the submission
}

// fakePlatform stores the shard's objects and delays some of the writes.
type fakePlatform struct {
	head        Head
	version     uint64
	lastVersion uint64
	segments    map[string][]Claim
	lateWrites  []WriteHead // sent, but neither answered nor applied yet
}

func newSimulation(t reporter, options ...Option) *simulation {
	simulation := &simulation{
		t:        t,
		now:      time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC),
		options:  options,
		platform: fakePlatform{segments: make(map[string][]Claim)},
		keyTimes: make(map[ID]time.Time),
		runs:     make(map[ID][]run),
		answers:  make(map[dragonflyhatch.Ran]int),
	}
	for range 3 {
		simulation.startProcess()
	}
	return simulation
}

func (simulation *simulation) startProcess() *process {
	simulation.startCount++
	started := &process{
		name:    fmt.Sprintf("p%d", simulation.startCount),
		waiters: make(map[uint64]*submission),
		ran:     make(map[ID]bool),
	}
	started.shard = NewShard(0, started.name, simulation.options...)
	simulation.processes = append(simulation.processes, started)
	return started
}

func (simulation *simulation) newKey() ID {
	id := ID{"office", fmt.Sprintf("k%d", len(simulation.keys))}
	simulation.keys = append(simulation.keys, id)
	simulation.keyTimes[id] = simulation.now
	return id
}

func (simulation *simulation) submit(at *process, id ID, digest string, timeout time.Duration) *submission {
	return simulation.submitFor(nil, at, simulation.newOrder(id, digest, timeout))
}

func (simulation *simulation) newOrder(id ID, digest string, timeout time.Duration) Order {
	return Order{ID: id, Digest: digest, KeyTime: simulation.keyTimes[id], Deadline: simulation.now.Add(timeout)}
}

func (simulation *simulation) submitFor(forwarded *forwardedOrder, at *process, order Order) *submission {
	at.lastWaiter++
	order.Waiter = at.lastWaiter
	added := &submission{order: order, forwarded: forwarded, ran: simulation.hasRun(order.ID, order.Digest)}
	if forwarded != nil {
		forwarded.submitted = append(forwarded.submitted, added)
	}
	at.waiters[order.Waiter] = added
	simulation.perform(at, at.shard.Submit(simulation.now, order))
	return added
}

// perform checks answers and dispatches immediately, and queues the actions that
// have a result.
func (simulation *simulation) perform(at *process, actions []Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case Answer:
			simulation.t.Logf("%s answers %d: %s", at.name, action.Waiter, describe(action))
			simulation.checkAnswer(at, action)
		case Dispatch:
			simulation.t.Logf("%s dispatches %s", at.name, action.ID.Key)
			simulation.checkDispatch(at, action)
			at.pending = append(at.pending, action)
		case TookOver:
			simulation.t.Logf("%s takes over from %q", at.name, action.From)
		case DeleteSegment:
			delete(simulation.platform.segments, action.Name)
		default:
			at.pending = append(at.pending, action)
		}
	}
}

func describe(answer Answer) string {
	if answer.Outcome == nil {
		return fmt.Sprintf("%v, ran %v", answer.Kind, answer.Kind.ErrorResponse().Ran)
	}
	if answer.Repeated {
		return fmt.Sprintf("outcome %d, repeated", answer.Outcome.Status)
	}
	return fmt.Sprintf("outcome %d", answer.Outcome.Status)
}

// checkDispatch fails the test unless the dispatched request has a waiter whose
// deadline has not passed.
func (simulation *simulation) checkDispatch(at *process, dispatch Dispatch) {
	submission, ok := at.waiters[dispatch.Waiter]
	if !ok {
		simulation.t.Fatalf("%s dispatches %v, which has no waiter", at.name, dispatch.ID)
	}
	if !simulation.now.Before(submission.order.Deadline) {
		simulation.t.Fatalf("%s dispatches %v after its deadline", at.name, dispatch.ID)
	}
	for _, waiting := range at.waiters {
		if waiting.order.ID == dispatch.ID && waiting.order.Digest == submission.order.Digest {
			waiting.waitedAtDispatch = true
			waiting.forwarded.checkDispatch(simulation.t)
		}
	}
}

// checkDispatch fails if the caller of a dispatched order has already received
// a refusal that reports it as not run.
func (forwardedOrder *forwardedOrder) checkDispatch(t reporter) {
	if forwardedOrder != nil && forwardedOrder.finished && forwardedOrder.refused && forwardedOrder.kind.ErrorResponse().Ran == dragonflyhatch.RanNo {
		t.Fatalf("%v is dispatched after its caller received %v", forwardedOrder.order.ID, forwardedOrder.kind)
	}
}

// submitToNext submits a forwarded order to the next live process, or ends it
// if none is left.
func (simulation *simulation) submitToNext(forwardedOrder *forwardedOrder) {
	for !forwardedOrder.finished {
		name, ok := forwardedOrder.plan.NextHost()
		if !ok {
			forwardedOrder.finish(simulation, forwardedOrder.plan.FinalFailure("no host is left"))
			return
		}
		forwardedOrder.at = forwardedOrder.byName[name]
		if slices.Contains(simulation.processes, forwardedOrder.at) {
			simulation.submitFor(forwardedOrder, forwardedOrder.at, forwardedOrder.order)
			return
		}
	}
}

// finish returns the result of a forwarded order to its caller: success if the
// failure is nil.
func (forwardedOrder *forwardedOrder) finish(simulation *simulation, failure *dragonflyhatch.Failure) {
	forwardedOrder.finished = true
	if failure == nil {
		return
	}
	forwardedOrder.refused, forwardedOrder.kind = true, failure.Kind
	if failure.Kind.ErrorResponse().Ran != dragonflyhatch.RanNo {
		return
	}
	for _, submitted := range forwardedOrder.submitted {
		if submitted.waitedAtDispatch && simulation.hasRun(submitted.order.ID, submitted.order.Digest) {
			simulation.t.Fatalf("the caller of %v receives %v, but the order ran", forwardedOrder.order.ID, failure.Kind)
		}
	}
}

// handleAnswer handles a process's answer to a forwarded order.
func (forwardedOrder *forwardedOrder) handleAnswer(simulation *simulation, at *process, answer Answer) {
	if forwardedOrder.finished || forwardedOrder.at != at {
		return
	}
	if answer.Outcome != nil {
		forwardedOrder.finish(simulation, nil)
		return
	}
	if final := forwardedOrder.plan.HandleFailure(&dragonflyhatch.Failure{Kind: answer.Kind}); final != nil {
		forwardedOrder.finish(simulation, final)
		return
	}
	simulation.submitToNext(forwardedOrder)
}

// checkAnswer checks an answer against the runs that happened.
func (simulation *simulation) checkAnswer(at *process, answer Answer) {
	submission, ok := at.waiters[answer.Waiter]
	if !ok {
		simulation.t.Fatalf("%s answers waiter %d twice", at.name, answer.Waiter)
	}
	delete(at.waiters, answer.Waiter)
	if submission.forwarded != nil {
		defer submission.forwarded.handleAnswer(simulation, at, answer)
	}
	id, digest := submission.order.ID, submission.order.Digest
	if answer.Outcome != nil {
		simulation.outcomes++
		for _, run := range simulation.runs[id] {
			if run.digest == digest && run.status == answer.Outcome.Status {
				return
			}
		}
		simulation.t.Fatalf("%s answers %v %s with outcome %d, which no run of it returned: %v", at.name, id, digest, answer.Outcome.Status, simulation.runs[id])
	}
	ran := answer.Kind.ErrorResponse().Ran
	simulation.answers[ran]++
	if ran != dragonflyhatch.RanNo {
		return
	}
	// A run that began later belongs to another submission.
	if answer.Kind == dragonflyhatch.KindKeyReused && submission.ran {
		simulation.t.Fatalf("%s answers %v %s with %v, but it ran", at.name, id, digest, answer.Kind)
	}
	if submission.waitedAtDispatch && (at.ran[id] || at.isDispatching(id)) {
		simulation.t.Fatalf("%s answers %v %s with %v, but its dispatch ran or may run", at.name, id, digest, answer.Kind)
	}
}

func (simulation *simulation) hasRun(id ID, digest string) bool {
	for _, run := range simulation.runs[id] {
		if run.digest == digest {
			return true
		}
	}
	return false
}

func (process *process) isDispatching(id ID) bool {
	for _, action := range process.pending {
		if dispatch, ok := action.(Dispatch); ok && dispatch.ID == id {
			return true
		}
	}
	return false
}

// execute runs a request at the upstream and records the run.
func (simulation *simulation) execute(at *process, dispatch Dispatch, digest string) run {
	done := run{digest: digest, status: 200 + len(simulation.runs[dispatch.ID])}
	simulation.runs[dispatch.ID] = append(simulation.runs[dispatch.ID], done)
	simulation.t.Logf("%s runs, as %s, with outcome %d", dispatch.ID.Key, digest, done.status)
	at.ran[dispatch.ID] = true
	if len(simulation.runs[dispatch.ID]) > 1 {
		simulation.t.Fatalf("%v ran %d times, now by %s", dispatch.ID, len(simulation.runs[dispatch.ID]), at.name)
	}
	return done
}

// callResult is the result of a platform call or a dispatch.
type callResult int

const (
	served    callResult = iota
	replyLost            // the call takes effect, and its reply is lost
	callLost             // the call takes no effect, and no reply comes
	callLate             // no reply comes, and the call may take effect later
	callResultCount
)

var callResultNames = [callResultCount]string{"served", "replyLost", "callLost", "callLate"}

// completeCall completes the process's i-th pending action.
func (simulation *simulation) completeCall(at *process, i int, callResult callResult) {
	action := at.pending[i]
	simulation.t.Logf("%s: %s %s", at.name, strings.TrimPrefix(fmt.Sprintf("%T", action), "hatchclaim."), callResultNames[callResult])
	at.pending = append(at.pending[:i:i], at.pending[i+1:]...)
	shard := at.shard
	switch action := action.(type) {
	case ReadHead:
		head, version := simulation.platform.head, simulation.platform.version
		simulation.perform(at, shard.HeadRead(simulation.now, head, version, callResult == served))
	case ReadSegment:
		claims, exists := simulation.platform.segments[action.Name]
		simulation.perform(at, shard.SegmentRead(simulation.now, action.Name, claims, exists, callResult == served))
	case CreateSegment:
		if callResult == served || callResult == replyLost {
			simulation.platform.segments[action.Name] = action.Claims
		}
		simulation.perform(at, shard.SegmentCreated(simulation.now, callResult == served))
	case WriteHead:
		version, result := simulation.platform.write(action, callResult)
		simulation.perform(at, shard.HeadWritten(simulation.now, version, result))
	case Dispatch:
		simulation.perform(at, shard.RunDone(simulation.now, action.ID, simulation.upstream(at, action, callResult)))
	}
}

func (platform *fakePlatform) write(write WriteHead, callResult callResult) (uint64, WriteResult) {
	switch callResult {
	case served:
		return platform.apply(write)
	case replyLost:
		platform.apply(write)
	case callLate:
		platform.lateWrites = append(platform.lateWrites, write)
	}
	return 0, WriteUnknown
}

func (platform *fakePlatform) apply(write WriteHead) (uint64, WriteResult) {
	if write.Version != platform.version {
		return 0, WriteRefused
	}
	platform.lastVersion++
	platform.head, platform.version = write.Head, platform.lastVersion
	return platform.version, WriteApplied
}

// upstream simulates the upstream's handling of a dispatched request.
func (simulation *simulation) upstream(at *process, dispatch Dispatch, callResult callResult) RunResult {
	digest := at.shard.entries[dispatch.ID].digest
	switch callResult {
	case served:
		done := simulation.execute(at, dispatch, digest)
		return RunResult{Outcome: &Outcome{Status: done.status}}
	case replyLost:
		simulation.execute(at, dispatch, digest)
		return RunResult{Kind: dragonflyhatch.KindUpstreamLost}
	case callLost:
		return RunResult{Kind: dragonflyhatch.KindUpstreamUnavailable}
	}
	return RunResult{Kind: dragonflyhatch.KindUpstreamLost}
}

// kill ends a process. Its pending head writes and dispatches may still take
// effect, as arrives decides for each.
func (simulation *simulation) kill(i int, arrives func() bool) {
	killed := simulation.processes[i]
	simulation.processes = append(simulation.processes[:i:i], simulation.processes[i+1:]...)
	for _, action := range killed.pending {
		if !arrives() {
			continue
		}
		switch action := action.(type) {
		case WriteHead:
			simulation.platform.lateWrites = append(simulation.platform.lateWrites, action)
		case Dispatch:
			simulation.execute(killed, action, killed.shard.entries[action.ID].digest)
		}
	}
}

func (simulation *simulation) advance(by time.Duration) {
	simulation.now = simulation.now.Add(by)
}

func (simulation *simulation) tick(at *process) {
	simulation.perform(at, at.shard.Tick(simulation.now))
}

// serveAll completes all pending actions without a fault until no waiter is
// left.
func (simulation *simulation) serveAll() {
	for range 400 {
		waiting := false
		for _, process := range simulation.processes {
			for len(process.pending) > 0 {
				simulation.completeCall(process, 0, served)
			}
			simulation.tick(process)
			waiting = waiting || len(process.waiters) > 0 || !process.shard.IsIdle()
		}
		if !waiting {
			return
		}
		simulation.advance(50 * time.Millisecond)
	}
	simulation.t.Fatalf("a waiter is still left after all calls have been served")
}
