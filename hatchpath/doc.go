// Package hatchpath decides which replica of a plain service, or which pipeline
// of engines, runs a request. The replicas are those that have registered
// themselves; a View of them is read without locks on the path of a request.
//
// Engines hold ranges of layers that may overlap, and a pipeline may use part of
// what an engine holds. A pipeline is therefore a cheapest cover of the model's
// layers: each layer once and in order, no engine twice, all of one version. It
// stays inside one site if it can, since each token that crosses to another site
// carries its activations along.
//
// What this daemon has seen of a replica (work in flight, failures, times) is
// kept in the replica's Health, which outlives views.
package hatchpath
