package hatchsoak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"dragonflyhatch/hatchstandin"
)

// class is the kind of a caller's request.
type class int

const (
	classStream class = iota // a stream that may be resumed
	classOrder               // may run at most once
	classStatus              // may run more than once
	classMarker              // is routed by only one version of the configuration
)

// Bounds from the platform's settings for the first deployments, and the slack that
// the checks allow.
const (
	drainBound  = 2 * time.Second // from the store's acknowledgement that a replica is leaving until it gets no more requests
	configBound = 2 * time.Second // from the store's acknowledgement of a configuration until it is in force
	settleTime  = 3 * time.Second // from the end of a disturbance until the bounds apply again
	// A process that has routed a request by a configuration must not route requests
	// that are sent more than rollbackSlack later by an older configuration.
	rollbackSlack = 250 * time.Millisecond
	// A request that ends without a response within closeRaceTime may have been sent
	// while the daemon was already closing the connection. If it ends later, the
	// daemon must have read it.
	closeRaceTime = 200 * time.Millisecond
	// The retry budget allows retryRatio retries per request and retryExtra more in
	// each retryWindow.
	retryRatio  = 0.2
	retryExtra  = 392
	retryWindow = 10 * time.Second
	// loadSlack is added to the bounds for a machine that runs several soaks.
	loadSlack = 300 * time.Millisecond
)

// record is a caller's request with its response.
type record struct {
	class    class
	version  int // of the configuration that a marker request is routed by
	host     int // number of the host it was sent to
	process  int // number of the process on that host
	response hatchstandin.CallerResponse
	timeout  time.Duration
}

// span is a period of a disturbance or a planned stop.
type span struct {
	from, to time.Time
	host     int // -1 for all
}

// checker records what callers and replicas observe and checks it against the
// router's guarantees.
type checker struct {
	mu           sync.Mutex
	records      map[string]record // by request id
	arrivals     map[string][]hatchstandin.Arrival
	arrivalTimes map[string][]time.Time // of arrivals at replicas, by service, in order
	requestTimes map[string][]time.Time // of callers' requests, by service, in order
	disturbances []span                 // periods of unplanned faults
	plannedStops []span
	leavingSince map[string]time.Time // when the store acknowledged that a replica is leaving, by replica
	acceptedAt   map[int]time.Time    // when the store acknowledged a configuration, by version
	violations   []string
}

func newChecker() *checker {
	return &checker{
		records: make(map[string]record), arrivals: make(map[string][]hatchstandin.Arrival),
		arrivalTimes: make(map[string][]time.Time), requestTimes: make(map[string][]time.Time),
		leavingSince: make(map[string]time.Time), acceptedAt: make(map[int]time.Time),
	}
}

func (checker *checker) addViolation(format string, args ...any) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.violations = append(checker.violations, fmt.Sprintf(format, args...))
}

// beginDisturbance records the start of an unplanned fault on a host, or on all if
// it is -1. The returned function records its end.
func (checker *checker) beginDisturbance(host int) func() {
	return checker.beginSpan(&checker.disturbances, host)
}

// beginPlannedStop records the start of a planned stop of a host. The returned
// function records its end.
func (checker *checker) beginPlannedStop(host int) func() {
	return checker.beginSpan(&checker.plannedStops, host)
}

func (checker *checker) beginSpan(spans *[]span, host int) func() {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	index := len(*spans)
	*spans = append(*spans, span{from: time.Now(), to: time.Now().Add(time.Hour), host: host})
	return func() {
		checker.mu.Lock()
		defer checker.mu.Unlock()
		(*spans)[index].to = time.Now()
	}
}

// recordRequest records that a request for the service is about to be sent.
func (checker *checker) recordRequest(service string) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.requestTimes[service] = append(checker.requestTimes[service], time.Now())
}

func (checker *checker) recordResponse(id string, record record) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.records[id] = record
}

