package hatchhead

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// Transport is an http.Transport that fails a request whose response has an invalid head or is
// cut by a reset, and closes its connection. The request may have run. It is for HTTP without TLS.
type Transport struct {
	*http.Transport
}

// NewTransport returns a Transport that takes over the given one, whose DialContext must be
// set.
func NewTransport(transport *http.Transport) *Transport {
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: NewConn(conn)}, nil
	}
	return &Transport{transport}
}

// RoundTrip sends the request and returns the response to it.
func (transport *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var current atomic.Pointer[checkedConn] // the transport may replace it if nothing was written
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*checkedConn); ok {
				conn.expectHead()
				conn.BeginRequest()
				current.Store(conn)
			}
		},
		WroteRequest: func(httptrace.WroteRequestInfo) { // but for what the transport still has to flush
			if conn := current.Load(); conn != nil {
				conn.EndRequest()
			}
		},
	}
	return transport.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
}

// checkedConn is a connection whose reads fail at an invalid head.
type checkedConn struct {
	*Conn

	mu      sync.Mutex
	checker Checker
}

// expectHead prepares the connection for the response to another request. A read that is
// waiting for that response may have begun before.
func (conn *checkedConn) expectHead() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.checker.Done() {
		conn.checker = Checker{}
	}
}

func (conn *checkedConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if headErr := conn.checker.Check(buffer[:count]); headErr != nil {
		return 0, headErr
	}
	return count, err
}
