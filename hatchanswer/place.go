package hatchanswer

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/base64"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// ErrNotSealed is returned for a text that none of the keys has sealed.
var ErrNotSealed = errors.New("not a place in a stream of this fleet")

// Place is what a daemon needs, beside the request itself, to go on with an
// answer that another daemon began.
type Place struct {
	Request      string `json:"r"`
	Organisation string `json:"o"`
	Digest       string `json:"d"` // of the request's body
	Seed         uint64 `json:"s"`
	Version      string `json:"v"` // of the model
	Attempt      int    `json:"a"`
	Next         int    `json:"n"` // position of the next token
}

// Sealer seals places, so that a caller can carry one but not change it.
type Sealer struct {
	ciphers []cipher.AEAD
}

// NewSealer returns a sealer that seals with the first key and opens with all.
func NewSealer(keys ...[32]byte) (*Sealer, error) {
	if len(keys) == 0 {
		return nil, errors.New("no sealing key")
	}
	sealer := new(Sealer)
	for _, key := range keys {
		block, err := aes.NewCipher(key[:])
		if err != nil {
			return nil, err
		}
		aead, err := cipher.NewGCMWithRandomNonce(block)
		if err != nil {
			return nil, err
		}
		sealer.ciphers = append(sealer.ciphers, aead)
	}
	return sealer, nil
}

// Seal returns the place as a text for an event id.
func (sealer *Sealer) Seal(place Place) (string, error) {
	plain, err := json.Marshal(place)
	if err != nil {
		return "", err
	}
	return base64.RawURLEncoding.EncodeToString(sealer.ciphers[0].Seal(nil, nil, plain, nil)), nil
}

// Open returns the place of a sealed text, or ErrNotSealed.
func (sealer *Sealer) Open(text string) (Place, error) {
	sealed, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return Place{}, ErrNotSealed
	}
	for _, aead := range sealer.ciphers {
		plain, err := aead.Open(nil, nil, sealed, nil)
		if err != nil {
			continue
		}
		var place Place
		if err := json.Unmarshal(plain, &place); err != nil {
			return Place{}, ErrNotSealed
		}
		return place, nil
	}
	return Place{}, ErrNotSealed
}
