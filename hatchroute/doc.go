// Package hatchroute chooses the route of a request and the replicas that run it. A
// Snapshot is built when the configuration or the set of drained upstreams changes,
// and a request reads it without taking locks. State that changes with every request
// is kept for each address in atomic fields that outlive snapshots.
//
// A pipeline covers the layers of one version of a model exactly once. For each of
// its stages, two or more candidates are compared by the time that the request would
// take there. This time is estimated from the replica's load report, corrected by
// the requests that this daemon has sent since, and from the token intervals
// measured on its streams.
package hatchroute
