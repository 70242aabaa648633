package dragonflyhatch

import (
	"context"
	"net/http"
	"time"
)

// RouteClass defines whether a route's requests may be repeated and whether their
// responses are streams.
type RouteClass int

// The values of RouteClass.
const (
	RouteSafe      RouteClass = iota // safe
	RouteUnsafe                      // unsafe
	RouteStreaming                   // streaming
)

// Route maps the requests for a host and path prefix to services.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Class       RouteClass
	Timeout     time.Duration // longest time that a caller waits
	Target      time.Duration // target latency; for a stream, of its first event
	Priority    int           // 0 is the most urgent
	Services    []WeightedService
	MaxReplicas int           // maximum number of replicas on which one request may run
	Public      bool          // requests need no key
	Generation  bool          // requests carry a prompt for a model
	Resumable   bool          // a stream may resume at another replica
	MaxPause    time.Duration // target for the longest pause between two events of a stream
}

// Repeatable reports whether a request of the route may run more than once.
func (route *Route) Repeatable() bool {
	return route.Class == RouteSafe || route.Class == RouteStreaming && route.Resumable
}

// WeightedService is one of the services that share a route's requests.
type WeightedService struct {
	Name   string
	Weight int
}

// UpstreamService is the configuration of a service.
type UpstreamService struct {
	Name           string
	HealthPath     string
	MaxConnections int          // maximum to one replica, from all callers together
	Model          *EngineModel // nil for a plain service
}

// EngineModel describes how the engines of a service run their model.
type EngineModel struct {
	Layers          int
	LayerMB         float64
	KVBytes         float64       // KV memory per token over all layers
	LoadTime        time.Duration // to load all layers into one engine
	ConcurrentLoads int           // number of engines that can load at the same time without slowing each other down
	StepTime        time.Duration // to generate one token over all layers on an accelerator with factor 1
	PrefillPerS     float64       // prompt tokens per second on an accelerator with factor 1
	MeanTokens      int           // mean number of prompt and answer tokens per request
	Slots           int
	Accelerators    map[string]Accelerator
}

// Contains reports whether the layers are a range of the model's layers. An empty range
// is.
func (model *EngineModel) Contains(layers LayerRange) bool {
	return layers.First >= 0 && layers.First <= layers.End && layers.End <= model.Layers
}

// Accelerator is a type of hardware that engines run on.
type Accelerator struct {
	MemoryMB      float64
	StepFactor    float64 // multiplies StepTime
	PrefillFactor float64 // multiplies the time to process a prompt
}

// Organisation is a tenant with its API keys.
type Organisation struct {
	Name     string
	Keys     []string
	Priority int // 0 is the most urgent
}

// RequestLimits limits the requests of callers.
type RequestLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Routing is one version of the configured routes, services and organisations.
type Routing struct {
	Version       uint64
	Routes        []Route
	Services      map[string]UpstreamService
	Organisations []Organisation // nil if requests need no key; if it is empty, no key is valid
	Limits        RequestLimits
}

// HeldLayers is the range of layers that an engine holds and the version of their
// weights. The range is empty if the engine holds none.
type HeldLayers struct {
	LayerRange
	Version int `json:"version"`
}

// Replica is the registration of one process of a service.
type Replica struct {
	ID          string
	Service     string
	Address     string
	Site        string
	Slots       int
	Leaving     bool
	Accelerator string // empty for a plain service
	Held        HeldLayers
	Started     int64  // start in Unix milliseconds; differs between processes
	Revision    uint64 // version of the registration
}

// EngineReport is the state that an engine reports. It is a few hundred
// milliseconds old.
type EngineReport struct {
	Busy     bool   // the engine is executing a layer command
	Accepted uint64 // layer commands accepted since the engine's start
	Queued   int    // requests
	Running  int    // requests
	KVUsed   int64  // in tokens times layers, as is KVTotal
	KVTotal  int64
	Held     HeldLayers
	Slowdown float64 // above 1 if the engine is slower than its accelerator's nominal speed
	Started  int64   // start in Unix milliseconds
}

