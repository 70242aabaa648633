package dragonflyhatch

import (
	"context"
	"net/http"
	"time"
)

// RouteClass says what a route's requests may be put through.
type RouteClass int

// The values of RouteClass.
const (
	RouteSafe      RouteClass = iota // safe
	RouteUnsafe                      // unsafe
	RouteStreaming                   // streaming
)

// Route sends the requests of a host below a path prefix to services.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Class       RouteClass
	Timeout     time.Duration // the longest time that a caller is kept waiting
	Target      time.Duration // latency, of streams to the first event
	Priority    int           // 0 is the most urgent
	Services    []WeightedService
	MaxReplicas int  // that one request may run on
	Public      bool // needs no key
	Generation  bool // carries a prompt for a model
	Resumable   bool // a stream may go on at another replica
	MaxPause    time.Duration
}

// Repeatable says whether a request of the route may run more than once.
func (route *Route) Repeatable() bool {
	return route.Class == RouteSafe || route.Class == RouteStreaming && route.Resumable
}

// WeightedService is one of the services that share a route's requests.
type WeightedService struct {
	Name   string
	Weight int
}

// UpstreamService is a service as the configuration describes it.
type UpstreamService struct {
	Name           string
	HealthPath     string
	MaxConnections int          // to one replica, from all callers together
	Model          *EngineModel // nil for a plain service
}

// EngineModel describes how the engines of a service run their model.
type EngineModel struct {
	Layers       int
	LayerMB      float64
	KVBytes      float64       // of one token over all layers
	LoadTime     time.Duration // of all layers onto one engine
	LoadsAtOnce  int           // loads that do not slow each other down
	StepTime     time.Duration // one token step over all layers at pace 1
	ReadPerS     float64       // prompt tokens a second at read factor 1
	UsualTokens  int           // mean prompt and answer together
	Slots        int
	Accelerators map[string]Accelerator
}

// Accelerator is a kind of hardware that engines run on.
type Accelerator struct {
	MemoryMB   float64
	Pace       float64 // factor on StepTime
	ReadFactor float64 // factor on the time to read a prompt
}

// Organisation is a tenant with the keys that it may use.
type Organisation struct {
	Name     string
	Keys     []string
	Priority int // 0 is the most urgent
}

// RequestLimits bound what a caller may send.
type RequestLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Routing is one version of the routes, services and organisations in force.
type Routing struct {
	Version       uint64
	Routes        []Route
	Services      map[string]UpstreamService
	Organisations []Organisation // empty if requests need no key
	Limits        RequestLimits
}

// HeldLayers is the range of layers that an engine holds, of one version of the
// weights; it is empty if the engine holds none.
type HeldLayers struct {
	LayerRange
	Version int `json:"version"`
}

// Replica is a process of a service, as it has registered itself.
type Replica struct {
	ID          string
	Service     string
	Address     string
	Site        string
	Slots       int
	Leaving     bool
	Accelerator string // empty for a plain service
	Held        HeldLayers
	Started     int64  // Unix milliseconds; another value is another process
	Revision    uint64 // of the registration
}

// EngineReport is what an engine says of itself; it is some hundred
// milliseconds old.
type EngineReport struct {
	Busy     bool   // an order is being carried out
	Accepted uint64 // orders accepted since the engine's start
	Queued   int
	Running  int
	KVUsed   int64 // tokens times layers
	KVTotal  int64
	Held     HeldLayers
	Pace     float64 // over 1 is slower than the accelerator's own pace
	Started  int64   // Unix milliseconds
}

// LayerOrder tells an engine which layers to hold. It takes effect only while
// the engine has accepted exactly Accepted orders.
type LayerOrder struct {
	Layers   LayerRange
	Accepted uint64
}

// OrderOutcome is an engine's answer to an order.
type OrderOutcome int

// The values of OrderOutcome.
const (
	OrderBegun   OrderOutcome = iota // begun
	OrderHolds                       // holds
	OrderRefused                     // refused
	OrderUnknown                     // unknown
)

// EngineControl is the side of an engine that reports and takes orders.
type EngineControl interface {
	// Report returns what the engine at the address says of itself.
	Report(ctx context.Context, address string) (EngineReport, error)
	// OrderLayers gives an order. OrderUnknown means that it may still be
	// carried out, also seconds later; the error then says why.
	OrderLayers(ctx context.Context, replica Replica, order LayerOrder) (OrderOutcome, error)
}

// CallFacts is what the router needs to know of a caller's request beside its
// method, path and body.
type CallFacts struct {
	ID           string        // of this attempt of the caller
	TimeLeft     time.Duration // that the caller will wait; 0 if it does not say
	Key          string        // that names the caller's organisation
	PromptTokens int
	OutputTokens int    // at most
	ResumeAfter  string // id of the last event that the caller has; empty at a stream's start
}

// Attempt is what the router adds to a request that it sends to a replica.
type Attempt struct {
	ReplicaID    string // the only replica that may run it
	Organisation string
	TimeLeft     time.Duration
	Stages       []Stage // of a pipeline; empty for a plain service
	ResumeAfter  string
	Priority     int // 0 to 9, 0 is served first
}

// ReplyFacts is what a replica's answer says beside status and body.
type ReplyFacts struct {
	ID       string // of the request that it answers
	Sealed   bool   // it bears the replica's seal
	NotRun   bool   // the replica says that it has not run the request
	AtFault  string // address of the replica that a refusal names, or empty
	Closing  bool   // the replica closes the connection, as when it is leaving
	Load     *ServiceLoad
	Instance string // id of the replica, where it says so
}

// ServiceLoad is what a replica of a plain service says of its load.
type ServiceLoad struct {
	Running int
	Waiting int
	Slots   int
}

// Dialect translates between the HTTP of callers and replicas and the router's
// own types.
type Dialect interface {
	// Call reads a caller's request.
	Call(header http.Header) CallFacts
	// Forward turns the headers of a caller's request into those sent to a
	// replica.
	Forward(caller http.Header, attempt Attempt) http.Header
	// Reply reads the headers of a replica's answer.
	Reply(status int, header http.Header) ReplyFacts
	// EndToEnd copies the headers of a replica's answer that concern the caller.
	EndToEnd(header http.Header) http.Header
	// Refuse adds to a header when the caller should come back.
	Refuse(header http.Header, after time.Duration)
}
