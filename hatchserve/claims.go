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

// dispatcher runs a claimed request at its upstream.
type dispatcher func(request dragonflyhatch.ServiceRequest) hatchclaim.RunResult

// claims drives the claim shards of this process.
type claims struct {
	self     string
	platform dragonflyhatch.Platform
	dispatch dispatcher
	trail    *hatchaudit.Trail
	logger   *slog.Logger
	shards   [hatchclaim.ShardCount]*claimShard
	running  conc.WaitGroup // platform calls and dispatches
}

func newClaims(self string, platform dragonflyhatch.Platform, dispatch dispatcher, trail *hatchaudit.Trail, logger *slog.Logger, options ...hatchclaim.Option) *claims {
	claims := &claims{self: self, platform: platform, dispatch: dispatch, trail: trail, logger: logger}
	for i := range claims.shards {
		claims.shards[i] = &claimShard{
			claims:  claims,
			number:  i,
			machine: hatchclaim.NewShard(i, self, options...),
			waiting: make(map[uint64]*pendingOrder),
		}
	}
	return claims
}

// run submits the request and waits for its answer, which comes by the
// request's deadline.
func (claims *claims) run(request dragonflyhatch.ServiceRequest) (dragonflyhatch.ServiceReply, error) {
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
	return replyOf(<-pending.answer)
}

func replyOf(answer hatchclaim.Answer) (dragonflyhatch.ServiceReply, error) {
	if answer.Outcome == nil {
		return dragonflyhatch.ServiceReply{}, dragonflyhatch.Fail(answer.Kind, "%s", answer.Detail)
	}
	return dragonflyhatch.ServiceReply{
		Status:   answer.Outcome.Status,
		Headers:  answer.Outcome.Headers,
		Body:     answer.Outcome.Body,
		Repeated: answer.Repeated,
	}, nil
}

// idle says whether no shard has anything to do.
func (claims *claims) idle() bool {
	for _, shard := range claims.shards {
		if !shard.idle() {
			return false
		}
	}
	return true
}

// pendingOrder is a submission that waits for its answer.
type pendingOrder struct {
	request dragonflyhatch.ServiceRequest
	answer  chan hatchclaim.Answer
}

// claimShard carries out the actions of one shard's state machine.
type claimShard struct {
	claims *claims
	number int

	mu      sync.Mutex
	machine *hatchclaim.Shard
	waiting map[uint64]*pendingOrder
	last    uint64 // name of the last waiter
	timer   *time.Timer
}

// longestSleep bounds the time between two looks at a shard that waits.
const longestSleep = time.Minute

func (shard *claimShard) idle() bool {
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.machine.Idle()
}

func (shard *claimShard) submit(now time.Time, order hatchclaim.Order, pending *pendingOrder) {
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.last++
	order.Waiter = shard.last
	shard.waiting[order.Waiter] = pending
	shard.perform(shard.machine.Submit(now, order))
}

// event feeds one event to the machine and carries out what follows.
func (shard *claimShard) event(feed func(now time.Time) []hatchclaim.Action) {
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.perform(feed(time.Now()))
}

// perform carries out actions; the shard is locked.
func (shard *claimShard) perform(actions []hatchclaim.Action) {
	for _, action := range actions {
		shard.performOne(action)
	}
	shard.schedule()
}

func (shard *claimShard) performOne(action hatchclaim.Action) {
	switch action := action.(type) {
	case hatchclaim.Answer:
		shard.answer(action)
	case hatchclaim.Dispatch:
		request := shard.waiting[action.Waiter].request
		shard.start(func() { shard.dispatch(action.ID, request) })
	case hatchclaim.ReadHead:
		shard.start(shard.readHead)
	case hatchclaim.WriteHead:
		shard.start(func() { shard.writeHead(action) })
	case hatchclaim.ReadSegment:
		shard.start(func() { shard.readSegment(action.Name) })
	case hatchclaim.CreateSegment:
		shard.start(func() { shard.createSegment(action) })
	case hatchclaim.DeleteSegment:
		shard.start(func() { shard.deleteSegment(action.Name) })
	case hatchclaim.TookOver:
		shard.tookOver(action)
	}
}

