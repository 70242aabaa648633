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

// The range of the histograms, in microseconds.
const (
	lowestMicros  = 1
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	digits        = 3
)

// Times is a distribution of durations.
type Times struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50"` // nanoseconds, as all of these
	P95   time.Duration `json:"p95"`
	P99   time.Duration `json:"p99"`
	Max   time.Duration `json:"max"`
}

// Share is what became of one organisation's requests.
type Share struct {
	Sent   int `json:"sent"`
	InTime int `json:"inTime"`
}

// Report is what became of a load.
type Report struct {
	Elapsed       time.Duration  `json:"elapsed"` // nanoseconds
	Sent          int            `json:"sent"`
	InTime        int            `json:"inTime"`
	Late          int            `json:"late"`
	Outcomes      map[string]int `json:"outcomes"` // "served", or the kind of the refusal and what it says of the run
	OfferedTokens int            `json:"offeredTokens"`
	InTimeTokens  int            `json:"inTimeTokens"`
	BoundTokens   int            `json:"boundTokens"` // the most that could have been finished in time; 0 if unknown
	FirstToken    Times          `json:"firstToken"`
	BetweenTokens Times          `json:"betweenTokens"`
	LongestStall  Times          `json:"longestStall"` // of each stream
	Organisations []Share        `json:"organisations"`
	Reconnects    int            `json:"reconnects"`
	Wrong         int            `json:"wrong"` // answers that were not the model's
	Orders        OrderCheck     `json:"orders"`
}

// OrderCheck compares the answers to orders with what the service counted.
type OrderCheck struct {
	Checked   int `json:"checked"`
	Repeated  int `json:"repeated"`  // keys that ran more than once
	FalseNo   int `json:"falseNo"`   // answered "not run", and ran
	FalseDone int `json:"falseDone"` // answered as served, and did not run
	Unknown   int `json:"unknown"`   // answered "unknown", or not at all
}

// Faults counts the broken promises of a report.
func (report *Report) Faults() int {
	return report.Wrong + report.Orders.Repeated + report.Orders.FalseNo + report.Orders.FalseDone
}

// tally collects the ends of requests.
type tally struct {
	plan Plan

	mu         sync.Mutex
	result     Report
	firstToken *hdrhistogram.Histogram
	between    *hdrhistogram.Histogram
	stall      *hdrhistogram.Histogram
	orders     []ended
}

func newTally(plan Plan) *tally {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(lowestMicros, highestMicros, digits) }
	return &tally{
		plan:       plan,
		firstToken: histogram(), between: histogram(), stall: histogram(),
		result: Report{Outcomes: make(map[string]int), Organisations: make([]Share, len(plan.Tokens))},
	}
}

func (tally *tally) add(item Item, end ended) {
	tally.mu.Lock()
	defer tally.mu.Unlock()
	result := &tally.result
	result.Sent++
	result.Outcomes[end.outcome()]++
	result.Reconnects += end.reconnects
	share := &result.Organisations[item.Organisation]
	share.Sent++
	inTime := end.served() && end.elapsed <= tally.plan.Promises[item.Organisation]
	switch {
	case inTime:
		result.InTime++
		share.InTime++
	case end.served():
		result.Late++
	}
	switch item.Kind {
	case ItemOrder:
		tally.orders = append(tally.orders, end)
	case ItemCompletion:
		tally.addCompletion(item, end, inTime)
	}
}

func (tally *tally) addCompletion(item Item, end ended, inTime bool) {
	result := &tally.result
	tokens := hatchstandin.AnswerTokens(tally.plan.generation(item))
	result.OfferedTokens += tokens
	if inTime {
		result.InTimeTokens += tokens
	}
	if end.wrong {
		result.Wrong++
	}
	if end.firstToken > 0 {
		record(tally.firstToken, end.firstToken)
		record(tally.stall, end.longest)
	}
	for _, gap := range end.gaps {
		record(tally.between, gap)
	}
}

// record counts a duration; one beyond the histogram's range counts as the
// longest.
func record(histogram *hdrhistogram.Histogram, duration time.Duration) {
	_ = histogram.RecordValue(min(highestMicros, max(lowestMicros, duration.Microseconds())))
}

