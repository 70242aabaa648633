// Package hatchupstream implements the HTTP clients of the router's upstreams:
// model engines and plain services. For a failed call the clients report whether
// the request may have run: it did not if no byte was sent, and otherwise that
// is unknown unless the upstream states it.
package hatchupstream
