// Package hatchclaim makes a non-idempotent request run at most once.
//
// A request is identified by its organisation and its idempotency key. These
// identifiers are hashed onto a fixed number of shards, each stored in one
// object of the platform. A daemon that wants to run a request first adds a
// claim to the shard's object by a conditional write; only a claim whose write
// is known to have succeeded is dispatched, and only by the process that made
// it. Each shard also has a horizon, a point in time: the claims of keys older
// than the horizon are deleted.
//
// Safety rests on three invariants:
//
//   - A claim is dispatched only by the process named in it, and at most once
//     unless the upstream reported that it did not run the request.
//   - A claim is removed from the shard only when its process knows that the
//     request did not run, or when the shard's horizon passes its key.
//   - The horizon never moves back, and a key below it never gets a claim.
//
// Ownership of a shard affects only performance: any number of daemons may
// consider themselves the owner at the same time. Safety needs no clock and no
// lease.
//
// Shard is a state machine: it takes events with the time and returns actions,
// and has no goroutine, clock or connection of its own.
package hatchclaim
