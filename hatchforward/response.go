package hatchforward

import (
	"net/http"
	"strconv"
	"time"

	"dragonflyhatch"
)

// refusedRetryAfter is the delay after which a refused caller should retry. By then
// a replica that was at its capacity has served some requests.
const refusedRetryAfter = 250 * time.Millisecond

// refuse sends the error response that the router itself generates for err.
func (call *call) refuse(err error) {
	failure := dragonflyhatch.FailureOf(err)
	errorResponse := failure.Kind.ErrorResponse()
	header := call.writer.Header()
	if after, ok := retryAfter(failure); ok {
		call.forwarder.dialect.SetRetryAfter(header, after)
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	text := errorResponse.Title + "\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	call.announceStop()
	call.writer.WriteHeader(errorResponse.Status)
	_, _ = call.writer.Write([]byte(text)) // fails only if the caller has disconnected
	call.recordOutcome(errorResponse.Status, failure.Error())
}

// retryAfter returns the delay that the response to the failure names, or false if it names
// none.
func retryAfter(failure *dragonflyhatch.Failure) (after time.Duration, ok bool) {
	errorResponse := failure.Kind.ErrorResponse()
	if !errorResponse.Retry || errorResponse.Ran != dragonflyhatch.RanNo {
		return 0, false
	}
	if failure.Kind == dragonflyhatch.KindLeaving {
		return 0, true // other daemons can take the request at once
	}
	return max(refusedRetryAfter, failure.RetryAfter), true
}

// replicaResponse is a replica's complete response.
type replicaResponse struct {
	status int
	header http.Header
	info   dragonflyhatch.ResponseInfo
	body   []byte
}

// writeResponse sends the replica's response to the caller.
func (call *call) writeResponse(replicaResponse *replicaResponse) {
	header := call.writer.Header()
	copyHeader(header, call.forwarder.dialect.EndToEndHeaders(replicaResponse.header))
	if mayHaveBody(call.request.Method, replicaResponse.status) {
		header.Set("Content-Length", strconv.Itoa(len(replicaResponse.body)))
	}
	call.announceStop()
	call.writer.WriteHeader(replicaResponse.status)
	_, _ = call.writer.Write(replicaResponse.body) // fails only if the caller has disconnected
	call.recordOutcome(replicaResponse.status, "answered")
}

// copyHeader copies the replica's headers into the response. A missing content
// type is set to nil, because net/http would guess one otherwise.
func copyHeader(header, from http.Header) {
	for name, values := range from {
		header[name] = values
	}
	if _, ok := from["Content-Type"]; !ok {
		header["Content-Type"] = nil
	}
}

// mayHaveBody reports whether a response to the method with the status may have a body.
func mayHaveBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// recordOutcome counts and logs the outcome of the call.
func (call *call) recordOutcome(status int, outcome string) {
	latency := time.Since(call.started)
	name := ""
	if call.route != nil {
		name = call.route.Name
	}
	call.forwarder.metricSet.recordResponse(call.route, status, latency)
	outcomeLogger := call.logger.With("route", name, "organisation", call.organisationName(), "status", status, "tookMS", latency.Milliseconds(),
		"configuration", call.configurationVersion, "replicas", call.replicasVersion, "at", call.chosenAddress)
	if status >= http.StatusBadRequest {
		if !call.deadline.IsZero() {
			outcomeLogger = outcomeLogger.With("allowedMS", call.deadline.Sub(call.started).Milliseconds(), "allowedBy", call.deadlineSource)
		}
		if call.route != nil {
			outcomeLogger = outcomeLogger.With("class", call.route.Class.String(), "repeatable", call.route.Repeatable())
		}
		if call.attempts != nil {
			outcomeLogger = outcomeLogger.With("failedAttempts", call.attempts.Count())
		}
		outcomeLogger.Warn("request failed", "outcome", outcome)
		return
	}
	outcomeLogger.Info("request served")
}
