// Package hatchroute decides which replicas run a request. A Snapshot is built
// when the configuration or the set of leaving upstreams changes, and is read
// without locks on the path of a request; what changes with every request is
// kept in the atomics of a Track, which outlives snapshots.
//
// A pipeline covers the layers of one version of a model exactly once. For each
// of its stages two or more candidates are weighed by the time that the request
// would take there: from the replica's load report, corrected by the work that
// this daemon has sent since, and from the times that its streams have shown.
package hatchroute
