package hatchlimit

import (
	"slices"
	"time"

	"dragonflyhatch"
)

// Options are the parameters of a limiter.
type Options struct {
	InitialWindow    float64       // initial limit of the requests in flight
	MinWindow        float64       // smallest window
	MaxWindow        float64       // largest window
	TargetQueueDelay time.Duration // wait at the engines above which they count as full
	MaxWaiting       int           // limit of the waiting requests
	MaxWaitFraction  float64       // fraction of the time left to its deadline that a request may wait here

	// Burst limits the credit that an organisation accumulates while it does not use
	// its share. For each unit of the share, the credit is at most the number of tokens
	// that the engines generate for this daemon in this time.
	Burst time.Duration
}

// DefaultOptions returns the default options; docs/DECISIONS.md explains them.
func DefaultOptions() Options {
	return Options{
		InitialWindow:    16,
		MinWindow:        2,
		MaxWindow:        4096,
		TargetQueueDelay: 400 * time.Millisecond,
		MaxWaiting:       8192,
		MaxWaitFraction:  0.25,
		Burst:            500 * time.Millisecond,
	}
}

// Ticket asks the limiter for permission to send one request to the engines.
type Ticket struct {
	Organisation string
	Share        int // weight of the organisation, at least 1
	Tokens       int // length limit of the answer
	Deadline     time.Time

	startedAt  time.Time // when it was sent
	firstToken bool      // its first token has arrived
}

// Decision is the decision on a ticket: its request is sent now, or refused with
// the failure.
type Decision struct {
	Ticket  *Ticket
	Failure *dragonflyhatch.Failure // nil if the request is to be sent
}

// Limiter decides on the requests for one model in one daemon. It is a state machine:
// the caller passes the time and carries out the decisions.
type Limiter struct {
	options     Options
	window      float64
	inFlight    int
	waiting     int
	queues      map[string]*queue
	virtualTime float64   // virtual time of fair queueing, in tokens per unit of share: latest virtual start of a sent request
	lastShrink  time.Time // when the window last shrank

	throughput     throughput
	meanFirstToken average  // seconds from sending to the first token
	minFirstToken  minimum  // seconds from sending to the first token
	meanPerToken   average  // seconds for each token after the first
	meanLength     average  // length of an answer as a fraction of its limit
	highLength     quantile // the quantileLevel quantile of the same fraction

	decisions []Decision // of the event that is being handled
}

// queue is one organisation's queue.
type queue struct {
	name        string
	weight      float64
	virtualTime float64   // virtual start of its next request
	tickets     []*Ticket // ordered by deadline
	tokens      float64   // expected number of tokens of all answers in the queue
}

// NewLimiter returns a limiter for one model.
func NewLimiter(options Options) *Limiter {
	return &Limiter{
		options: options,
		window:  options.InitialWindow,
		queues:  make(map[string]*queue),
	}
}

// Window returns the limit of the requests in flight.
func (limiter *Limiter) Window() float64 { return limiter.window }

// Waiting returns the number of waiting requests.
func (limiter *Limiter) Waiting() int { return limiter.waiting }

// takeDecisions returns the decisions of the event that is being handled, and
// clears them.
func (limiter *Limiter) takeDecisions() []Decision {
	limiter.throughput.queueEmptied = limiter.throughput.queueEmptied || limiter.waiting == 0
	decisions := limiter.decisions
	limiter.decisions = nil
	return decisions
}

func (limiter *Limiter) refuse(ticket *Ticket, failure *dragonflyhatch.Failure) {
	limiter.decisions = append(limiter.decisions, Decision{ticket, failure})
}

// Arrive handles a new request: it is sent, queued or refused.
func (limiter *Limiter) Arrive(now time.Time, ticket *Ticket) []Decision {
	queue := limiter.queue(ticket)
	if failure := limiter.admissionFailure(now, queue, ticket); failure != nil {
		limiter.refuse(ticket, failure)
		return limiter.takeDecisions()
	}
	queue.add(ticket, limiter.expectedTokens(ticket))
	limiter.waiting++
	limiter.startQueued(now)
	return limiter.takeDecisions()
}

func (limiter *Limiter) queue(ticket *Ticket) *queue {
	organisationQueue, ok := limiter.queues[ticket.Organisation]
	if !ok {
		organisationQueue = &queue{name: ticket.Organisation}
		limiter.queues[ticket.Organisation] = organisationQueue
	}
	organisationQueue.weight = float64(max(1, ticket.Share))
	return organisationQueue
}

