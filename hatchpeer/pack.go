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
	// packedFrom is the size in bytes from which a snapshot is compressed. A
	// smaller one crosses the thinnest link in some milliseconds, and the
	// compressor takes a megabyte of memory.
	packedFrom = 64 << 10
	// maxSnapshot bounds an uncompressed snapshot in bytes.
	maxSnapshot = 16 << 20
)

// packer compresses snapshots, each once for all the peers that ask for it. Its
// methods may be called by several goroutines.
type packer struct {
	mu     sync.Mutex
	newest map[dragonflyhatch.SnapshotKind]packedSnapshot
}

type packedSnapshot struct {
	sum  uint64 // of the uncompressed value
	data []byte
}

// pack returns the compressed value of the snapshot.
func (packer *packer) pack(kind dragonflyhatch.SnapshotKind, value []byte) ([]byte, error) {
	sum := xxhash.Sum64(value)
	packer.mu.Lock()
	defer packer.mu.Unlock()
	if known, ok := packer.newest[kind]; ok && known.sum == sum {
		return known.data, nil
	}
	var packed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compressor")
	}
	if _, err := writer.Write(value); err != nil {
		return nil, errors.Wrap(err, "compressor")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compressor")
	}
	if packer.newest == nil {
		packer.newest = make(map[dragonflyhatch.SnapshotKind]packedSnapshot)
	}
	packer.newest[kind] = packedSnapshot{sum, packed.Bytes()}
	return packed.Bytes(), nil
}

// unpack returns the value that pack has compressed.
func unpack(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "compressed snapshot")
	}
	value, err := io.ReadAll(io.LimitReader(reader, maxSnapshot+1))
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "compressed snapshot")
	case len(value) > maxSnapshot:
		return nil, errors.Newf("a snapshot is larger than %d bytes", maxSnapshot)
	}
	return value, nil
}
