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
	"dragonflyhatch/hatchhead"
)

// ErrUnreachable marks the error of a call of which no byte was sent.
var ErrUnreachable = errors.New("peer cannot be reached")

// dialTimeout bounds dialing a peer.
const dialTimeout = 300 * time.Millisecond

// Client calls the Peer service of other daemons.
type Client struct {
	transport *http.Transport
	http      *http.Client
}

var _ dragonflyhatch.Peer = (*Client)(nil)

// Option configures a Client.
type Option func(*Client)

// WithDialer sets the function that opens connections.
func WithDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(client *Client) { client.transport.DialContext = dial }
}

// NewClient returns a client with the given options.
func NewClient(options ...Option) *Client {
	client := &Client{transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     time.Minute,
	}}
	for _, option := range options {
		option(client)
	}
	client.http = &http.Client{Transport: hatchhead.NewTransport(client.transport)}
	return client
}

func (client *Client) peer(address string) Peer {
	return NewPeerProtobufClient("http://"+address, client.http)
}

// Order forwards a non-idempotent request to the daemon at the address, which runs
// it. An error that is not a Failure means that the peer did not respond.
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

// Heartbeat sends the heartbeat to the daemon at the address and returns that
// daemon's own.
func (client *Client) Heartbeat(ctx context.Context, address string, heartbeat dragonflyhatch.Heartbeat) (dragonflyhatch.Heartbeat, error) {
	message, err := client.peer(address).Heartbeat(ctx, encodeHeartbeat(heartbeat))
	if err != nil {
		return dragonflyhatch.Heartbeat{}, errors.Wrapf(err, "peer %s", address)
	}
	return decodeHeartbeat(message), nil
}

// Configuration returns the accepted configuration of the daemon at the address.
func (client *Client) Configuration(ctx context.Context, address string) (dragonflyhatch.AcceptedConfiguration, error) {
	reply, err := client.peer(address).Configuration(ctx, &ConfigurationRequest{})
	if err != nil {
		return dragonflyhatch.AcceptedConfiguration{}, errors.Wrapf(err, "peer %s", address)
	}
	return decodeConfiguration(reply), nil
}

// Explain returns the record that the daemon at the address keeps of the request,
// as JSON, or a Failure of KindNotFound.
func (client *Client) Explain(ctx context.Context, address, request string) ([]byte, error) {
	reply, err := client.peer(address).Explain(ctx, &ExplainRequest{Request: request})
	var twirpErr twirp.Error
	if errors.As(err, &twirpErr) && twirpErr.Code() == twirp.NotFound {
		return nil, dragonflyhatch.Failf(dragonflyhatch.KindNotFound, "no record of request %s", request)
	}
	if err != nil {
		return nil, errors.Wrapf(err, "peer %s", address)
	}
	return reply.GetRecord(), nil
}