func (shard *claimShard) start(work func()) {
	shard.claims.running.Go(work)
}

func (shard *claimShard) schedule() {
	if shard.timer != nil {
		shard.timer.Stop()
	}
	if shard.machine.Idle() {
		return
	}
	now := time.Now()
	wake := shard.machine.Wake(now, now.Add(longestSleep))
	shard.timer = time.AfterFunc(wake.Sub(now), func() {
		shard.event(shard.machine.Tick)
	})
}

func (shard *claimShard) answer(answer hatchclaim.Answer) {
	shard.waiting[answer.Waiter].answer <- answer
	delete(shard.waiting, answer.Waiter)
}

func (shard *claimShard) dispatch(id hatchclaim.ID, request dragonflyhatch.ServiceRequest) {
	result := shard.claims.dispatch(request)
	shard.event(func(now time.Time) []hatchclaim.Action { return shard.machine.RunDone(now, id, result) })
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
	shard.note("claims read", err)
	shard.event(func(now time.Time) []hatchclaim.Action {
		return shard.machine.HeadRead(now, head, object.Version, err == nil)
	})
}

func (shard *claimShard) writeHead(action hatchclaim.WriteHead) {
	version, err := shard.putHead(action)
	result := hatchclaim.WriteApplied
	switch {
	case err == nil:
	case errors.IsAny(err, dragonflyhatch.ErrVersionChanged, dragonflyhatch.ErrObjectMissing):
		result = hatchclaim.WriteRefused
	default:
		result = hatchclaim.WriteUnsure
		shard.note("claims written", err)
	}
	shard.event(func(now time.Time) []hatchclaim.Action { return shard.machine.HeadWritten(now, version, result) })
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
	shard.note("claim segment read", err)
	shard.event(func(now time.Time) []hatchclaim.Action {
		return shard.machine.SegmentRead(now, name, segment, !missing, err == nil || missing)
	})
}

func (shard *claimShard) createSegment(action hatchclaim.CreateSegment) {
	value, err := hatchclaim.EncodeSegment(action.Claims)
	if err == nil {
		_, err = shard.claims.platform.Create(context.Background(), action.Name, value)
	}
	if errors.Is(err, dragonflyhatch.ErrVersionChanged) {
		err = nil // an earlier try was applied and its reply lost
	}
	shard.note("claim segment created", err)
	shard.event(func(now time.Time) []hatchclaim.Action { return shard.machine.SegmentCreated(now, err == nil) })
}

// deleteSegment removes what nothing refers to; a failure leaves garbage of
// bounded size and does no other harm.
func (shard *claimShard) deleteSegment(name string) {
	object, err := shard.claims.platform.Get(context.Background(), name)
	if err == nil {
		err = shard.claims.platform.Delete(context.Background(), name, object.Version)
	}
	shard.note("claim segment deleted", err)
}

func (shard *claimShard) tookOver(action hatchclaim.TookOver) {
	shard.claims.trail.Add(hatchaudit.Entry{
		Who:     shard.claims.self,
		What:    "claims.takeOver " + hatchclaim.HeadName(shard.number),
		From:    action.From,
		To:      shard.claims.self,
		Outcome: "applied",
	})
}

func (shard *claimShard) note(what string, err error) {
	if err != nil {
		shard.claims.logger.Warn(what+" in vain", "shard", shard.number, "error", err)
	}
}

// owned lists the shards that this process believes to own.
func (claims *claims) owned() []int {
	var owned []int
	for i, shard := range claims.shards {
		shard.mu.Lock()
		if shard.machine.Owned() {
			owned = append(owned, i)
		}
		shard.mu.Unlock()
	}
	return owned
}
