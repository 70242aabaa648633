package hatchentry

import (
	"context"
	"time"

	"dragonflyhatch"
	"dragonflyhatch/hatchanswer"
)

// Fleet is the daemon as its callers' listener sees it.
type Fleet interface {
	// Entries returns the addresses that the caller may use, best first.
	Entries(caller string) Entries
	// Authenticate returns the organisation of a bearer token.
	Authenticate(token string) (Organisation, error)
	// Model returns the longest answer of the model in tokens.
	Model(name string) (int, error)
	// Sealer returns what seals places in streams.
	Sealer() (Sealer, error)
	// Complete produces an answer and hands its pieces to deliver in order.
	Complete(ctx context.Context, completion Completion, deliver func(Piece) error) error
	// Call routes a request to a plain service.
	Call(ctx context.Context, request string, call dragonflyhatch.ServiceRequest) (dragonflyhatch.ServiceReply, error)
	// Begin and End keep the record of a request.
	Begin(request, organisation, target string, deadline time.Time)
	End(request string, err error)
	// Leaving says whether the daemon is stopping.
	Leaving() bool
}

// Sealer seals places in streams and opens them.
type Sealer interface {
	Seal(place hatchanswer.Place) (string, error)
	Open(text string) (hatchanswer.Place, error)
}

// Entries is the answer to a caller that asks which addresses to use.
type Entries struct {
	Addresses   []string `json:"addresses"`
	KeepSeconds float64  `json:"keepSeconds"` // how long the answer may be kept
}

// Organisation is who a caller speaks for.
type Organisation struct {
	Name    string
	Promise time.Duration // deadline that the organisation is promised
	Share   int           // of the fleet when it is full
}

// Completion asks for an answer of a model.
type Completion struct {
	Request      string
	Organisation string
	Share        int // of the organisation when the fleet is full
	Model        string
	Prompt       string
	MaxTokens    int
	Priority     int
	Deadline     time.Time
	Place        hatchanswer.Place // where the answer begins or goes on
}

// Piece is the next part of an answer. Place is where the answer goes on after
// it; Finish is set on the last piece only.
type Piece struct {
	Text   string
	Finish string
	Place  hatchanswer.Place
}
