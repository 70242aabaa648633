package hatchforward

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyhatch"
	"dragonflyhatch/hatchpath"
	"dragonflyhatch/hatchquarantine"
	"dragonflyhatch/hatchretry"
	"dragonflyhatch/hatchroute"
)

// Fleet is the forwarder's view of the replicas and the other daemons.
type Fleet interface {
	// Table returns the current routes, or nil before the first configuration.
	Table() *hatchroute.Table
	// View returns the replicas that requests may be sent to.
	View() *hatchpath.View
	// Daemons returns the number of daemons that share the load, at least 1.
	Daemons() int
	// IsGone reports whether the replica at the address has certainly terminated or
	// lost its connection: it is no longer registered, or several daemons cannot
	// reach it.
	IsGone(address string) bool
	// RequestRetryTokens requests retry tokens of the service, the wanted number in all,
	// from other daemons; urgent ones are for streams that have begun. It calls credit with the number that each grants; these tokens
	// must be spent immediately.
	// It returns after the first grant, or when there will be none.
	RequestRetryTokens(service string, wanted int, urgent bool, credit func(granted int))
	// ReportUnreachable is called when a replica is found to be unreachable.
	ReportUnreachable(replica dragonflyhatch.Replica)
	// ReportLeaving is called when a replica first states that it is leaving.
	ReportLeaving(replica dragonflyhatch.Replica)
	// TakeSlot takes a slot for a request to a replica that names a limit from the
	// daemon that grants the slots of that replica. It may block for as long as
	// hatchpeer allows the call to take.
	TakeSlot(ctx context.Context, request dragonflyhatch.SlotRequest) dragonflyhatch.SlotReply
	// ReportLimit is called when a replica names another limit, or none any more.
	ReportLimit()
	// TrialRank returns the position of this daemon, from 0, among those that may send
	// a request with the suspected part as a trial, or a negative number if it may not.
	TrialRank(part dragonflyhatch.PromptPart) int
	// ReportSuspects is called when the evidence on suspected parts has changed.
	ReportSuspects()
	// ReportRefusals is called when there is news of a replica that refuses requests for
	// lack of capacity, or of one that takes them again.
	ReportRefusals()
}

// Forwarder is the HTTP handler that serves callers' requests.
type Forwarder struct {
	fleet        Fleet
	dialect      dragonflyhatch.Dialect
	site         string
	retryLimits  hatchretry.SharedLimits
	logger       *slog.Logger
	metricSet    *metricSet
	prober       *prober
	conns        *connKeeper
	random       *rand.Rand
	pipelineWait time.Duration
	engines      dragonflyhatch.EngineControl // for slowdown reports; nil if none are requested
	memory       *bodyMemory
	quarantine   *hatchquarantine.Table

	stopAt        atomic.Pointer[time.Time] // when the daemon stops; nil if it goes on
	refusing      atomic.Bool               // requests are refused because the daemon stops
	stopped       context.Context           // done when the daemon stops
	cancelStopped context.CancelFunc
	cut           atomic.Int32 // requests that ended because the daemon stopped
	aborted       atomic.Int32 // streams that were aborted for another reason while it was stopping

	mu          sync.Mutex
	budgets     map[string]*serviceBudget // by service
	longestLeft map[string]time.Duration  // longest time left of a new request, by route
	runTimes    map[string]time.Duration  // mean time of a stream from its first event to its end, by service
	tokenTimes  map[string]tokenTime      // of streams, by service

	ranked *rankedAdmissions
}

// Option configures a forwarder.
type Option func(*Forwarder)

// WithLogger sets the logger.
func WithLogger(logger *slog.Logger) Option {
	return func(forwarder *Forwarder) { forwarder.logger = logger }
}

// WithSite sets the daemon's site, whose replicas are preferred.
func WithSite(site string) Option {
	return func(forwarder *Forwarder) { forwarder.site = site }
}

// WithRetryLimits sets the limits of the retry budget that all daemons share.
func WithRetryLimits(retryLimits hatchretry.SharedLimits) Option {
	return func(forwarder *Forwarder) { forwarder.retryLimits = retryLimits }
}

// WithEngineReports makes the forwarder ask engines that seem slow for their
// slowdown.
func WithEngineReports(engines dragonflyhatch.EngineControl) Option {
	return func(forwarder *Forwarder) { forwarder.engines = engines }
}

// WithPipelineWait sets how long a request waits for a pipeline to become available.
func WithPipelineWait(wait time.Duration) Option {
	return func(forwarder *Forwarder) { forwarder.pipelineWait = wait }
}

// WithBodyMemory sets the memory in bytes for the large bodies of requests and plain
// responses together.
func WithBodyMemory(size int64) Option {
	return func(forwarder *Forwarder) { forwarder.memory = newBodyMemory(size) }
}

