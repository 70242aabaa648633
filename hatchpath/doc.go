// Package hatchpath chooses the replica of a plain service, or the pipeline of
// engines, that runs a request. It chooses among the registered replicas, which a
// request reads from a View without taking locks.
//
// Engines hold ranges of layers that may overlap, and a pipeline may use only a part
// of the range that an engine holds. A pipeline is therefore a minimum-cost cover of the
// model's layers: it runs each layer once and in order, uses no engine twice, and
// uses only engines with the same version of the model. It stays inside one site if
// possible, because otherwise the activations of each token must be sent from site to
// site.
//
// What this daemon has observed of a replica (requests in flight, load, failures,
// latency) is kept in the replica's Health, which outlives views.
package hatchpath
