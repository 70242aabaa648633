package hatchlimit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// engines is a queueing model of the engines behind one limiter: slots that each
// generate tokens at the same rate, and a first-in-first-out queue.
type engines struct {
	slots    int
	perToken time.Duration
	free     int
	queue    []*job
}

type job struct {
	ticket     *Ticket
	tokens     int
	firstToken time.Time
	lastToken  time.Time
	nextEvent  time.Time // firstToken, and then lastToken
}

// timeline is a heap of jobs by the time of their next event.
type timeline []*job

func (timeline timeline) Len() int { return len(timeline) }
func (timeline timeline) Less(i, j int) bool {
	return timeline[i].nextEvent.Before(timeline[j].nextEvent)
}
func (timeline timeline) Swap(i, j int) { timeline[i], timeline[j] = timeline[j], timeline[i] }

// Push adds a job.
func (timeline *timeline) Push(value any) { *timeline = append(*timeline, value.(*job)) }

// Pop removes the last job.
func (timeline *timeline) Pop() any {
	last := (*timeline)[len(*timeline)-1]
	*timeline = (*timeline)[:len(*timeline)-1]
	return last
}

// outcome counts the requests of one organisation by their result.
type outcome struct {
	submitted, inTime, late, refused int
	tokens                           int // of the answers that finished in time
}

func (outcome *outcome) finish(now time.Time, done *job) {
	if now.After(done.ticket.Deadline) {
		outcome.late++
		return
	}
	outcome.inTime++
	outcome.tokens += done.tokens
}

// simulate submits requests for one minute of virtual time, at a rate of load
// times the capacity of the engines. It returns the outcomes by organisation and
// the maximum number of tokens that the engines could generate. The weights are
// the organisations' relative shares of the load. Without admit, requests bypass
// the limiter.
func simulate(seed uint64, load float64, weights []float64, admit bool) (map[string]*outcome, float64) {
	const duration, timeout = 60 * time.Second, 4 * time.Second
	random := rand.New(rand.NewPCG(seed, 1))
	engines := &engines{slots: 32, perToken: 40 * time.Millisecond, free: 32}
	capacity := float64(engines.slots) / engines.perToken.Seconds() // tokens per second
	rate := load * capacity / 32.5                                  // requests per second; each has 1 to 64 tokens, 32.5 on average
	limiter := NewLimiter(DefaultOptions())
	outcomes := make(map[string]*outcome)
	var running timeline
	now := time.Unix(0, 0)
	arrival, end := now, now.Add(duration)
	answerTokens := make(map[*Ticket]int)

	launch := func(decisions []Decision) {
		for _, decision := range decisions {
			if decision.Failure != nil {
				outcomes[decision.Ticket.Organisation].refused++
				continue
			}
			engines.queue = append(engines.queue, &job{ticket: decision.Ticket, tokens: answerTokens[decision.Ticket]})
		}
		for engines.free > 0 && len(engines.queue) > 0 {
			next := engines.queue[0]
			engines.queue = engines.queue[1:]
			engines.free--
			next.firstToken = now.Add(engines.perToken)
			next.lastToken = now.Add(time.Duration(next.tokens) * engines.perToken)
			next.nextEvent = next.firstToken
			heap.Push(&running, next)
		}
	}
	for {
		if len(running) > 0 && (arrival.After(end) || running[0].nextEvent.Before(arrival)) {
			done := heap.Pop(&running).(*job)
			now = done.nextEvent
			if now.Before(done.lastToken) {
				done.nextEvent = done.lastToken
				heap.Push(&running, done)
				if admit {
					launch(limiter.FirstToken(now, done.ticket))
				}
				continue
			}
			engines.free++
			outcomes[done.ticket.Organisation].finish(now, done)
			if !admit {
				launch(nil)
				continue
			}
			launch(limiter.Done(now, done.ticket, Result{AfterFirstToken: now.Sub(done.firstToken), Tokens: done.tokens, Complete: true}))
			continue
		}
		if arrival.After(end) {
			break
		}
		now = arrival
		arrival = arrival.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		ticket := &Ticket{
			Organisation: fmt.Sprintf("o%d", pickWeighted(random, weights)), Share: 1,
			Tokens: 64, Deadline: now.Add(timeout),
		}
		answerTokens[ticket] = 1 + random.IntN(64)
		if outcomes[ticket.Organisation] == nil {
			outcomes[ticket.Organisation] = &outcome{}
		}
		outcomes[ticket.Organisation].submitted++
		if !admit {
			launch([]Decision{{Ticket: ticket}})
			continue
		}
		launch(limiter.Arrive(now, ticket))
	}
	return outcomes, capacity * duration.Seconds()
}

func pickWeighted(random *rand.Rand, weights []float64) int {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	draw := random.Float64() * total
	for i, weight := range weights {
		if draw -= weight; draw < 0 {
			return i
		}
	}
	return len(weights) - 1
}

func totals(outcomes map[string]*outcome) outcome {
	var sum outcome
	for _, outcome := range outcomes {
		sum.submitted += outcome.submitted
		sum.inTime += outcome.inTime
		sum.late += outcome.late
		sum.refused += outcome.refused
		sum.tokens += outcome.tokens
	}
	return sum
}