// expectedTokens returns the expected length of the request's answer in tokens.
func (limiter *Limiter) expectedTokens(ticket *Ticket) float64 {
	if !limiter.meanLength.set {
		return float64(ticket.Tokens)
	}
	return max(1, float64(ticket.Tokens)*limiter.meanLength.value)
}

// serviceTime returns a high estimate of the time from sending the request to
// the end of its answer. It applies to the faster engines, since the choice of
// an engine sends long answers there. It is zero before the first answers.
func (limiter *Limiter) serviceTime(ticket *Ticket) time.Duration {
	return secondsToDuration(limiter.meanFirstToken.value + limiter.meanPerToken.value*float64(ticket.Tokens)*limiter.highLength.value)
}

// minServiceTime returns a low estimate of the time that the request takes at a
// free engine.
func (limiter *Limiter) minServiceTime(ticket *Ticket) time.Duration {
	return secondsToDuration(limiter.minFirstToken.value + limiter.meanPerToken.value*limiter.expectedTokens(ticket)*minAnswerFraction)
}

// admissionFailure returns the refusal of a request that is not expected to
// finish by its deadline, or would wait too long. It returns nil if the request
// is admitted.
func (limiter *Limiter) admissionFailure(now time.Time, queue *queue, ticket *Ticket) *dragonflyhatch.Failure {
	if limiter.waiting >= limiter.options.MaxWaiting {
		return &dragonflyhatch.Failure{Kind: dragonflyhatch.KindOverloaded, Detail: "too many requests are waiting"}
	}
	timeLeft := ticket.Deadline.Sub(now)
	if limiter.highLength.count < minCompleteAnswers {
		return nil
	}
	if limiter.waiting == 0 && float64(limiter.inFlight) < limiter.window {
		if limiter.minServiceTime(ticket) > timeLeft {
			return deadlineTooShort()
		}
		return nil
	}
	expectedWait := limiter.expectedWait(queue, ticket)
	if expectedWait+limiter.serviceTime(ticket) > timeLeft {
		return deadlineTooShort()
	}
	// After a long wait only the fastest engines could still finish the
	// request in time, and the others would idle.
	if expectedWait > secondsToDuration(timeLeft.Seconds()*limiter.options.MaxWaitFraction) {
		return &dragonflyhatch.Failure{Kind: dragonflyhatch.KindOverloaded, Detail: "the request would have to wait too long"}
	}
	return nil
}

func deadlineTooShort() *dragonflyhatch.Failure {
	return &dragonflyhatch.Failure{Kind: dragonflyhatch.KindDeadlineTooShort, Detail: "the engines are too busy for the request to finish in time"}
}

// expectedWait estimates how long the request waits here: the tokens that fair
// queueing serves before it, divided by the throughput of the engines.
func (limiter *Limiter) expectedWait(queue *queue, ticket *Ticket) time.Duration {
	rate := limiter.throughput.rate
	if limiter.waiting == 0 || rate == 0 {
		return 0
	}
	queueTokens := queue.tokensBefore(ticket.Deadline, limiter)
	due := limiter.virtualStart(queue) + queueTokens/queue.weight
	ahead := queueTokens
	for _, other := range limiter.queues {
		if other == queue {
			continue
		}
		lead := due - limiter.virtualStart(other)
		ahead += min(other.tokens, max(0, lead*other.weight))
	}
	return secondsToDuration(ahead / rate)
}

// virtualStart returns the virtual start time of the queue's next request. An
// organisation that has not used its share may lag behind the current virtual
// time by at most Burst, which lets it send a burst.
func (limiter *Limiter) virtualStart(queue *queue) float64 {
	return max(limiter.virtualTime-limiter.throughput.rate*limiter.options.Burst.Seconds(), queue.virtualTime)
}

// tokensBefore returns the expected tokens of the queued requests that go before
// a new one with the deadline.
func (queue *queue) tokensBefore(deadline time.Time, limiter *Limiter) float64 {
	tokens := 0.0
	for _, ticket := range queue.tickets {
		if ticket.Deadline.After(deadline) {
			break
		}
		tokens += limiter.expectedTokens(ticket)
	}
	return tokens
}

