package hatchupstream

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"dragonflyhatch"
	"dragonflyhatch/hatchhead"
)

// Response headers with which an upstream describes the outcome of a request.
const (
	headerNotRun  = "Not-Run" // the upstream did not run the request
	headerLeaving = "Leaving" // the upstream accepts no new requests
)

const (
	dialTimeout       = 500 * time.Millisecond
	maxResponseHeader = 64 << 10 // bytes
	maxControlReply   = 1 << 20  // bytes of the reply to a call that does not stream
	maxErrorText      = 512      // bytes of an upstream's error text that are passed on
)

// LeavingError is the cause of a refusal by an upstream that is shutting down.
type LeavingError struct{ Address string }

// Error returns a message with the upstream's address.
func (err *LeavingError) Error() string {
	return "upstream " + err.Address + " is leaving"
}

// newTransport returns a transport that uses a new connection for each call. A
// connection that is kept may have broken unnoticed, so that it is unknown whether a
// call on it arrived, and an upstream may send a second copy of a response on it, which
// the next call would take for its own.
func newTransport() *hatchhead.Transport {
	return hatchhead.NewTransport(&http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: maxResponseHeader,
	})
}

// sentTrace records whether any byte of a request may have been sent.
type sentTrace struct {
	sent atomic.Bool
}

// attach returns the request with the trace attached. The request counts as
// sent once the transport has a connection, because it may write at any time
// from then on.
func (trace *sentTrace) attach(request *http.Request) *http.Request {
	hooks := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { trace.sent.Store(true) },
	}
	return request.WithContext(httptrace.WithClientTrace(request.Context(), hooks))
}

// failure returns the error for a call that ended without a complete response:
// KindUpstreamUnavailable if nothing can have been sent, otherwise
// KindUpstreamLost.
func (trace *sentTrace) failure(address string, err error) error {
	kind := dragonflyhatch.KindUpstreamLost
	if !trace.sent.Load() {
		kind = dragonflyhatch.KindUpstreamUnavailable
	}
	return &dragonflyhatch.Failure{Kind: kind, Detail: address + ": " + err.Error(), Cause: err}
}
