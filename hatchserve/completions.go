package hatchserve

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"dragonflyhatch"
	"dragonflyhatch/hatchanswer"
	"dragonflyhatch/hatchentry"
	"dragonflyhatch/hatchlimit"
	"dragonflyhatch/hatchretry"
	"dragonflyhatch/hatchroute"
	"dragonflyhatch/hatchupstream"
)

// prefixLength is the number of leading bytes of the prompt that are hashed to
// choose preferred replicas.
const prefixLength = 256

// completion is the state of one completion in progress.
type completion struct {
	daemon    *Daemon
	request   hatchentry.Completion
	deliver   func(hatchentry.Chunk) error
	assembler *hatchanswer.Assembler
	attempts  *hatchretry.Attempts
	version   string // model version, fixed by the first attempt
	attempt   int
	callerErr error // why the response cannot be written to the caller

	admitted         admittedCompletion
	firstTokenAt     time.Time // arrival of the first token
	attemptStarted   time.Time // start of the current attempt
	moves            int       // attempts abandoned because they waited in an engine's queue
	avoidedAddresses []string  // addresses that the next attempt excludes
}

// errMoved ends an attempt that is queued at its engine while another engine is
// free.
var errMoved = errors.New("moved to a free engine")

const (
	minQueueTimeToMove = 150 * time.Millisecond // time in an engine's queue before an attempt may move
	maxMoves           = 4                      // per completion
)

// Complete produces the answer to a completion and passes its tokens to
// deliver, in order and each exactly once. It stops after an error of deliver.
func (daemon *Daemon) Complete(ctx context.Context, request hatchentry.Completion, deliver func(hatchentry.Chunk) error) error {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	daemon.retryBudget.RecordRequest()
	admitted, err := daemon.admission.admit(ctx, request)
	if err != nil {
		return err
	}
	completion := &completion{
		daemon:    daemon,
		request:   request,
		deliver:   deliver,
		assembler: hatchanswer.NewAssembler(request.Request, request.ResumePosition.Next),
		attempts:  hatchretry.NewAttempts(request.Deadline, request.ResumePosition.Next > 0),
		version:   request.ResumePosition.Version,
		attempt:   request.ResumePosition.Attempt,
		admitted:  admitted,
	}
	err = completion.run(ctx)
	admitted.recordEnd(completion.limiterResult(ctx))
	return err
}

// limiterResult describes the outcome of the completion for the limiter.
func (completion *completion) limiterResult(ctx context.Context) hatchlimit.Result {
	result := hatchlimit.Result{
		Tokens:         completion.assembler.Next() - completion.request.ResumePosition.Next,
		Complete:       completion.assembler.IsComplete(),
		DeadlinePassed: ctx.Err() != nil && completion.callerErr == nil,
	}
	if result.Tokens > 0 {
		result.AfterFirstToken = time.Since(completion.firstTokenAt)
	}
	return result
}

func (completion *completion) run(ctx context.Context) error {
	daemon := completion.daemon
	for {
		current, err := daemon.currentView()
		if err != nil {
			return err
		}
		choice, err := completion.choosePipeline(current)
		if err != nil {
			return completion.attempts.FinalFailure(dragonflyhatch.FailureOf(err))
		}
		completion.avoidedAddresses = nil
		addressesAtFault, err := completion.runAttempt(ctx, choice)
		if err == nil || completion.callerErr != nil {
			return completion.callerErr
		}
		if errors.Is(err, errMoved) {
			completion.attempts.RecordAbandoned()
			continue
		}
		failure := dragonflyhatch.FailureOf(err)
		daemon.journal.AddEvent(completion.request.Request, "attempt failed", failure.Error())
		if final := completion.attempts.HandleFailure(time.Now(), failure, addressesAtFault, daemon.retryBudget); final != nil {
			return final
		}
		daemon.metrics.resumes.Inc(1)
	}
}

