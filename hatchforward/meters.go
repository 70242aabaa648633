package hatchforward

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"dragonflyhatch"
)

// meters are the forwarder's own. Their names are in docs/OPERATIONS.md.
type meters struct {
	registry    metrics.Registry
	budgetSpent metrics.Counter
	resumes     metrics.Counter
	stalls      metrics.Counter
	longPauses  metrics.Counter
}

// WithMetrics counts requests, retries and resumed streams in the registry.
func WithMetrics(registry metrics.Registry) Option {
	return func(forwarder *Forwarder) { forwarder.meters = newMeters(registry) }
}

func newMeters(registry metrics.Registry) *meters {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	return &meters{
		registry:    registry,
		budgetSpent: metrics.GetOrRegisterCounter("retries.budgetSpent", registry),
		resumes:     metrics.GetOrRegisterCounter("streams.resumed", registry),
		stalls:      metrics.GetOrRegisterCounter("streams.stalled", registry),
		longPauses:  metrics.GetOrRegisterCounter("streams.pausedTooLong", registry),
	}
}

// histogramSize is the number of latencies that a histogram keeps.
const histogramSize = 256

// answered counts one answer by class of route and status.
func (meters *meters) answered(route *dragonflyhatch.Route, status int, took time.Duration) {
	class := "none"
	if route != nil {
		class = route.Class.String()
	}
	metrics.GetOrRegisterCounter("requests."+class+"."+strconv.Itoa(status), meters.registry).Inc(1)
	metrics.GetOrRegisterHistogram("requests."+class+".micros", meters.registry,
		metrics.NewUniformSample(histogramSize)).Update(took.Microseconds())
}

// retried counts an attempt that failed, by kind.
func (meters *meters) retried(kind dragonflyhatch.Kind) {
	metrics.GetOrRegisterCounter("attempts.failed."+kind.String(), meters.registry).Inc(1)
}

// firstEvent notes the time to the first event of a stream.
func (meters *meters) firstEvent(took time.Duration) {
	metrics.GetOrRegisterHistogram("streams.firstEvent.micros", meters.registry,
		metrics.NewUniformSample(histogramSize)).Update(took.Microseconds())
}
