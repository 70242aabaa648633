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
	"dragonflyhatch/hatchhead"
)

// maxServiceReply is the maximum size of a plain service's response body in bytes.
const maxServiceReply = 8 << 20

// headerIdempotencyKey carries the key of a non-idempotent request.
const headerIdempotencyKey = "Idempotency-Key"

// hopByHopHeaders apply to a single connection and are not forwarded. The HTTP
// server sets Content-Length and Date itself.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Date",
}

// Service is a client of plain services over HTTP.
type Service struct {
	http *http.Client
}

var _ dragonflyhatch.Service = (*Service)(nil)

// NewService returns a client of plain services.
func NewService() *Service {
	return &Service{http: &http.Client{
		Transport:     newTransport(),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Call sends the request to the replica at the address.
func (service *Service) Call(ctx context.Context, address string, call dragonflyhatch.ServiceRequest) (dragonflyhatch.ServiceReply, error) {
	request, err := newServiceRequest(ctx, address, call)
	if err != nil {
		return dragonflyhatch.ServiceReply{}, dragonflyhatch.Failf(dragonflyhatch.KindBadRequest, "%v", err)
	}
	var trace sentTrace
	response, err := service.http.Do(trace.attach(request))
	if err != nil {
		return dragonflyhatch.ServiceReply{}, trace.failure(address, err)
	}
	defer response.Body.Close()
	body, err := hatchhead.ReadBody(response.Body, maxServiceReply)
	if err != nil {
		return dragonflyhatch.ServiceReply{}, trace.failure(address, err)
	}
	if response.Header.Get(headerNotRun) != "" {
		return dragonflyhatch.ServiceReply{}, dragonflyhatch.Failf(dragonflyhatch.KindUpstreamRefused, "%s: %.*s", address, maxErrorText, body)
	}
	return dragonflyhatch.ServiceReply{Status: response.StatusCode, Headers: endToEndHeaders(response.Header), Body: body}, nil
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
		request.Header.Set(headerIdempotencyKey, call.Key)
	}
	if call.Key != "" || call.Method != http.MethodGet && call.Method != http.MethodHead {
		// The transport retries a request on its own if it can rewind the
		// body. Only the router may decide to retry.
		request.GetBody = nil
		request.Body = io.NopCloser(bytes.NewReader(call.Body))
	}
	return request, nil
}

// endToEndHeaders returns all but the hop-by-hop headers, sorted by name and
// value.
func endToEndHeaders(header http.Header) []dragonflyhatch.Header {
	var headers []dragonflyhatch.Header
	for name, values := range header {
		if slices.Contains(hopByHopHeaders, name) {
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
