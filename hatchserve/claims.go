package hatchserve

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"dragonflyhatch"
	"dragonflyhatch/hatchaudit"
	"dragonflyhatch/hatchclaim"
)

// dispatcher runs a claimed request on a replica of its service.
type dispatcher func(request dragonflyhatch.ServiceRequest) hatchclaim.RunResult

// claims drives the claim shards of this process.
type claims struct {
	self     string
	platform dragonflyhatch.Platform
	dispatch dispatcher
	trail    *hatchaudit.Trail
	logger   *slog.Logger
	shards   [hatchclaim.ShardCount]*claimShard
	inFlight conc.WaitGroup // platform calls and dispatches
}

func newClaims(self string, platform dragonflyhatch.Platform, dispatch dispatcher, trail *hatchaudit.Trail, logger *slog.Logger, options ...hatchclaim.Option) *claims {
	claims := &claims{self: self, platform: platform, dispatch: dispatch, trail: trail, logger: logger}
	for i := range claims.shards {
		claims.shards[i] = &claimShard{
			claims:        claims,
			number:        i,
			stateMachine:  hatchclaim.NewShard(i, self, options...),
			pendingOrders: make(map[uint64]*pendingOrder),
		}
	}
	return claims
}

// runOrder submits the request and waits for its answer, which arrives by the
// deadline of the request.
func (claims *claims) runOrder(request dragonflyhatch.ServiceRequest) (dragonflyhatch.ServiceReply, error) {
	now := time.Now()
	keyTime, err := hatchclaim.ParseKey(request.Key, now)
	if err != nil {
		return dragonflyhatch.ServiceReply{}, err
	}
	id := hatchclaim.ID{Organisation: request.Organisation, Key: request.Key}
	pending := &pendingOrder{request: request, answer: make(chan hatchclaim.Answer, 1)}
	claims.shards[id.Shard()].submit(now, hatchclaim.Order{
		ID:       id,
		Digest:   hatchclaim.Digest(request),
		KeyTime:  keyTime,
		Deadline: request.Deadline,
	}, pending)
	return serviceReplyOf(<-pending.answer)
}

func serviceReplyOf(answer hatchclaim.Answer) (dragonflyhatch.ServiceReply, error) {
	if answer.Outcome == nil {
		return dragonflyhatch.ServiceReply{}, dragonflyhatch.Failf(answer.Kind, "%s", answer.Detail)
	}
	return dragonflyhatch.ServiceReply{
		Status:   answer.Outcome.Status,
		Headers:  answer.Outcome.Headers,
		Body:     answer.Outcome.Body,
		Repeated: answer.Repeated,
	}, nil
}

// isIdle reports whether no shard has any work left.
func (claims *claims) isIdle() bool {
	for _, shard := range claims.shards {
		if !shard.isIdle() {
			return false
		}
	}
	return true
}

// pendingOrder is a submitted order that waits for its answer.
type pendingOrder struct {
	request dragonflyhatch.ServiceRequest
	answer  chan hatchclaim.Answer
}

// claimShard performs the actions of one shard's state machine.
type claimShard struct {
	claims *claims
	number int

	mu            sync.Mutex
	stateMachine  *hatchclaim.Shard
	pendingOrders map[uint64]*pendingOrder
	lastWaiter    uint64 // the last waiter ID assigned
	timer         *time.Timer
}

// maxTickInterval is the longest time between two ticks of a shard that is not
// idle.
const maxTickInterval = time.Minute

func (shard *claimShard) isIdle() bool {
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.stateMachine.IsIdle()
}

func (shard *claimShard) submit(now time.Time, order hatchclaim.Order, pending *pendingOrder) {
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.lastWaiter++
	order.Waiter = shard.lastWaiter
	shard.pendingOrders[order.Waiter] = pending
	shard.performActions(shard.stateMachine.Submit(now, order))
}

// handleEvent passes one event to the state machine and performs the actions
// that follow from it.
func (shard *claimShard) handleEvent(feed func(now time.Time) []hatchclaim.Action) {
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.performActions(feed(time.Now()))
}

// performActions performs the actions and schedules the next tick. The caller
// holds shard.mu.
func (shard *claimShard) performActions(actions []hatchclaim.Action) {
	for _, action := range actions {
		shard.performAction(action)
	}
	shard.scheduleTick()
}

func (shard *claimShard) performAction(action hatchclaim.Action) {
	switch action := action.(type) {
	case hatchclaim.Answer:
		shard.answer(action)
	case hatchclaim.Dispatch:
		request := shard.pendingOrders[action.Waiter].request
		shard.runAsync(func() { shard.dispatch(action.ID, request) })
	case hatchclaim.ReadHead:
		shard.runAsync(shard.readHead)
	case hatchclaim.WriteHead:
		shard.runAsync(func() { shard.writeHead(action) })
	case hatchclaim.ReadSegment:
		shard.runAsync(func() { shard.readSegment(action.Name) })
	case hatchclaim.CreateSegment:
		shard.runAsync(func() { shard.createSegment(action) })
	case hatchclaim.DeleteSegment:
		shard.runAsync(func() { shard.deleteSegment(action.Name) })
	case hatchclaim.TookOver:
		shard.auditTakeover(action)
	}
}

