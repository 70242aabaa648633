// Package hatchgateway implements the daemon that runs on the platform. It
// follows the routes and the registered replicas in the platform's store, learns
// of its peers by gossip, serves the directory of addresses to which callers
// connect, forwards requests, and, while it is the leader, places the layers of
// models on engines.
//
// All daemons are equal and store nothing on their hosts. The only thing they
// must agree on is which of them places layers; a conditional write to the store
// decides it. Each daemon decides everything else from its local state. While the
// store is unreachable, daemons get updates from each other.
package hatchgateway
