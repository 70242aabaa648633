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
	// maxPlainBody bounds a plain answer in bytes; it is held in memory.
	maxPlainBody = 16 << 20
	readBuffer   = 4 << 10
)

// outgoing is a request as a replica gets it.
type outgoing struct {
	address string
	method  string
	target  string // path and query as the caller sent them
	host    string
	header  http.Header
	body    []byte
}

// exchange is one request and its answer on a connection of its own.
type exchange struct {
	conn     net.Conn
	reader   *bufio.Reader
	response *http.Response
	release  func() bool
}

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBuffer) }}

// open sends the request and reads the head of the answer. A Failure of
// KindUpstreamUnavailable means that no byte has left. The exchange ends with
// ctx at the latest.
func open(ctx context.Context, request outgoing) (*exchange, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", request.address)
	if err != nil {
		return nil, &dragonflyhatch.Failure{
			Kind: dragonflyhatch.KindUpstreamUnavailable, Detail: "no connection to " + request.address, Cause: err,
		}
	}
	reader := readers.Get().(*bufio.Reader)
	reader.Reset(conn)
	opened := &exchange{conn: conn, reader: reader}
	opened.release = context.AfterFunc(ctx, func() { conn.Close() })
	if err := opened.send(request); err != nil {
		opened.close()
		return nil, lost(request.address, err)
	}
	return opened, nil
}

func lost(address string, err error) error {
	return &dragonflyhatch.Failure{
		Kind: dragonflyhatch.KindUpstreamLost, Detail: address + ": " + err.Error(), Cause: err,
	}
}

// send writes the request while it waits for the answer: a replica may answer
// before it has read a long body.
func (exchange *exchange) send(request outgoing) error {
	head := encodeHead(request)
	if len(request.body) <= readBuffer {
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

func encodeHead(request outgoing) []byte {
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
	body, err := io.ReadAll(io.LimitReader(exchange.response.Body, maxPlainBody+1))
	if err == nil && len(body) > maxPlainBody {
		err = errors.Newf("the answer is larger than %d bytes", maxPlainBody)
	}
	return body, err
}

// close ends the exchange; the replica drops what it still does for it.
func (exchange *exchange) close() {
	exchange.release()
	exchange.conn.Close()
	exchange.reader.Reset(nil)
	readers.Put(exchange.reader)
	exchange.reader = nil
}
