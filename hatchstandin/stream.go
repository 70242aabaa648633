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

// Activation is the input of a pipeline stage for one token.
type Activation struct {
	Generation dragonflyhatch.Generation `json:"generation"`
	Index      int                       `json:"index"` // of the stage in the pipeline
	Position   int                       `json:"position"`
	Prefill    bool                      `json:"prefill"` // first step of an attempt
	Value      uint64                    `json:"value"`   // output of the previous layer
}

// StepResult is the token that the last stage generated from an activation, or the
// stage that failed.
type StepResult struct {
	Text           string `json:"text,omitempty"`
	FailedUpstream string `json:"failed,omitempty"` // upstream of the failed stage
	Detail         string `json:"detail,omitempty"`
}

// stageTimePercent is the percentage of the token interval that the stages of a
// pipeline sleep in total. The rest is left for the stand-in's own processing; the
// head then waits until the token is due.
const stageTimePercent = 60

var errStaleAttempt = errors.New("the attempt is cancelled, or a newer attempt owns the request")

// generate handles a stream as the head of its pipeline: it times the tokens and
// sends the frames.
func (engine *Engine) generate(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	var generation dragonflyhatch.Generation
	if !readJSON(writer, request, &generation) {
		return
	}
	engine.mu.Lock()
	leaving, silence := engine.faults.Leaving, engine.silence
	if !leaving {
		engine.streamsStarted++
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

// stream is one attempt of a request at the head of its pipeline.
type stream struct {
	engine       *Engine
	writer       http.ResponseWriter
	generation   dragonflyhatch.Generation
	silence      <-chan struct{}
	nextTokenDue time.Time
}

func (stream *stream) run(ctx context.Context) {
	stream.writer.Header().Set("Content-Type", "application/x-ndjson")
	if stream.sendFrame(ctx, dragonflyhatch.FrameHeartbeat, 0, StepResult{}, "") != nil {
		return
	}
	release, err := stream.engine.acquireSlot(ctx, stream)
	if err != nil {
		return
	}
	defer release()
	stream.nextTokenDue = time.Now()
	length, finish := lengthAndFinish(stream.generation)
	for position := stream.generation.From; position < length; position++ {
		if !stream.makeToken(ctx, position) {
			return
		}
	}
	// The stream is complete, so it does not matter if the client has disconnected.
	_ = stream.sendFrame(ctx, dragonflyhatch.FrameFinish, length, StepResult{}, finish)
}

// makeToken generates and sends one token. It returns false when the stream has
// ended.
func (stream *stream) makeToken(ctx context.Context, position int) bool {
	generation := stream.generation
	pipeline := generation.Pipeline
	activation := Activation{
		Generation: generation,
		Position:   position,
		Prefill:    position == generation.From,
		Value:      initialActivation(pipeline.Model, pipeline.Version, generation.Prompt, generation.Seed, position),
	}
	result, err := stream.engine.runStep(ctx, activation)
	if err != nil {
		_ = stream.sendFrame(ctx, dragonflyhatch.FrameFailure, position, StepResult{FailedUpstream: result.FailedUpstream, Detail: err.Error()}, "")
		return false
	}
	if stream.waitUntilDue(ctx) != nil {
		return false
	}
	return stream.sendFrame(ctx, dragonflyhatch.FrameToken, position, result, "") == nil
}

// waitUntilDue waits until the next token is due, so that the stand-in's own
// processing does not slow the engine down. A late token delays the following ones.
func (stream *stream) waitUntilDue(ctx context.Context) error {
	now := time.Now()
	stream.nextTokenDue = stream.nextTokenDue.Add(stream.engine.tokenInterval())
	if stream.nextTokenDue.Before(now) {
		stream.nextTokenDue = now
	}
	return sleep(ctx, stream.nextTokenDue.Sub(now))
}

// tokenInterval returns the time that the engine takes for each token of a stream.
func (engine *Engine) tokenInterval() time.Duration {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	tokenInterval := time.Duration(engine.spec.TokenInterval)
	return tokenInterval + tokenInterval*time.Duration(engine.faults.SlowdownPercent)/100
}

// sendFrame sends one frame. If the stream has been silenced, it waits instead until
// the client disconnects.
func (stream *stream) sendFrame(ctx context.Context, kind dragonflyhatch.FrameKind, position int, result StepResult, finish string) error {
	select {
	case <-stream.silence:
		<-ctx.Done()
		return ctx.Err()
	default:
	}
	if !stream.engine.waitWhileFrozen(ctx) {
		abortConnection(stream.writer)
	}
	frame := dragonflyhatch.Frame{
		Request: stream.generation.Request, Attempt: stream.generation.Attempt,
		Kind: kind, Position: position, Text: result.Text, Finish: finish,
		Stage: result.FailedUpstream, Detail: result.Detail,
	}
	if kind != dragonflyhatch.FrameToken || position%tokensPerLoadReport == 0 {
		loadReport := stream.engine.loadReport()
		frame.Load = &loadReport
	}
	return writeFrame(stream.writer, frame)
}

// tokensPerLoadReport is the number of tokens between two load reports in token
// frames. All other frames carry a load report.
const tokensPerLoadReport = 8

// step handles one token as a stage other than the head.
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

// runStep runs this stage's layers for one token. The last stage returns the token;
// any other calls the next stage.
func (engine *Engine) runStep(ctx context.Context, activation Activation) (StepResult, error) {
	stages := activation.Generation.Pipeline.Stages
	if activation.Index >= len(stages) {
		return StepResult{}, errors.New("no such stage")
	}
	stage := stages[activation.Index]
	if !engine.waitWhileFrozen(ctx) {
		return StepResult{FailedUpstream: stage.Upstream}, errors.New("the engine of the stage is dead, or the call was cancelled")
	}
	pause, err := engine.runLayers(&activation, stage)
	if err != nil {
		return StepResult{FailedUpstream: stage.Upstream}, err
	}
	if err := sleep(ctx, pause); err != nil {
		return StepResult{FailedUpstream: stage.Upstream}, err
	}
	if activation.Index == len(stages)-1 {
		return StepResult{Text: tokenText(activation.Value)}, nil
	}
	activation.Index++
	return engine.callNextStage(ctx, activation, stages[activation.Index])
}

// runLayers runs the stage's layers and returns how long that should take. It fails
// if this engine does not hold the layers, or the attempt is superseded or cancelled.
func (engine *Engine) runLayers(activation *Activation, stage dragonflyhatch.Stage) (time.Duration, error) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	generation, spec := activation.Generation, engine.spec
	if stage.Layers != spec.Layers || generation.Pipeline.Model != spec.Model || generation.Pipeline.Version != spec.Version {
		return 0, errors.New("the engine holds other layers or another model version")
	}
	state := engine.requestStateLocked(generation.Request)
	if generation.Attempt < state.attempt || generation.Attempt <= state.cancelled {
		return 0, errStaleAttempt
	}
	state.attempt = generation.Attempt
	pause := time.Duration(spec.TokenInterval) * stageTimePercent / 100 / time.Duration(len(generation.Pipeline.Stages))
	pause += pause * time.Duration(engine.faults.SlowdownPercent) / 100
	if state.positions != activation.Position {
		if !activation.Prefill {
			return 0, errors.New("the KV cache does not end at this position")
		}
		missing := engine.cache.addMissing(generation.Prompt, time.Now(), engine.faults.DropCache)
		pause += time.Duration(missing) * time.Duration(spec.PrefillTime)
	}
	state.positions = activation.Position + 1
	for layer := spec.Layers.First; layer < spec.Layers.End; layer++ {
		activation.Value = runLayer(activation.Value, layer)
		if len(engine.steps) < maxSteps {
			engine.steps = append(engine.steps, Step{generation.Request, generation.Attempt, activation.Position, layer})
		}
	}
	return pause, nil
}

// callNextStage sends the activation to the next stage and returns its result.
func (engine *Engine) callNextStage(ctx context.Context, activation Activation, next dragonflyhatch.Stage) (StepResult, error) {
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
		return StepResult{FailedUpstream: next.Upstream}, errors.Wrap(err, "call next stage")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return StepResult{FailedUpstream: next.Upstream}, errors.Newf("next stage failed: %s", strings.TrimSpace(string(text)))
	}
	var result StepResult
	if err := json.NewDecoder(response.Body).Decode(&result); err != nil {
		return StepResult{FailedUpstream: next.Upstream}, errors.Wrap(err, "decode response of next stage")
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