// LayerCommand instructs an engine to hold a range of layers. The engine executes it
// only if it has accepted exactly Accepted commands so far.
type LayerCommand struct {
	Layers   LayerRange
	Accepted uint64
}

// CommandOutcome is the outcome of sending a layer command. CommandSatisfied means that
// the engine already holds the layers.
type CommandOutcome int

// The values of CommandOutcome.
const (
	CommandStarted   CommandOutcome = iota // begun
	CommandSatisfied                       // holds
	CommandRefused                         // refused
	CommandUnknown                         // unknown
)

// EngineControl queries engines and sends them layer commands.
type EngineControl interface {
	// Report returns the state that the engine at the address reports.
	Report(ctx context.Context, address string) (EngineReport, error)
	// SendLayerCommand sends a layer command. CommandUnknown means that the engine
	// may still execute it, even seconds later; the error then gives the reason.
	SendLayerCommand(ctx context.Context, replica Replica, command LayerCommand) (CommandOutcome, error)
}

// MaxSharedParts bounds the shared parts of a prompt that the router considers.
const MaxSharedParts = 16

// RequestInfo is the information in the headers of a caller's request.
type RequestInfo struct {
	ID             string        // of the caller's attempt
	TimeLeft       time.Duration // how long the caller will wait; 0 if not given
	Key            string        // API key of the caller's organisation
	PromptTokens   int
	OutputTokens   int      // maximum
	ExpectedTokens int      // the caller's estimate of the tokens of the answer; 0 if not given
	SharedParts    []string // ids of the prompt's parts that other requests may have too, at most MaxSharedParts
	OwnPart        string   // id of the prompt's last part, of the request or its session; empty without parts
	ResumeAfter    string   // id of the last event that the caller received; empty for a new stream
}

// Attempt is the information that the router adds to a request that it sends to a
// replica.
type Attempt struct {
	ReplicaID    string // the only replica that may run the request
	Organisation string
	TimeLeft     time.Duration
	Stages       []Stage // of a pipeline; empty for a plain service
	ResumeAfter  string
	Priority     int // 0 to 9; 0 is served first
}

// ResponseInfo is the information in the headers of a replica's response.
type ResponseInfo struct {
	ID            string        // of the request
	Sealed        bool          // the response has the seal of the replica; required of a successful response
	NotRun        bool          // the replica reports that it did not run the request
	FaultyReplica string        // address of the replica that a refusal names as its cause, or empty
	Closing       bool          // the replica closes the connection, for example because it is leaving
	Leaving       bool          // the replica states that it is leaving
	RetryAfter    time.Duration // how long a replica that refused wants no further request, or 0
	Limit         RateLimit     // the replica's limit on requests from all daemons together
	Load          *ServiceLoad
	ReplicaID     string // id of the replica, if given
}

// ServiceLoad is the load that a replica of a plain service reports.
type ServiceLoad struct {
	Running int
	Waiting int
	Slots   int
}

// Dialect translates between the HTTP headers of callers and replicas and the
// router's own types.
type Dialect interface {
	// ParseRequest parses the headers of a caller's request.
	ParseRequest(header http.Header) RequestInfo
	// ForwardHeaders converts the headers of a caller's request to those sent to a
	// replica.
	ForwardHeaders(caller http.Header, attempt Attempt) http.Header
	// ParseResponse parses the headers of a replica's response.
	ParseResponse(status int, header http.Header) ResponseInfo
	// EndToEndHeaders returns the headers of a replica's response that are forwarded
	// to the caller.
	EndToEndHeaders(header http.Header) http.Header
	// EventField returns the name of the field, with a number as its value, that may
	// come first in an event of a replica's stream.
	EventField() string
	// SetRetryAfter sets the header with the time after which the caller may retry.
	SetRetryAfter(header http.Header, after time.Duration)
}