// recordArrival records a request that reached a replica, and checks what doesn't
// depend on the response.
func (checker *checker) recordArrival(service, replica string, layers int, arrival hatchstandin.Arrival) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.arrivals[arrival.ID] = append(checker.arrivals[arrival.ID], arrival)
	checker.arrivalTimes[service] = append(checker.arrivalTimes[service], arrival.At)
	report := func(format string, args ...any) {
		checker.violations = append(checker.violations, fmt.Sprintf(format, args...))
	}
	if arrival.Key != "" || arrival.Tenant != tenantName {
		report("%s: reached %s with key %q for tenant %q", arrival.ID, replica, arrival.Key, arrival.Tenant)
	}
	if arrival.Ran && layers > 0 && !coversEachLayerOnce(arrival.Stages, layers) {
		report("%s: ran at %s on stages %v, which do not cover each layer once and in order", arrival.ID, replica, arrival.Stages)
	}
	if leavingSince, ok := checker.leavingSince[replica]; ok && arrival.At.After(leavingSince.Add(drainBound+loadSlack)) && checker.isUndisturbed(leavingSince, arrival.At, -1) {
		report("%s: reached %s %v after it was registered as leaving", arrival.ID, replica, arrival.At.Sub(leavingSince))
	}
}

// coversEachLayerOnce reports whether the stages run each layer once and in order.
func coversEachLayerOnce(stages []string, layers int) bool {
	nextLayer := 0
	for _, stage := range stages {
		var first, end int
		_, layerRange, _ := strings.Cut(stage, "=")
		if _, err := fmt.Sscanf(layerRange, "%d-%d", &first, &end); err != nil || first != nextLayer || end <= first {
			return false
		}
		nextLayer = end
	}
	return nextLayer == layers
}

// isUndisturbed reports whether no fault affected the host from settleTime before
// from until to. With host -1, faults of all hosts count. The mutex must be held.
func (checker *checker) isUndisturbed(from, to time.Time, host int) bool {
	return !slices.ContainsFunc(checker.disturbances, func(span span) bool {
		affected := host < 0 || span.host < 0 || span.host == host
		return affected && span.from.Before(to) && span.to.After(from.Add(-settleTime))
	})
}

// checkAll checks all records against the guarantees and returns the violations.
func (checker *checker) checkAll() []string {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	for id, record := range checker.records {
		for _, violation := range checker.checkResponse(id, record) {
			checker.violations = append(checker.violations, fmt.Sprintf("%s, host %d: %s", id, record.host, violation))
		}
	}
	checker.violations = append(checker.violations, checker.configurationRegressions()...)
	for service := range checker.arrivalTimes {
		if excess := checker.retryBudgetExcess(service); excess != "" {
			checker.violations = append(checker.violations, excess)
		}
	}
	slices.Sort(checker.violations)
	return checker.violations
}

// runCount returns how often the request ran.
func (checker *checker) runCount(id string) int {
	count := 0
	for _, arrival := range checker.arrivals[id] {
		if arrival.Ran {
			count++
		}
	}
	return count
}

func (checker *checker) checkResponse(id string, record record) []string {
	var violations []string
	response, runCount := record.response, checker.runCount(id)
	if record.class == classOrder && runCount > 1 {
		violations = append(violations, fmt.Sprintf("an order ran %d times", runCount))
	}
	switch response.Status {
	case 408, 421, 429, 503:
		if record.class == classOrder && runCount > 0 {
			violations = append(violations, fmt.Sprintf("an order was refused with status %d but ran", response.Status))
		}
	case 200:
		if violation := checkBody(id, record); violation != "" {
			violations = append(violations, violation)
		}
	}
	if violation := checker.checkConfiguration(record); violation != "" {
		violations = append(violations, violation)
	}
	if violation := checker.checkPlannedStop(id, record); violation != "" {
		violations = append(violations, violation)
	}
	return violations
}

// checkBody checks that a successful response is the replica's complete response to
// this request, or a prefix of it that the caller can recognize as incomplete.
func checkBody(id string, record record) string {
	response := record.response
	if response.ID != id || !response.Sealed {
		return fmt.Sprintf("response has the request id %q, sealed: %v", response.ID, response.Sealed)
	}
	want := hatchstandin.PlainResponseBody(id)
	if record.class == classStream {
		want = completeStream(id)
	}
	switch {
	case response.Complete && response.Body != want:
		return fmt.Sprintf("response ended normally, but its body is %.80q of %d bytes", response.Body, len(response.Body))
	case !strings.HasPrefix(want, response.Body):
		return fmt.Sprintf("%.80q is not a prefix of the expected response", response.Body)
	}
	return ""
}

// completeStream returns the complete stream for the request of that id.
func completeStream(id string) string {
	var text strings.Builder
	for event := 1; event <= streamEvents; event++ {
		fmt.Fprintf(&text, "id: %d\ndata: token %d of %s\n\n", event, event, id)
	}
	return text.String()
}

