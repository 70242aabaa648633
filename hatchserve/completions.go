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

// prefixLength is how much of a prompt decides which replicas it prefers, in
// bytes.
const prefixLength = 256

// completion is one answer under way.
type completion struct {
	daemon    *Daemon
	request   hatchentry.Completion
	deliver   func(hatchentry.Piece) error
	assembler *hatchanswer.Assembler
	attempts  *hatchretry.Attempts
	version   string // of the model, fixed by the first attempt
	attempt   int
	gone      error // why the caller cannot be reached

	admitted   admitted
	firstToken time.Time // when it came
	tried      time.Time // when the attempt under way began
	moves      int       // attempts given up because they waited in an engine's queue
	avoid      []string  // addresses that the next attempt is moved away from
}

// errMoved ends an attempt that waits at its engine while another one is free.
var errMoved = errors.New("moved to a free engine")

const (
	moveAfter = 150 * time.Millisecond // in an engine's queue
	maxMoves  = 4                      // of one completion
)

// Complete produces the answer to a completion and hands its tokens to deliver
// in order, each once. After an error of deliver it gives up.
func (daemon *Daemon) Complete(ctx context.Context, request hatchentry.Completion, deliver func(hatchentry.Piece) error) error {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	daemon.budget.Earn()
	admitted, err := daemon.admission.admit(ctx, request)
	if err != nil {
		return err
	}
	completion := &completion{
		daemon:    daemon,
		request:   request,
		deliver:   deliver,
		assembler: hatchanswer.NewAssembler(request.Request, request.Place.Next),
		attempts:  hatchretry.NewAttempts(request.Deadline, request.Place.Next > 0),
		version:   request.Place.Version,
		attempt:   request.Place.Attempt,
		admitted:  admitted,
	}
	err = completion.run(ctx)
	admitted.finish(completion.result(ctx))
	return err
}

// result says how the completion went, for the limiter.
func (completion *completion) result(ctx context.Context) hatchlimit.Result {
	result := hatchlimit.Result{
		Tokens: completion.assembler.Next() - completion.request.Place.Next,
		Whole:  completion.assembler.Done(),
		Late:   ctx.Err() != nil && completion.gone == nil,
	}
	if result.Tokens > 0 {
		result.AfterFirst = time.Since(completion.firstToken)
	}
	return result
}

func (completion *completion) run(ctx context.Context) error {
	daemon := completion.daemon
	for {
		current, err := daemon.ready()
		if err != nil {
			return err
		}
		choice, err := completion.choose(current)
		if err != nil {
			return completion.attempts.End(dragonflyhatch.FailureOf(err))
		}
		completion.avoid = nil
		culprits, err := completion.try(ctx, choice)
		if err == nil || completion.gone != nil {
			return completion.gone
		}
		if errors.Is(err, errMoved) {
			completion.attempts.Moved()
			continue
		}
		failure := dragonflyhatch.FailureOf(err)
		daemon.journal.Note(completion.request.Request, "attempt failed", failure.Error())
		if end := completion.attempts.Failed(time.Now(), failure, culprits, daemon.budget); end != nil {
			return end
		}
		daemon.metrics.resumes.Inc(1)
	}
}

func (completion *completion) choose(current *view) (hatchroute.Choice, error) {
	request := hatchroute.Request{
		Model:   completion.request.Model,
		Version: completion.version,
		Prefix:  xxhash.Sum64String(completion.request.Prompt[:min(len(completion.request.Prompt), prefixLength)]),
		Tokens:  completion.request.MaxTokens - completion.assembler.Next(),
		Left:    time.Until(completion.request.Deadline),
		Exclude: slices.Concat(completion.attempts.Excluded(), completion.avoid),
		Policy:  completion.daemon.settings.Policy.Choice,
	}
	choice, err := current.snapshot.Choose(time.Now(), request, completion.daemon.random)
	if err != nil && len(request.Exclude) > 0 {
		// The replicas that failed are all there are.
		completion.attempts.Forgive()
		request.Exclude = nil
		choice, err = current.snapshot.Choose(time.Now(), request, completion.daemon.random)
	}
	return choice, err
}

// try makes one attempt. It returns the failure and the addresses at fault, as
// far as they are known.
func (completion *completion) try(ctx context.Context, choice hatchroute.Choice) ([]string, error) {
	daemon := completion.daemon
	completion.attempt = hatchretry.NextAttempt(completion.attempt, time.Now())
	completion.version = choice.Pipeline.Version
	completion.tried = time.Now()
	completion.assembler.Begin(completion.attempt)
	for _, stage := range choice.Pipeline.Stages {
		daemon.journal.Note(completion.request.Request, "stage chosen", stage.Upstream)
	}
	deadline, _ := ctx.Deadline()
	generation := dragonflyhatch.Generation{
		Request:   completion.request.Request,
		Attempt:   completion.attempt,
		Pipeline:  choice.Pipeline,
		Prompt:    completion.request.Prompt,
		Seed:      completion.request.Place.Seed,
		From:      completion.assembler.Next(),
		MaxTokens: completion.request.MaxTokens,
		Priority:  completion.request.Priority,
		Remaining: time.Until(deadline),
	}
	choice.Begin()
	defer choice.End()
	meter := &streamMeter{head: choice.Replicas[0].Track, last: time.Now()}
	err := daemon.engine.Generate(ctx, generation, func(frame dragonflyhatch.Frame) error {
		meter.frame(frame)
		if completion.shouldMove(choice, frame) {
			return errMoved
		}
		return completion.accept(frame)
	})
	if err == nil {
		err = completion.assembler.End()
	}
	if err == nil {
		choice.Succeeded(time.Now())
		return nil, nil
	}
	go completion.cancel(generation)
	if errors.Is(err, errMoved) {
		daemon.metrics.moves.Inc(1)
		daemon.journal.Note(completion.request.Request, "moved", "waited in the queue of "+choice.Replicas[0].Name)
		return nil, err
	}
	return completion.failed(ctx, choice, err)
}

