package hatchentry

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"dragonflyhatch"
	"dragonflyhatch/hatchconfig"
)

// Problem is the body of every refusal, according to RFC 9457.
type Problem struct {
	Type    string             `json:"type"`
	Title   string             `json:"title"`
	Status  int                `json:"status"`
	Detail  string             `json:"detail"`
	Kind    string             `json:"kind"`
	Ran     dragonflyhatch.Ran `json:"ran"`
	Request string             `json:"request,omitempty"`
	Faults  hatchconfig.Faults `json:"faults,omitempty"`
}

const (
	problemType     = "application/problem+json"
	retryAfter      = "1" // seconds
	requestIDHeader = "Request-Id"
	deadlineHeader  = "Request-Deadline"
)

// newProblem describes the failure according to the ErrorResponse of its kind.
func newProblem(request string, err error) Problem {
	failure := dragonflyhatch.FailureOf(err)
	response := failure.Kind.ErrorResponse()
	problem := Problem{
		Type:    "about:blank",
		Title:   response.Title,
		Status:  response.Status,
		Detail:  failure.Detail,
		Kind:    failure.Kind.String(),
		Ran:     response.Ran,
		Request: request,
	}
	var faults hatchconfig.Faults
	if errors.As(err, &faults) {
		problem.Faults = faults
	}
	return problem
}

// refuse writes the failure of a request as the response.
func refuse(writer http.ResponseWriter, err error) {
	problem := newProblem(writer.Header().Get(requestIDHeader), err)
	header := writer.Header()
	header.Set("Content-Type", problemType)
	header.Set("Cache-Control", "no-store")
	if dragonflyhatch.KindOf(err).ErrorResponse().Retry {
		header.Set("Retry-After", retryAfter)
	}
	writer.WriteHeader(problem.Status)
	// A failed write means that the caller has disconnected.
	_ = json.NewEncoder(writer).Encode(problem)
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	// A failed write means that the caller has disconnected.
	_ = json.NewEncoder(writer).Encode(value)
}
