package dragonflyhatch

import (
	"context"
	"time"
)

// Header is one HTTP header line that the router passes on.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// ServiceRequest is one call to a plain service.
type ServiceRequest struct {
	Organisation string
	Service      string
	Method       string
	Path         string // with the query
	Headers      []Header
	Body         []byte
	Key          string // Idempotency-Key; empty on a repeatable call
	Deadline     time.Time
}

// ServiceReply is the answer of a plain service, or its record.
type ServiceReply struct {
	Status   int
	Headers  []Header
	Body     []byte
	Repeated bool // answered from the record of an earlier run
}

// Service calls one replica of a plain service.
type Service interface {
	// Call sends the request to the address. A Failure with RanNo is returned
	// only if no byte left or if the service said that it did not run it.
	Call(ctx context.Context, address string, request ServiceRequest) (ServiceReply, error)
}

// Peer is another daemon of the fleet.
type Peer interface {
	// Order has the daemon at the address run a non-idempotent request as the
	// owner of its claim shard.
	Order(ctx context.Context, address string, request ServiceRequest) (ServiceReply, error)
	// Heartbeat exchanges facts with the daemon at the address.
	Heartbeat(ctx context.Context, address string, heartbeat Heartbeat) (Heartbeat, error)
	// Configuration returns the accepted configuration that the daemon holds.
	Configuration(ctx context.Context, address string) (AcceptedConfiguration, error)
	// Explain returns the daemon's record of the request as JSON, or a
	// Failure of KindNotFound.
	Explain(ctx context.Context, address, request string) ([]byte, error)
}

// Heartbeat is what daemons tell each other; docs/DECISIONS.md bounds its size.
type Heartbeat struct {
	Host                 string
	Process              string
	ConfigurationVersion uint64
	Leaving              bool
	Drains               []Drain
	Suspects             []string // hosts that did not answer this one
}

// DrainSource says who knows that an upstream is leaving or not.
type DrainSource int

// The values of DrainSource.
const (
	DrainByHostList  DrainSource = iota // hostList
	DrainByOperator                     // operator
	DrainByUpstream                     // upstream
	DrainSourceCount                    // sourceCount
)

// Drain says whether an upstream is leaving. Among facts of one source about
// one address the higher version wins, and of equal versions the leaving one,
// so merging ignores order and repetition.
type Drain struct {
	Address string      `json:"address"`
	Source  DrainSource `json:"source"`
	Version uint64      `json:"version"`
	Leaving bool        `json:"leaving"`
}

// AcceptedConfiguration is the shared configuration as the platform holds it.
type AcceptedConfiguration struct {
	Version  uint64              `json:"version"` // counts accepted changes from 1
	Change   string              `json:"change"`  // name of the change, used once
	Author   string              `json:"author"`
	Base     SourceFile          `json:"base"`
	Overlays []SourceFile        `json:"overlays"`
	Recent   []ConfigurationNote `json:"recent"` // the last changes, oldest first
}

// ConfigurationNote is the memory of an accepted change.
type ConfigurationNote struct {
	Version uint64 `json:"version"`
	Change  string `json:"change"`
	Author  string `json:"author"`
}

// SourceFile is the text of a configuration file; Site is empty for the base.
type SourceFile struct {
	Name string `json:"name"`
	Site string `json:"site,omitempty"`
	Text string `json:"text"`
}
