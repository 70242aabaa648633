// Package hatchserve wires a daemon together: it feeds the decision packages
// with events from the platform, the peers, the upstreams and the callers,
// carries out what they decide, and starts and stops it all.
package hatchserve
