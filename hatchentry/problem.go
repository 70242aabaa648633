package hatchentry

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"dragonflyhatch"
	"dragonflyhatch/hatchconfig"
)

// Problem is the body of every refusal, after RFC 9457.
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
	problemType    = "application/problem+json"
	retryAfter     = "1" // seconds
	requestHeader  = "Request-Id"
	deadlineHeader = "Request-Deadline"
)

// newProblem describes the failure by the table of kinds.
func newProblem(request string, err error) Problem {
	failure := dragonflyhatch.FailureOf(err)
	answer := failure.Kind.Answer()
	problem := Problem{
		Type:    "about:blank",
		Title:   answer.Title,
		Status:  answer.Status,
		Detail:  failure.Detail,
		Kind:    failure.Kind.String(),
		Ran:     answer.Ran,
		Request: request,
	}
	var faults hatchconfig.Faults
	if errors.As(err, &faults) {
		problem.Faults = faults
	}
	return problem
}

// refuse answers a request with its failure.
func refuse(writer http.ResponseWriter, err error) {
	problem := newProblem(writer.Header().Get(requestHeader), err)
	header := writer.Header()
	header.Set("Content-Type", problemType)
	header.Set("Cache-Control", "no-store")
	if dragonflyhatch.KindOf(err).Answer().Retry {
		header.Set("Retry-After", retryAfter)
	}
	writer.WriteHeader(problem.Status)
	// A write that fails means that the caller has gone.
	_ = json.NewEncoder(writer).Encode(problem)
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	// A write that fails means that the caller has gone.
	_ = json.NewEncoder(writer).Encode(value)
}
