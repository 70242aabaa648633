// Package hatchforward forwards callers' requests to replicas and returns the
// responses. Each attempt uses a separate connection, for two reasons: surplus data
// from a replica cannot be mistaken for the response to another request, and it is
// known whether any byte of the request was sent. If an attempt fails before the
// first byte, the request was not run; if it fails later, the request may have run,
// unless the replica states that it has not run it.
//
// A plain response is read completely before the first byte is sent to the
// caller. A stream is forwarded event by event. When a replica of its pipeline is
// lost, the stream resumes at another pipeline after the last forwarded event,
// within the same response.
package hatchforward
