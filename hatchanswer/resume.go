package hatchanswer

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/base64"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// ErrInvalidResumeToken is returned for a text that was not sealed with any of the keys.
var ErrInvalidResumeToken = errors.New("not a resume token of this fleet")

// ResumePosition is the resume position of a stream: what a daemon needs, besides the
// request itself, to resume an answer that another daemon started.
type ResumePosition struct {
	Request      string `json:"r"`
	Organisation string `json:"o"`
	Digest       string `json:"d"` // of the request's body
	Seed         uint64 `json:"s"`
	Version      string `json:"v"` // of the model
	Attempt      int    `json:"a"`
	Next         int    `json:"n"` // position of the next token
}

// Sealer encrypts and authenticates resume positions, so that a caller can store
// one but not change it.
type Sealer struct {
	ciphers []cipher.AEAD
}

// NewSealer returns a sealer that seals with the first key and opens with any of
// them.
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

// Seal returns the resume token of the position, for use as an event id.
func (sealer *Sealer) Seal(position ResumePosition) (string, error) {
	plain, err := json.Marshal(position)
	if err != nil {
		return "", err
	}
	return base64.RawURLEncoding.EncodeToString(sealer.ciphers[0].Seal(nil, nil, plain, nil)), nil
}

// Open returns the position of a resume token, or ErrInvalidResumeToken.
func (sealer *Sealer) Open(text string) (ResumePosition, error) {
	sealed, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return ResumePosition{}, ErrInvalidResumeToken
	}
	for _, aead := range sealer.ciphers {
		plain, err := aead.Open(nil, nil, sealed, nil)
		if err != nil {
			continue
		}
		var position ResumePosition
		if err := json.Unmarshal(plain, &position); err != nil {
			return ResumePosition{}, ErrInvalidResumeToken
		}
		return position, nil
	}
	return ResumePosition{}, ErrInvalidResumeToken
}
