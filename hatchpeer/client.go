package hatchpeer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"dragonflyhatch"
)

// ErrUnreachable is in the chain of an error if no byte of the call has left.
var ErrUnreachable = errors.New("peer cannot be reached")

const dialTimeout = 300 * time.Millisecond

// Client calls other daemons.
type Client struct {
	transport *http.Transport
	http      *http.Client
}

var _ dragonflyhatch.Peer = (*Client)(nil)

// Option changes a client.
type Option func(*Client)

// WithDialer sets how connections are opened.
func WithDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(client *Client) { client.transport.DialContext = dial }
}

// NewClient returns a client of other daemons.
func NewClient(options ...Option) *Client {
	client := &Client{transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     time.Minute,
	}}
	for _, option := range options {
		option(client)
	}
	client.http = &http.Client{Transport: client.transport}
	return client
}

func (client *Client) peer(address string) Peer {
	return NewPeerProtobufClient("http://"+address, client.http)
}

// Order has the daemon at the address run a non-idempotent request. An error
// that is not a Failure means that the peer gave no answer.
func (client *Client) Order(ctx context.Context, address string, request dragonflyhatch.ServiceRequest) (dragonflyhatch.ServiceReply, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	message, err := client.peer(address).Order(ctx, encodeOrder(request))
	if err != nil && !connected.Load() {
		return dragonflyhatch.ServiceReply{}, errors.Mark(err, ErrUnreachable)
	}
	if err != nil {
		return dragonflyhatch.ServiceReply{}, errors.Wrapf(err, "peer %s", address)
	}
	return decodeReply(message)
}

// Heartbeat exchanges facts with the daemon at the address.
func (client *Client) Heartbeat(ctx context.Context, address string, heartbeat dragonflyhatch.Heartbeat) (dragonflyhatch.Heartbeat, error) {
	message, err := client.peer(address).Heartbeat(ctx, encodeHeartbeat(heartbeat))
	if err != nil {
		return dragonflyhatch.Heartbeat{}, errors.Wrapf(err, "peer %s", address)
	}
	return decodeHeartbeat(message), nil
}

// Configuration returns the accepted configuration that the daemon holds.
func (client *Client) Configuration(ctx context.Context, address string) (dragonflyhatch.AcceptedConfiguration, error) {
	reply, err := client.peer(address).Configuration(ctx, &ConfigurationRequest{})
	if err != nil {
		return dragonflyhatch.AcceptedConfiguration{}, errors.Wrapf(err, "peer %s", address)
	}
	return decodeConfiguration(reply), nil
}

// Explain returns the daemon's record of the request as JSON, or a Failure of
// KindNotFound.
func (client *Client) Explain(ctx context.Context, address, request string) ([]byte, error) {
	reply, err := client.peer(address).Explain(ctx, &ExplainRequest{Request: request})
	var twirpErr twirp.Error
	if errors.As(err, &twirpErr) && twirpErr.Code() == twirp.NotFound {
		return nil, dragonflyhatch.Fail(dragonflyhatch.KindNotFound, "no record of request %s", request)
	}
	if err != nil {
		return nil, errors.Wrapf(err, "peer %s", address)
	}
	return reply.GetRecord(), nil
}