// checkConfiguration checks that a request was routed by the configuration in
// force. A marker route exists only in its own version of the configuration.
func (checker *checker) checkConfiguration(record record) string {
	if record.class != classMarker {
		if record.response.Status == 401 || record.response.Status == 403 || record.response.Status == 404 {
			return fmt.Sprintf("refused with status %d, but every configuration allows the request", record.response.Status)
		}
		return ""
	}
	sent := record.response.Sent
	acceptedAt := checker.acceptedAt[record.version]
	replacedAt, isReplaced := checker.acceptedAt[record.version+1]
	switch {
	case record.response.Status == 404 && (!isReplaced || record.response.Ended.Before(replacedAt)) &&
		sent.After(acceptedAt.Add(configBound+loadSlack)) && checker.isUndisturbed(acceptedAt, record.response.Ended, -1):
		return fmt.Sprintf("configuration %d was not in force %v after its acknowledgement", record.version, sent.Sub(acceptedAt))
	case record.response.Status == 200 && isReplaced && sent.After(replacedAt.Add(configBound+loadSlack)) &&
		checker.isUndisturbed(replacedAt, record.response.Ended, -1):
		return fmt.Sprintf("configuration %d was still in force %v after it was replaced", record.version, sent.Sub(replacedAt))
	}
	return ""
}

// configurationRegressions returns the marker requests that a process rejected
// after it had served the same marker, although no newer configuration was accepted.
func (checker *checker) configurationRegressions() []string {
	type servedVersion struct{ host, process, version int }
	served := make(map[servedVersion]time.Time)
	for _, record := range checker.records {
		if record.class != classMarker || record.response.Status != 200 {
			continue
		}
		key := servedVersion{record.host, record.process, record.version}
		if first, ok := served[key]; !ok || record.response.Ended.Before(first) {
			served[key] = record.response.Ended
		}
	}
	var violations []string
	for id, record := range checker.records {
		first, ok := served[servedVersion{record.host, record.process, record.version}]
		replacedAt, isReplaced := checker.acceptedAt[record.version+1]
		if ok && record.class == classMarker && record.response.Status == 404 && record.response.Sent.After(first.Add(rollbackSlack)) &&
			(!isReplaced || record.response.Ended.Before(replacedAt)) {
			violations = append(violations, fmt.Sprintf("%s, host %d: reverted to a configuration before %d", id, record.host, record.version))
		}
	}
	return violations
}

// checkPlannedStop checks that no planned stop cut a request that the daemon had
// read.
func (checker *checker) checkPlannedStop(id string, record record) string {
	response := record.response
	if response.Status != 0 && (response.Complete || record.class != classStream) || response.Ended.Sub(response.Sent) >= record.timeout {
		return ""
	}
	if len(checker.arrivals[id]) == 0 && (!response.RequestWritten || response.Ended.Sub(response.Sent) < closeRaceTime) {
		return "" // it was sent while the connection was being closed
	}
	for _, stop := range checker.plannedStops {
		if stop.host == record.host && stop.from.Before(response.Ended) && stop.to.Add(time.Second).After(response.Sent) &&
			checker.isUndisturbed(response.Sent, response.Ended, -1) {
			return fmt.Sprintf("cut after %v during a planned stop", response.Ended.Sub(response.Sent))
		}
	}
	return ""
}

// retryBudgetExcess returns a violation if in some window more retries reached the
// service than the fleet's retry budget allows.
func (checker *checker) retryBudgetExcess(service string) string {
	arrivalTimes, requestTimes := checker.arrivalTimes[service], checker.requestTimes[service]
	slices.SortFunc(arrivalTimes, time.Time.Compare)
	for i, from := range arrivalTimes {
		until := from.Add(retryWindow)
		arrivals := countUntil(arrivalTimes[i:], until)
		// The budget depends on the requests in the window or in the one before it,
		// whichever are more.
		requests := countBetween(requestTimes, from.Add(-time.Second), until)
		earlierRequests := countBetween(requestTimes, from.Add(-retryWindow), from)
		if limit := retryRatio*float64(max(requests, earlierRequests)) + retryExtra; float64(arrivals-requests) > limit {
			return fmt.Sprintf("%s: %d arrivals for %d requests in a window, more than the %.0f retries allowed", service, arrivals, requests, limit)
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
