package hatchload

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"dragonflyhatch/hatchstandin"
)

// The range of the histograms in microseconds, and their precision in decimal
// digits.
const (
	lowestMicros      = 1
	highestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// DurationStats summarizes a distribution of durations.
type DurationStats struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50"` // in nanoseconds, like the other durations
	P95   time.Duration `json:"p95"`
	P99   time.Duration `json:"p99"`
	Max   time.Duration `json:"max"`
}

// OrganisationCounts counts one organisation's requests.
type OrganisationCounts struct {
	Sent   int `json:"sent"`
	InTime int `json:"inTime"` // served before the organisation's deadline
}

// Report holds the results of a run.
type Report struct {
	Elapsed       time.Duration        `json:"elapsed"` // in nanoseconds
	Sent          int                  `json:"sent"`
	InTime        int                  `json:"inTime"`
	Late          int                  `json:"late"`     // served after the deadline
	Outcomes      map[string]int       `json:"outcomes"` // requests by outcome; that of a refusal is its kind and whether the request ran
	OfferedTokens int                  `json:"offeredTokens"`
	InTimeTokens  int                  `json:"inTimeTokens"`
	TokenBound    int                  `json:"boundTokens"` // upper bound on InTimeTokens; 0 if unknown
	FirstToken    DurationStats        `json:"firstToken"`
	BetweenTokens DurationStats        `json:"betweenTokens"`
	LongestStall  DurationStats        `json:"longestStall"` // longest time without a token in each stream
	Organisations []OrganisationCounts `json:"organisations"`
	Reconnects    int                  `json:"reconnects"`
	WrongAnswers  int                  `json:"wrong"` // completions that differ from what the stand-in model generates
	Orders        OrderCheck           `json:"orders"`
}

// OrderCheck compares the responses to orders with the runs that the service
// stand-in counted.
type OrderCheck struct {
	Checked       int `json:"checked"`
	RanRepeatedly int `json:"repeated"`  // keys that ran more than once
	FalseNotRun   int `json:"falseNo"`   // reported as not run, but ran
	FalseServed   int `json:"falseDone"` // reported as served, but did not run
	Unknown       int `json:"unknown"`   // outcome reported as unknown, or no response
}

// Violations returns the number of violated guarantees: wrong completions, orders
// that ran more than once and responses that misreport whether an order ran.
func (report *Report) Violations() int {
	return report.WrongAnswers + report.Orders.RanRepeatedly + report.Orders.FalseNotRun + report.Orders.FalseServed
}

// tally accumulates the results of requests.
type tally struct {
	plan Plan

	mu            sync.Mutex
	totals        Report
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
	stall         *hdrhistogram.Histogram
	orders        []itemResult
}

func newTally(plan Plan) *tally {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
	}
	return &tally{
		plan:       plan,
		firstToken: histogram(), betweenTokens: histogram(), stall: histogram(),
		totals: Report{Outcomes: make(map[string]int), Organisations: make([]OrganisationCounts, len(plan.BearerTokens))},
	}
}

func (tally *tally) add(item Item, result itemResult) {
	tally.mu.Lock()
	defer tally.mu.Unlock()
	totals := &tally.totals
	totals.Sent++
	totals.Outcomes[result.outcome()]++
	totals.Reconnects += result.reconnects
	counts := &totals.Organisations[item.Organisation]
	counts.Sent++
	inTime := result.isServed() && result.elapsed <= tally.plan.MaxDurations[item.Organisation]
	switch {
	case inTime:
		totals.InTime++
		counts.InTime++
	case result.isServed():
		totals.Late++
	}
	switch item.Kind {
	case ItemOrder:
		tally.orders = append(tally.orders, result)
	case ItemCompletion:
		tally.addCompletion(item, result, inTime)
	}
}

func (tally *tally) addCompletion(item Item, result itemResult, inTime bool) {
	totals := &tally.totals
	tokens := hatchstandin.AnswerTokens(tally.plan.generation(item))
	totals.OfferedTokens += tokens
	if inTime {
		totals.InTimeTokens += tokens
	}
	if result.wrongText {
		totals.WrongAnswers++
	}
	if result.firstToken > 0 {
		recordDuration(tally.firstToken, result.firstToken)
		recordDuration(tally.stall, result.longestStall)
	}
	for _, gap := range result.tokenGaps {
		recordDuration(tally.betweenTokens, gap)
	}
}

