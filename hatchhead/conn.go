package hatchhead

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// maxWriteWait bounds how long the end of a connection waits for the request to be written. It
// exceeds the round trip after which an upstream that has closed the connection resets it.
const maxWriteWait = 200 * time.Millisecond

// Conn is a connection of a client that tells an end from a reset. The kernel reports a reset to
// one system call only. If that is the write of a request, a read finds the end of the connection,
// which would complete a response without a length. Reads therefore report the end only if no
// write has failed.
//
// One goroutine may read while another one writes.
type Conn struct {
	net.Conn

	mu       sync.Mutex
	changed  *sync.Cond // of the fields below
	sending  bool       // a request is being written
	writes   int        // calls of Write in progress
	writeErr error      // of the first Write that failed
}

// NewConn returns a Conn that takes over the given connection.
func NewConn(conn net.Conn) *Conn {
	wrapped := &Conn{Conn: conn}
	wrapped.changed = sync.NewCond(&wrapped.mu)
	return wrapped
}

// BeginRequest is called before a request is written.
func (conn *Conn) BeginRequest() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.sending = true
}

// EndRequest is called once the request has been written or its writing has failed.
func (conn *Conn) EndRequest() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.sending = false
	conn.changed.Broadcast()
}

// Write writes the data to the connection.
func (conn *Conn) Write(data []byte) (int, error) {
	conn.mu.Lock()
	conn.writes++
	conn.mu.Unlock()
	count, err := conn.Conn.Write(data)
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.writes--
	if conn.writeErr == nil && !errors.Is(err, os.ErrDeadlineExceeded) { // set by awaitWrites only
		conn.writeErr = err
	}
	conn.changed.Broadcast()
	return count, err
}

// Read reads from the connection. At the end of the connection it returns the error of the write
// that has failed, or io.EOF if none has. If the request is still being written, it waits for that
// for up to maxWriteWait and then ends the write: an upstream that has closed only its direction
// may read the request slowly or not at all.
func (conn *Conn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if errors.Is(err, io.EOF) {
		if writeErr := conn.awaitWrites(); writeErr != nil {
			err = errors.Wrap(writeErr, "the connection ended before the request was written")
		}
	}
	return count, err
}

// awaitWrites waits for the writes of the request and returns the error of the first one that
// failed.
func (conn *Conn) awaitWrites() error {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	waiting := true
	timer := time.AfterFunc(maxWriteWait, func() {
		_ = conn.SetWriteDeadline(time.Now()) // fails only if the connection is closed, which also ends the write
		conn.mu.Lock()
		defer conn.mu.Unlock()
		waiting = false
		conn.changed.Broadcast()
	})
	defer timer.Stop()
	for conn.sending && waiting || conn.writes > 0 {
		conn.changed.Wait()
	}
	return conn.writeErr
}