func TestThroughputNearCapacityAndOverload(t *testing.T) {
	even := []float64{1, 1, 1, 1}
	convey.Convey("At 0.9 times the capacity at least 0.99 of the requests finish in time", t, func() {
		sum := totals(outcomesOnly(simulate(1, 0.9, even, true)))
		convey.So(float64(sum.inTime)/float64(sum.submitted), convey.ShouldBeGreaterThanOrEqualTo, 0.99)
	})
	convey.Convey("At twice the capacity at least 0.9 of the possible tokens finish in time", t, func() {
		outcomes, bound := simulate(1, 2, even, true)
		sum := totals(outcomes)
		t.Logf("in time %d, late %d, refused %d; %.3f of the possible tokens", sum.inTime, sum.late, sum.refused, float64(sum.tokens)/bound)
		convey.So(float64(sum.tokens)/bound, convey.ShouldBeGreaterThanOrEqualTo, 0.9)
	})
	convey.Convey("Without admission less than half of the possible tokens finish in time", t, func() {
		outcomes, bound := simulate(1, 2, even, false)
		convey.So(float64(totals(outcomes).tokens)/bound, convey.ShouldBeLessThan, 0.5)
	})
}

func outcomesOnly(outcomes map[string]*outcome, _ float64) map[string]*outcome { return outcomes }

func TestSharesAreFair(t *testing.T) {
	convey.Convey("An overload by one organisation does not delay the others", t, func() {
		// o0 alone requests 1.6 times the capacity, the others 0.1 times each.
		outcomes, bound := simulate(2, 2, []float64{16, 1, 1, 1, 1}, true)
		for _, name := range []string{"o1", "o2", "o3", "o4"} {
			counts := outcomes[name]
			convey.So(float64(counts.inTime)/float64(counts.submitted), convey.ShouldBeGreaterThanOrEqualTo, 0.99)
		}
		convey.Convey("and it may use the capacity that they leave unused", func() {
			convey.So(float64(totals(outcomes).tokens)/bound, convey.ShouldBeGreaterThanOrEqualTo, 0.9)
		})
	})
}

// TestTicketsAreDecidedOnce checks that each ticket is sent, refused or abandoned
// exactly once, that a refusal is always of a kind that did not run, and that no
// request waits while the window has free capacity.
func TestTicketsAreDecidedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limiter := NewLimiter(DefaultOptions())
		now := time.Unix(0, 0)
		waiting, running := make(map[*Ticket]bool), []*Ticket(nil)
		checkDecisions := func(decisions []Decision) {
			for _, decision := range decisions {
				if !waiting[decision.Ticket] {
					t.Fatalf("a ticket was decided twice")
				}
				delete(waiting, decision.Ticket)
				if decision.Failure == nil {
					running = append(running, decision.Ticket)
				} else if decision.Failure.Kind.ErrorResponse().Ran != 0 {
					t.Fatalf("refused with %v", decision.Failure.Kind)
				}
			}
			if limiter.Waiting() != len(waiting) {
				t.Fatalf("%d tickets wait, but the limiter counts %d", len(waiting), limiter.Waiting())
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(t, "burst") {
					ticket := &Ticket{
						Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"),
						Share:        rapid.IntRange(0, 3).Draw(t, "share"),
						Tokens:       rapid.IntRange(1, 100).Draw(t, "tokens"),
						Deadline:     now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "millis")) * time.Millisecond),
					}
					waiting[ticket] = true
					checkDecisions(limiter.Arrive(now, ticket))
				}
			},
			"done": func(t *rapid.T) {
				if len(running) == 0 {
					return
				}
				ticket := running[0]
				running = running[1:]
				result := Result{DeadlinePassed: true}
				if rapid.Bool().Draw(t, "answered") {
					checkDecisions(limiter.FirstToken(now, ticket))
					result = Result{AfterFirstToken: time.Second, Tokens: 20, Complete: true}
				}
				checkDecisions(limiter.Done(now, ticket, result))
			},
			"abandon": func(*rapid.T) {
				for ticket := range waiting {
					if !limiter.Abandon(ticket) {
						t.Fatalf("a waiting ticket cannot be abandoned")
					}
					delete(waiting, ticket)
					break
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "millis")) * time.Millisecond)
				checkDecisions(limiter.Tick(now))
			},
			"": func(*rapid.T) {
				if len(waiting) > 0 && float64(len(running)) < limiter.Window()-1 {
					t.Fatalf("%d tickets wait with %d of %.1f in flight", len(waiting), len(running), limiter.Window())
				}
			},
		})
	})
}

func TestBurstAfterLowLoadIsAdmitted(t *testing.T) {
	convey.Convey("Given a limiter after a period of low load", t, func() {
		limiter, now := NewLimiter(DefaultOptions()), time.Unix(0, 0)
		ticket := func() *Ticket { return &Ticket{Organisation: "o", Tokens: 48, Deadline: now.Add(8 * time.Second)} }
		for range 40 {
			quiet := ticket()
			convey.So(limiter.Arrive(now, quiet), convey.ShouldHaveLength, 1)
			now = now.Add(10 * time.Millisecond)
			limiter.FirstToken(now, quiet)
			now = now.Add(240 * time.Millisecond)
			limiter.Done(now, quiet, Result{AfterFirstToken: 120 * time.Millisecond, Tokens: 24, Complete: true})
		}
		convey.Convey("a burst of three times its window is not refused", func() {
			refused := 0
			for range 3 * int(limiter.Window()) {
				for _, decision := range limiter.Arrive(now, ticket()) {
					if decision.Failure != nil {
						refused++
					}
				}
			}
			convey.So(refused, convey.ShouldEqual, 0)
		})
	})
}
