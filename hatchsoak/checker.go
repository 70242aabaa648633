package hatchsoak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"dragonflyhatch/hatchstandin"
)

// class is a kind of request of the soak's callers.
type class int

const (
	draft  class = iota // a stream that may be resumed
	order               // may run once at most
	status              // may run more than once
	marker              // shows which configuration is in force
)

// The bounds that the platform's settings state for the first deployments.
const (
	drainBound  = 2 * time.Second // from the store's acknowledgement of a leaving replica
	configBound = 2 * time.Second // from its acknowledgement of a configuration
	stableTime  = 3 * time.Second // after a disturbance until bounds hold again
	// rollbackSlack is when a configuration whose effect was seen must hold for all
	// later requests.
	rollbackSlack = 250 * time.Millisecond
	// lossSlack is when a request that ends without an answer has been read.
	lossSlack   = 200 * time.Millisecond
	retryRatio  = 0.2
	retryExtra  = 392
	retryWindow = 10 * time.Second
	// machineSlow is added to bounds for a machine that runs several soaks.
	machineSlow = 300 * time.Millisecond
)

// record is a request of a caller with its answer.
type record struct {
	class    class
	version  int // of the configuration that a marker's route came with
	machine  int // that it was sent to
	lifetime int // of the process there
	answer   hatchstandin.CallerAnswer
	timeLeft time.Duration
}

// span is a time in which something was disturbed.
type span struct {
	from, to time.Time
	machine  int // -1 for all
}

// checker gathers what callers and replicas see and holds it against the
// promises.
type checker struct {
	mu         sync.Mutex
	records    map[string]record // by the request's id
	arrivals   map[string][]hatchstandin.Arrival
	reached    map[string][]time.Time // arrivals by service, in order
	requests   map[string][]time.Time // of callers by service, in order
	disturbed  []span                 // by unplanned faults
	stops      []span                 // planned
	left       map[string]time.Time   // replicas, when the store acknowledged that they are leaving
	accepted   map[int]time.Time      // configurations, when the store acknowledged them
	violations []string
}

func newChecker() *checker {
	return &checker{
		records: make(map[string]record), arrivals: make(map[string][]hatchstandin.Arrival),
		reached: make(map[string][]time.Time), requests: make(map[string][]time.Time),
		left: make(map[string]time.Time), accepted: make(map[int]time.Time),
	}
}

func (checker *checker) violate(format string, args ...any) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.violations = append(checker.violations, fmt.Sprintf(format, args...))
}

// disturb notes an unplanned fault from now on; the result ends it.
func (checker *checker) disturb(machine int) func() {
	return checker.note(&checker.disturbed, machine)
}

// stop notes a planned stop of a machine from now on; the result ends it.
func (checker *checker) stop(machine int) func() {
	return checker.note(&checker.stops, machine)
}

func (checker *checker) note(spans *[]span, machine int) func() {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	index := len(*spans)
	*spans = append(*spans, span{from: time.Now(), to: time.Now().Add(time.Hour), machine: machine})
	return func() {
		checker.mu.Lock()
		defer checker.mu.Unlock()
		(*spans)[index].to = time.Now()
	}
}

// asked notes that a request for the service is about to be sent.
func (checker *checker) asked(service string) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.requests[service] = append(checker.requests[service], time.Now())
}

func (checker *checker) answered(id string, record record) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.records[id] = record
}

// arrived takes what reached a replica, and checks what can be seen at once.
func (checker *checker) arrived(service, replica string, layers int, arrival hatchstandin.Arrival) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.arrivals[arrival.ID] = append(checker.arrivals[arrival.ID], arrival)
	checker.reached[service] = append(checker.reached[service], arrival.At)
	report := func(format string, args ...any) {
		checker.violations = append(checker.violations, fmt.Sprintf(format, args...))
	}
	if arrival.Key != "" || arrival.Tenant != tenantName {
		report("%s: reached %s with key %q for tenant %q", arrival.ID, replica, arrival.Key, arrival.Tenant)
	}
	if arrival.Ran && layers > 0 && !coversOnce(arrival.Stages, layers) {
		report("%s: ran at %s over %v, not every layer once and in order", arrival.ID, replica, arrival.Stages)
	}
	if left, ok := checker.left[replica]; ok && arrival.At.After(left.Add(drainBound+machineSlow)) && checker.calm(left, arrival.At, -1) {
		report("%s: reached %s %v after it was leaving", arrival.ID, replica, arrival.At.Sub(left))
	}
}

