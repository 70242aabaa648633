package hatchstandin

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"dragonflyhatch"
)

// The answers of the stand-in models have between minAnswer and
// minAnswer+answerSpread-1 tokens.
const (
	minAnswer    = 8
	answerSpread = 56
)

// startActivation is what enters layer 0 for the token at position.
func startActivation(model, version, prompt string, seed uint64, position int) uint64 {
	digest := xxhash.New()
	for _, part := range []string{model, version, prompt} {
		// A digest never fails to write.
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	var numbers [16]byte
	binary.LittleEndian.PutUint64(numbers[:], seed)
	binary.LittleEndian.PutUint64(numbers[8:], uint64(position))
	_, _ = digest.Write(numbers[:])
	return digest.Sum64()
}

// runLayer is one layer of the stand-in model: its result depends on the
// layer and on every layer before it, so a token shows what it went through.
func runLayer(activation uint64, layer int) uint64 {
	var numbers [16]byte
	binary.LittleEndian.PutUint64(numbers[:], activation)
	binary.LittleEndian.PutUint64(numbers[8:], uint64(layer))
	return xxhash.Sum64(numbers[:])
}

// tokenText turns the last layer's activation into a word.
func tokenText(activation uint64) string {
	const consonants, vowels = "bdfgklmnprstvz", "aeiou"
	var word strings.Builder
	for range 3 {
		word.WriteByte(consonants[activation%uint64(len(consonants))])
		activation /= uint64(len(consonants))
		word.WriteByte(vowels[activation%uint64(len(vowels))])
		activation /= uint64(len(vowels))
	}
	word.WriteByte(' ')
	return word.String()
}

// answerLength is the number of tokens after which the stand-in model stops by
// itself.
func answerLength(prompt string, seed uint64) int {
	return minAnswer + int((xxhash.Sum64String(prompt)^seed)%answerSpread)
}

// ExpectedAnswer is the oracle of the engine stand-in: the whole answer that a
// correct pipeline over layers gives, and its finish reason.
func ExpectedAnswer(generation dragonflyhatch.Generation, layers int) (string, string) {
	length, finish := answerEnd(generation)
	var text strings.Builder
	for position := range length {
		pipeline := generation.Pipeline
		activation := startActivation(pipeline.Model, pipeline.Version, generation.Prompt, generation.Seed, position)
		for layer := range layers {
			activation = runLayer(activation, layer)
		}
		text.WriteString(tokenText(activation))
	}
	return text.String(), finish
}

// AnswerTokens returns the number of tokens of the whole answer.
func AnswerTokens(generation dragonflyhatch.Generation) int {
	length, _ := answerEnd(generation)
	return length
}

// answerEnd returns the number of tokens of the answer and the finish reason.
func answerEnd(generation dragonflyhatch.Generation) (int, string) {
	if natural := answerLength(generation.Prompt, generation.Seed); natural <= generation.MaxTokens {
		return natural, "stop"
	}
	return generation.MaxTokens, "length"
}