func (shard *claimShard) runAsync(work func()) {
	shard.claims.inFlight.Go(work)
}

func (shard *claimShard) scheduleTick() {
	if shard.timer != nil {
		shard.timer.Stop()
	}
	if shard.stateMachine.IsIdle() {
		return
	}
	now := time.Now()
	wake := shard.stateMachine.NextTick(now, now.Add(maxTickInterval))
	shard.timer = time.AfterFunc(wake.Sub(now), func() {
		shard.handleEvent(shard.stateMachine.Tick)
	})
}

func (shard *claimShard) answer(answer hatchclaim.Answer) {
	shard.pendingOrders[answer.Waiter].answer <- answer
	delete(shard.pendingOrders, answer.Waiter)
}

func (shard *claimShard) dispatch(id hatchclaim.ID, request dragonflyhatch.ServiceRequest) {
	result := shard.claims.dispatch(request)
	shard.handleEvent(func(now time.Time) []hatchclaim.Action { return shard.stateMachine.RunDone(now, id, result) })
}

func (shard *claimShard) readHead() {
	object, err := shard.claims.platform.Get(context.Background(), hatchclaim.HeadName(shard.number))
	var head hatchclaim.Head
	switch {
	case err == nil:
		head, err = hatchclaim.DecodeHead(object.Value)
	case errors.Is(err, dragonflyhatch.ErrObjectMissing):
		err = nil
	}
	shard.logFailure("reading claim head", err)
	shard.handleEvent(func(now time.Time) []hatchclaim.Action {
		return shard.stateMachine.HeadRead(now, head, object.Version, err == nil)
	})
}

func (shard *claimShard) writeHead(action hatchclaim.WriteHead) {
	version, err := shard.putHead(action)
	result := hatchclaim.WriteApplied
	switch {
	case err == nil:
	case errors.IsAny(err, dragonflyhatch.ErrVersionConflict, dragonflyhatch.ErrObjectMissing):
		result = hatchclaim.WriteRefused
	default:
		result = hatchclaim.WriteUnknown
		shard.logFailure("writing claim head", err)
	}
	shard.handleEvent(func(now time.Time) []hatchclaim.Action { return shard.stateMachine.HeadWritten(now, version, result) })
}

func (shard *claimShard) putHead(action hatchclaim.WriteHead) (uint64, error) {
	value, err := action.Head.Encode()
	if err != nil {
		return 0, err
	}
	name := hatchclaim.HeadName(shard.number)
	if action.Version == 0 {
		return shard.claims.platform.Create(context.Background(), name, value)
	}
	return shard.claims.platform.Update(context.Background(), name, action.Version, value)
}

func (shard *claimShard) readSegment(name string) {
	object, err := shard.claims.platform.Get(context.Background(), name)
	missing := errors.Is(err, dragonflyhatch.ErrObjectMissing)
	var segment []hatchclaim.Claim
	if err == nil {
		segment, err = hatchclaim.DecodeSegment(object.Value)
	}
	shard.logFailure("reading claim segment", err)
	shard.handleEvent(func(now time.Time) []hatchclaim.Action {
		return shard.stateMachine.SegmentRead(now, name, segment, !missing, err == nil || missing)
	})
}

func (shard *claimShard) createSegment(action hatchclaim.CreateSegment) {
	value, err := hatchclaim.EncodeSegment(action.Claims)
	if err == nil {
		_, err = shard.claims.platform.Create(context.Background(), action.Name, value)
	}
	if errors.Is(err, dragonflyhatch.ErrVersionConflict) {
		err = nil // an earlier attempt was applied and its reply was lost
	}
	shard.logFailure("creating claim segment", err)
	shard.handleEvent(func(now time.Time) []hatchclaim.Action { return shard.stateMachine.SegmentCreated(now, err == nil) })
}

// deleteSegment deletes a segment that nothing refers to. A failure is
// harmless: it only leaves an unreferenced object of bounded size.
func (shard *claimShard) deleteSegment(name string) {
	object, err := shard.claims.platform.Get(context.Background(), name)
	if err == nil {
		err = shard.claims.platform.Delete(context.Background(), name, object.Version)
	}
	shard.logFailure("deleting claim segment", err)
}

func (shard *claimShard) auditTakeover(action hatchclaim.TookOver) {
	shard.claims.trail.Add(hatchaudit.Entry{
		Actor:   shard.claims.self,
		Action:  "claims.takeOver " + hatchclaim.HeadName(shard.number),
		From:    action.From,
		To:      shard.claims.self,
		Outcome: "applied",
	})
}

func (shard *claimShard) logFailure(what string, err error) {
	if err != nil {
		shard.claims.logger.Warn(what+" failed", "shard", shard.number, "error", err)
	}
}

// ownedShards returns the numbers of the shards that this process believes it
// owns.
func (claims *claims) ownedShards() []int {
	var ownedShards []int
	for i, shard := range claims.shards {
		shard.mu.Lock()
		if shard.stateMachine.IsOwner() {
			ownedShards = append(ownedShards, i)
		}
		shard.mu.Unlock()
	}
	return ownedShards
}
