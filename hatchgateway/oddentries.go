package hatchgateway

import (
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyhatch"
	"dragonflyhatch/platform"
)

// oddEntryLogInterval is the minimum time between two log lines about registrations
// that cannot be decoded: another program may write any number of them.
const oddEntryLogInterval = 5 * time.Second

// registrationDecoder decodes registrations and logs those that name no usable
// replica, at a bounded rate. It is safe for concurrent use.
type registrationDecoder struct {
	logger *slog.Logger

	mu      sync.Mutex
	nextLog time.Time
	omitted int // failures since the last line
}

// decode returns the replica of a registration, or false if the object describes no
// usable replica.
func (decoder *registrationDecoder) decode(object dragonflyhatch.Object) (dragonflyhatch.Replica, bool) {
	replica, err := platform.DecodeReplica(object)
	if err != nil {
		decoder.logFailure(object.Name, object.Version, err)
	}
	return replica, err == nil
}

// fitsModel reports whether the replica holds layers of its service's model, which is
// nil for a plain service. Layers that the model does not have name no usable replica.
func (decoder *registrationDecoder) fitsModel(replica dragonflyhatch.Replica, model *dragonflyhatch.EngineModel) bool {
	if model == nil || model.Contains(replica.Held.LayerRange) {
		return true
	}
	decoder.logFailure(replica.ID, replica.Revision,
		errors.Newf("layers %d to %d of a model of %d", replica.Held.First, replica.Held.End, model.Layers))
	return false
}

func (decoder *registrationDecoder) logFailure(name string, revision uint64, err error) {
	decoder.mu.Lock()
	defer decoder.mu.Unlock()
	now := time.Now()
	if now.Before(decoder.nextLog) {
		decoder.omitted++
		return
	}
	decoder.logger.Warn("decoding registration failed", "object", name, "revision", revision, "error", err, "omitted", decoder.omitted)
	decoder.nextLog, decoder.omitted = now.Add(oddEntryLogInterval), 0
}
