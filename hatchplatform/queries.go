package hatchplatform

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"dragonflyhatch"
)

// listing is the platform's answer to a list or a watch call.
type listing struct {
	Objects []dragonflyhatch.Object `json:"objects"`
	Changes []dragonflyhatch.Change `json:"changes"`
	Version uint64                  `json:"version"`
}

// Get returns the object, or ErrObjectMissing.
func (client *Client) Get(ctx context.Context, name string) (dragonflyhatch.Object, error) {
	client.reads.Inc(1)
	var object dragonflyhatch.Object
	err := client.do(ctx, call{method: http.MethodGet, path: "/v1/objects/" + name, timeout: client.timeout}, &object)
	return object, err
}

// List returns the objects below the prefix and the version up to which the
// listing is complete.
func (client *Client) List(ctx context.Context, prefix string) ([]dragonflyhatch.Object, uint64, error) {
	client.reads.Inc(1)
	var reply listing
	err := client.do(ctx, call{method: http.MethodGet, path: "/v1/list/" + prefix, timeout: client.timeout}, &reply)
	return reply.Objects, reply.Version, err
}

// Watch waits up to wait for changes below the prefix that are newer than
// after, and returns them with the version to watch from next.
func (client *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]dragonflyhatch.Change, uint64, error) {
	client.watches.Inc(1)
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	var reply listing
	err := client.do(ctx, call{
		method:  http.MethodGet,
		path:    "/v1/watch/" + prefix + "?" + query.Encode(),
		timeout: wait + client.timeout,
	}, &reply)
	return reply.Changes, reply.Version, err
}

// Hosts returns the lagging host list.
func (client *Client) Hosts(ctx context.Context) ([]dragonflyhatch.ListedHost, error) {
	client.reads.Inc(1)
	var hosts []dragonflyhatch.ListedHost
	err := client.do(ctx, call{method: http.MethodGet, path: "/v1/hosts", timeout: client.timeout}, &hosts)
	return hosts, err
}
