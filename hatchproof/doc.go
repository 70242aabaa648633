// Package hatchproof holds no code but tests: it runs whole fleets as separate
// processes on loopback, breaks them, and holds what callers were told against
// what the stand-in systems counted. docs/PROOFS.md lists its tests.
package hatchproof
