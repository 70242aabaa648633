// Package hatchclaim decides how a non-idempotent request runs at most once.
//
// A request is named by its organisation and its idempotency key. The names
// are spread over a fixed number of shards, each held in one object of the
// platform. A daemon that wants to run a request first adds a claim to the
// shard's object by a conditional write; only a claim whose write is known to
// have succeeded is dispatched, and only by the process that made it. Safety
// rests on three invariants:
//
//   - A claim is dispatched by no process but the one named in it, and at
//     most once unless the upstream said that it did not run the request.
//   - A claim leaves the shard only when its process knows that the request
//     did not run, or when the shard's horizon passes its key.
//   - The horizon never moves down, and a key below it never gets a claim.
//
// Which daemon owns a shard is a matter of speed only: any number of daemons
// may believe it at once. No clock and no lease is needed for safety.
//
// Shard is a state machine: it takes events with the time and returns actions,
// and has no goroutine, clock or connection of its own.
package hatchclaim
