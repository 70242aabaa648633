package hatchupstream

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"dragonflyhatch"
)

// The names of headers by which an upstream says what became of a request.
const (
	headerNotRun  = "Not-Run" // the upstream did not run the request
	headerLeaving = "Leaving" // the upstream takes no new work
)

const (
	dialTimeout  = 500 * time.Millisecond
	idleConns    = 64
	idleTimeout  = 30 * time.Second
	maxErrorText = 512 // bytes of an upstream's error that are passed on
)

// LeavingError is the cause of a refusal by an upstream that is leaving.
type LeavingError struct{ Address string }

// Error names the upstream.
func (err *LeavingError) Error() string {
	return "upstream " + err.Address + " is leaving"
}

// newTransport returns a transport of its own pool of connections.
func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleTimeout,
	}
}

// sentTrace notes whether any byte of a request may have left.
type sentTrace struct {
	sent atomic.Bool
}

// attach returns the request with the trace. Once the transport has a
// connection it may write at any moment, so that is where sent begins.
func (trace *sentTrace) attach(request *http.Request) *http.Request {
	hooks := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { trace.sent.Store(true) },
	}
	return request.WithContext(httptrace.WithClientTrace(request.Context(), hooks))
}

// lost returns the failure of a call that broke off.
func (trace *sentTrace) lost(address string, err error) error {
	kind := dragonflyhatch.KindUpstreamLost
	if !trace.sent.Load() {
		kind = dragonflyhatch.KindUpstreamUnavailable
	}
	return &dragonflyhatch.Failure{Kind: kind, Detail: address + ": " + err.Error(), Cause: err}
}
