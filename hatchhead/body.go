package hatchhead

import (
	"io"

	"github.com/cockroachdb/errors"
)

// ReadBody reads the body of a response to its end, as a response that breaks off states nothing.
// It fails if the body has more than limit bytes.
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(text)) > limit {
		err = errors.Newf("the response exceeds %d bytes", limit)
	}
	return text, err
}
