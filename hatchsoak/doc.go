// Package hatchsoak runs gateways as separate processes on loopback, injects
// faults from outside, and checks the router's guarantees against what callers and
// replicas observe.
//
// A seed determines the faults of a run, some in sequence and some overlapping:
// processes are stopped, paused, killed or restarted with a shifted clock;
// loopback proxies delay, reset or silence connections, or cut one direction of
// them; the store is unavailable, silent or slow, or loses replies and history;
// replicas crash, leave, fail or lose responses; and the configuration changes.
// The same seed gives the same faults, but the processes may react differently.
package hatchsoak