func (completion *completion) choosePipeline(current *view) (hatchroute.Choice, error) {
	request := hatchroute.Request{
		Model:    completion.request.Model,
		Version:  completion.version,
		Prefix:   xxhash.Sum64String(completion.request.Prompt[:min(len(completion.request.Prompt), prefixLength)]),
		Tokens:   completion.request.MaxTokens - completion.assembler.Next(),
		TimeLeft: time.Until(completion.request.Deadline),
		Exclude:  slices.Concat(completion.attempts.Excluded(), completion.avoidedAddresses),
		Policy:   completion.daemon.settings.Policy.Choice,
	}
	choice, err := current.snapshot.Choose(time.Now(), request, completion.daemon.random)
	if err != nil && len(request.Exclude) > 0 {
		// If no pipeline avoids the excluded replicas, they are allowed again.
		completion.attempts.ClearExcluded()
		request.Exclude = nil
		choice, err = current.snapshot.Choose(time.Now(), request, completion.daemon.random)
	}
	return choice, err
}

// runAttempt makes one attempt. It returns the failure and the addresses of the
// replicas at fault, as far as they are known.
func (completion *completion) runAttempt(ctx context.Context, choice hatchroute.Choice) ([]string, error) {
	daemon := completion.daemon
	completion.attempt = hatchretry.NextAttemptNumber(completion.attempt, time.Now())
	completion.version = choice.Pipeline.Version
	completion.attemptStarted = time.Now()
	completion.assembler.Begin(completion.attempt)
	for _, stage := range choice.Pipeline.Stages {
		daemon.journal.AddEvent(completion.request.Request, "stage chosen", stage.Upstream)
	}
	deadline, _ := ctx.Deadline()
	generation := dragonflyhatch.Generation{
		Request:   completion.request.Request,
		Attempt:   completion.attempt,
		Pipeline:  choice.Pipeline,
		Prompt:    completion.request.Prompt,
		Seed:      completion.request.ResumePosition.Seed,
		From:      completion.assembler.Next(),
		MaxTokens: completion.request.MaxTokens,
		Priority:  completion.request.Priority,
		Remaining: time.Until(deadline),
	}
	choice.Begin()
	defer choice.End()
	meter := &streamMeter{head: choice.Replicas[0].Health, lastTokenAt: time.Now()}
	err := daemon.engine.Generate(ctx, generation, func(frame dragonflyhatch.Frame) error {
		meter.recordFrame(frame)
		if completion.prepareMove(choice, frame) {
			return errMoved
		}
		return completion.acceptFrame(frame)
	})
	if err == nil {
		err = completion.assembler.End()
	}
	if err == nil {
		choice.RecordSuccess(time.Now())
		return nil, nil
	}
	go completion.cancel(generation)
	if errors.Is(err, errMoved) {
		daemon.metrics.moves.Inc(1)
		daemon.journal.AddEvent(completion.request.Request, "moved", "waited in the queue of "+choice.Replicas[0].Name)
		return nil, err
	}
	return completion.handleFailure(ctx, choice, err)
}

// prepareMove reports whether the attempt should be abandoned and repeated on
// another pipeline, because it has been queued at its engine for a while without
// a token and another engine appears to be free. If so, it excludes the current
// engine from the next attempt and counts the move.
func (completion *completion) prepareMove(choice hatchroute.Choice, frame dragonflyhatch.Frame) bool {
	if frame.Kind != dragonflyhatch.FrameHeartbeat || completion.daemon.settings.Policy.DisableAdmission {
		return false
	}
	if completion.moves == maxMoves || time.Since(completion.attemptStarted) < minQueueTimeToMove {
		return false
	}
	current, err := completion.daemon.currentView()
	if err != nil {
		return false
	}
	completion.avoidedAddresses = []string{choice.Replicas[0].Address}
	other, err := completion.choosePipeline(current)
	if err != nil || !other.HasFreeSlots() {
		completion.avoidedAddresses = nil
		return false
	}
	completion.moves++
	return true
}