// coversOnce says whether the stages run each layer once and in order.
func coversOnce(stages []string, layers int) bool {
	at := 0
	for _, stage := range stages {
		var first, end int
		_, part, _ := strings.Cut(stage, "=")
		if _, err := fmt.Sscanf(part, "%d-%d", &first, &end); err != nil || first != at || end <= first {
			return false
		}
		at = end
	}
	return at == layers
}

// calm says whether nothing disturbed the machine, or any if it is -1, from
// stableTime before the first moment to the second; the mutex must be held.
func (checker *checker) calm(from, to time.Time, machine int) bool {
	return !slices.ContainsFunc(checker.disturbed, func(span span) bool {
		concerned := machine < 0 || span.machine < 0 || span.machine == machine
		return concerned && span.from.Before(to) && span.to.After(from.Add(-stableTime))
	})
}

// finish holds all records against the promises and returns what is broken.
func (checker *checker) finish() []string {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	for id, record := range checker.records {
		for _, broken := range checker.checkAnswer(id, record) {
			checker.violations = append(checker.violations, fmt.Sprintf("%s, machine %d: %s", id, record.machine, broken))
		}
	}
	checker.violations = append(checker.violations, checker.regressions()...)
	for service := range checker.reached {
		if excess := checker.overBudget(service); excess != "" {
			checker.violations = append(checker.violations, excess)
		}
	}
	slices.Sort(checker.violations)
	return checker.violations
}

// runs returns how often the request has run.
func (checker *checker) runs(id string) int {
	count := 0
	for _, arrival := range checker.arrivals[id] {
		if arrival.Ran {
			count++
		}
	}
	return count
}

func (checker *checker) checkAnswer(id string, record record) []string {
	var broken []string
	answer, runs := record.answer, checker.runs(id)
	if record.class == order && runs > 1 {
		broken = append(broken, fmt.Sprintf("an order ran %d times", runs))
	}
	switch answer.Status {
	case 408, 421, 429, 503:
		if record.class == order && runs > 0 {
			broken = append(broken, fmt.Sprintf("refused with %d and ran", answer.Status))
		}
	case 200:
		if fault := checkBody(id, record); fault != "" {
			broken = append(broken, fault)
		}
	}
	if fault := checker.checkConfiguration(record); fault != "" {
		broken = append(broken, fault)
	}
	if fault := checker.checkStop(id, record); fault != "" {
		broken = append(broken, fault)
	}
	return broken
}

// checkBody wants a success to be the replica's whole answer to the request, or
// to be seen to have broken off.
func checkBody(id string, record record) string {
	answer := record.answer
	if answer.ID != id || !answer.Sealed {
		return fmt.Sprintf("answered with the id %q, sealed: %v", answer.ID, answer.Sealed)
	}
	want := hatchstandin.PlainAnswer(id)
	if record.class == draft {
		want = wholeDraft(id)
	}
	switch {
	case answer.Whole && answer.Body != want:
		return fmt.Sprintf("looks whole and is %.80q of %d bytes", answer.Body, len(answer.Body))
	case !strings.HasPrefix(want, answer.Body):
		return fmt.Sprintf("%.80q is no beginning of the answer", answer.Body)
	}
	return ""
}

// wholeDraft is the whole stream that answers the request of that id.
func wholeDraft(id string) string {
	var text strings.Builder
	for event := 1; event <= draftEvents; event++ {
		fmt.Fprintf(&text, "id: %d\ndata: token %d of %s\n\n", event, event, id)
	}
	return text.String()
}

