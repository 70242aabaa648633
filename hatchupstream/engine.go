package hatchupstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyhatch"
)

// maxFrame bounds one frame of a stream, in bytes.
const maxFrame = 64 << 10

// callTimeout bounds the calls to an engine that do not stream.
const callTimeout = time.Second

// Engine speaks the engines' protocol: HTTP with one JSON frame a line.
type Engine struct {
	silence time.Duration

	mu    sync.Mutex
	pools map[string]*http.Client // by address, so that a suspect pool is dropped alone
}

var _ dragonflyhatch.Engine = (*Engine)(nil)

// EngineOption changes an engine client.
type EngineOption func(*Engine)

// WithSilence sets how long a stream may go without a frame before it counts
// as lost.
func WithSilence(silence time.Duration) EngineOption {
	return func(engine *Engine) { engine.silence = silence }
}

// NewEngine returns a client of engines.
func NewEngine(options ...EngineOption) *Engine {
	engine := &Engine{silence: time.Second, pools: make(map[string]*http.Client)}
	for _, option := range options {
		option(engine)
	}
	return engine
}

func (engine *Engine) pool(address string) *http.Client {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	pool, ok := engine.pools[address]
	if !ok {
		pool = &http.Client{Transport: newTransport()}
		engine.pools[address] = pool
	}
	return pool
}

// dropPool makes the next call to the address use a new connection. Streams
// that are open go on.
func (engine *Engine) dropPool(address string, suspect *http.Client) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.pools[address] == suspect {
		delete(engine.pools, address)
	}
	suspect.CloseIdleConnections()
}

// SilentError is the cause of the failure of a stream that sent nothing for too
// long: stages do not answer, or, if there are none, only the connection is dead.
type SilentError struct {
	Unanswering []string // addresses of stages
}

// Error names the stages that do not answer.
func (err *SilentError) Error() string {
	return fmt.Sprintf("the stream went silent; %d stages do not answer: %v", len(err.Unanswering), err.Unanswering)
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
	watchdog := engine.watch(ctx, generation.Pipeline.Stages, cancel)
	defer watchdog.stop()

	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/generate", bytes.NewReader(body))
	if err != nil {
		return err
	}
	var trace sentTrace
	pool := engine.pool(address)
	response, err := pool.Do(trace.attach(request))
	if err != nil {
		engine.dropPool(address, pool)
		return trace.lost(address, cause(ctx, err))
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return refusal(address, response)
	}
	frames := bufio.NewScanner(response.Body)
	frames.Buffer(nil, maxFrame)
	for frames.Scan() {
		watchdog.heard()
		var frame dragonflyhatch.Frame
		if err := json.Unmarshal(frames.Bytes(), &frame); err != nil {
			return trace.lost(address, err)
		}
		if err := emit(frame); err != nil {
			return err
		}
		if frame.Kind == dragonflyhatch.FrameFinish || frame.Kind == dragonflyhatch.FrameFailure {
			return nil
		}
	}
	engine.dropPool(address, pool)
	return trace.lost(address, cause(ctx, errors.CombineErrors(frames.Err(), io.ErrUnexpectedEOF)))
}

// cause prefers the reason that a context was cancelled for.
func cause(ctx context.Context, err error) error {
	if reason := context.Cause(ctx); reason != nil {
		return reason
	}
	return err
}

// refusal reads an answer that is not a stream.
func refusal(address string, response *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorText))
	if response.Header.Get(headerNotRun) == "" {
		return dragonflyhatch.Fail(dragonflyhatch.KindUpstreamLost, "%s: status %d: %s", address, response.StatusCode, text)
	}
	failure := &dragonflyhatch.Failure{Kind: dragonflyhatch.KindUpstreamRefused, Detail: address + ": " + string(text)}
	if response.Header.Get(headerLeaving) != "" {
		failure.Cause = &LeavingError{Address: address}
	}
	return failure
}

// cancelOrder is the body of a cancel call.
type cancelOrder struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
}

// Cancel frees what the stages hold for the attempt and older ones. It asks
// every stage and returns the first error.
func (engine *Engine) Cancel(ctx context.Context, generation dragonflyhatch.Generation) error {
	body, err := json.Marshal(cancelOrder{generation.Request, generation.Attempt})
	if err != nil {
		return err
	}
	for _, stage := range generation.Pipeline.Stages {
		if callErr := engine.exchange(ctx, http.MethodPost, stage.Address, "/v1/cancel", body, nil); err == nil {
			err = callErr
		}
	}
	return err
}

// Load returns the engine's last report.
func (engine *Engine) Load(ctx context.Context, address string) (dragonflyhatch.LoadReport, error) {
	var report dragonflyhatch.LoadReport
	err := engine.exchange(ctx, http.MethodGet, address, "/v1/load", nil, &report)
	return report, err
}

// Held returns what the engine holds.
func (engine *Engine) Held(ctx context.Context, address string) (dragonflyhatch.Held, error) {
	var held dragonflyhatch.Held
	err := engine.exchange(ctx, http.MethodGet, address, "/v1/state", nil, &held)
	return held, err
}

// Order tells the engine what to hold.
func (engine *Engine) Order(ctx context.Context, address string, order dragonflyhatch.EngineOrder) error {
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	return engine.exchange(ctx, http.MethodPost, address, "/v1/orders", body, nil)
}

// exchange makes one short call and decodes the answer into reply, unless
// reply is nil.
func (engine *Engine) exchange(ctx context.Context, method, address, path string, body []byte, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := engine.pool(address).Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	switch {
	case response.StatusCode == http.StatusConflict:
		return dragonflyhatch.Fail(dragonflyhatch.KindConflict, "%s has seen a higher number", address)
	case response.StatusCode != http.StatusOK:
		return refusal(address, response)
	}
	if reply == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(reply)
}
