package hatchforward

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// smallBodySize is the size in bytes up to which a body is read without a
	// reservation of memory, so that large bodies cannot prevent small ones.
	smallBodySize = 64 << 10
	// bodyChunk is the size in bytes of the parts in which a body is read.
	bodyChunk = 16 << 10
	// reservationStep is the size in bytes by which a reservation grows.
	reservationStep = 256 << 10
	// defaultBodyMemory is the memory in bytes for large bodies.
	defaultBodyMemory = 64 << 20
)

var errNoBodyMemory = errors.New("no memory left for large bodies")

// bodyMemory bounds the memory of all large bodies of requests and plain responses
// together. It is safe for concurrent use.
type bodyMemory struct {
	free atomic.Int64 // bytes
}

func newBodyMemory(size int64) *bodyMemory {
	memory := &bodyMemory{}
	memory.free.Store(size)
	return memory
}

// reservation is the memory that the bodies of one call have reserved. It is safe for
// concurrent use.
type reservation struct {
	memory *bodyMemory

	mu       sync.Mutex
	reserved int64 // bytes
	released bool
}

// extend reserves more bytes. It fails if too few are left or the call has ended.
func (reservation *reservation) extend(more int64) error {
	reservation.mu.Lock()
	defer reservation.mu.Unlock()
	if reservation.released {
		return errNoBodyMemory
	}
	if reservation.memory.free.Add(-more) < 0 {
		reservation.memory.free.Add(more)
		return errNoBodyMemory
	}
	reservation.reserved += more
	return nil
}

// release returns the memory when the call has ended.
func (reservation *reservation) release() {
	reservation.mu.Lock()
	defer reservation.mu.Unlock()
	reservation.memory.free.Add(reservation.reserved)
	reservation.reserved, reservation.released = 0, true
}

// readBody reads a body of at most limit bytes into memory; a limit of 0 is none. It
// fails with errNoBodyMemory if too little memory is left for it.
func (reservation *reservation) readBody(body io.Reader, limit int64) ([]byte, error) {
	var parts [][]byte // joined at the end: a buffer that grows would occupy several times as much
	var length int64
	allowed := int64(smallBodySize)
	for {
		var part bytes.Buffer
		count, err := io.CopyN(&part, body, bodyChunk)
		parts = append(parts, part.Bytes())
		length += count
		switch {
		case limit > 0 && length > limit:
			return nil, errors.Newf("the body exceeds %d bytes", limit)
		case errors.Is(err, io.EOF):
			return bytes.Join(parts, nil), nil
		case err != nil:
			return nil, err
		}
		if length+bodyChunk > allowed {
			if err := reservation.extend(reservationStep); err != nil {
				return nil, err
			}
			allowed += reservationStep
		}
	}
}
