// Package hatchproof contains only tests. They run whole fleets as separate
// processes on loopback, inject faults, and compare the responses that callers got
// with what the stand-in systems recorded. docs/PROOFS.md lists the tests.
package hatchproof
