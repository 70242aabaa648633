package hatchload

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"dragonflyhatch"
	"dragonflyhatch/hatchstandin"
)

// Plan says where a trace is sent and what counts as on time.
type Plan struct {
	Entries      []string        // addresses of entry hosts to begin with
	Tokens       []string        // bearer token of each organisation
	Promises     []time.Duration // deadline of each organisation
	Model        string
	ModelVersion string // of the stand-in engines, to check answers; empty for no check
	Layers       int
	Service      string  // path of the orders below /v1/services/
	ReadPath     string  // path of the repeatable calls
	RunsAt       string  // address of the service stand-in, to check orders; empty for no check
	Capacity     float64 // tokens a second that the engines can make; 0 if unknown
	MaxOpen      int     // requests open at once
}

// grace is how long a caller waits past its deadline for the answer to arrive.
const grace = time.Second

// callersEach is the number of callers of one organisation; each keeps its own
// entries answer.
const callersEach = 8

// Run sends the trace in its own time and returns the report. It ends when the
// last request has ended, or soon after ctx is done.
func Run(ctx context.Context, plan Plan, items []Item) (*Report, error) {
	callers := make([]*caller, len(plan.Tokens)*callersEach)
	for i := range callers {
		first := i % len(plan.Entries)
		callers[i] = newCaller(slices.Concat(plan.Entries[first:], plan.Entries[:first]))
	}
	tally := newTally(plan)
	group := pool.New().WithMaxGoroutines(plan.MaxOpen)
	begun := time.Now()
	for i, item := range items {
		if !wait(ctx, time.Until(begun.Add(item.At))) {
			break
		}
		group.Go(func() {
			end := one(ctx, plan, callers[item.Organisation*callersEach+i%callersEach], item)
			tally.add(item, end)
		})
	}
	group.Wait()
	report := tally.report(time.Since(begun))
	if plan.RunsAt == "" {
		return report, nil
	}
	return report, report.checkRuns(ctx, plan.RunsAt, tally.orders)
}

// wait waits for the duration; it returns false once ctx is done.
func wait(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// ended is a request with its end.
type ended struct {
	answer
	key     string
	elapsed time.Duration
	wrong   bool // the text is not the oracle's
}

func one(ctx context.Context, plan Plan, caller *caller, item Item) ended {
	token, promise := plan.Tokens[item.Organisation], plan.Promises[item.Organisation]
	begun := time.Now()
	timeout := begun.Add(promise + grace)
	var end ended
	switch item.Kind {
	case ItemOrder:
		end.answer, end.key = caller.order(ctx, token, plan.Service, timeout)
	case ItemRead:
		end.answer = caller.read(ctx, token, plan.ReadPath, timeout)
	default:
		end.answer = caller.complete(ctx, token, plan.Model, item, timeout)
		end.wrong = end.finish != "" && plan.ModelVersion != "" && !rightAnswer(plan, item, end.answer)
	}
	end.elapsed = time.Since(begun)
	return end
}

// rightAnswer holds an answer against the stand-in model.
func rightAnswer(plan Plan, item Item, end answer) bool {
	text, finish := hatchstandin.ExpectedAnswer(plan.generation(item), plan.Layers)
	return end.text == text && end.finish == finish
}

// generation is what the engines are asked for an item.
func (plan Plan) generation(item Item) dragonflyhatch.Generation {
	return dragonflyhatch.Generation{
		Pipeline:  dragonflyhatch.Pipeline{Model: plan.Model, Version: plan.ModelVersion},
		Prompt:    "user: " + item.Prompt + "\n",
		Seed:      item.Seed,
		MaxTokens: item.MaxTokens,
	}
}
