package hatchpeer

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	"dragonflyhatch"
)

// Daemon is what a daemon answers its peers with.
type Daemon interface {
	// RunOrder runs the request as the owner of its claim shard.
	RunOrder(ctx context.Context, request dragonflyhatch.ServiceRequest) (dragonflyhatch.ServiceReply, error)
	// ExchangeHeartbeat takes a peer's facts and returns the daemon's own.
	ExchangeHeartbeat(heartbeat dragonflyhatch.Heartbeat) dragonflyhatch.Heartbeat
	// AcceptedConfiguration returns the configuration that the daemon holds,
	// of version 0 if it has none.
	AcceptedConfiguration() dragonflyhatch.AcceptedConfiguration
	// ExplainLocally returns the record of a request that this daemon took,
	// or false.
	ExplainLocally(request string) ([]byte, bool)
}

// NewHandler serves the peer protocol for the daemon.
func NewHandler(daemon Daemon) http.Handler {
	return NewPeerServer(&server{daemon})
}

type server struct {
	daemon Daemon
}

// Order runs an order for a peer.
func (server *server) Order(ctx context.Context, message *OrderRequest) (*OrderReply, error) {
	return encodeReply(server.daemon.RunOrder(ctx, decodeOrder(message))), nil
}

// Heartbeat exchanges facts with a peer.
func (server *server) Heartbeat(_ context.Context, message *HeartbeatMessage) (*HeartbeatMessage, error) {
	return encodeHeartbeat(server.daemon.ExchangeHeartbeat(decodeHeartbeat(message))), nil
}

// Configuration hands the accepted configuration to a peer.
func (server *server) Configuration(context.Context, *ConfigurationRequest) (*ConfigurationReply, error) {
	return encodeConfiguration(server.daemon.AcceptedConfiguration()), nil
}

// Explain hands the record of a request to a peer.
func (server *server) Explain(_ context.Context, message *ExplainRequest) (*ExplainReply, error) {
	record, ok := server.daemon.ExplainLocally(message.GetRequest())
	if !ok {
		return nil, twirp.NotFoundError("no record of the request")
	}
	return &ExplainReply{Record: record}, nil
}
