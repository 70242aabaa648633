package hatchstandin

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"dragonflyhatch"
)

// Without a token limit, the stand-in models' answers have between
// minAnswerTokens and minAnswerTokens+answerTokenSpread-1 tokens.
const (
	minAnswerTokens   = 8
	answerTokenSpread = 56
)

// initialActivation returns the input of layer 0 for the token at position.
func initialActivation(model, version, prompt string, seed uint64, position int) uint64 {
	digest := xxhash.New()
	for _, part := range []string{model, version, prompt} {
		// Writing to the digest never fails.
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	var numbers [16]byte
	binary.LittleEndian.PutUint64(numbers[:], seed)
	binary.LittleEndian.PutUint64(numbers[8:], uint64(position))
	_, _ = digest.Write(numbers[:])
	return digest.Sum64()
}

// runLayer computes one layer of the stand-in model. The result depends on the
// layer and on every layer before it, so a token's text shows whether each layer
// ran once and in order.
func runLayer(activation uint64, layer int) uint64 {
	var numbers [16]byte
	binary.LittleEndian.PutUint64(numbers[:], activation)
	binary.LittleEndian.PutUint64(numbers[8:], uint64(layer))
	return xxhash.Sum64(numbers[:])
}

// tokenText converts the last layer's activation to a word.
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

// naturalLength returns the number of tokens after which the stand-in model stops
// without a token limit.
func naturalLength(prompt string, seed uint64) int {
	return minAnswerTokens + int((xxhash.Sum64String(prompt)^seed)%answerTokenSpread)
}

// ExpectedAnswer is the oracle for the engine stand-in: it returns the complete
// answer of a correct pipeline with that number of layers, and its finish reason.
func ExpectedAnswer(generation dragonflyhatch.Generation, layers int) (string, string) {
	length, finish := lengthAndFinish(generation)
	var text strings.Builder
	for position := range length {
		pipeline := generation.Pipeline
		activation := initialActivation(pipeline.Model, pipeline.Version, generation.Prompt, generation.Seed, position)
		for layer := range layers {
			activation = runLayer(activation, layer)
		}
		text.WriteString(tokenText(activation))
	}
	return text.String(), finish
}

// AnswerTokens returns the number of tokens of the complete answer.
func AnswerTokens(generation dragonflyhatch.Generation) int {
	length, _ := lengthAndFinish(generation)
	return length
}

// lengthAndFinish returns the number of tokens of the answer and the finish reason.
func lengthAndFinish(generation dragonflyhatch.Generation) (int, string) {
	if natural := naturalLength(generation.Prompt, generation.Seed); natural <= generation.MaxTokens {
		return natural, "stop"
	}
	return generation.MaxTokens, "length"
}
