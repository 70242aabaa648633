package hatchpeer

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	"dragonflyhatch"
)

// Daemon handles the calls that a daemon receives from its peers.
type Daemon interface {
	// RunOrder runs the request as the owner of its claim shard.
	RunOrder(ctx context.Context, request dragonflyhatch.ServiceRequest) (dragonflyhatch.ServiceReply, error)
	// ExchangeHeartbeat applies a peer's heartbeat and returns the daemon's own.
	ExchangeHeartbeat(heartbeat dragonflyhatch.Heartbeat) dragonflyhatch.Heartbeat
	// AcceptedConfiguration returns the accepted configuration that the daemon
	// holds; its version is 0 if the daemon has none.
	AcceptedConfiguration() dragonflyhatch.AcceptedConfiguration
	// ExplainLocally returns the record of a request that this daemon received,
	// as JSON, or false if it has none.
	ExplainLocally(request string) ([]byte, bool)
}

// NewHandler returns the HTTP handler of the Peer service for the daemon.
func NewHandler(daemon Daemon) http.Handler {
	return NewPeerServer(&server{daemon})
}

type server struct {
	daemon Daemon
}

// Order runs a request that a peer forwarded.
func (server *server) Order(ctx context.Context, message *OrderRequest) (*OrderReply, error) {
	return encodeReply(server.daemon.RunOrder(ctx, decodeOrder(message))), nil
}

// Heartbeat applies a peer's heartbeat and returns the daemon's own.
func (server *server) Heartbeat(_ context.Context, message *HeartbeatMessage) (*HeartbeatMessage, error) {
	return encodeHeartbeat(server.daemon.ExchangeHeartbeat(decodeHeartbeat(message))), nil
}

// Configuration returns the accepted configuration to a peer.
func (server *server) Configuration(context.Context, *ConfigurationRequest) (*ConfigurationReply, error) {
	return encodeConfiguration(server.daemon.AcceptedConfiguration()), nil
}

// Explain returns the record of a request to a peer.
func (server *server) Explain(_ context.Context, message *ExplainRequest) (*ExplainReply, error) {
	record, ok := server.daemon.ExplainLocally(message.GetRequest())
	if !ok {
		return nil, twirp.NotFoundError("no record of the request")
	}
	return &ExplainReply{Record: record}, nil
}
