package hatchforward

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyhatch"
)

// errStopped is the cause of the end of calls that were in progress when the daemon
// stopped.
var errStopped = errors.New("the daemon stopped before the response was complete")

// StopAt announces that the daemon stops at the given time. From now on, requests that
// are not expected to end before are refused, so that they begin elsewhere. Those that
// are still in progress at that time end with a failure that states whether they may have
// run. StopAt must be called at most once.
func (forwarder *Forwarder) StopAt(at time.Time) {
	forwarder.stopAt.Store(&at)
	time.AfterFunc(time.Until(at), func() { forwarder.cancelStopped() })
}

// StopAccepting makes the forwarder refuse all further requests.
func (forwarder *Forwarder) StopAccepting() {
	forwarder.refusing.Store(true)
}

// announceStop makes the response to the caller the last one of its connection if the
// daemon stops. It must be called directly before the headers are sent: the daemon may
// have taken the request before it knew.
func (call *call) announceStop() {
	if call.forwarder.stopAt.Load() != nil {
		call.writer.Header().Set("Connection", "close")
	}
}

// checkStop returns a refusal if the daemon stops before the call is expected to end. A
// call that may not be repeated must end before by its deadline.
func (call *call) checkStop() error {
	stopAt := call.forwarder.stopAt.Load()
	if stopAt == nil {
		return nil
	}
	left := time.Until(*stopAt)
	switch {
	case left <= 0:
	case call.forwarder.refusing.Load():
	case !call.route.Repeatable() && call.deadline.After(*stopAt):
	case call.isStream() && call.expectedRunTime() > left:
	default:
		return nil
	}
	return dragonflyhatch.Failf(dragonflyhatch.KindLeaving, "the daemon stops in %s", left.Round(time.Millisecond))
}

// tokenTime is the time that streams take for each token that their callers allow.
type tokenTime struct {
	mean, deviation time.Duration // moving averages
}

// deviationFactor is the number of mean deviations above the mean that a stream is
// expected to take at most, as in the retransmission timeout of TCP (RFC 6298).
const deviationFactor = 4

// expectedRunTime returns how long a stream is expected to take at most, by the number
// of tokens that its caller allows.
func (call *call) expectedRunTime() time.Duration {
	forwarder, service, tokens := call.forwarder, call.service.Name, call.info.OutputTokens
	forwarder.mu.Lock()
	perToken, ok := forwarder.tokenTimes[service]
	forwarder.mu.Unlock()
	if !ok || tokens == 0 {
		return forwarder.meanRunTime(service)
	}
	return time.Duration(tokens) * (perToken.mean + deviationFactor*perToken.deviation)
}

// recordTokenTime records how long a stream has taken from its request to its end, in
// relation to the number of tokens that its caller allowed.
func (forwarder *Forwarder) recordTokenTime(service string, tokens int, took time.Duration) {
	if tokens <= 0 {
		return
	}
	perToken := took / time.Duration(tokens)
	forwarder.mu.Lock()
	defer forwarder.mu.Unlock()
	known, ok := forwarder.tokenTimes[service]
	if !ok {
		known = tokenTime{mean: perToken}
	}
	difference := perToken - known.mean
	known.mean += time.Duration(runTimeWeight * float64(difference))
	known.deviation += time.Duration(runTimeWeight * float64(difference.Abs()-known.deviation))
	forwarder.tokenTimes[service] = known
}

// withStop returns a context that is also done, with errStopped as the cause, when the
// daemon stops. release releases it.
func (forwarder *Forwarder) withStop(ctx context.Context) (_ context.Context, release func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	detach := context.AfterFunc(forwarder.stopped, func() { cancel(errStopped) })
	return ctx, func() {
		detach()
		cancel(nil)
	}
}

// isStopped reports whether the call ended because the daemon stopped.
func (call *call) isStopped() bool {
	return errors.Is(context.Cause(call.ctx), errStopped)
}

// Cut returns the number of requests that ended because the daemon stopped.
func (forwarder *Forwarder) Cut() int {
	return int(forwarder.cut.Load())
}

// Aborted returns the number of streams that were aborted for another reason while the
// daemon was stopping.
func (forwarder *Forwarder) Aborted() int {
	return int(forwarder.aborted.Load())
}

// interruptReads makes reads of the request's body fail when the daemon stops.
func (forwarder *Forwarder) interruptReads(controller *http.ResponseController) (release func() bool) {
	return context.AfterFunc(forwarder.stopped, func() {
		_ = controller.SetReadDeadline(time.Now()) // not supported by writers without a connection
	})
}