// shouldMove says whether the attempt, which has no token yet, had better be
// made elsewhere: it has waited at its engine, and another one seems to be free.
func (completion *completion) shouldMove(choice hatchroute.Choice, frame dragonflyhatch.Frame) bool {
	if frame.Kind != dragonflyhatch.FrameHeartbeat || completion.daemon.settings.Policy.NoAdmission {
		return false
	}
	if completion.moves == maxMoves || time.Since(completion.tried) < moveAfter {
		return false
	}
	current, err := completion.daemon.ready()
	if err != nil {
		return false
	}
	completion.avoid = []string{choice.Replicas[0].Address}
	other, err := completion.choose(current)
	if err != nil || !other.Free() {
		completion.avoid = nil
		return false
	}
	completion.moves++
	return true
}

// accept puts one frame into the answer.
func (completion *completion) accept(frame dragonflyhatch.Frame) error {
	delivery, err := completion.assembler.Accept(frame)
	if completion.firstToken.IsZero() && len(delivery.Tokens) > 0 {
		completion.firstToken = time.Now()
		completion.admitted.begin()
	}
	for _, token := range delivery.Tokens {
		completion.send(hatchentry.Piece{Text: token.Text, Place: completion.place(token.Position + 1)})
	}
	if delivery.Finish != "" {
		completion.send(hatchentry.Piece{Finish: delivery.Finish, Place: completion.place(completion.assembler.Next())})
	}
	if completion.gone != nil {
		return completion.gone
	}
	if err != nil {
		return &stageError{upstream: frame.Stage, err: err}
	}
	return nil
}

func (completion *completion) send(piece hatchentry.Piece) {
	if completion.gone == nil {
		completion.gone = completion.deliver(piece)
	}
}

func (completion *completion) place(next int) hatchanswer.Place {
	place := completion.request.Place
	place.Version = completion.version
	place.Attempt = completion.attempt
	place.Next = next
	return place
}

// stageError is the failure of a stage that the head has reported.
type stageError struct {
	upstream string
	err      error
}

// Error describes the failure.
func (err *stageError) Error() string {
	return err.err.Error()
}

// failed turns the end of an attempt into a Failure and finds who is at fault.
func (completion *completion) failed(ctx context.Context, choice hatchroute.Choice, err error) ([]string, error) {
	var failure *dragonflyhatch.Failure
	if !errors.As(err, &failure) {
		failure = &dragonflyhatch.Failure{Kind: dragonflyhatch.KindUpstreamLost, Detail: err.Error(), Cause: err}
	}
	if ctx.Err() != nil || completion.gone != nil {
		return nil, failure
	}
	var leaving *hatchupstream.LeavingError
	if errors.As(err, &leaving) {
		completion.daemon.upstreamSaid(leaving.Address, true)
		return []string{leaving.Address}, failure
	}
	var addresses []string
	for _, culprit := range completion.culprits(choice, err) {
		culprit.Track.Failed(time.Now())
		addresses = append(addresses, culprit.Address)
	}
	return addresses, failure
}

// culprits returns the replicas at fault: the stage that the head has named, or
// those that did not answer when a stream went silent, or else the head. When
// only the connection was silent nobody is.
func (completion *completion) culprits(choice hatchroute.Choice, err error) []*hatchroute.Replica {
	var silent *hatchupstream.SilentError
	if errors.As(err, &silent) {
		return choice.At(silent.Unanswering)
	}
	var stage *stageError
	if errors.As(err, &stage) {
		if named := choice.Named(stage.upstream); named != nil {
			return []*hatchroute.Replica{named}
		}
	}
	return choice.Replicas[:1]
}

// cancelTimeout bounds the telling of stages that an attempt is over.
const cancelTimeout = 2 * time.Second

func (completion *completion) cancel(generation dragonflyhatch.Generation) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	// Stages that cannot be told find out by the higher attempt, or by their
	// own timeout.
	_ = completion.daemon.engine.Cancel(ctx, generation)
}

// streamMeter measures a stream for the head's track.
type streamMeter struct {
	head  *hatchroute.Track
	last  time.Time
	begun bool
}

func (meter *streamMeter) frame(frame dragonflyhatch.Frame) {
	if frame.Load != nil {
		meter.head.Report(*frame.Load)
	}
	if frame.Kind != dragonflyhatch.FrameToken {
		return
	}
	now := time.Now()
	elapsed := now.Sub(meter.last)
	meter.last = now
	if meter.begun {
		meter.head.Interval(elapsed)
	}
	meter.begun = true
}