// recordDuration adds a duration to the histogram, clamped to its range.
func recordDuration(histogram *hdrhistogram.Histogram, duration time.Duration) {
	_ = histogram.RecordValue(min(highestMicros, max(lowestMicros, duration.Microseconds())))
}

func (result itemResult) isServed() bool {
	return result.err == nil && result.problem.Kind == "" && result.status < http.StatusMultipleChoices
}

func (result itemResult) outcome() string {
	switch {
	case result.problem.Kind != "":
		return result.problem.Kind + " (ran " + result.problem.Ran + ")"
	case result.err != nil:
		return "no answer"
	case result.isServed():
		return "served"
	}
	return fmt.Sprintf("status %d", result.status)
}

func (tally *tally) report(elapsed time.Duration) *Report {
	tally.mu.Lock()
	defer tally.mu.Unlock()
	totals := tally.totals
	totals.Elapsed = elapsed
	totals.FirstToken = summarize(tally.firstToken)
	totals.BetweenTokens = summarize(tally.betweenTokens)
	totals.LongestStall = summarize(tally.stall)
	if tally.plan.Capacity > 0 {
		totals.TokenBound = min(totals.OfferedTokens, int(tally.plan.Capacity*elapsed.Seconds()))
	}
	return &totals
}

func summarize(histogram *hdrhistogram.Histogram) DurationStats {
	percentile := func(percent float64) time.Duration {
		return time.Duration(histogram.ValueAtQuantile(percent)) * time.Microsecond
	}
	return DurationStats{Count: histogram.TotalCount(), P50: percentile(50), P95: percentile(95), P99: percentile(99), Max: time.Duration(histogram.Max()) * time.Microsecond}
}

// checkRuns asks the service stand-in how often each order ran and compares that
// with the responses.
func (report *Report) checkRuns(ctx context.Context, address string, orders []itemResult) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/standin/runs", nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "query runs from the service stand-in")
	}
	defer response.Body.Close()
	var keyRuns []hatchstandin.KeyRuns
	if err := json.NewDecoder(response.Body).Decode(&keyRuns); err != nil {
		return errors.Wrap(err, "query runs from the service stand-in")
	}
	runs := make(map[string]int, len(keyRuns))
	for _, key := range keyRuns {
		runs[key.Key] = key.Runs
	}
	for _, order := range orders {
		report.Orders.check(order, runs[order.key])
	}
	return nil
}

func (check *OrderCheck) check(order itemResult, runs int) {
	check.Checked++
	switch {
	case runs > 1:
		check.RanRepeatedly++
	case order.problem.Ran == "no" && runs > 0:
		check.FalseNotRun++
	case order.isServed() && runs != 1:
		check.FalseServed++
	case order.problem.Ran == "unknown" || order.err != nil:
		check.Unknown++
	}
}

// Print writes the report as text.
func (report *Report) Print(writer io.Writer) {
	fmt.Fprintf(writer, "%d requests in %v: %d in time, %d late\n", report.Sent, report.Elapsed.Round(time.Millisecond), report.InTime, report.Late)
	for _, outcome := range slices.Sorted(maps.Keys(report.Outcomes)) {
		fmt.Fprintf(writer, "  %-40s %6d\n", outcome, report.Outcomes[outcome])
	}
	if report.TokenBound > 0 {
		fmt.Fprintf(writer, "tokens: %d of %d offered were completed in time, %.1f%% of the upper bound of %d\n",
			report.InTimeTokens, report.OfferedTokens, 100*float64(report.InTimeTokens)/float64(report.TokenBound), report.TokenBound)
	}
	printTimes(writer, "first token", report.FirstToken)
	printTimes(writer, "between tokens", report.BetweenTokens)
	printTimes(writer, "longest stall", report.LongestStall)
	for i, counts := range report.Organisations {
		fmt.Fprintf(writer, "organisation %d: %d of %d in time\n", i, counts.InTime, counts.Sent)
	}
	fmt.Fprintf(writer, "reconnects %d, wrong answers %d\n", report.Reconnects, report.WrongAnswers)
	orders := report.Orders
	fmt.Fprintf(writer, "orders checked %d: ran more than once %d, ran though reported as not run %d, did not run though served %d, unknown %d\n",
		orders.Checked, orders.RanRepeatedly, orders.FalseNotRun, orders.FalseServed, orders.Unknown)
}

func printTimes(writer io.Writer, label string, times DurationStats) {
	fmt.Fprintf(writer, "%-15s p50 %v, p95 %v, p99 %v, max %v\n", label, times.P50, times.P95, times.P99, times.Max)
}