// checkConfiguration wants requests to be handled as the configuration in force
// says. A marker's route is there from its version until the next.
func (checker *checker) checkConfiguration(record record) string {
	if record.class != marker {
		if record.answer.Status == 401 || record.answer.Status == 403 || record.answer.Status == 404 {
			return fmt.Sprintf("answered %d though all configurations allow it", record.answer.Status)
		}
		return ""
	}
	sent := record.answer.Sent
	accepted := checker.accepted[record.version]
	replaced, isReplaced := checker.accepted[record.version+1]
	switch {
	case record.answer.Status == 404 && (!isReplaced || record.answer.Ended.Before(replaced)) &&
		sent.After(accepted.Add(configBound+machineSlow)) && checker.calm(accepted, record.answer.Ended, -1):
		return fmt.Sprintf("configuration %d was not in force %v after its acknowledgement", record.version, sent.Sub(accepted))
	case record.answer.Status == 200 && isReplaced && sent.After(replaced.Add(configBound+machineSlow)) &&
		checker.calm(replaced, record.answer.Ended, -1):
		return fmt.Sprintf("configuration %d was still in force %v after it was replaced", record.version, sent.Sub(replaced))
	}
	return ""
}

// regressions returns the markers that a process did not serve any more though it
// had served them and no newer configuration was accepted.
func (checker *checker) regressions() []string {
	type process struct{ machine, lifetime, version int }
	served := make(map[process]time.Time)
	for _, record := range checker.records {
		if record.class != marker || record.answer.Status != 200 {
			continue
		}
		key := process{record.machine, record.lifetime, record.version}
		if first, ok := served[key]; !ok || record.answer.Ended.Before(first) {
			served[key] = record.answer.Ended
		}
	}
	var broken []string
	for id, record := range checker.records {
		first, ok := served[process{record.machine, record.lifetime, record.version}]
		replaced, isReplaced := checker.accepted[record.version+1]
		if ok && record.class == marker && record.answer.Status == 404 && record.answer.Sent.After(first.Add(rollbackSlack)) &&
			(!isReplaced || record.answer.Ended.Before(replaced)) {
			broken = append(broken, fmt.Sprintf("%s, machine %d: went back behind configuration %d", id, record.machine, record.version))
		}
	}
	return broken
}

// checkStop wants planned stops to cut no request that was read.
func (checker *checker) checkStop(id string, record record) string {
	answer := record.answer
	if answer.Status != 0 && (answer.Whole || record.class != draft) || answer.Ended.Sub(answer.Sent) >= record.timeLeft {
		return ""
	}
	if len(checker.arrivals[id]) == 0 && (!answer.Written || answer.Ended.Sub(answer.Sent) < lossSlack) {
		return "" // it crossed the end of the connection
	}
	for _, stop := range checker.stops {
		if stop.machine == record.machine && stop.from.Before(answer.Ended) && stop.to.Add(time.Second).After(answer.Sent) &&
			checker.calm(answer.Sent, answer.Ended, -1) {
			return fmt.Sprintf("cut after %v in a planned stop", answer.Ended.Sub(answer.Sent))
		}
	}
	return ""
}

// overBudget says whether in some window more repeats reached the service than
// the fleet's budget allows.
func (checker *checker) overBudget(service string) string {
	reached, requests := checker.reached[service], checker.requests[service]
	slices.SortFunc(reached, time.Time.Compare)
	for i, from := range reached {
		until := from.Add(retryWindow)
		arrivals := countUntil(reached[i:], until)
		// Requests count in the window or in the one before, whichever has more.
		inside := countBetween(requests, from.Add(-time.Second), until)
		before := countBetween(requests, from.Add(-retryWindow), from)
		if limit := retryRatio*float64(max(inside, before)) + retryExtra; float64(arrivals-inside) > limit {
			return fmt.Sprintf("%s: %d arrivals for %d requests in a window, allowed are %.0f repeats", service, arrivals, inside, limit)
		}
	}
	return ""
}

func countUntil(times []time.Time, until time.Time) int {
	count, _ := slices.BinarySearchFunc(times, until, time.Time.Compare)
	return count
}

func countBetween(times []time.Time, from, until time.Time) int {
	return countUntil(times, until) - countUntil(times, from)
}
