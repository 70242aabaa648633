package hatchforward

import (
	"net/http"
	"strconv"
	"time"

	"dragonflyhatch"
)

// comeBack is when a refused caller should come back: the time in which a
// replica that is full serves some requests.
const comeBack = 250 * time.Millisecond

// refuse answers with a failure of the router's own.
func (call *call) refuse(err error) {
	failure := dragonflyhatch.FailureOf(err)
	answer := failure.Kind.Answer()
	header := call.writer.Header()
	if answer.Retry && answer.Ran == dragonflyhatch.RanNo {
		call.forwarder.dialect.Refuse(header, comeBack)
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	text := answer.Title + "\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	call.writer.WriteHeader(answer.Status)
	_, _ = call.writer.Write([]byte(text)) // a caller that has left needs no answer
	call.finish(answer.Status, failure.Error())
}

// reply is a replica's whole answer.
type reply struct {
	status int
	header http.Header
	facts  dragonflyhatch.ReplyFacts
	body   []byte
}

// pass answers with the replica's own answer.
func (call *call) pass(reply *reply) {
	header := call.writer.Header()
	copyHeader(header, call.forwarder.dialect.EndToEnd(reply.header))
	if mayHaveBody(call.request.Method, reply.status) {
		header.Set("Content-Length", strconv.Itoa(len(reply.body)))
	}
	call.writer.WriteHeader(reply.status)
	_, _ = call.writer.Write(reply.body) // a caller that has left needs no answer
	call.finish(reply.status, "answered")
}

// copyHeader makes the replica's headers those of the answer. A missing content
// type stays missing: the server would guess one.
func copyHeader(header, from http.Header) {
	for name, values := range from {
		header[name] = values
	}
	if _, ok := from["Content-Type"]; !ok {
		header["Content-Type"] = nil
	}
}

func mayHaveBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// finish records the outcome of the call.
func (call *call) finish(status int, outcome string) {
	took := time.Since(call.begun)
	name := ""
	if call.route != nil {
		name = call.route.Name
	}
	call.forwarder.meters.answered(call.route, status, took)
	line := call.logger.With("route", name, "organisation", call.organisation(), "status", status, "tookMS", took.Milliseconds(),
		"configuration", call.configuration, "replicas", call.replicas, "at", call.at)
	if status >= http.StatusBadRequest {
		if !call.deadline.IsZero() {
			line = line.With("allowedMS", call.deadline.Sub(call.begun).Milliseconds(), "allowedBy", call.allowedBy)
		}
		line.Warn("request failed", "outcome", outcome)
		return
	}
	line.Info("request served")
}