// New returns a forwarder.
func New(fleet Fleet, dialect dragonflyhatch.Dialect, options ...Option) *Forwarder {
	forwarder := &Forwarder{
		fleet:        fleet,
		dialect:      dialect,
		retryLimits:  hatchretry.SharedLimits{Ratio: 0.1, Window: 10 * time.Second},
		logger:       slog.Default(),
		random:       hatchpath.NewSharedRandom(),
		budgets:      make(map[string]*serviceBudget),
		longestLeft:  make(map[string]time.Duration),
		runTimes:     make(map[string]time.Duration),
		tokenTimes:   make(map[string]tokenTime),
		pipelineWait: defaultPipelineWait,
		memory:       newBodyMemory(defaultBodyMemory),
		quarantine:   hatchquarantine.New(),
		ranked:       newRankedAdmissions(),
	}
	forwarder.stopped, forwarder.cancelStopped = context.WithCancel(context.Background())
	for _, option := range options {
		option(forwarder)
	}
	if forwarder.metricSet == nil {
		forwarder.metricSet = newMetricSet(nil)
	}
	forwarder.conns = newConnKeeper(fleet)
	context.AfterFunc(forwarder.stopped, forwarder.conns.closeAll)
	forwarder.prober = newProber(fleet)
	forwarder.prober.dials = forwarder.metricSet.probes
	return forwarder
}

// call is a caller's request while it is served.
type call struct {
	forwarder      *Forwarder
	writer         http.ResponseWriter
	request        *http.Request
	info           dragonflyhatch.RequestInfo
	started        time.Time
	deadline       time.Time // for the response to the caller
	deadlineSource string    // "route" or "caller", for the log
	route          *dragonflyhatch.Route
	service        dragonflyhatch.UpstreamService
	organisation   *dragonflyhatch.Organisation // nil on a route that needs no key
	body           []byte
	memory         reservation // of the request's and the responses' bodies
	attempts       *hatchretry.Attempts
	runs           runClaims // of a plain request
	logger         *slog.Logger
	ctx            context.Context // done when the caller disconnects or the deadline passes

	// What the choice of a replica was based on, for the log.
	table                *hatchroute.Table
	configurationVersion uint64
	replicasVersion      uint64 // version of the registered replicas
	chosenAddress        string // the replica or the head of the pipeline that was chosen last
}

// defaultTimeout bounds a request whose route sets no timeout.
const defaultTimeout = 30 * time.Second

// ServeHTTP serves one request of a caller.
func (forwarder *Forwarder) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	call := &call{
		forwarder: forwarder,
		writer:    writer,
		request:   request,
		info:      forwarder.dialect.ParseRequest(request.Header),
		started:   time.Now(),
		memory:    reservation{memory: forwarder.memory},
	}
	defer call.memory.release()
	call.logger = forwarder.logger.With("request", call.info.ID)
	if err := call.admit(); err != nil {
		call.refuse(err)
		return
	}
	if err := call.checkStop(); err != nil {
		call.refuse(err)
		return
	}
	ctx, cancel := context.WithDeadline(request.Context(), call.deadline)
	defer cancel()
	ctx, release := forwarder.withStop(ctx)
	defer release()
	call.ctx = ctx
	forwarder.budget(call.service.Name).RecordRequest(call.started)
	if call.isStream() {
		call.serveStream()
		return
	}
	call.servePlain()
}

// isStream reports whether the response is a stream of events.
func (call *call) isStream() bool {
	return call.route.Class == dragonflyhatch.RouteStreaming || call.service.Model != nil
}

// admit finds the request's route, organisation and service, sets its deadline and
// reads its body.
func (call *call) admit() error {
	path, _, _ := strings.Cut(call.request.RequestURI, "?")
	if err := call.resolve(call.request.Host, path, call.forwarder.random); err != nil {
		return err
	}
	call.setDeadline()
	return call.readBody(call.table.Limits.BodyBytes)
}

// resolve finds the route, organisation and service of the request for the host and path.
func (call *call) resolve(host, path string, random *rand.Rand) error {
	table := call.forwarder.fleet.Table()
	if table == nil {
		return dragonflyhatch.Failf(dragonflyhatch.KindNotReady, "no configuration yet")
	}
	call.table, call.configurationVersion = table, table.Version
	call.route = table.Route(host, path)
	if call.route == nil {
		return dragonflyhatch.Failf(dragonflyhatch.KindNotFound, "no route for %s%s in configuration %d", host, path, table.Version)
	}
	if table.NeedsKey(call.route) {
		if call.organisation = table.Organisation(call.info.Key); call.organisation == nil {
			return dragonflyhatch.Failf(dragonflyhatch.KindUnauthorized, "unknown key in configuration %d", table.Version)
		}
	}
	var ok bool
	if call.service, ok = table.ChooseService(call.route, random.Float64()); !ok {
		return dragonflyhatch.Failf(dragonflyhatch.KindUpstreamUnavailable, "route %s names no service", call.route.Name)
	}
	return nil
}

