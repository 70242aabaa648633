package hatchlimit

import "time"

// The parameters of what a limiter learns from finished requests.
const (
	smoothing     = 0.05  // weight of the latest sample
	floorRise     = 0.002 // by which a floor follows samples above it
	shrinkBy      = 0.9   // of the window, when the engines are full
	busyPart      = 0.8   // of the window that must be in use for it to grow
	leastPart     = 0.5   // of the expected answer that a request must have time for
	minLearnt     = 10    // whole answers before any request is refused by them
	minSample     = 8     // tokens of an answer whose pace is taken
	quantileLevel = 0.95  // of the samples that stay below
	quantileStep  = 0.02  // by which a sample moves it at the least
	paceSlot      = 500 * time.Millisecond
	paceSmoothing = 0.3
)

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}

// smooth is an exponential average.
type smooth struct {
	value float64
	set   bool
}

func (smooth *smooth) add(sample float64) {
	if !smooth.set {
		smooth.value, smooth.set = sample, true
		return
	}
	smooth.value += smoothing * (sample - smooth.value)
}

// floor follows the least samples: down at once, up slowly.
type floor struct {
	value float64
	set   bool
}

func (floor *floor) add(sample float64) {
	if !floor.set || sample < floor.value {
		floor.value, floor.set = sample, true
		return
	}
	floor.value += floorRise * (sample - floor.value)
}

// pace measures the tokens a second that this daemon can get from the engines. A
// slot of time in which requests did not wait throughout shows only what was
// asked for, and does not count.
type pace struct {
	rate   float64
	tokens float64
	from   time.Time
	idled  bool // nothing waited at some moment of the slot
}

func (pace *pace) add(now time.Time, tokens float64) {
	pace.roll(now)
	pace.tokens += tokens
}

// roll closes the current slot once it is over.
func (pace *pace) roll(now time.Time) {
	if pace.from.IsZero() {
		pace.from = now
		return
	}
	elapsed := now.Sub(pace.from)
	if elapsed < paceSlot {
		return
	}
	rate := pace.tokens / elapsed.Seconds()
	switch {
	case pace.idled:
	case pace.rate == 0:
		pace.rate = rate
	default:
		pace.rate += paceSmoothing * (rate - pace.rate)
	}
	pace.tokens, pace.from, pace.idled = 0, now, false
}

// quantile follows the value that most samples stay below.
type quantile struct {
	value float64
	count int // of samples
}

// add moves the value so that quantileLevel of the samples are below it.
func (quantile *quantile) add(sample float64) {
	quantile.count++
	step := max(quantileStep, 1/float64(quantile.count))
	if sample > quantile.value {
		quantile.value += step * quantileLevel
		return
	}
	quantile.value = max(0, quantile.value-step*(1-quantileLevel))
}

// learn takes what a finished request shows of the engines.
func (limiter *Limiter) learn(now time.Time, ticket *Ticket, result Result) {
	limiter.pace.add(now, float64(result.Tokens))
	if result.Late && !ticket.first {
		limiter.shrink(now, ticket)
	}
	if result.Tokens >= minSample {
		limiter.perToken.add(result.AfterFirst.Seconds() / float64(result.Tokens-1))
	}
	if result.Whole {
		part := float64(result.Tokens) / float64(max(1, ticket.Tokens))
		limiter.length.add(part)
		limiter.longest.add(part)
	}
}

// adapt moves the window by how long a first token took beyond the least.
func (limiter *Limiter) adapt(now time.Time, ticket *Ticket, first float64) {
	if seconds(first-limiter.leastFirst.value) > limiter.options.QueueTarget {
		limiter.shrink(now, ticket)
		return
	}
	if float64(limiter.inFlight+1) < busyPart*limiter.window {
		return
	}
	step := 1 / limiter.window
	if limiter.shrunk.IsZero() {
		step = 1 // the size of the fleet is not known yet
	}
	limiter.window = min(limiter.options.MaxWindow, limiter.window+step)
}

// shrink makes the window smaller, once for all requests that were sent before
// the last time.
func (limiter *Limiter) shrink(now time.Time, ticket *Ticket) {
	if !ticket.begun.After(limiter.shrunk) {
		return
	}
	limiter.shrunk = now
	limiter.window = max(limiter.options.MinWindow, limiter.window*shrinkBy)
}
