package hatchforward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyhatch"
)

const (
	// dialTimeout bounds the opening of a connection to a replica: some hundred
	// times the way there, so that only a dead or cut-off one misses it.
	dialTimeout = 200 * time.Millisecond
	// maxPlainBodySize bounds a plain answer in bytes; it is held in memory.
	maxPlainBodySize = 16 << 20
	readBufferSize   = 4 << 10
)

// outgoingRequest is a request as a replica gets it.
type outgoingRequest struct {
	address string
	method  string
	target  string // path and query as the caller sent them
	host    string
	header  http.Header
	body    []byte
}

// exchange is one request and its answer on a connection of its own.
type exchange struct {
	conn          net.Conn
	reader        *bufio.Reader
	response      *http.Response
	detachContext func() bool
}

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

// openExchange sends the request and reads the head of the answer. A Failure of
// KindUpstreamUnavailable means that no byte has left. The exchange ends with
// ctx at the latest.
func openExchange(ctx context.Context, request outgoingRequest) (*exchange, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", request.address)
	if err != nil {
		return nil, &dragonflyhatch.Failure{
			Kind: dragonflyhatch.KindUpstreamUnavailable, Detail: "no connection to " + request.address, Cause: err,
		}
	}
	reader := readerPool.Get().(*bufio.Reader)
	reader.Reset(conn)
	opened := &exchange{conn: conn, reader: reader}
	opened.detachContext = context.AfterFunc(ctx, func() { conn.Close() })
	if err := opened.send(request); err != nil {
		opened.close()
		return nil, upstreamLost(request.address, err)
	}
	return opened, nil
}

func upstreamLost(address string, err error) error {
	return &dragonflyhatch.Failure{
		Kind: dragonflyhatch.KindUpstreamLost, Detail: address + ": " + err.Error(), Cause: err,
	}
}

// send writes the request while it waits for the answer: a replica may answer
// before it has read a long body.
func (exchange *exchange) send(request outgoingRequest) error {
	head := encodeRequestHeader(request)
	if len(request.body) <= readBufferSize {
		head = append(head, request.body...)
		request.body = nil
	}
	_, writeErr := exchange.conn.Write(head)
	if writeErr == nil && len(request.body) > 0 {
		go func() {
			// A failure shows in the answer, or in that there is none.
			_, _ = exchange.conn.Write(request.body)
		}()
	}
	for {
		response, err := http.ReadResponse(exchange.reader, &http.Request{Method: request.method})
		if err != nil {
			return errors.CombineErrors(writeErr, err)
		}
		exchange.response = response
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return nil
		}
	}
}

func encodeRequestHeader(request outgoingRequest) []byte {
	var head bytes.Buffer
	head.WriteString(request.method + " " + request.target + " HTTP/1.1\r\nHost: " + request.host + "\r\n")
	// A bytes.Buffer takes every write.
	_ = request.header.Write(&head)
	if len(request.body) > 0 || request.method != http.MethodGet && request.method != http.MethodHead {
		head.WriteString("Content-Length: " + strconv.Itoa(len(request.body)) + "\r\n")
	}
	head.WriteString("\r\n")
	return head.Bytes()
}

// readAll reads the rest of the answer. It fails unless the answer is whole.
func (exchange *exchange) readAll() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(exchange.response.Body, maxPlainBodySize+1))
	if err == nil && len(body) > maxPlainBodySize {
		err = errors.Newf("the answer is larger than %d bytes", maxPlainBodySize)
	}
	return body, err
}

// close ends the exchange; the replica drops what it still does for it.
func (exchange *exchange) close() {
	exchange.detachContext()
	exchange.conn.Close()
	exchange.reader.Reset(nil)
	readerPool.Put(exchange.reader)
	exchange.reader = nil
}
