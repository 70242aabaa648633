package hatchhead

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
)

// scriptedWrite is what a write on a scriptedConn does.
type scriptedWrite struct {
	pause      time.Duration // before the write begins
	duration   time.Duration // of the write
	err        error         // of a write that ends
	atDeadline error         // of a write that its deadline ends
}

// scriptedConn is a connection whose other end has closed it. Writes follow the script.
type scriptedConn struct {
	net.Conn
	script   []scriptedWrite
	deadline chan struct{} // closed when the deadline of writes passes
}

func (conn *scriptedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (conn *scriptedConn) Write(data []byte) (int, error) {
	write := conn.script[0]
	conn.script = conn.script[1:]
	select {
	case <-time.After(write.duration):
		return len(data), write.err
	case <-conn.deadline:
		return 0, write.atDeadline
	}
}

func (conn *scriptedConn) SetWriteDeadline(time.Time) error {
	close(conn.deadline)
	return nil
}

// TestEndOfConnection reads the end of a connection while a request is written, in virtual time.
func TestEndOfConnection(t *testing.T) {
	const forever = time.Hour
	blocked := scriptedWrite{duration: forever, atDeadline: os.ErrDeadlineExceeded}
	for _, test := range []struct {
		name   string
		script []scriptedWrite
		unsent bool          // the request is never written whole
		read   time.Duration // when the read begins
		err    error
		ends   time.Duration // when the read ends
	}{
		{"no request", nil, false, 0, io.EOF, 0},
		{"after the request", []scriptedWrite{{}}, false, time.Second, io.EOF, time.Second},
		{"after a failed write", []scriptedWrite{{err: syscall.EPIPE}}, false, time.Second, syscall.EPIPE, time.Second},
		{"before the request is written", []scriptedWrite{{duration: maxWriteWait / 2}}, false, 0, io.EOF, maxWriteWait / 2},
		{"before the write that meets the reset returns", []scriptedWrite{{duration: maxWriteWait / 2, err: syscall.ECONNRESET}}, false, 0, syscall.ECONNRESET, maxWriteWait / 2},
		{"between two writes, reset afterwards", []scriptedWrite{{}, {pause: maxWriteWait / 2, err: syscall.EPIPE}}, false, maxWriteWait / 4, syscall.EPIPE, maxWriteWait / 2},
		{"between two writes, not reset", []scriptedWrite{{}, {pause: maxWriteWait / 2}}, false, maxWriteWait / 4, io.EOF, maxWriteWait / 2},
		{"the first failed write counts", []scriptedWrite{{err: syscall.ECONNRESET}, {err: syscall.EPIPE}}, false, time.Second, syscall.ECONNRESET, time.Second},
		{"a write is blocked", []scriptedWrite{blocked}, false, 0, io.EOF, maxWriteWait},
		{"a write that meets the reset returns late", []scriptedWrite{{duration: forever, atDeadline: syscall.ECONNRESET}}, false, 0, syscall.ECONNRESET, maxWriteWait},
		{"the request is never written", nil, true, 0, io.EOF, maxWriteWait},
		{"the rest of the request is never written", []scriptedWrite{{}}, true, 0, io.EOF, maxWriteWait},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				conn := NewConn(&scriptedConn{script: test.script, deadline: make(chan struct{})})
				started := time.Now()
				if len(test.script) > 0 || test.unsent {
					conn.BeginRequest()
				}
				go func() {
					for _, write := range test.script {
						time.Sleep(write.pause)
						_, _ = conn.Write([]byte("request"))
					}
					if !test.unsent {
						conn.EndRequest()
					}
				}()
				synctest.Wait()
				time.Sleep(test.read)
				_, err := conn.Read(make([]byte, 1))
				if elapsed := time.Since(started); !errors.Is(err, test.err) || errors.Is(err, io.EOF) != (test.err == io.EOF) || elapsed != test.ends {
					t.Errorf("read ended after %s with %v, want %s with %v", elapsed, err, test.ends, test.err)
				}
			})
		})
	}
}
