package hatchplatform

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"dragonflyhatch"
)

// Create writes a new object, or fails with ErrVersionChanged if it exists.
func (client *Client) Create(ctx context.Context, name string, value []byte) (uint64, error) {
	return client.put(ctx, name, http.Header{"If-None-Match": {"*"}}, value)
}

// Update replaces the object if its version is still the given one.
func (client *Client) Update(ctx context.Context, name string, version uint64, value []byte) (uint64, error) {
	return client.put(ctx, name, ifMatch(version), value)
}

// Delete removes the object if its version is still the given one.
func (client *Client) Delete(ctx context.Context, name string, version uint64) error {
	client.writes.Inc(1)
	var object dragonflyhatch.Object
	return client.do(ctx, call{
		method:  http.MethodDelete,
		path:    "/v1/objects/" + name,
		header:  ifMatch(version),
		timeout: client.timeout,
	}, &object)
}

func ifMatch(version uint64) http.Header {
	return http.Header{"If-Match": {strconv.FormatUint(version, 10)}}
}

func (client *Client) put(ctx context.Context, name string, header http.Header, value []byte) (uint64, error) {
	client.writes.Inc(1)
	body, err := json.Marshal(dragonflyhatch.Object{Value: value})
	if err != nil {
		return 0, err
	}
	var object dragonflyhatch.Object
	err = client.do(ctx, call{
		method:  http.MethodPut,
		path:    "/v1/objects/" + name,
		header:  header,
		body:    body,
		timeout: client.timeout,
	}, &object)
	return object.Version, err
}
