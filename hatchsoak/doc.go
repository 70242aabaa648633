// Package hatchsoak runs gateways as separate processes on loopback, injects
// faults from outside of them, and checks the router's promises by what callers
// and replicas see.
//
// A seed draws the faults of a run, in series and overlapping: processes that are
// stopped, paused, killed and started with another time of day; connections that
// loopback proxies delay, reset, cut one way or silence; a store that is out,
// silent, slow, or loses replies and history; replicas that crash, leave, fail or
// lose answers; and changes of the configuration. The same seed draws the same
// faults; what the processes make of them may differ.
package hatchsoak
