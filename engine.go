package dragonflyhatch

import (
	"context"
	"time"
)

// LayerRange is the half-open range of a model's layers that a stage runs.
type LayerRange struct {
	First int `json:"first"`
	End   int `json:"end"`
}

// Stage is one step of a pipeline: an engine and the layers that it runs.
type Stage struct {
	Upstream string     `json:"upstream"`
	Address  string     `json:"address"`
	Layers   LayerRange `json:"layers"`
}

// Pipeline is an ordered list of stages that covers each layer of one version of
// a model exactly once.
type Pipeline struct {
	Model   string  `json:"model"`
	Version string  `json:"version"`
	Stages  []Stage `json:"stages"`
}

// Generation is a request to the head of a pipeline to generate tokens.
type Generation struct {
	Request   string        `json:"request"`
	Attempt   int           `json:"attempt"`
	Pipeline  Pipeline      `json:"pipeline"`
	Prompt    string        `json:"prompt"`
	Seed      uint64        `json:"seed"`
	From      int           `json:"from"`      // first requested token position
	MaxTokens int           `json:"maxTokens"` // exclusive end of the token positions
	Priority  int           `json:"priority"`  // higher values are served first
	Remaining time.Duration `json:"remaining"` // nanoseconds until the deadline
}

// FrameKind is the kind of a frame.
type FrameKind int

// The values of FrameKind.
const (
	FrameToken     FrameKind = iota // token
	FrameHeartbeat                  // heartbeat
	FrameFinish                     // finish
	FrameFailure                    // failure
)

// Frame is one message of an engine's stream. Position is the index of the token
// in the answer; on FrameFinish it is the number of tokens of the complete answer.
type Frame struct {
	Request  string    `json:"request"`
	Attempt  int       `json:"attempt"`
	Kind     FrameKind `json:"kind"`
	Position int       `json:"position"`
	Text     string    `json:"text,omitempty"`
	Finish   string    `json:"finish,omitempty"`
	Stage    string    `json:"stage,omitempty"`  // upstream that failed, on FrameFailure
	Detail   string    `json:"detail,omitempty"` // reason, on FrameFailure

	Load *LoadReport `json:"load,omitempty"` // load of the head; present in some frames
}

// LoadReport is the load that an engine reports; it was measured Age ago.
type LoadReport struct {
	Streams       int           `json:"streams"`
	QueuedTokens  int           `json:"queuedTokens"`
	TokenInterval time.Duration `json:"tokenInterval"` // nanoseconds per token of one stream
	Age           time.Duration `json:"age"`           // nanoseconds since the measurement
	Leaving       bool          `json:"leaving"`
}

// ModelLayers describes the layers of a model that an engine holds or is to hold.
type ModelLayers struct {
	Model   string     `json:"model"`
	Version string     `json:"version"`
	Layers  LayerRange `json:"layers"`
}

// EngineCommand is a layer command to an engine. Fencing is the fencing number of
// the lease under which the command is sent. An engine that checks fencing
// numbers refuses a command with a lower number than it has seen.
type EngineCommand struct {
	ModelLayers
	Fencing uint64 `json:"fencing"`
}

// Engine is a client of the engines' protocol.
type Engine interface {
	// Generate opens a stream at the pipeline's head and calls emit for each
	// frame until the stream ends, emit fails or ctx is done. It returns a
	// Failure with RanNo only if the head certainly did not run the request.
	Generate(ctx context.Context, generation Generation, emit func(Frame) error) error
	// Cancel releases the resources that the stages hold for this attempt and
	// earlier ones.
	Cancel(ctx context.Context, generation Generation) error
	// Load returns the engine's latest load report.
	Load(ctx context.Context, address string) (LoadReport, error)
	// ModelLayers returns the model and layers that the engine holds.
	ModelLayers(ctx context.Context, address string) (ModelLayers, error)
	// SendLayerCommand sends the engine a layer command. A Failure of
	// KindConflict means that the engine has seen a higher fencing number.
	// After any other error the command may still arrive.
	SendLayerCommand(ctx context.Context, address string, command EngineCommand) error
}

// MarshalText returns the name of the kind and never fails.
func (kind FrameKind) MarshalText() ([]byte, error) {
	return []byte(kind.String()), nil
}

// UnmarshalText parses the name of a kind and fails on any other text.
func (kind *FrameKind) UnmarshalText(text []byte) error {
	for known := FrameToken; known <= FrameFailure; known++ {
		if known.String() == string(text) {
			*kind = known
			return nil
		}
	}
	return Failf(KindBadRequest, "unknown frame kind %q", text)
}
