package hatchgateway

import "github.com/cockroachdb/errors"

// errNoPreview is the answer of a daemon that cannot preview requests.
var errNoPreview = errors.New("requests cannot be previewed yet")

// Preview returns as JSON where the described request would go now, and why.
func (gateway *Gateway) Preview([]byte) ([]byte, error) {
	return nil, errNoPreview
}
