package hatchserve

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
)

// countedConn counts the bytes that a connection receives and sends.
type countedConn struct {
	net.Conn
	bytes metrics.Counter
}

// Read reads from the connection.
func (conn *countedConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	conn.bytes.Inc(int64(count))
	return count, err
}

// Write writes to the connection.
func (conn *countedConn) Write(buffer []byte) (int, error) {
	count, err := conn.Conn.Write(buffer)
	conn.bytes.Inc(int64(count))
	return count, err
}

// countedListener counts the bytes of all connections that it accepts.
type countedListener struct {
	net.Listener
	bytes metrics.Counter
}

// Accept waits for the next connection.
func (listener *countedListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{conn, listener.bytes}, nil
}

// dialer opens connections; net.Dialer.DialContext has this signature.
type dialer func(ctx context.Context, network, address string) (net.Conn, error)

// countedDialer returns a dialer that counts the bytes of all connections that
// it opens.
func countedDialer(timeout time.Duration, bytes metrics.Counter) dialer {
	plain := &net.Dialer{Timeout: timeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := plain.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{conn, bytes}, nil
	}
}

// registerProcessMetrics registers the gauge of the CPU time that the process
// has used.
func registerProcessMetrics(registry metrics.Registry) {
	metrics.NewRegisteredFunctionalGauge("process.cpuMilliseconds", registry, func() int64 {
		var usage syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
			return 0
		}
		return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Milliseconds()
	})
}
