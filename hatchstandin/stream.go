package hatchstandin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"

	"dragonflyhatch"
)

// Activation is what one stage hands to the next for one token.
type Activation struct {
	Generation dragonflyhatch.Generation `json:"generation"`
	Index      int                       `json:"index"` // of the stage in the pipeline
	Position   int                       `json:"position"`
	Prefill    bool                      `json:"prefill"` // first step of an attempt
	Value      uint64                    `json:"value"`
}

// StepResult is the token that the last stage made of an activation, or the
// stage that could not run it.
type StepResult struct {
	Text   string `json:"text,omitempty"`
	Failed string `json:"failed,omitempty"` // upstream
	Detail string `json:"detail,omitempty"`
}

// workPart is the part of a token's time, in percent, that stages wait for; the
// rest is left for the stand-in's own work, and the head keeps the pace.
const workPart = 60

var errStaleAttempt = errors.New("a newer attempt owns the request")

// generate is the head's part: it paces the tokens and streams the frames.
func (engine *Engine) generate(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	var generation dragonflyhatch.Generation
	if !readJSON(writer, request, &generation) {
		return
	}
	engine.mu.Lock()
	leaving, silence := engine.faults.Leaving, engine.silence
	if !leaving {
		engine.begun++
	}
	engine.mu.Unlock()
	if leaving {
		writer.Header().Set("Not-Run", "true")
		writer.Header().Set("Leaving", "true")
		http.Error(writer, "leaving", http.StatusServiceUnavailable)
		return
	}
	stream := &stream{engine: engine, writer: writer, generation: generation, silence: silence}
	stream.run(request.Context())
}

// stream is one attempt at the head of a pipeline.
type stream struct {
	engine     *Engine
	writer     http.ResponseWriter
	generation dragonflyhatch.Generation
	silence    <-chan struct{}
	due        time.Time // of the next token
}

func (stream *stream) run(ctx context.Context) {
	stream.writer.Header().Set("Content-Type", "application/x-ndjson")
	if stream.emit(ctx, dragonflyhatch.FrameHeartbeat, 0, StepResult{}, "") != nil {
		return
	}
	release, err := stream.engine.enter(ctx, stream)
	if err != nil {
		return
	}
	defer release()
	stream.due = time.Now()
	length, finish := answerEnd(stream.generation)
	for position := stream.generation.From; position < length; position++ {
		if !stream.token(ctx, position) {
			return
		}
	}
	// The stream is over; a client that has gone is not an error.
	_ = stream.emit(ctx, dragonflyhatch.FrameFinish, length, StepResult{}, finish)
}

// token makes and emits one token, and returns false when the stream is over.
func (stream *stream) token(ctx context.Context, position int) bool {
	generation := stream.generation
	pipeline := generation.Pipeline
	activation := Activation{
		Generation: generation,
		Position:   position,
		Prefill:    position == generation.From,
		Value:      startActivation(pipeline.Model, pipeline.Version, generation.Prompt, generation.Seed, position),
	}
	result, err := stream.engine.runStep(ctx, activation)
	if err != nil {
		_ = stream.emit(ctx, dragonflyhatch.FrameFailure, position, StepResult{Failed: result.Failed, Detail: err.Error()}, "")
		return false
	}
	if stream.keepPace(ctx) != nil {
		return false
	}
	return stream.emit(ctx, dragonflyhatch.FrameToken, position, result, "") == nil
}

// keepPace waits until the next token is due, so that the stand-in's own work
// does not slow the engine down. A token that is late moves the later ones.
func (stream *stream) keepPace(ctx context.Context) error {
	now := time.Now()
	stream.due = stream.due.Add(stream.engine.interval())
	if stream.due.Before(now) {
		stream.due = now
	}
	return sleep(ctx, stream.due.Sub(now))
}

// interval is the time that the engine takes for a token of a stream.
func (engine *Engine) interval() time.Duration {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	interval := time.Duration(engine.spec.TokenInterval)
	return interval + interval*time.Duration(engine.faults.SlowBy)/100
}

