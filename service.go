package dragonflyhatch

import (
	"context"
	"time"
)

// Header is an HTTP header field that the router forwards.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// ServiceRequest is a call to a plain service.
type ServiceRequest struct {
	Organisation string
	Service      string
	Method       string
	Path         string // including the query
	Headers      []Header
	Body         []byte
	Key          string // Idempotency-Key; empty for a call that may be repeated
	Deadline     time.Time
}

// ServiceReply is the response of a plain service, or the record of one.
type ServiceReply struct {
	Status   int
	Headers  []Header
	Body     []byte
	Repeated bool // taken from the record of an earlier run
}

// Service calls one replica of a plain service.
type Service interface {
	// Call sends the request to the address. It returns a Failure with RanNo
	// only if no byte was sent or the service reported that it did not run the
	// request.
	Call(ctx context.Context, address string, request ServiceRequest) (ServiceReply, error)
}

// Peer is a client of the other daemons.
type Peer interface {
	// Order sends a non-idempotent request to the daemon at the address, which
	// runs it as the owner of the request's claim shard.
	Order(ctx context.Context, address string, request ServiceRequest) (ServiceReply, error)
	// Heartbeat exchanges heartbeats with the daemon at the address.
	Heartbeat(ctx context.Context, address string, heartbeat Heartbeat) (Heartbeat, error)
	// Configuration returns the daemon's accepted configuration.
	Configuration(ctx context.Context, address string) (AcceptedConfiguration, error)
	// Explain returns the daemon's record of the request as JSON, or a
	// Failure of KindNotFound.
	Explain(ctx context.Context, address, request string) ([]byte, error)
}

// Heartbeat is the message that the daemons of package hatchserve exchange
// periodically; docs/DECISIONS.md limits its size.
type Heartbeat struct {
	Host                 string
	Process              string
	ConfigurationVersion uint64
	Leaving              bool
	Drains               []Drain
	Suspects             []string // hosts that did not answer the sender
}

// DrainSource is the source of a Drain.
type DrainSource int

// The values of DrainSource.
const (
	DrainByHostList  DrainSource = iota // hostList
	DrainByOperator                     // operator
	DrainByUpstream                     // upstream
	DrainSourceCount                    // sourceCount
)

// Drain states whether an upstream is leaving, according to one source. Of two
// drains with the same source and address, the one with the higher version wins,
// and at equal versions the one with Leaving set. Merging is therefore commutative
// and idempotent.
type Drain struct {
	Address string      `json:"address"`
	Source  DrainSource `json:"source"`
	Version uint64      `json:"version"`
	Leaving bool        `json:"leaving"`
}

// AcceptedConfiguration is the shared configuration as stored in the platform.
type AcceptedConfiguration struct {
	Version  uint64         `json:"version"` // number of accepted changes; the first has version 1
	Change   string         `json:"change"`  // unique name of the latest change
	Author   string         `json:"author"`
	Base     SourceFile     `json:"base"`
	Overlays []SourceFile   `json:"overlays"`
	Recent   []ChangeRecord `json:"recent"` // the latest changes, oldest first
}

// ChangeRecord is the record of an accepted change.
type ChangeRecord struct {
	Version uint64 `json:"version"`
	Change  string `json:"change"`
	Author  string `json:"author"`
}

// SourceFile is a configuration file: the base, or the overlay of a site. Site is
// empty for the base.
type SourceFile struct {
	Name string `json:"name"`
	Site string `json:"site,omitempty"`
	Text string `json:"text"`
}
