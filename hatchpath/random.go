package hatchpath

import "math/rand/v2"

// NewSharedRandom returns a generator that several goroutines may use.
func NewSharedRandom() *rand.Rand {
	return rand.New(processRandom{})
}

// processRandom draws from the process's generator.
type processRandom struct{}

// Uint64 returns a random number.
func (processRandom) Uint64() uint64 { return rand.Uint64() }
