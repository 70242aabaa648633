// Package hatchaudit records what the fleet does. Trail stores the audit trail of
// changes in the platform, with a limited size and write rate. Journal keeps the
// recent requests in the memory of the daemon that received them. LineWriter writes
// the gateways' logs without blocking; the timeline of a request can be extracted
// from them.
package hatchaudit
