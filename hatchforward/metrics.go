package hatchforward

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"dragonflyhatch"
)

// metricSet holds the metrics of a forwarder. docs/OPERATIONS.md lists their names.
type metricSet struct {
	registry    metrics.Registry
	budgetSpent metrics.Counter
	resumes     metrics.Counter
	stalls      metrics.Counter
	longPauses  metrics.Counter
	aborted     metrics.Counter
	heldBack    metrics.Counter
	trials      metrics.Counter
	slotsDenied metrics.Counter

	attempts        metrics.Counter // connections opened for attempts
	reuses          metrics.Counter // requests sent on kept connections
	probes          metrics.Counter // connections opened by probes
	refusedAttempts metrics.Counter // for lack of capacity
	refusedKnown    metrics.Counter // those of replicas that were treated as refusing
	refusalTrials   metrics.Counter
}

// WithMetrics counts requests, retries and resumed streams in the registry.
func WithMetrics(registry metrics.Registry) Option {
	return func(forwarder *Forwarder) { forwarder.metricSet = newMetricSet(registry) }
}

func newMetricSet(registry metrics.Registry) *metricSet {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	return &metricSet{
		registry:    registry,
		budgetSpent: metrics.GetOrRegisterCounter("retries.budgetSpent", registry),
		resumes:     metrics.GetOrRegisterCounter("streams.resumed", registry),
		stalls:      metrics.GetOrRegisterCounter("streams.stalled", registry),
		aborted:     metrics.GetOrRegisterCounter("streams.aborted", registry),
		longPauses:  metrics.GetOrRegisterCounter("streams.pausedTooLong", registry),
		heldBack:    metrics.GetOrRegisterCounter("quarantine.refused", registry),
		trials:      metrics.GetOrRegisterCounter("quarantine.trials", registry),
		slotsDenied: metrics.GetOrRegisterCounter("limits.slotsDenied", registry),

		attempts:        metrics.GetOrRegisterCounter("connections.attempt", registry),
		reuses:          metrics.GetOrRegisterCounter("connections.reuse", registry),
		probes:          metrics.GetOrRegisterCounter("connections.probe", registry),
		refusedAttempts: metrics.GetOrRegisterCounter("refusals.attempts", registry),
		refusedKnown:    metrics.GetOrRegisterCounter("refusals.attemptsKnown", registry),
		refusalTrials:   metrics.GetOrRegisterCounter("refusals.trials", registry),
	}
}

// histogramSize is the number of latencies that a histogram samples.
const histogramSize = 256

// recordResponse counts a response by route class and status, and records its
// latency.
func (metricSet *metricSet) recordResponse(route *dragonflyhatch.Route, status int, latency time.Duration) {
	class := "none"
	if route != nil {
		class = route.Class.String()
	}
	metrics.GetOrRegisterCounter("requests."+class+"."+strconv.Itoa(status), metricSet.registry).Inc(1)
	metrics.GetOrRegisterHistogram("requests."+class+".micros", metricSet.registry,
		metrics.NewUniformSample(histogramSize)).Update(latency.Microseconds())
}

// recordFailedAttempt counts a failed attempt by kind of failure.
func (metricSet *metricSet) recordFailedAttempt(kind dragonflyhatch.Kind) {
	metrics.GetOrRegisterCounter("attempts.failed."+kind.String(), metricSet.registry).Inc(1)
}

// recordFirstEvent records the time to the first event of a stream.
func (metricSet *metricSet) recordFirstEvent(latency time.Duration) {
	metrics.GetOrRegisterHistogram("streams.firstEvent.micros", metricSet.registry,
		metrics.NewUniformSample(histogramSize)).Update(latency.Microseconds())
}
