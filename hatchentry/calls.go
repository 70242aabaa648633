package hatchentry

import (
	"net/http"

	"dragonflyhatch"
)

const keyHeader = "Idempotency-Key"

// passedHeaders are the headers of a caller that a plain service gets.
var passedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "User-Agent"}

// call routes a request to a plain service.
func (callers *callers) call(writer http.ResponseWriter, request *http.Request, session session) error {
	path := session.params.ByName("path")
	if request.URL.RawQuery != "" {
		path += "?" + request.URL.RawQuery
	}
	reply, err := callers.fleet.Call(request.Context(), session.id, dragonflyhatch.ServiceRequest{
		Organisation: session.organisation.Name,
		Service:      session.params.ByName("service"),
		Method:       request.Method,
		Path:         path,
		Headers:      headersToPass(request.Header),
		Body:         session.body,
		Key:          request.Header.Get(keyHeader),
		Deadline:     session.deadline,
	})
	if err != nil {
		refuse(writer, err)
		return err
	}
	header := writer.Header()
	for _, line := range reply.Headers {
		header.Add(line.Name, line.Value)
	}
	if reply.Repeated {
		header.Set("Idempotent-Replayed", "true")
	}
	writer.WriteHeader(reply.Status)
	// A write that fails means that the caller has gone; it may repeat the
	// request with its key.
	_, _ = writer.Write(reply.Body)
	return nil
}

func headersToPass(header http.Header) []dragonflyhatch.Header {
	var passed []dragonflyhatch.Header
	for _, name := range passedHeaders {
		for _, value := range header.Values(name) {
			passed = append(passed, dragonflyhatch.Header{Name: name, Value: value})
		}
	}
	return passed
}
