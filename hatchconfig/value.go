package hatchconfig

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration that is written as text such as "250ms".
type Duration time.Duration

// UnmarshalText reads a duration such as "250ms", or fails.
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf(`wants a duration such as "250ms", not %q`, text)
	}
	*duration = Duration(parsed)
	return nil
}

// MarshalText writes the duration and never fails.
func (duration Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(duration).String()), nil
}

// TokenHash is the SHA-256 of a bearer token, written as sha256: and 64 hex
// digits; the token itself is never stored.
type TokenHash [sha256.Size]byte

const tokenHashPrefix = "sha256:"

// HashToken returns the hash that stands for the token.
func HashToken(token string) TokenHash {
	return sha256.Sum256([]byte(token))
}

// UnmarshalText reads sha256: and 64 hex digits, or fails.
func (hash *TokenHash) UnmarshalText(text []byte) error {
	digits, ok := strings.CutPrefix(string(text), tokenHashPrefix)
	decoded, err := hex.DecodeString(digits)
	if !ok || err != nil || len(decoded) != len(hash) {
		return errors.New("wants sha256: and 64 hex digits")
	}
	copy(hash[:], decoded)
	return nil
}

// MarshalText writes the hash and never fails.
func (hash TokenHash) MarshalText() ([]byte, error) {
	return []byte(tokenHashPrefix + hex.EncodeToString(hash[:])), nil
}

// Equal compares in constant time.
func (hash TokenHash) Equal(other TokenHash) bool {
	return subtle.ConstantTimeCompare(hash[:], other[:]) == 1
}

// SealingKey is a 256-bit key that seals stream positions, written in base64.
type SealingKey [32]byte

// UnmarshalText reads 32 bytes in base64, or fails.
func (key *SealingKey) UnmarshalText(text []byte) error {
	decoded, err := base64.StdEncoding.DecodeString(string(text))
	if err != nil || len(decoded) != len(key) {
		return errors.New("wants 32 bytes in base64")
	}
	copy(key[:], decoded)
	return nil
}

// MarshalText writes the key and never fails.
func (key SealingKey) MarshalText() ([]byte, error) {
	return []byte(base64.StdEncoding.EncodeToString(key[:])), nil
}
