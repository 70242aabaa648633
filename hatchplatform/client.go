package hatchplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"dragonflyhatch"
)

// maxReply bounds what is read of one reply, in bytes.
const maxReply = 64 << 20

// Client speaks to the platform over HTTP.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
	reads   metrics.Counter
	writes  metrics.Counter
	watches metrics.Counter
	failed  metrics.Counter
	bytes   metrics.Counter
}

var _ dragonflyhatch.Platform = (*Client)(nil)

// Option changes a client.
type Option func(*Client)

// WithTimeout bounds each call but the wait of a watch.
func WithTimeout(timeout time.Duration) Option {
	return func(client *Client) { client.timeout = timeout }
}

// WithMetrics counts the calls in the registry.
func WithMetrics(registry metrics.Registry) Option {
	return func(client *Client) { client.register(registry) }
}

// New returns a client of the platform at the address.
func New(address string, options ...Option) *Client {
	client := &Client{
		base:    "http://" + address,
		http:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}},
		timeout: 2 * time.Second,
	}
	client.register(metrics.NewRegistry())
	for _, option := range options {
		option(client)
	}
	return client
}

func (client *Client) register(registry metrics.Registry) {
	client.reads = metrics.NewRegisteredCounter("platform.reads", registry)
	client.writes = metrics.NewRegisteredCounter("platform.writes", registry)
	client.watches = metrics.NewRegisteredCounter("platform.watches", registry)
	client.failed = metrics.NewRegisteredCounter("platform.failed", registry)
	client.bytes = metrics.NewRegisteredCounter("platform.bytes", registry)
}

// call is one HTTP exchange with the platform.
type call struct {
	method  string
	path    string
	header  http.Header
	body    []byte
	timeout time.Duration
}

// do makes the call and decodes the answer into reply.
func (client *Client) do(ctx context.Context, call call, reply any) error {
	err := client.exchange(ctx, call, reply)
	if err != nil && !errors.IsAny(err, dragonflyhatch.ErrObjectMissing, dragonflyhatch.ErrVersionChanged) {
		client.failed.Inc(1)
	}
	return err
}

func (client *Client) exchange(ctx context.Context, call call, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, call.method, client.base+call.path, bytes.NewReader(call.body))
	if err != nil {
		return err
	}
	for name, values := range call.header {
		request.Header[name] = values
	}
	response, err := client.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	client.bytes.Inc(int64(len(text) + len(call.body)))
	switch response.StatusCode {
	case http.StatusOK:
		return errors.Wrap(json.Unmarshal(text, reply), "platform")
	case http.StatusNotFound:
		return dragonflyhatch.ErrObjectMissing
	case http.StatusPreconditionFailed:
		return dragonflyhatch.ErrVersionChanged
	}
	return errors.Newf("platform: status %d", response.StatusCode)
}
