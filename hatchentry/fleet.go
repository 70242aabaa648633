package hatchentry

import (
	"context"
	"time"

	"dragonflyhatch"
	"dragonflyhatch/hatchanswer"
)

// Fleet is the part of the daemon that the HTTP interface for callers uses.
type Fleet interface {
	// Entries returns the entry addresses that the caller may use, in the
	// order in which to try them.
	Entries(caller string) Entries
	// Authenticate returns the organisation that the bearer token belongs to.
	Authenticate(token string) (Organisation, error)
	// ModelMaxTokens returns the maximum length of the model's answers in tokens.
	ModelMaxTokens(name string) (int, error)
	// Sealer returns the Sealer for resume tokens.
	Sealer() (Sealer, error)
	// Complete produces an answer and passes its chunks to deliver in order.
	Complete(ctx context.Context, completion Completion, deliver func(Chunk) error) error
	// Call routes a request to a plain service.
	Call(ctx context.Context, request string, call dragonflyhatch.ServiceRequest) (dragonflyhatch.ServiceReply, error)
	// Begin starts the record of a request.
	Begin(request, organisation, target string, deadline time.Time)
	// End closes the record of a request. err is nil if it was served.
	End(request string, err error)
	// Leaving reports whether the daemon is stopping.
	Leaving() bool
}

// Sealer seals resume positions into resume tokens and opens them.
type Sealer interface {
	Seal(position hatchanswer.ResumePosition) (string, error)
	Open(text string) (hatchanswer.ResumePosition, error)
}

// Entries is the response to a caller that asks for entry addresses.
type Entries struct {
	Addresses   []string `json:"addresses"`
	KeepSeconds float64  `json:"keepSeconds"` // how long the caller may keep the response
}

// Organisation is the customer that a caller belongs to.
type Organisation struct {
	Name        string
	MaxDuration time.Duration // maximum time until the deadline of a request
	Share       int           // relative share of the fleet's capacity under overload
}

// Completion is a request for an answer from a model.
type Completion struct {
	Request        string // request ID
	Organisation   string
	Share          int // of the organisation, as in Organisation
	Model          string
	Prompt         string
	MaxTokens      int
	Priority       int
	Deadline       time.Time
	ResumePosition hatchanswer.ResumePosition // where the answer starts or resumes
}

// Chunk is the next part of an answer, with the resume position after it.
// Finish is set on the last chunk only.
type Chunk struct {
	Text           string
	Finish         string
	ResumePosition hatchanswer.ResumePosition
}
