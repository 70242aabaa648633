package hatchentry

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"dragonflyhatch"
	"dragonflyhatch/hatchaudit"
)

// Control is the daemon as its operators' listener sees it: queries first, then
// commands.
type Control interface {
	// Operator returns the name of an operator by the bearer token.
	Operator(token string) (string, error)
	// Ready returns nil if the daemon serves callers.
	Ready() error
	// Metrics returns the daemon's meters.
	Metrics() metrics.Registry
	// Status describes the daemon and what it knows of the fleet.
	Status() Status
	// AcceptedConfiguration returns the configuration in force.
	AcceptedConfiguration() dragonflyhatch.AcceptedConfiguration
	// Explain returns the record of a request from whichever host has it.
	Explain(ctx context.Context, request string) ([]byte, error)
	// Audit returns the changes whose description begins with what.
	Audit(ctx context.Context, what string) ([]hatchaudit.Entry, error)

	// Apply makes the proposal the accepted configuration and returns its
	// version.
	Apply(ctx context.Context, who string, proposal Proposal) (uint64, error)
	// Drain says that an upstream is leaving, or that it is not.
	Drain(ctx context.Context, who string, order DrainOrder) error
}

// Proposal is a configuration that an operator wants accepted. It is refused
// unless the accepted version is still IfVersion.
type Proposal struct {
	IfVersion uint64                      `json:"ifVersion"`
	Base      dragonflyhatch.SourceFile   `json:"base"`
	Overlays  []dragonflyhatch.SourceFile `json:"overlays"`
}

// DrainOrder says whether an upstream is to get new work.
type DrainOrder struct {
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// Accepted is the answer to a proposal that was accepted.
type Accepted struct {
	Version uint64 `json:"version"`
}

// Status is what a daemon says of itself.
type Status struct {
	Host                 string                 `json:"host"`
	Site                 string                 `json:"site"`
	Process              string                 `json:"process"`
	Started              time.Time              `json:"started"`
	Leaving              bool                   `json:"leaving"`
	ConfigurationVersion uint64                 `json:"configurationVersion"`
	Serving              []string               `json:"serving"` // hosts that this one would send callers to
	Known                []string               `json:"known"`   // all registered hosts
	OwnedShards          []int                  `json:"ownedShards"`
	Drains               []dragonflyhatch.Drain `json:"drains"`
}

// NewOperators returns the handler of the operators' interface; docs/OPERATIONS.md
// describes it.
func NewOperators(control Control, maxBody int) http.Handler {
	operators := &operators{control: control, maxBody: maxBody}
	router := newRouter()
	router.GET("/healthz", operators.health)
	router.GET("/readyz", operators.ready)
	router.GET("/metrics", operators.metrics)
	router.GET("/v1/status", operators.query(operators.status))
	router.GET("/v1/configuration", operators.query(operators.configuration))
	router.GET("/v1/explain/:request", operators.query(operators.explain))
	router.GET("/v1/audit", operators.query(operators.audit))
	router.PUT("/v1/configuration", operators.command(operators.apply))
	router.PUT("/v1/drains", operators.command(operators.drain))
	return router
}
