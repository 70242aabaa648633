package hatchlimit

import (
	"slices"
	"time"

	"dragonflyhatch"
)

// Options are the parameters of a limiter.
type Options struct {
	InitialWindow float64       // requests in flight to begin with
	MinWindow     float64       // and at the least
	MaxWindow     float64       // and at the most
	QueueTarget   time.Duration // wait at the engines that is taken as full
	MaxWaiting    int           // requests that wait at once
	WaitPart      float64       // of the time left that a request may spend waiting here
	Burst         time.Duration // of the whole pace that an organisation may save up for each unit of its share
}

// DefaultOptions returns the options that docs/DECISIONS.md gives reasons for.
func DefaultOptions() Options {
	return Options{
		InitialWindow: 16,
		MinWindow:     2,
		MaxWindow:     4096,
		QueueTarget:   400 * time.Millisecond,
		MaxWaiting:    8192,
		WaitPart:      0.25,
		Burst:         500 * time.Millisecond,
	}
}

// Ticket is one request that wants to be sent.
type Ticket struct {
	Organisation string
	Share        int // weight of the organisation, at least 1
	Tokens       int // longest answer wanted
	Deadline     time.Time

	begun time.Time // when it was sent
	first bool      // its first token has come
}

// Decision is what becomes of a ticket: it is sent now, or refused with the
// failure.
type Decision struct {
	Ticket  *Ticket
	Failure *dragonflyhatch.Failure // nil if the request is to be sent
}

// Limiter is the state machine for one model in one daemon.
type Limiter struct {
	options  Options
	window   float64
	inFlight int
	waiting  int
	shares   map[string]*share
	virtual  float64   // fair-queueing time of the last start
	shrunk   time.Time // when the window was last made smaller

	pace       pace
	firstToken smooth   // seconds from the start to the first token
	leastFirst floor    // of the same, in seconds
	perToken   smooth   // seconds
	length     smooth   // tokens of an answer as part of those wanted
	longest    quantile // of the same, what few answers exceed

	decisions []Decision // of the event under way
}

// share is one organisation's queue.
type share struct {
	name    string
	weight  float64
	virtual float64   // when its next request is due, in fair-queueing time
	queue   []*Ticket // by deadline
	tokens  float64   // expected in the queue
}

// NewLimiter returns the limiter of a model.
func NewLimiter(options Options) *Limiter {
	return &Limiter{
		options: options,
		window:  options.InitialWindow,
		shares:  make(map[string]*share),
	}
}

// Window returns the requests that may be in flight at once.
func (limiter *Limiter) Window() float64 { return limiter.window }

// Waiting returns the number of requests that wait.
func (limiter *Limiter) Waiting() int { return limiter.waiting }

// take returns the decisions of the event under way.
func (limiter *Limiter) take() []Decision {
	limiter.pace.idled = limiter.pace.idled || limiter.waiting == 0
	decisions := limiter.decisions
	limiter.decisions = nil
	return decisions
}

func (limiter *Limiter) refuse(ticket *Ticket, failure *dragonflyhatch.Failure) {
	limiter.decisions = append(limiter.decisions, Decision{ticket, failure})
}

// Arrive takes a request: it is sent, waits, or is refused.
func (limiter *Limiter) Arrive(now time.Time, ticket *Ticket) []Decision {
	share := limiter.share(ticket)
	if failure := limiter.hopeless(now, share, ticket); failure != nil {
		limiter.refuse(ticket, failure)
		return limiter.take()
	}
	share.add(ticket, limiter.expected(ticket))
	limiter.waiting++
	limiter.start(now)
	return limiter.take()
}

func (limiter *Limiter) share(ticket *Ticket) *share {
	known, ok := limiter.shares[ticket.Organisation]
	if !ok {
		known = &share{name: ticket.Organisation}
		limiter.shares[ticket.Organisation] = known
	}
	known.weight = float64(max(1, ticket.Share))
	return known
}

// expected returns the tokens that the request makes on average.
func (limiter *Limiter) expected(ticket *Ticket) float64 {
	if !limiter.length.set {
		return float64(ticket.Tokens)
	}
	return max(1, float64(ticket.Tokens)*limiter.length.value)
}

// service returns how long few requests of the kind exceed at the faster engines
// once they are sent; the choice of an engine sees to it that long answers go
// there. Nothing is known of it before the first answers.
func (limiter *Limiter) service(ticket *Ticket) time.Duration {
	return seconds(limiter.firstToken.value + limiter.perToken.value*float64(ticket.Tokens)*limiter.longest.value)
}

// least returns how long the request takes at the least, at an engine that is
// free.
func (limiter *Limiter) least(ticket *Ticket) time.Duration {
	return seconds(limiter.leastFirst.value + limiter.perToken.value*limiter.expected(ticket)*leastPart)
}

// hopeless returns the refusal of a request that cannot finish by its deadline,
// or nil.
func (limiter *Limiter) hopeless(now time.Time, share *share, ticket *Ticket) *dragonflyhatch.Failure {
	if limiter.waiting >= limiter.options.MaxWaiting {
		return &dragonflyhatch.Failure{Kind: dragonflyhatch.KindOverloaded, Detail: "too many requests wait"}
	}
	left := ticket.Deadline.Sub(now)
	if limiter.longest.count < minLearnt {
		return nil
	}
	if limiter.waiting == 0 && float64(limiter.inFlight) < limiter.window {
		if limiter.least(ticket) > left {
			return tooShort()
		}
		return nil
	}
	wait := limiter.wait(share, ticket)
	if wait+limiter.service(ticket) > left {
		return tooShort()
	}
	// A request that has waited long can be served by the fastest engines
	// only, and the others would idle.
	if wait > seconds(left.Seconds()*limiter.options.WaitPart) {
		return &dragonflyhatch.Failure{Kind: dragonflyhatch.KindOverloaded, Detail: "the request would have to wait too long"}
	}
	return nil
}

