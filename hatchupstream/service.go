package hatchupstream

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"slices"
	"strings"

	"dragonflyhatch"
)

// maxServiceReply bounds the reply of a plain service, in bytes.
const maxServiceReply = 8 << 20

// keyHeader is the header that names a non-idempotent request.
const keyHeader = "Idempotency-Key"

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Date",
}

// Service calls plain services over HTTP. Calls that may not be repeated go
// over connections of their own: a kept one may have died unseen, and then
// nobody could tell whether the request arrived.
type Service struct {
	kept  *http.Client
	fresh *http.Client
}

var _ dragonflyhatch.Service = (*Service)(nil)

// NewService returns a client of plain services.
func NewService() *Service {
	fresh := newTransport()
	fresh.DisableKeepAlives = true
	return &Service{kept: newServiceClient(newTransport()), fresh: newServiceClient(fresh)}
}

// newServiceClient returns a client that hands redirects on to the caller.
func newServiceClient(transport *http.Transport) *http.Client {
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Call sends the request to the replica at the address.
func (service *Service) Call(ctx context.Context, address string, call dragonflyhatch.ServiceRequest) (dragonflyhatch.ServiceReply, error) {
	request, err := newServiceRequest(ctx, address, call)
	if err != nil {
		return dragonflyhatch.ServiceReply{}, dragonflyhatch.Fail(dragonflyhatch.KindBadRequest, "%v", err)
	}
	client := service.kept
	if call.Key != "" {
		client = service.fresh
	}
	var trace sentTrace
	response, err := client.Do(trace.attach(request))
	if err != nil {
		return dragonflyhatch.ServiceReply{}, trace.lost(address, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxServiceReply+1))
	if err != nil {
		return dragonflyhatch.ServiceReply{}, trace.lost(address, err)
	}
	if len(body) > maxServiceReply {
		return dragonflyhatch.ServiceReply{}, dragonflyhatch.Fail(dragonflyhatch.KindUpstreamLost, "%s: the reply is too long", address)
	}
	if response.Header.Get(headerNotRun) != "" {
		return dragonflyhatch.ServiceReply{}, dragonflyhatch.Fail(dragonflyhatch.KindUpstreamRefused, "%s: %.*s", address, maxErrorText, body)
	}
	return dragonflyhatch.ServiceReply{Status: response.StatusCode, Headers: endToEnd(response.Header), Body: body}, nil
}

func newServiceRequest(ctx context.Context, address string, call dragonflyhatch.ServiceRequest) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	for _, header := range call.Headers {
		request.Header.Add(header.Name, header.Value)
	}
	if call.Key != "" {
		request.Header.Set(keyHeader, call.Key)
	}
	if call.Key != "" || call.Method != http.MethodGet && call.Method != http.MethodHead {
		// The transport repeats a request by itself if it can rewind the
		// body. That is the router's decision.
		request.GetBody = nil
		request.Body = io.NopCloser(bytes.NewReader(call.Body))
	}
	return request, nil
}

// endToEnd returns the headers that are meant for the other end, sorted.
func endToEnd(header http.Header) []dragonflyhatch.Header {
	var headers []dragonflyhatch.Header
	for name, values := range header {
		if slices.Contains(hopHeaders, name) {
			continue
		}
		for _, value := range values {
			headers = append(headers, dragonflyhatch.Header{Name: name, Value: value})
		}
	}
	slices.SortFunc(headers, func(a, b dragonflyhatch.Header) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), strings.Compare(a.Value, b.Value))
	})
	return headers
}
