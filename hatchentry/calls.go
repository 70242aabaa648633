package hatchentry

import (
	"net/http"

	"dragonflyhatch"
	"dragonflyhatch/hatchhead"
)

const idempotencyKeyHeader = "Idempotency-Key"

// forwardedHeaders are the request headers that are forwarded to a plain
// service.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "User-Agent"}

// call routes a request to a plain service.
func (callerHandler *callerHandler) call(writer http.ResponseWriter, request *http.Request, session session) error {
	path := session.params.ByName("path")
	if request.URL.RawQuery != "" {
		path += "?" + request.URL.RawQuery
	}
	reply, err := callerHandler.fleet.Call(request.Context(), session.id, dragonflyhatch.ServiceRequest{
		Organisation: session.organisation.Name,
		Service:      session.params.ByName("service"),
		Method:       request.Method,
		Path:         path,
		Headers:      selectForwardedHeaders(request.Header),
		Body:         session.body,
		Key:          request.Header.Get(idempotencyKeyHeader),
		Deadline:     session.deadline,
	})
	if err == nil && !hatchhead.IsFinalStatus(reply.Status) { // recorded or relayed by a daemon that did not check it
		err = dragonflyhatch.Failf(dragonflyhatch.KindUpstreamLost, "the answer has the invalid status %d", reply.Status)
	}
	if err != nil {
		refuse(writer, err)
		return err
	}
	header := writer.Header()
	for _, field := range reply.Headers {
		header.Add(field.Name, field.Value)
	}
	if reply.Repeated {
		header.Set("Idempotent-Replayed", "true")
	}
	writer.WriteHeader(reply.Status)
	// A failed write means that the caller has disconnected; it may repeat the
	// request with its key.
	_, _ = writer.Write(reply.Body)
	return nil
}

func selectForwardedHeaders(header http.Header) []dragonflyhatch.Header {
	var forwarded []dragonflyhatch.Header
	for _, name := range forwardedHeaders {
		for _, value := range header.Values(name) {
			forwarded = append(forwarded, dragonflyhatch.Header{Name: name, Value: value})
		}
	}
	return forwarded
}
