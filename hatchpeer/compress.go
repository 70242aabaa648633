package hatchpeer

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"dragonflyhatch"
)

const (
	// minCompressedSize is the size in bytes from which a snapshot is compressed. A
	// smaller one takes a few milliseconds over the slowest link, whereas the
	// compressor needs a megabyte of memory.
	minCompressedSize = 64 << 10
	// maxSnapshotSize is the limit of an uncompressed snapshot in bytes.
	maxSnapshotSize = 16 << 20
)

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
	var compressed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compressor")
	}
	if _, err := writer.Write(value); err != nil {
		return nil, errors.Wrap(err, "compressor")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compressor")
	}
	if compressor.latest == nil {
		compressor.latest = make(map[dragonflyhatch.SnapshotKind]compressedSnapshot)
	}
	compressor.latest[kind] = compressedSnapshot{sum, compressed.Bytes()}
	return compressed.Bytes(), nil
}

// decompress reverses compress. It fails if the result exceeds maxSnapshotSize.
func decompress(compressed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, errors.Wrap(err, "decompress snapshot")
	}
	value, err := io.ReadAll(io.LimitReader(reader, maxSnapshotSize+1))
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "decompress snapshot")
	case len(value) > maxSnapshotSize:
		return nil, errors.Newf("uncompressed snapshot is larger than %d bytes", maxSnapshotSize)
	}
	return value, nil
}
