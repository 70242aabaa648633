// Package hatchserve implements the daemon of an entry host. It passes events
// from the platform, the peers, the upstreams and the callers to the packages
// that make the decisions, performs the actions that they return, and starts and
// stops all of it.
package hatchserve
