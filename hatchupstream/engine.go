package hatchupstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"dragonflyhatch"
	"dragonflyhatch/hatchhead"
)

// maxFrame is the maximum size of one stream frame in bytes.
const maxFrame = 64 << 10

// callTimeout is the timeout of calls to an engine that do not stream.
const callTimeout = time.Second

// Engine is a client of the engines' protocol: HTTP with one JSON frame per line.
type Engine struct {
	streamIdleTimeout time.Duration
	http              *http.Client
}

var _ dragonflyhatch.Engine = (*Engine)(nil)

// EngineOption configures an engine client.
type EngineOption func(*Engine)

// WithStreamIdleTimeout sets the time without a frame after which a stream counts
// as lost.
func WithStreamIdleTimeout(timeout time.Duration) EngineOption {
	return func(engine *Engine) { engine.streamIdleTimeout = timeout }
}

// NewEngine returns an engine client; streams time out after one second without
// a frame unless WithStreamIdleTimeout sets another time.
func NewEngine(options ...EngineOption) *Engine {
	engine := &Engine{streamIdleTimeout: time.Second, http: &http.Client{Transport: newTransport()}}
	for _, option := range options {
		option(engine)
	}
	return engine
}

// StreamIdleError is the cause of the failure of a stream on which no frame
// arrived in time. If it lists no stages, all stages responded to the probe, and
// only the connection counts as dead.
type StreamIdleError struct {
	UnresponsiveStages []string // addresses of stages that did not respond to the probe
}

// Error returns a message with the stages that did not respond.
func (err *StreamIdleError) Error() string {
	return fmt.Sprintf("no frame arrived in time; %d stages do not answer: %v", len(err.UnresponsiveStages), err.UnresponsiveStages)
}

// Generate opens a stream at the pipeline's head and calls emit for each frame.
func (engine *Engine) Generate(ctx context.Context, generation dragonflyhatch.Generation, emit func(dragonflyhatch.Frame) error) error {
	address := generation.Pipeline.Stages[0].Address
	body, err := json.Marshal(generation)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := engine.startWatchdog(ctx, generation.Pipeline.Stages, cancel)
	defer watchdog.stop()

	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/generate", bytes.NewReader(body))
	if err != nil {
		return err
	}
	var trace sentTrace
	response, err := engine.http.Do(trace.attach(request))
	if err != nil {
		return trace.failure(address, cancelCause(ctx, err))
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, err := hatchhead.ReadBody(response.Body, maxControlReply)
		if err != nil {
			return trace.failure(address, cancelCause(ctx, err))
		}
		return refusal(address, response, text)
	}
	frames := bufio.NewScanner(response.Body)
	frames.Buffer(nil, maxFrame)
	for frames.Scan() {
		frame, err := decodeFrame(frames.Bytes(), generation.Request)
		if err != nil {
			return trace.failure(address, err)
		}
		watchdog.reset()
		if err := emit(frame); err != nil {
			return err
		}
		if frame.Kind == dragonflyhatch.FrameFinish || frame.Kind == dragonflyhatch.FrameFailure {
			return nil
		}
	}
	return trace.failure(address, cancelCause(ctx, errors.CombineErrors(frames.Err(), io.ErrUnexpectedEOF)))
}

// decodeFrame decodes a line of a stream. It fails if the line is no frame of the request.
func decodeFrame(line []byte, request string) (dragonflyhatch.Frame, error) {
	var frame dragonflyhatch.Frame
	if !utf8.Valid(line) { // encoding/json would replace the bytes that are not
		return frame, errors.Newf("frame with bytes that are no UTF-8: %.64q", line)
	}
	if err := json.Unmarshal(line, &frame); err != nil {
		return frame, errors.Wrapf(err, "frame %.64q", line)
	}
	if frame.Request != request {
		return frame, errors.Newf("frame of another request: %.64q", line)
	}
	return frame, nil
}

// cancelCause returns the cause of the context's cancellation, or err if the
// context is not cancelled.
func cancelCause(ctx context.Context, err error) error {
	if reason := context.Cause(ctx); reason != nil {
		return reason
	}
	return err
}

// refusal returns the error for a response other than 200. Only a response with
// the header Not-Run proves that the request did not run.
func refusal(address string, response *http.Response, text []byte) error {
	text = text[:min(len(text), maxErrorText)]
	if response.Header.Get(headerNotRun) == "" {
		return dragonflyhatch.Failf(dragonflyhatch.KindUpstreamLost, "%s: status %d: %s", address, response.StatusCode, text)
	}
	failure := &dragonflyhatch.Failure{Kind: dragonflyhatch.KindUpstreamRefused, Detail: address + ": " + string(text)}
	if response.Header.Get(headerLeaving) != "" {
		failure.Cause = &LeavingError{Address: address}
	}
	return failure
}

// cancelRequest is the body of a call to /v1/cancel.
type cancelRequest struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
}

// Cancel releases the resources that the stages hold for the attempt and earlier
// ones. It calls every stage and returns the first error.
func (engine *Engine) Cancel(ctx context.Context, generation dragonflyhatch.Generation) error {
	body, err := json.Marshal(cancelRequest{generation.Request, generation.Attempt})
	if err != nil {
		return err
	}
	for _, stage := range generation.Pipeline.Stages {
		if callErr := engine.call(ctx, http.MethodPost, stage.Address, "/v1/cancel", body, nil); err == nil {
			err = callErr
		}
	}
	return err
}

// Load returns the engine's latest load report.
func (engine *Engine) Load(ctx context.Context, address string) (dragonflyhatch.LoadReport, error) {
	var report dragonflyhatch.LoadReport
	err := engine.call(ctx, http.MethodGet, address, "/v1/load", nil, &report)
	return report, err
}

// ModelLayers returns the model and layers that the engine holds.
func (engine *Engine) ModelLayers(ctx context.Context, address string) (dragonflyhatch.ModelLayers, error) {
	var layers dragonflyhatch.ModelLayers
	err := engine.call(ctx, http.MethodGet, address, "/v1/state", nil, &layers)
	return layers, err
}

// SendLayerCommand sends the engine a layer command.
func (engine *Engine) SendLayerCommand(ctx context.Context, address string, command dragonflyhatch.EngineCommand) error {
	body, err := json.Marshal(command)
	if err != nil {
		return err
	}
	return engine.call(ctx, http.MethodPost, address, "/v1/orders", body, nil)
}

// call makes one non-streaming call and decodes the response into reply, unless
// reply is nil.
func (engine *Engine) call(ctx context.Context, method, address, path string, body []byte, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := engine.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := hatchhead.ReadBody(response.Body, maxControlReply)
	switch {
	case err != nil:
		return errors.Wrap(err, address)
	case response.StatusCode == http.StatusConflict:
		return dragonflyhatch.Failf(dragonflyhatch.KindConflict, "%s has seen a higher fencing number", address)
	case response.StatusCode != http.StatusOK:
		return refusal(address, response, text)
	}
	if reply == nil {
		return nil
	}
	return json.NewDecoder(bytes.NewReader(text)).Decode(reply)
}