// setDeadline sets the deadline from the timeout of the route or the caller,
// whichever is shorter, and creates the call's attempts with the route's limit on
// runs.
func (call *call) setDeadline() {
	timeout := call.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	call.deadlineSource = "route"
	if call.info.TimeLeft > 0 && call.info.TimeLeft < timeout {
		timeout, call.deadlineSource = call.info.TimeLeft, "caller"
	}
	call.deadline = call.started.Add(timeout)
	runs := call.route.MaxReplicas
	if !call.route.Repeatable() {
		runs = 1
	}
	call.attempts = hatchretry.NewAttempts(call.deadline, false, hatchretry.WithMaxRuns(runs))
}

// readBody reads the request's body, of at most limit bytes, until the deadline. A
// limit of 0 is none.
func (call *call) readBody(limit int64) error {
	body := io.Reader(call.request.Body)
	if limit > 0 {
		body = http.MaxBytesReader(call.writer, call.request.Body, limit)
	}
	controller := http.NewResponseController(call.writer)
	_ = controller.SetReadDeadline(call.deadline) // not supported by writers without a connection
	release := call.forwarder.interruptReads(controller)
	var err error
	call.body, err = call.memory.readBody(body, 0)
	release()
	if err == nil { // otherwise the deadline also ends net/http's wait for the rest of the body
		_ = controller.SetReadDeadline(time.Time{}) // net/http goes on reading to notice that the caller disconnects
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return dragonflyhatch.Failf(dragonflyhatch.KindRequestTooLarge, "request body exceeds %d bytes", limit)
	case errors.Is(err, errNoBodyMemory):
		call.writer.Header().Set("Connection", "close") // the rest of the body is not read
		return &dragonflyhatch.Failure{Kind: dragonflyhatch.KindOverloaded, Detail: err.Error(), Cause: err}
	case call.forwarder.stopped.Err() != nil:
		call.writer.Header().Set("Connection", "close")
		return &dragonflyhatch.Failure{Kind: dragonflyhatch.KindLeaving, Detail: "reading the request body: " + err.Error(), Cause: err}
	case errors.Is(err, os.ErrDeadlineExceeded):
		call.writer.Header().Set("Connection", "close")
		return &dragonflyhatch.Failure{Kind: dragonflyhatch.KindRequestTimeout, Detail: "reading the request body: " + err.Error(), Cause: err}
	}
	return &dragonflyhatch.Failure{Kind: dragonflyhatch.KindBadRequest, Detail: "reading the request body: " + err.Error(), Cause: err}
}

// Spend takes one retry token from the budget of the call's service, and reports
// whether it got one.
func (call *call) Spend() bool {
	return call.spend(false)
}

// spend is Spend; an urgent token is for a stream that has begun.
func (call *call) spend(urgent bool) bool {
	ok := call.forwarder.spend(call.ctx, call.service.Name, urgent)
	if !ok {
		call.forwarder.metricSet.budgetSpent.Inc(1)
		call.logger.Warn("retry denied", "reason", "retry budget exhausted", "service", call.service.Name)
	}
	return ok
}

// query returns the criteria by which a replica for the call is chosen after the
// attempts.
func (call *call) query(attempts *hatchretry.Attempts) hatchpath.Query {
	return hatchpath.Query{
		Service: call.service.Name,
		Site:    call.forwarder.site,
		Tokens:  call.info.PromptTokens + call.info.OutputTokens,
		Exclude: attempts.Excluded(),
		Resumed: call.info.ResumeAfter != "" || attempts.Count() > 0,
		Daemons: call.forwarder.fleet.Daemons(),
		Random:  call.forwarder.random,
	}
}

// observe records in the node what the head of its response states about it.
func (call *call) observe(node *hatchpath.Node, status int, info dragonflyhatch.ResponseInfo) {
	now := time.Now()
	if status != http.StatusMisdirectedRequest { // which another process may have sent
		call.observeLimit(now, node, info.Limit)
	}
	if info.Load != nil {
		node.RecordLoad(now, *info.Load)
	}
	if status == http.StatusServiceUnavailable && info.RetryAfter > 0 {
		node.Pause(now, info.RetryAfter)
	}
	if info.Leaving && node.MarkLeaving(now) {
		call.forwarder.fleet.ReportLeaving(node.Replica)
	}
}

// organisationName returns the name of the organisation, or an empty string.
func (call *call) organisationName() string {
	if call.organisation == nil {
		return ""
	}
	return call.organisation.Name
}

// callerDisconnected reports whether the caller has closed its connection.
func (call *call) callerDisconnected() bool {
	return call.request.Context().Err() != nil
}

// outgoingRequest returns the request to send to the replica at the address.
func (call *call) outgoingRequest(address string, attempt dragonflyhatch.Attempt) outgoingRequest {
	attempt.TimeLeft = time.Until(call.deadline)
	if call.organisation != nil {
		attempt.Organisation = call.organisation.Name
	}
	return outgoingRequest{
		address: address,
		method:  call.request.Method,
		target:  call.request.RequestURI,
		host:    call.request.Host,
		header:  call.forwarder.dialect.ForwardHeaders(call.request.Header, attempt),
		body:    call.body,
	}
}
