// Package hatchforward forwards callers' requests to replicas and returns the
// responses. Each attempt uses a connection of its own, for two reasons: whatever
// else a replica sends cannot be mistaken for the response to another request,
// and it is known whether any byte of the request was sent. Before the first byte
// the outcome is "not run"; after it the outcome is "may have run", unless the
// replica says that it has not run the request.
//
// A plain response is read completely before the first byte is sent to the
// caller. A stream is forwarded event by event. When a replica of its pipeline is
// lost, the stream resumes at another pipeline after the last forwarded event,
// within the same response.
package hatchforward
