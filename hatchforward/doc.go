// Package hatchforward takes callers' requests to the replicas and their answers
// back. Each attempt has a connection of its own, so that whatever else a
// replica sends belongs to no other request, and so that it is known whether a
// byte of the request has left: before the first one the truth is "not run", and
// after it, unless the replica says so itself, the truth is "may have run".
//
// A plain answer is read whole before the caller is sent its first byte. A
// stream is passed on event by event; when a replica of its pipeline is lost,
// the stream goes on at another pipeline after the last event that was passed
// on, inside the same answer.
package hatchforward