func (end ended) served() bool {
	return end.err == nil && end.problem.Kind == "" && end.status < http.StatusMultipleChoices
}

func (end ended) outcome() string {
	switch {
	case end.problem.Kind != "":
		return end.problem.Kind + " (ran " + end.problem.Ran + ")"
	case end.err != nil:
		return "no answer"
	case end.served():
		return "served"
	}
	return fmt.Sprintf("status %d", end.status)
}

func (tally *tally) report(elapsed time.Duration) *Report {
	tally.mu.Lock()
	defer tally.mu.Unlock()
	result := tally.result
	result.Elapsed = elapsed
	result.FirstToken = times(tally.firstToken)
	result.BetweenTokens = times(tally.between)
	result.LongestStall = times(tally.stall)
	if tally.plan.Capacity > 0 {
		result.BoundTokens = min(result.OfferedTokens, int(tally.plan.Capacity*elapsed.Seconds()))
	}
	return &result
}

func times(histogram *hdrhistogram.Histogram) Times {
	at := func(quantile float64) time.Duration {
		return time.Duration(histogram.ValueAtQuantile(quantile)) * time.Microsecond
	}
	return Times{Count: histogram.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: time.Duration(histogram.Max()) * time.Microsecond}
}

// checkRuns asks the service stand-in how often each order ran.
func (report *Report) checkRuns(ctx context.Context, address string, orders []ended) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/standin/runs", nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "service stand-in")
	}
	defer response.Body.Close()
	var counted []hatchstandin.KeyRuns
	if err := json.NewDecoder(response.Body).Decode(&counted); err != nil {
		return errors.Wrap(err, "service stand-in")
	}
	runs := make(map[string]int, len(counted))
	for _, key := range counted {
		runs[key.Key] = key.Runs
	}
	for _, order := range orders {
		report.Orders.check(order, runs[order.key])
	}
	return nil
}

func (check *OrderCheck) check(order ended, runs int) {
	check.Checked++
	switch {
	case runs > 1:
		check.Repeated++
	case order.problem.Ran == "no" && runs > 0:
		check.FalseNo++
	case order.served() && runs != 1:
		check.FalseDone++
	case order.problem.Ran == "unknown" || order.err != nil:
		check.Unknown++
	}
}

// Print writes the report for people.
func (report *Report) Print(writer io.Writer) {
	fmt.Fprintf(writer, "%d requests in %v: %d in time, %d late\n", report.Sent, report.Elapsed.Round(time.Millisecond), report.InTime, report.Late)
	for _, outcome := range slices.Sorted(maps.Keys(report.Outcomes)) {
		fmt.Fprintf(writer, "  %-40s %6d\n", outcome, report.Outcomes[outcome])
	}
	if report.BoundTokens > 0 {
		fmt.Fprintf(writer, "work: %d of %d tokens offered were in time, %.1f%% of the bound of %d\n",
			report.InTimeTokens, report.OfferedTokens, 100*float64(report.InTimeTokens)/float64(report.BoundTokens), report.BoundTokens)
	}
	printTimes(writer, "first token", report.FirstToken)
	printTimes(writer, "between tokens", report.BetweenTokens)
	printTimes(writer, "longest stall", report.LongestStall)
	for i, share := range report.Organisations {
		fmt.Fprintf(writer, "organisation %d: %d of %d in time\n", i, share.InTime, share.Sent)
	}
	fmt.Fprintf(writer, "reconnects %d, wrong answers %d\n", report.Reconnects, report.Wrong)
	orders := report.Orders
	fmt.Fprintf(writer, "orders checked %d: ran twice %d, false not-run %d, false served %d, unknown %d\n",
		orders.Checked, orders.Repeated, orders.FalseNo, orders.FalseDone, orders.Unknown)
}

func printTimes(writer io.Writer, what string, times Times) {
	fmt.Fprintf(writer, "%-15s p50 %v, p95 %v, p99 %v, max %v\n", what, times.P50, times.P95, times.P99, times.Max)
}
