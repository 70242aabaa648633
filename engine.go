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

// Stage is one step of a pipeline: an engine and the layers it runs.
type Stage struct {
	Upstream string     `json:"upstream"`
	Address  string     `json:"address"`
	Layers   LayerRange `json:"layers"`
}

// Pipeline is an ordered list of stages that covers all layers of one version
// of a model exactly once.
type Pipeline struct {
	Model   string  `json:"model"`
	Version string  `json:"version"`
	Stages  []Stage `json:"stages"`
}

// Generation asks the head of a pipeline for tokens.
type Generation struct {
	Request   string        `json:"request"`
	Attempt   int           `json:"attempt"`
	Pipeline  Pipeline      `json:"pipeline"`
	Prompt    string        `json:"prompt"`
	Seed      uint64        `json:"seed"`
	From      int           `json:"from"`      // first token position wanted
	MaxTokens int           `json:"maxTokens"` // positions end before this one
	Priority  int           `json:"priority"`  // a higher one is served first
	Remaining time.Duration `json:"remaining"` // nanoseconds until the deadline
}

// FrameKind tells the frames of a stream apart.
type FrameKind int

// The values of FrameKind.
const (
	FrameToken     FrameKind = iota // token
	FrameHeartbeat                  // heartbeat
	FrameFinish                     // finish
	FrameFailure                    // failure
)

// Frame is one message of an engine's stream. Position is the token's place in
// the answer; on FrameFinish it is the number of tokens of the whole answer.
type Frame struct {
	Request  string    `json:"request"`
	Attempt  int       `json:"attempt"`
	Kind     FrameKind `json:"kind"`
	Position int       `json:"position"`
	Text     string    `json:"text,omitempty"`
	Finish   string    `json:"finish,omitempty"`
	Stage    string    `json:"stage,omitempty"`  // upstream that failed, on FrameFailure
	Detail   string    `json:"detail,omitempty"` // reason, on FrameFailure

	Load *LoadReport `json:"load,omitempty"` // the head's, on some frames
}

// LoadReport is what an engine says of itself; it describes an earlier moment.
type LoadReport struct {
	Streams       int           `json:"streams"`
	QueuedTokens  int           `json:"queuedTokens"`
	TokenInterval time.Duration `json:"tokenInterval"` // nanoseconds a token of one stream
	Age           time.Duration `json:"age"`           // nanoseconds since it was true
	Leaving       bool          `json:"leaving"`
}

// Held is what an engine holds, or is wanted to hold.
type Held struct {
	Model   string     `json:"model"`
	Version string     `json:"version"`
	Layers  LayerRange `json:"layers"`
}

// EngineOrder tells an engine what to hold. Fencing is the number of the lease
// by which the order is given; an engine that checks refuses lower ones.
type EngineOrder struct {
	Held
	Fencing uint64 `json:"fencing"`
}

// Engine runs pipelines through the engines' protocol.
type Engine interface {
	// Generate opens a stream at the pipeline's head and calls emit for each
	// frame until the stream ends, emit fails or ctx is done. A Failure with
	// RanNo is returned only if the head surely did not take the request.
	Generate(ctx context.Context, generation Generation, emit func(Frame) error) error
	// Cancel frees what the stages hold for the attempt and older ones.
	Cancel(ctx context.Context, generation Generation) error
	// Load returns the engine's last report.
	Load(ctx context.Context, address string) (LoadReport, error)
	// Held returns what the engine holds.
	Held(ctx context.Context, address string) (Held, error)
	// Order tells the engine what to hold. A Failure of KindConflict means
	// that it has seen a higher number; after any other error the order may
	// still arrive.
	Order(ctx context.Context, address string, order EngineOrder) error
}

// MarshalText writes the name of the kind and never fails.
func (kind FrameKind) MarshalText() ([]byte, error) {
	return []byte(kind.String()), nil
}

// UnmarshalText reads the name of a kind, or fails on another word.
func (kind *FrameKind) UnmarshalText(text []byte) error {
	for known := FrameToken; known <= FrameFailure; known++ {
		if known.String() == string(text) {
			*kind = known
			return nil
		}
	}
	return Fail(KindBadRequest, "unknown frame kind %q", text)
}