func (queue *queue) add(ticket *Ticket, tokens float64) {
	index, _ := slices.BinarySearchFunc(queue.tickets, ticket.Deadline, func(queued *Ticket, deadline time.Time) int {
		if queued.Deadline.After(deadline) {
			return 1
		}
		return -1
	})
	queue.tickets = slices.Insert(queue.tickets, index, ticket)
	queue.tokens += tokens
}

// startQueued sends waiting requests as far as the window allows.
func (limiter *Limiter) startQueued(now time.Time) {
	for limiter.waiting > 0 && float64(limiter.inFlight) < limiter.window {
		queue := limiter.nextQueue()
		ticket := queue.tickets[0]
		queue.tickets = queue.tickets[1:]
		limiter.waiting--
		tokens := limiter.expectedTokens(ticket)
		queue.tokens = max(0, queue.tokens-tokens)
		if limiter.missesDeadline(now, ticket) {
			limiter.refuse(ticket, deadlineTooShort())
			continue
		}
		virtualStart := limiter.virtualStart(queue)
		limiter.virtualTime = max(limiter.virtualTime, virtualStart)
		queue.virtualTime = virtualStart + tokens/queue.weight
		limiter.inFlight++
		ticket.startedAt = now
		limiter.decisions = append(limiter.decisions, Decision{Ticket: ticket})
	}
}

// missesDeadline reports whether the next request should be refused instead of
// sent. While other requests are waiting, it is refused if it probably cannot
// finish by its deadline; otherwise only if even the low estimate of its service
// time is too long.
func (limiter *Limiter) missesDeadline(now time.Time, ticket *Ticket) bool {
	if limiter.highLength.count < minCompleteAnswers {
		return false
	}
	needed := limiter.minServiceTime(ticket)
	if limiter.waiting > 0 {
		needed = limiter.serviceTime(ticket)
	}
	return now.Add(needed).After(ticket.Deadline)
}

// nextQueue returns the queue with the earliest virtual start.
func (limiter *Limiter) nextQueue() *queue {
	var first *queue
	for _, queue := range limiter.queues {
		if len(queue.tickets) == 0 {
			continue
		}
		if first == nil || limiter.virtualStart(queue) < limiter.virtualStart(first) || limiter.virtualStart(queue) == limiter.virtualStart(first) && queue.name < first.name {
			first = queue
		}
	}
	return first
}

// FirstToken handles the first token of a request that was sent.
func (limiter *Limiter) FirstToken(now time.Time, ticket *Ticket) []Decision {
	ticket.firstToken = true
	firstToken := now.Sub(ticket.startedAt).Seconds()
	limiter.meanFirstToken.add(firstToken)
	limiter.minFirstToken.add(firstToken)
	limiter.adjustWindow(now, ticket, firstToken)
	limiter.startQueued(now)
	return limiter.takeDecisions()
}

// Result is the result of a request that was sent.
type Result struct {
	AfterFirstToken time.Duration // from the first token to the end
	Tokens          int           // tokens that were generated
	Complete        bool          // the answer is complete
	DeadlinePassed  bool          // the deadline passed before the end
}

// Done handles the end of a request that was sent.
func (limiter *Limiter) Done(now time.Time, ticket *Ticket, result Result) []Decision {
	limiter.inFlight--
	limiter.recordResult(now, ticket, result)
	limiter.startQueued(now)
	return limiter.takeDecisions()
}

// Abandon removes a waiting request. It returns false if the request has already
// been sent or refused.
func (limiter *Limiter) Abandon(ticket *Ticket) bool {
	queue, ok := limiter.queues[ticket.Organisation]
	if !ok {
		return false
	}
	index := slices.Index(queue.tickets, ticket)
	if index < 0 {
		return false
	}
	queue.tickets = slices.Delete(queue.tickets, index, index+1)
	queue.tokens = max(0, queue.tokens-limiter.expectedTokens(ticket))
	limiter.waiting--
	return true
}

// Tick refuses the waiting requests that are no longer expected to finish in
// time.
func (limiter *Limiter) Tick(now time.Time) []Decision {
	for _, queue := range limiter.queues {
		for len(queue.tickets) > 0 && now.Add(limiter.serviceTime(queue.tickets[0])).After(queue.tickets[0].Deadline) {
			ticket := queue.tickets[0]
			limiter.Abandon(ticket)
			limiter.refuse(ticket, deadlineTooShort())
		}
	}
	limiter.throughput.closeSlot(now)
	return limiter.takeDecisions()
}
