package hatchpeer

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

const (
	// maxFleetMessage bounds the size in bytes of a message between daemons on the
	// platform that is no snapshot.
	maxFleetMessage = 512 << 10
	// maxSnapshotReply bounds the size in bytes of a compressed snapshot, of which a
	// daemon reads one at a time.
	maxSnapshotReply = 2 << 20
	// maxFleetHeader bounds the size in bytes of the head of a response.
	maxFleetHeader = 16 << 10
)

// boundedTransport fails the read of a response's body after limit bytes.
type boundedTransport struct {
	http.RoundTripper
	limit int64
}

func (transport boundedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := transport.RoundTripper.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = &boundedBody{ReadCloser: response.Body, left: transport.limit}
	return response, nil
}

type boundedBody struct {
	io.ReadCloser
	left int64 // bytes
}

var errReplyTooLong = errors.New("the response of the peer is too long")

func (body *boundedBody) Read(buffer []byte) (int, error) {
	if body.left <= 0 {
		return 0, errReplyTooLong
	}
	count, err := body.ReadCloser.Read(buffer[:min(int64(len(buffer)), body.left)])
	body.left -= int64(count)
	return count, err
}
