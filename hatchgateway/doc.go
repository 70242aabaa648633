// Package hatchgateway wires the daemon that runs on the platform: it follows
// the routes and the registered replicas, knows its fellow daemons by gossip,
// answers callers that ask where to connect, forwards their requests, and, while
// it is the leader, places the model's layers on the engines.
//
// All daemons are equal and keep nothing on their machines. What must be agreed
// is one conditional write: who places layers. Everything else each daemon
// decides on what it knows; while the platform's store is away, daemons learn
// from each other.
package hatchgateway
