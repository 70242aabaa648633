package hatchpath

import "math/rand/v2"

// NewSharedRandom returns a random number generator that is safe for concurrent
// use.
func NewSharedRandom() *rand.Rand {
	return rand.New(globalSource{})
}

// globalSource is a source backed by the global generator of math/rand/v2.
type globalSource struct{}

// Uint64 implements rand.Source.
func (globalSource) Uint64() uint64 { return rand.Uint64() }
