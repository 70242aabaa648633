package hatchpeer

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"dragonflyhatch"
)

const (
	// minCompressedSize is the size in bytes from which a snapshot is compressed. Smaller
	// ones fit into a few packets.
	minCompressedSize = 4 << 10
	// minCompressedChanges is the size in bytes from which the changes of registrations in
	// a gossip message are compressed: about four of them.
	minCompressedChanges = 1 << 10
	// maxChangesSize is the limit of the uncompressed changes in a gossip message in bytes.
	// The 24 that a daemon sends have 5 KB. 512 KB of empty ones, 2.4 KB compressed, took
	// 147 MB to decode.
	maxChangesSize = 64 << 10
	// maxSnapshotSize is the limit of an uncompressed snapshot in bytes.
	maxSnapshotSize = 16 << 20
)

// gzipMagic is how compressed data begins, which JSON never does.
var gzipMagic = []byte{0x1f, 0x8b}

// gzipWriters holds writers that are not in use. Each needs about a megabyte, which the
// garbage collector may take back.
var gzipWriters sync.Pool

// compress returns the value compressed with gzip.
func compress(value []byte) ([]byte, error) {
	var compressed bytes.Buffer
	writer, ok := gzipWriters.Get().(*gzip.Writer)
	if ok {
		writer.Reset(&compressed)
	} else {
		var err error
		if writer, err = gzip.NewWriterLevel(&compressed, gzip.BestSpeed); err != nil {
			return nil, errors.Wrap(err, "compressor")
		}
	}
	defer gzipWriters.Put(writer)
	if _, err := writer.Write(value); err != nil {
		return nil, errors.Wrap(err, "compressor")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compressor")
	}
	return compressed.Bytes(), nil
}

// compressor compresses each snapshot once for all the peers that request it. It is
// safe for concurrent use.
type compressor struct {
	mu     sync.Mutex
	latest map[dragonflyhatch.SnapshotKind]compressedSnapshot
}

type compressedSnapshot struct {
	sum  uint64 // hash of the uncompressed value
	data []byte
}

// compress returns the value compressed with gzip. It caches the latest result for
// each kind.
func (compressor *compressor) compress(kind dragonflyhatch.SnapshotKind, value []byte) ([]byte, error) {
	sum := xxhash.Sum64(value)
	compressor.mu.Lock()
	defer compressor.mu.Unlock()
	if known, ok := compressor.latest[kind]; ok && known.sum == sum {
		return known.data, nil
	}
	compressed, err := compress(value)
	if err != nil {
		return nil, err
	}
	if compressor.latest == nil {
		compressor.latest = make(map[dragonflyhatch.SnapshotKind]compressedSnapshot)
	}
	compressor.latest[kind] = compressedSnapshot{sum, compressed}
	return compressed, nil
}

// decompress reverses compress. It fails if the result exceeds the limit in bytes.
func decompress(compressed []byte, limit int) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	value, err := io.ReadAll(io.LimitReader(reader, int64(limit)+1))
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "decompress")
	case len(value) > limit:
		return nil, errors.Newf("uncompressed value is larger than %d bytes", limit)
	}
	return value, nil
}

// encodeChanges returns the changes of registrations as JSON, compressed if they are
// large, or nil if that fails: the peer then fetches a snapshot.
func encodeChanges(changes []dragonflyhatch.ReplicaChange) []byte {
	text, err := json.Marshal(changes)
	if err != nil { // cannot happen for plain structs
		return nil
	}
	if len(text) < minCompressedChanges {
		return text
	}
	compressed, err := compress(text)
	if err != nil { // cannot happen when writing to memory; the text serves as well
		return text
	}
	return compressed
}

// decodeChanges reverses encodeChanges.
func decodeChanges(encoded []byte) ([]dragonflyhatch.ReplicaChange, error) {
	if bytes.HasPrefix(encoded, gzipMagic) {
		text, err := decompress(encoded, maxChangesSize)
		if err != nil {
			return nil, err
		}
		encoded = text
	}
	if len(encoded) > maxChangesSize {
		return nil, errors.Newf("changes are larger than %d bytes", maxChangesSize)
	}
	var changes []dragonflyhatch.ReplicaChange
	if err := json.Unmarshal(encoded, &changes); err != nil {
		return nil, errors.Wrap(err, "decode changes")
	}
	return changes, nil
}
