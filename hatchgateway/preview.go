package hatchgateway

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyhatch"
)

// errBadPreview is the answer to a description that cannot be decoded. It does not wrap the
// decoder's error, which may quote the key.
var errBadPreview = errors.New("the description of the request is not valid")

// Preview returns as JSON where the described request would go now, and why.
func (gateway *Gateway) Preview(encoded []byte) ([]byte, error) {
	var request dragonflyhatch.PreviewRequest
	if err := json.Unmarshal(encoded, &request); err != nil {
		return nil, errBadPreview
	}
	if err := request.Check(); err != nil {
		return nil, err
	}
	preview, err := json.Marshal(gateway.forwarder.Preview(time.Now(), request))
	if err != nil {
		gateway.logger.Error("encoding the preview of a request failed", "error", err)
		return nil, errors.Wrap(err, "encoding the preview")
	}
	return preview, nil
}