// acceptFrame adds one frame to the answer and delivers the tokens that it
// completes.
func (completion *completion) acceptFrame(frame dragonflyhatch.Frame) error {
	delivery, err := completion.assembler.Accept(frame)
	if completion.firstTokenAt.IsZero() && len(delivery.Tokens) > 0 {
		completion.firstTokenAt = time.Now()
		completion.admitted.recordFirstToken()
	}
	for _, token := range delivery.Tokens {
		completion.send(hatchentry.Chunk{Text: token.Text, ResumePosition: completion.resumePosition(token.Position + 1)})
	}
	if delivery.Finish != "" {
		completion.send(hatchentry.Chunk{Finish: delivery.Finish, ResumePosition: completion.resumePosition(completion.assembler.Next())})
	}
	if completion.callerErr != nil {
		return completion.callerErr
	}
	if err != nil {
		return &stageError{upstream: frame.Stage, err: err}
	}
	return nil
}

func (completion *completion) send(chunk hatchentry.Chunk) {
	if completion.callerErr == nil {
		completion.callerErr = completion.deliver(chunk)
	}
}

func (completion *completion) resumePosition(next int) hatchanswer.ResumePosition {
	resumePosition := completion.request.ResumePosition
	resumePosition.Version = completion.version
	resumePosition.Attempt = completion.attempt
	resumePosition.Next = next
	return resumePosition
}

// stageError is the failure of a stage as reported by the head.
type stageError struct {
	upstream string
	err      error
}

// Error returns the text of the underlying error.
func (err *stageError) Error() string {
	return err.err.Error()
}

// handleFailure turns the error of an attempt into a Failure and returns it
// with the addresses of the replicas at fault.
func (completion *completion) handleFailure(ctx context.Context, choice hatchroute.Choice, err error) ([]string, error) {
	var failure *dragonflyhatch.Failure
	if !errors.As(err, &failure) {
		failure = &dragonflyhatch.Failure{Kind: dragonflyhatch.KindUpstreamLost, Detail: err.Error(), Cause: err}
	}
	if ctx.Err() != nil || completion.callerErr != nil {
		return nil, failure
	}
	var leavingErr *hatchupstream.LeavingError
	if errors.As(err, &leavingErr) {
		completion.daemon.recordUpstreamLeaving(leavingErr.Address, true)
		return []string{leavingErr.Address}, failure
	}
	var addresses []string
	for _, replica := range completion.replicasAtFault(choice, err) {
		replica.Health.RecordFailure(time.Now())
		addresses = append(addresses, replica.Address)
	}
	return addresses, failure
}

// replicasAtFault returns the replicas at fault: the stage that the head named,
// or the ones that did not respond to a probe when the stream was idle, or else
// the head. It returns none if the stream was idle and all stages responded.
func (completion *completion) replicasAtFault(choice hatchroute.Choice, err error) []*hatchroute.Replica {
	var idleErr *hatchupstream.StreamIdleError
	if errors.As(err, &idleErr) {
		return choice.ReplicasAt(idleErr.UnresponsiveStages)
	}
	var stageErr *stageError
	if errors.As(err, &stageErr) {
		if named := choice.ReplicaByName(stageErr.upstream); named != nil {
			return []*hatchroute.Replica{named}
		}
	}
	return choice.Replicas[:1]
}

// cancelTimeout bounds the calls that cancel an attempt at its stages.
const cancelTimeout = 2 * time.Second

func (completion *completion) cancel(generation dragonflyhatch.Generation) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	// Stages that the cancellation does not reach stop when they see a higher
	// attempt number, or by their own timeout.
	_ = completion.daemon.engine.Cancel(ctx, generation)
}

// streamMeter records the load reports and token intervals of a stream in the
// health of its head.
type streamMeter struct {
	head        *hatchroute.Health
	lastTokenAt time.Time // start of the stream, until a token has arrived
	hasToken    bool
}

func (meter *streamMeter) recordFrame(frame dragonflyhatch.Frame) {
	if frame.Load != nil {
		meter.head.ApplyReport(*frame.Load)
	}
	if frame.Kind != dragonflyhatch.FrameToken {
		return
	}
	now := time.Now()
	elapsed := now.Sub(meter.lastTokenAt)
	meter.lastTokenAt = now
	if meter.hasToken {
		meter.head.RecordTokenInterval(elapsed)
	}
	meter.hasToken = true
}
