package hatchlimit

import "time"

// The parameters of the estimates that a limiter derives from finished requests
// and of the adaptation of its window.
const (
	smoothing           = 0.05                   // weight of the latest sample in an average
	minimumRise         = 0.002                  // fraction by which a minimum moves towards a larger sample
	shrinkFactor        = 0.9                    // factor of the window when the engines are full
	growThreshold       = 0.8                    // fraction of the window that must be in use for it to grow
	minAnswerFraction   = 0.5                    // fraction of the expected answer that must fit into the deadline
	minCompleteAnswers  = 10                     // complete answers before the estimates may refuse a request
	minSampleTokens     = 8                      // shortest answer, in tokens, whose time per token is sampled
	quantileLevel       = 0.95                   // fraction of the samples below the quantile
	quantileStep        = 0.02                   // lower bound of the step by which a sample moves the quantile
	throughputSlot      = 500 * time.Millisecond // length of one throughput sample
	throughputSmoothing = 0.3                    // weight of the latest slot
)

func secondsToDuration(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}

// average is an exponentially weighted moving average.
type average struct {
	value float64
	set   bool
}

func (average *average) add(sample float64) {
	if !average.set {
		average.value, average.set = sample, true
		return
	}
	average.value += smoothing * (sample - average.value)
}

// minimum follows the smallest samples: down immediately, up slowly.
type minimum struct {
	value float64
	set   bool
}

func (minimum *minimum) add(sample float64) {
	if !minimum.set || sample < minimum.value {
		minimum.value, minimum.set = sample, true
		return
	}
	minimum.value += minimumRise * (sample - minimum.value)
}

// throughput estimates the tokens per second that this daemon can get from the
// engines. A slot counts only if requests were waiting all the time: otherwise
// its rate is that of the requests, not that of the engines.
type throughput struct {
	rate         float64 // tokens per second
	tokens       float64 // in the current slot
	slotStart    time.Time
	queueEmptied bool // no request was waiting at some time in the slot
}

func (throughput *throughput) add(now time.Time, tokens float64) {
	throughput.closeSlot(now)
	throughput.tokens += tokens
}

// closeSlot adds the current slot to the estimate once the slot is over.
func (throughput *throughput) closeSlot(now time.Time) {
	if throughput.slotStart.IsZero() {
		throughput.slotStart = now
		return
	}
	elapsed := now.Sub(throughput.slotStart)
	if elapsed < throughputSlot {
		return
	}
	rate := throughput.tokens / elapsed.Seconds()
	switch {
	case throughput.queueEmptied:
	case throughput.rate == 0:
		throughput.rate = rate
	default:
		throughput.rate += throughputSmoothing * (rate - throughput.rate)
	}
	throughput.tokens, throughput.slotStart, throughput.queueEmptied = 0, now, false
}

// quantile estimates the value that quantileLevel of the samples are below.
type quantile struct {
	value float64
	count int // of samples
}

// add moves the estimate up or down by a step, with the steps weighted so that
// it settles where quantileLevel of the samples are below it.
func (quantile *quantile) add(sample float64) {
	quantile.count++
	step := max(quantileStep, 1/float64(quantile.count))
	if sample > quantile.value {
		quantile.value += step * quantileLevel
		return
	}
	quantile.value = max(0, quantile.value-step*(1-quantileLevel))
}

// recordResult updates the estimates from a finished request.
func (limiter *Limiter) recordResult(now time.Time, ticket *Ticket, result Result) {
	limiter.throughput.add(now, float64(result.Tokens))
	if result.DeadlinePassed && !ticket.firstToken {
		limiter.shrinkWindow(now, ticket)
	}
	if result.Tokens >= minSampleTokens {
		limiter.meanPerToken.add(result.AfterFirstToken.Seconds() / float64(result.Tokens-1))
	}
	if result.Complete {
		fraction := float64(result.Tokens) / float64(max(1, ticket.Tokens))
		limiter.meanLength.add(fraction)
		limiter.highLength.add(fraction)
	}
}

// adjustWindow adapts the window to how much longer a first token took than the
// minimum. This excess estimates the wait at the engines.
func (limiter *Limiter) adjustWindow(now time.Time, ticket *Ticket, firstToken float64) {
	if secondsToDuration(firstToken-limiter.minFirstToken.value) > limiter.options.TargetQueueDelay {
		limiter.shrinkWindow(now, ticket)
		return
	}
	if float64(limiter.inFlight+1) < growThreshold*limiter.window {
		return
	}
	step := 1 / limiter.window
	if limiter.lastShrink.IsZero() {
		step = 1 // the engines' capacity is unknown until the window first shrinks
	}
	limiter.window = min(limiter.options.MaxWindow, limiter.window+step)
}

// shrinkWindow shrinks the window, unless the request was sent before the window
// last shrank.
func (limiter *Limiter) shrinkWindow(now time.Time, ticket *Ticket) {
	if !ticket.startedAt.After(limiter.lastShrink) {
		return
	}
	limiter.lastShrink = now
	limiter.window = max(limiter.options.MinWindow, limiter.window*shrinkFactor)
}
