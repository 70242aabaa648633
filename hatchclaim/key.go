package hatchclaim

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/oklog/ulid/v2"

	"dragonflyhatch"
)

// ShardCount is the number of claim shards. It is part of the stored format:
// if it changed, a key's existing claim would no longer be found.
const ShardCount = 32

// maxKeyLead is how far the time in a key may be ahead of the local clock.
const maxKeyLead = 5 * time.Minute

// ID identifies a non-idempotent request.
type ID struct {
	Organisation string `json:"organisation"`
	Key          string `json:"key"`
}

// Shard returns the number of the shard that holds the request's claim.
func (id ID) Shard() int {
	return int(xxhash.Sum64String(id.Organisation+"\x00"+id.Key) % ShardCount)
}

// ParseKey returns the time in a UUIDv7 or ULID. It returns a Failure of
// KindKeyInvalid for any other key, and for a key too far ahead of now.
func ParseKey(key string, now time.Time) (time.Time, error) {
	at, ok := keyTime(key)
	if !ok {
		return time.Time{}, dragonflyhatch.Failf(dragonflyhatch.KindKeyInvalid, "%.40q is neither a UUIDv7 nor a ULID", key)
	}
	if at.After(now.Add(maxKeyLead)) {
		return time.Time{}, dragonflyhatch.Failf(dragonflyhatch.KindKeyInvalid, "the key's time %v is too far ahead of the current time %v", at.UTC(), now.UTC())
	}
	return at, nil
}

func keyTime(key string) (time.Time, bool) {
	switch len(key) {
	case ulid.EncodedSize:
		parsed, err := ulid.ParseStrict(key)
		return ulid.Time(parsed.Time()), err == nil
	case len(uuid.UUID{}.String()):
		parsed, err := uuid.Parse(key)
		if err != nil || parsed.Version() != 7 {
			return time.Time{}, false
		}
		var millis int64
		for _, octet := range parsed[:6] {
			millis = millis<<8 | int64(octet)
		}
		return time.UnixMilli(millis), true
	}
	return time.Time{}, false
}

// digestLength is the length of a request digest in bytes, before hex encoding.
const digestLength = 16

// Digest returns a hash of the request. A submission with the same key and
// another digest is another request.
func Digest(request dragonflyhatch.ServiceRequest) string {
	hash := sha256.New()
	fmt.Fprintf(hash, "%s\n%s\n%s\n", request.Service, request.Method, request.Path)
	hash.Write(request.Body)
	return hex.EncodeToString(hash.Sum(nil)[:digestLength])
}
