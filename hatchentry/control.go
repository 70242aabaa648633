package hatchentry

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"dragonflyhatch"
	"dragonflyhatch/hatchaudit"
)

// Control is the part of the daemon that the HTTP interface for operators uses:
// queries first, then commands.
type Control interface {
	// AuthenticateOperator returns the name of the operator that the bearer
	// token belongs to.
	AuthenticateOperator(token string) (string, error)
	// Ready returns nil if the daemon serves callers.
	Ready() error
	// Metrics returns the daemon's metrics registry.
	Metrics() metrics.Registry
	// Status describes the daemon and what it knows of the fleet.
	Status() Status
	// AcceptedConfiguration returns the configuration in force.
	AcceptedConfiguration() dragonflyhatch.AcceptedConfiguration
	// Explain returns the record of a request from whichever host has it.
	Explain(ctx context.Context, request string) ([]byte, error)
	// AuditEntries returns the entries of the audit trail whose Action starts
	// with actionPrefix.
	AuditEntries(ctx context.Context, actionPrefix string) ([]hatchaudit.Entry, error)

	// ApplyConfiguration makes the proposal the accepted configuration and
	// returns its version.
	ApplyConfiguration(ctx context.Context, operator string, proposal Proposal) (uint64, error)
	// SetDrain records whether an upstream is leaving.
	SetDrain(ctx context.Context, operator string, change DrainChange) error
}

// Proposal is a configuration that an operator proposes. It is refused unless
// the accepted version is still IfVersion.
type Proposal struct {
	IfVersion uint64                      `json:"ifVersion"`
	Base      dragonflyhatch.SourceFile   `json:"base"`
	Overlays  []dragonflyhatch.SourceFile `json:"overlays"`
}

// DrainChange sets whether an upstream is leaving; one that is leaving gets no
// new requests.
type DrainChange struct {
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// ProposalReply is the response to an accepted proposal.
type ProposalReply struct {
	Version uint64 `json:"version"`
}

// Status describes a daemon and its view of the fleet.
type Status struct {
	Host                 string                 `json:"host"`
	Site                 string                 `json:"site"`
	Process              string                 `json:"process"`
	Started              time.Time              `json:"started"`
	Leaving              bool                   `json:"leaving"`
	ConfigurationVersion uint64                 `json:"configurationVersion"`
	Serving              []string               `json:"serving"` // hosts in the entry lists that callers get
	Known                []string               `json:"known"`   // all registered hosts
	OwnedShards          []int                  `json:"ownedShards"`
	Drains               []dragonflyhatch.Drain `json:"drains"`
}

// NewOperatorHandler returns the handler of the HTTP interface for operators,
// which docs/OPERATIONS.md describes. maxBody bounds a request body, in bytes.
func NewOperatorHandler(control Control, maxBody int) http.Handler {
	operatorHandler := &operatorHandler{control: control, maxBody: maxBody}
	router := newRouter()
	router.GET("/healthz", operatorHandler.health)
	router.GET("/readyz", operatorHandler.ready)
	router.GET("/metrics", operatorHandler.metrics)
	router.GET("/v1/status", operatorHandler.query(operatorHandler.status))
	router.GET("/v1/configuration", operatorHandler.query(operatorHandler.configuration))
	router.GET("/v1/explain/:request", operatorHandler.query(operatorHandler.explain))
	router.GET("/v1/audit", operatorHandler.query(operatorHandler.audit))
	router.PUT("/v1/configuration", operatorHandler.command(operatorHandler.apply))
	router.PUT("/v1/drains", operatorHandler.command(operatorHandler.drain))
	return router
}
