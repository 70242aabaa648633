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

// Duration is a time.Duration with a textual form such as "250ms".
type Duration time.Duration

// UnmarshalText parses a duration such as "250ms".
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf(`must be a duration such as "250ms", not %q`, text)
	}
	*duration = Duration(parsed)
	return nil
}

// MarshalText returns the textual form of the duration. It never fails.
func (duration Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(duration).String()), nil
}

// TokenHash is the SHA-256 of a bearer token. Its textual form is sha256: and 64 hex
// digits. The token itself is never stored.
type TokenHash [sha256.Size]byte

const tokenHashPrefix = "sha256:"

// HashToken returns the hash of the token.
func HashToken(token string) TokenHash {
	return sha256.Sum256([]byte(token))
}

// UnmarshalText parses sha256: and 64 hex digits.
func (hash *TokenHash) UnmarshalText(text []byte) error {
	digits, ok := strings.CutPrefix(string(text), tokenHashPrefix)
	decoded, err := hex.DecodeString(digits)
	if !ok || err != nil || len(decoded) != len(hash) {
		return errors.New("must be sha256: and 64 hex digits")
	}
	copy(hash[:], decoded)
	return nil
}

// MarshalText returns the textual form of the hash. It never fails.
func (hash TokenHash) MarshalText() ([]byte, error) {
	return []byte(tokenHashPrefix + hex.EncodeToString(hash[:])), nil
}

// Equal compares the hashes in constant time.
func (hash TokenHash) Equal(other TokenHash) bool {
	return subtle.ConstantTimeCompare(hash[:], other[:]) == 1
}

// SealingKey is a 256-bit key that encrypts resume tokens. Its textual form is
// base64.
type SealingKey [32]byte

// UnmarshalText parses 32 bytes in base64.
func (key *SealingKey) UnmarshalText(text []byte) error {
	decoded, err := base64.StdEncoding.DecodeString(string(text))
	if err != nil || len(decoded) != len(key) {
		return errors.New("must be 32 bytes in base64")
	}
	copy(key[:], decoded)
	return nil
}

// MarshalText returns the key in base64. It never fails.
func (key SealingKey) MarshalText() ([]byte, error) {
	return []byte(base64.StdEncoding.EncodeToString(key[:])), nil
}
