package hatchforward

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyhatch"
	"dragonflyhatch/hatchhead"
)

const (
	// dialTimeout bounds the opening of a connection to a replica. It is several
	// hundred times the one-way latency of the network, so that only a dead or
	// disconnected replica exceeds it.
	dialTimeout = 200 * time.Millisecond
	// maxHeadSize bounds the size in bytes of the head of a response, with all
	// informational responses before it.
	maxHeadSize = 64 << 10
	// maxPlainBodySize bounds the size in bytes of the body of a plain response,
	// which is held in memory.
	maxPlainBodySize = 16 << 20
	readBufferSize   = 4 << 10 // bytes
)

var errHeadTooLong = errors.Newf("the head of the response exceeds %d bytes", maxHeadSize)

// outgoingRequest is a request as it is sent to a replica.
type outgoingRequest struct {
	address string
	method  string
	target  string // path and query as sent by the caller
	host    string
	header  http.Header
	body    []byte
}

// exchange is one request and its response on a connection that no other exchange uses
// at the same time.
type exchange struct {
	conn          *hatchhead.Conn
	source        headReader // what reader reads from
	reader        *bufio.Reader
	response      *http.Response
	detachContext func() bool // stops the context from closing the connection
}

// headReader reads a connection. Until the head of the response is complete it fails at an
// invalid line and after maxHeadSize bytes.
type headReader struct {
	conn    net.Conn
	read    int
	checker hatchhead.Checker
}

func (reader *headReader) Read(buffer []byte) (int, error) {
	if !reader.checker.Done() {
		if reader.read >= maxHeadSize {
			return 0, errHeadTooLong
		}
		buffer = buffer[:min(len(buffer), maxHeadSize-reader.read)]
	}
	count, err := reader.conn.Read(buffer)
	reader.read += count
	if headErr := reader.checker.Check(buffer[:count]); headErr != nil {
		return 0, headErr
	}
	return count, err
}

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

// errNoResponse marks the failure of an exchange that ended before any byte of a response
// was read.
var errNoResponse = errors.New("no byte of a response")

// openExchange opens a connection, sends the request and reads the status line and
// headers of the response. A Failure of KindUpstreamUnavailable means that no byte
// of the request was sent. The connection is closed when ctx is done.
func (forwarder *Forwarder) openExchange(ctx context.Context, request outgoingRequest) (*exchange, error) {
	forwarder.metricSet.attempts.Inc(1)
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", request.address)
	if err != nil {
		return nil, &dragonflyhatch.Failure{
			Kind: dragonflyhatch.KindUpstreamUnavailable, Detail: "no connection to " + request.address, Cause: err,
		}
	}
	return newExchange(ctx, conn, request)
}

// newExchange sends the request on the connection and reads the status line and headers of
// the response. The connection is closed when ctx is done.
func newExchange(ctx context.Context, rawConn net.Conn, request outgoingRequest) (*exchange, error) {
	conn := hatchhead.NewConn(rawConn)
	replicaExchange := &exchange{conn: conn, source: headReader{conn: conn}, reader: readerPool.Get().(*bufio.Reader)}
	replicaExchange.reader.Reset(&replicaExchange.source)
	replicaExchange.detachContext = context.AfterFunc(ctx, func() { conn.Close() })
	if err := replicaExchange.send(request); err != nil {
		if replicaExchange.source.read == 0 {
			err = errors.Mark(err, errNoResponse)
		}
		replicaExchange.close()
		return nil, upstreamLost(request.address, err)
	}
	return replicaExchange, nil
}

// upstreamLost returns a Failure of KindUpstreamLost caused by err.
func upstreamLost(address string, err error) error {
	return &dragonflyhatch.Failure{
		Kind: dragonflyhatch.KindUpstreamLost, Detail: address + ": " + err.Error(), Cause: err,
	}
}

// send writes the request and reads the status line and headers of the response.
// A long body is written concurrently, because a replica may respond before it has
// read all of it.
func (exchange *exchange) send(request outgoingRequest) error {
	head := encodeRequestHeader(request)
	if len(request.body) <= readBufferSize {
		head = append(head, request.body...)
		request.body = nil
	}
	conn := exchange.conn
	conn.BeginRequest()
	_, writeErr := conn.Write(head)
	if writeErr != nil || len(request.body) == 0 {
		conn.EndRequest()
	} else {
		go func() {
			defer conn.EndRequest()
			// After a write error the replica sends an error response or none, which
			// the loop below notices; conn fails the read that finds its end.
			_, _ = conn.Write(request.body)
		}()
	}
	for {
		response, err := http.ReadResponse(exchange.reader, &http.Request{Method: request.method})
		if err != nil {
			return errors.CombineErrors(writeErr, err)
		}
		exchange.response = response
		if response.StatusCode >= http.StatusOK {
			return nil
		}
	}
}

func encodeRequestHeader(request outgoingRequest) []byte {
	var head bytes.Buffer
	head.WriteString(request.method + " " + request.target + " HTTP/1.1\r\nHost: " + request.host + "\r\n")
	// Writes to a bytes.Buffer never fail.
	_ = request.header.Write(&head)
	if len(request.body) > 0 || request.method != http.MethodGet && request.method != http.MethodHead {
		head.WriteString("Content-Length: " + strconv.Itoa(len(request.body)) + "\r\n")
	}
	head.WriteString("\r\n")
	return head.Bytes()
}

// isComplete reports whether the exchange has used all bytes of its connection, so that the
// connection may carry another request. Trailer fields, which are not forwarded, are not
// checked as those of a head are, so that nothing after them is trusted.
func (exchange *exchange) isComplete() bool {
	response := exchange.response
	return !response.Close && exchange.reader.Buffered() == 0 && len(response.Trailer) == 0 &&
		(response.ContentLength >= 0 || slices.Contains(response.TransferEncoding, "chunked"))
}

// detach returns the connection, which the end of the exchange does not close any more, or
// nil if it is being closed.
func (exchange *exchange) detach() net.Conn {
	if !exchange.detachContext() {
		return nil
	}
	conn := exchange.conn.Conn
	exchange.conn = nil
	return conn
}

// close closes the connection. The replica then cancels its work on the request.
func (exchange *exchange) close() {
	if exchange.conn != nil {
		exchange.detachContext()
		exchange.conn.Close()
	}
	exchange.reader.Reset(nil)
	readerPool.Put(exchange.reader)
	exchange.reader = nil
}