// emit sends one frame, unless the stream is silent: then it waits for the
// client to give up.
func (stream *stream) emit(ctx context.Context, kind dragonflyhatch.FrameKind, position int, result StepResult, finish string) error {
	select {
	case <-stream.silence:
		<-ctx.Done()
		return ctx.Err()
	default:
	}
	if !stream.engine.awaitThaw(ctx) {
		loseReply(stream.writer)
	}
	frame := dragonflyhatch.Frame{
		Request: stream.generation.Request, Attempt: stream.generation.Attempt,
		Kind: kind, Position: position, Text: result.Text, Finish: finish,
		Stage: result.Failed, Detail: result.Detail,
	}
	if kind != dragonflyhatch.FrameToken || position%framesPerLoad == 0 {
		report := stream.engine.report()
		frame.Load = &report
	}
	return encodeFrame(stream.writer, frame)
}

// framesPerLoad is how many tokens come between two load reports in a stream.
const framesPerLoad = 8

// step is the part of every stage but the head.
func (engine *Engine) step(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	var activation Activation
	if !readJSON(writer, request, &activation) {
		return
	}
	result, err := engine.runStep(request.Context(), activation)
	if err != nil {
		result.Detail = err.Error()
	}
	writeJSON(writer, result)
}

// runStep runs this stage's layers for one token and passes the activation on.
func (engine *Engine) runStep(ctx context.Context, activation Activation) (StepResult, error) {
	stages := activation.Generation.Pipeline.Stages
	if activation.Index >= len(stages) {
		return StepResult{}, errors.New("no such stage")
	}
	stage := stages[activation.Index]
	if !engine.awaitThaw(ctx) {
		return StepResult{Failed: stage.Upstream}, errors.New("stage lost")
	}
	pause, err := engine.runLayers(&activation, stage)
	if err != nil {
		return StepResult{Failed: stage.Upstream}, err
	}
	if err := sleep(ctx, pause); err != nil {
		return StepResult{Failed: stage.Upstream}, err
	}
	if activation.Index == len(stages)-1 {
		return StepResult{Text: tokenText(activation.Value)}, nil
	}
	activation.Index++
	return engine.passOn(ctx, activation, stages[activation.Index])
}

// runLayers checks that the step is this stage's own and runs its layers.
func (engine *Engine) runLayers(activation *Activation, stage dragonflyhatch.Stage) (time.Duration, error) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	generation, spec := activation.Generation, engine.spec
	if stage.Layers != spec.Layers || generation.Pipeline.Model != spec.Model || generation.Pipeline.Version != spec.Version {
		return 0, errors.New("not the layers or the version held here")
	}
	held := engine.heldLocked(generation.Request)
	if generation.Attempt < held.attempt || generation.Attempt <= held.cancelled {
		return 0, errStaleAttempt
	}
	held.attempt = generation.Attempt
	pause := time.Duration(spec.TokenInterval) * workPart / 100 / time.Duration(len(generation.Pipeline.Stages))
	pause += pause * time.Duration(engine.faults.SlowBy) / 100
	if held.positions != activation.Position {
		if !activation.Prefill {
			return 0, errors.New("the KV cache does not end at this position")
		}
		missing := engine.cache.touch(generation.Prompt, time.Now(), engine.faults.DropCache)
		pause += time.Duration(missing) * time.Duration(spec.PrefillTime)
	}
	held.positions = activation.Position + 1
	for layer := spec.Layers.First; layer < spec.Layers.End; layer++ {
		activation.Value = runLayer(activation.Value, layer)
		if len(engine.steps) < maxSteps {
			engine.steps = append(engine.steps, Step{generation.Request, generation.Attempt, activation.Position, layer})
		}
	}
	return pause, nil
}

func (engine *Engine) passOn(ctx context.Context, activation Activation, next dragonflyhatch.Stage) (StepResult, error) {
	body, err := json.Marshal(activation)
	if err != nil {
		return StepResult{}, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+next.Address+"/v1/step", bytes.NewReader(body))
	if err != nil {
		return StepResult{}, err
	}
	response, err := engine.client.Do(request)
	if err != nil {
		return StepResult{Failed: next.Upstream}, errors.Wrap(err, "next stage")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return StepResult{Failed: next.Upstream}, errors.Newf("next stage: %s", strings.TrimSpace(string(text)))
	}
	var result StepResult
	if err := json.NewDecoder(response.Body).Decode(&result); err != nil {
		return StepResult{Failed: next.Upstream}, errors.Wrap(err, "next stage")
	}
	if result.Detail != "" {
		return result, errors.New(result.Detail)
	}
	return result, nil
}

func sleep(ctx context.Context, pause time.Duration) error {
	if pause <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
