package hatchload

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"dragonflyhatch"
	"dragonflyhatch/hatchstandin"
)

// Plan configures where a trace is sent and which deadlines and checks apply.
type Plan struct {
	EntryHosts     []string        // addresses of the entry hosts to start from
	BearerTokens   []string        // bearer token of each organisation
	MaxDurations   []time.Duration // deadline of each organisation, from the start of a request
	Model          string
	ModelVersion   string  // of the stand-in engines, to check completions; empty for no check
	Layers         int     // of the stand-in model, to check completions
	OrderPath      string  // path of the orders below /v1/services/
	ReadPath       string  // path of the repeatable calls
	ServiceAddress string  // address of the service stand-in, to check orders; empty for no check
	Capacity       float64 // tokens per second that the engines can produce; 0 if unknown
	MaxConcurrent  int     // maximum number of concurrent requests
}

// deadlineGrace is how long a caller continues to wait for a response after its
// deadline, so that late responses are counted as late.
const deadlineGrace = time.Second

// callersPerOrganisation is the number of callers of each organisation; each
// caches its own list of entry addresses.
const callersPerOrganisation = 8

// Run sends each item at its time in the trace and returns the report. It ends
// when the last request has ended; when ctx is done, open requests are cancelled
// and no more are started.
func Run(ctx context.Context, plan Plan, items []Item) (*Report, error) {
	callers := make([]*caller, len(plan.BearerTokens)*callersPerOrganisation)
	for i := range callers {
		first := i % len(plan.EntryHosts)
		callers[i] = newCaller(slices.Concat(plan.EntryHosts[first:], plan.EntryHosts[:first]))
	}
	tally := newTally(plan)
	group := pool.New().WithMaxGoroutines(plan.MaxConcurrent)
	started := time.Now()
	for i, item := range items {
		if !wait(ctx, time.Until(started.Add(item.At))) {
			break
		}
		group.Go(func() {
			result := runItem(ctx, plan, callers[item.Organisation*callersPerOrganisation+i%callersPerOrganisation], item)
			tally.add(item, result)
		})
	}
	group.Wait()
	report := tally.report(time.Since(started))
	if plan.ServiceAddress == "" {
		return report, nil
	}
	return report, report.checkRuns(ctx, plan.ServiceAddress, tally.orders)
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

// itemResult is the result of an item of the trace.
type itemResult struct {
	callResult
	key       string // idempotency key of an order
	elapsed   time.Duration
	wrongText bool // the completion differs from the one that the oracle expects
}

func runItem(ctx context.Context, plan Plan, caller *caller, item Item) itemResult {
	token, timeout := plan.BearerTokens[item.Organisation], plan.MaxDurations[item.Organisation]
	started := time.Now()
	deadline := started.Add(timeout + deadlineGrace)
	var result itemResult
	switch item.Kind {
	case ItemOrder:
		result.callResult, result.key = caller.postOrder(ctx, token, plan.OrderPath, deadline)
	case ItemRead:
		result.callResult = caller.getRepeatable(ctx, token, plan.ReadPath, deadline)
	default:
		result.callResult = caller.complete(ctx, token, plan.Model, item, deadline)
		result.wrongText = result.finish != "" && plan.ModelVersion != "" && !isExpectedAnswer(plan, item, result.callResult)
	}
	result.elapsed = time.Since(started)
	return result
}

// isExpectedAnswer reports whether the text and the finish reason are those of
// the stand-in model.
func isExpectedAnswer(plan Plan, item Item, result callResult) bool {
	text, finish := hatchstandin.ExpectedAnswer(plan.generation(item), plan.Layers)
	return result.text == text && result.finish == finish
}

// generation returns the request that the engines receive for an item.
func (plan Plan) generation(item Item) dragonflyhatch.Generation {
	return dragonflyhatch.Generation{
		Pipeline:  dragonflyhatch.Pipeline{Model: plan.Model, Version: plan.ModelVersion},
		Prompt:    "user: " + item.Prompt + "\n",
		Seed:      item.Seed,
		MaxTokens: item.MaxTokens,
	}
}