func tooShort() *dragonflyhatch.Failure {
	return &dragonflyhatch.Failure{Kind: dragonflyhatch.KindDeadlineTooShort, Detail: "the engines are too busy for the request to finish in time"}
}

// wait estimates how long the request waits here: the tokens that fair queueing
// sends before it, at the pace of the engines.
func (limiter *Limiter) wait(share *share, ticket *Ticket) time.Duration {
	rate := limiter.pace.rate
	if limiter.waiting == 0 || rate == 0 {
		return 0
	}
	own := share.before(ticket.Deadline, limiter)
	due := limiter.turn(share) + own/share.weight
	ahead := own
	for _, other := range limiter.shares {
		if other == share {
			continue
		}
		lead := due - limiter.turn(other)
		ahead += min(other.tokens, max(0, lead*other.weight))
	}
	return seconds(ahead / rate)
}

// turn returns when the share's next request is due, in fair-queueing time. A
// share that was not used keeps a little of it for a burst.
func (limiter *Limiter) turn(share *share) float64 {
	return max(limiter.virtual-limiter.pace.rate*limiter.options.Burst.Seconds(), share.virtual)
}

// before returns the tokens in the queue that go before the deadline.
func (share *share) before(deadline time.Time, limiter *Limiter) float64 {
	tokens := 0.0
	for _, ticket := range share.queue {
		if ticket.Deadline.After(deadline) {
			break
		}
		tokens += limiter.expected(ticket)
	}
	return tokens
}

func (share *share) add(ticket *Ticket, tokens float64) {
	place, _ := slices.BinarySearchFunc(share.queue, ticket.Deadline, func(queued *Ticket, deadline time.Time) int {
		if queued.Deadline.After(deadline) {
			return 1
		}
		return -1
	})
	share.queue = slices.Insert(share.queue, place, ticket)
	share.tokens += tokens
}

// start sends what the window allows.
func (limiter *Limiter) start(now time.Time) {
	for limiter.waiting > 0 && float64(limiter.inFlight) < limiter.window {
		share := limiter.next()
		ticket := share.queue[0]
		share.queue = share.queue[1:]
		limiter.waiting--
		tokens := limiter.expected(ticket)
		share.tokens = max(0, share.tokens-tokens)
		if limiter.late(now, ticket) {
			limiter.refuse(ticket, tooShort())
			continue
		}
		turn := limiter.turn(share)
		limiter.virtual = max(limiter.virtual, turn)
		share.virtual = turn + tokens/share.weight
		limiter.inFlight++
		ticket.begun = now
		limiter.decisions = append(limiter.decisions, Decision{Ticket: ticket})
	}
}

// late says whether a request whose turn it is had better be refused: it could
// not finish at all, or it likely could not and others wait for its place.
func (limiter *Limiter) late(now time.Time, ticket *Ticket) bool {
	if limiter.longest.count < minLearnt {
		return false
	}
	needed := limiter.least(ticket)
	if limiter.waiting > 0 {
		needed = limiter.service(ticket)
	}
	return now.Add(needed).After(ticket.Deadline)
}

// next returns the share whose turn it is.
func (limiter *Limiter) next() *share {
	var first *share
	for _, share := range limiter.shares {
		if len(share.queue) == 0 {
			continue
		}
		if first == nil || limiter.turn(share) < limiter.turn(first) || limiter.turn(share) == limiter.turn(first) && share.name < first.name {
			first = share
		}
	}
	return first
}

// FirstToken takes the first token of a request that was sent.
func (limiter *Limiter) FirstToken(now time.Time, ticket *Ticket) []Decision {
	ticket.first = true
	first := now.Sub(ticket.begun).Seconds()
	limiter.firstToken.add(first)
	limiter.leastFirst.add(first)
	limiter.adapt(now, ticket, first)
	limiter.start(now)
	return limiter.take()
}

// Result is how a request that was sent went.
type Result struct {
	AfterFirst time.Duration // from the first token to the end
	Tokens     int           // that were made
	Whole      bool          // the answer came to its end
	Late       bool          // the deadline passed first
}

// Done takes the end of a request that was started.
func (limiter *Limiter) Done(now time.Time, ticket *Ticket, result Result) []Decision {
	limiter.inFlight--
	limiter.learn(now, ticket, result)
	limiter.start(now)
	return limiter.take()
}

// Abandon takes a waiting request out; it returns false if the request has been
// started or refused.
func (limiter *Limiter) Abandon(ticket *Ticket) bool {
	share, ok := limiter.shares[ticket.Organisation]
	if !ok {
		return false
	}
	place := slices.Index(share.queue, ticket)
	if place < 0 {
		return false
	}
	share.queue = slices.Delete(share.queue, place, place+1)
	share.tokens = max(0, share.tokens-limiter.expected(ticket))
	limiter.waiting--
	return true
}

// Tick refuses the waiting requests that can no longer finish in time.
func (limiter *Limiter) Tick(now time.Time) []Decision {
	for _, share := range limiter.shares {
		for len(share.queue) > 0 && now.Add(limiter.service(share.queue[0])).After(share.queue[0].Deadline) {
			ticket := share.queue[0]
			limiter.Abandon(ticket)
			limiter.refuse(ticket, tooShort())
		}
	}
	limiter.pace.roll(now)
	return limiter.take()
}
