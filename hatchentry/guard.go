package hatchentry

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"

	"dragonflyhatch"
	"dragonflyhatch/hatchconfig"
)

// guard enforces the limits on the resources that callers can use.
type guard struct {
	limits    hatchconfig.Limits
	inFlight  atomic.Int64
	isLeaving func() bool
}

// wrap assigns an ID to each request and refuses requests beyond the limits.
func (guard *guard) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set(requestIDHeader, uuid.NewString())
		if guard.isLeaving() {
			writer.Header().Set("Connection", "close")
		}
		if size := headerSize(request.Header); size > guard.limits.MaxHeaders {
			writer.Header().Set("Connection", "close")
			refuse(writer, dragonflyhatch.Failf(dragonflyhatch.KindHeadersTooLarge, "%d bytes of headers, the limit is %d", size, guard.limits.MaxHeaders))
			return
		}
		defer guard.inFlight.Add(-1)
		if guard.inFlight.Add(1) > int64(guard.limits.MaxInFlight) {
			refuse(writer, dragonflyhatch.Failf(dragonflyhatch.KindOverloaded, "%d requests are in flight", guard.limits.MaxInFlight))
			return
		}
		next.ServeHTTP(writer, request)
	})
}

func headerSize(header http.Header) int {
	size := 0
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// readBody reads the whole body within the limits of size and time.
func (guard *guard) readBody(writer http.ResponseWriter, request *http.Request) ([]byte, error) {
	control := http.NewResponseController(writer)
	timeout := time.Duration(guard.limits.BodyTimeout)
	if err := control.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, int64(guard.limits.MaxBody)))
	var tooLarge *http.MaxBytesError
	var timedOut net.Error
	switch {
	case err == nil:
		return body, control.SetReadDeadline(time.Time{})
	case errors.As(err, &tooLarge):
		return nil, dragonflyhatch.Failf(dragonflyhatch.KindRequestTooLarge, "the limit is %d bytes", guard.limits.MaxBody)
	case errors.As(err, &timedOut) && timedOut.Timeout():
		writer.Header().Set("Connection", "close")
		return nil, dragonflyhatch.Failf(dragonflyhatch.KindRequestTimeout, "the body did not arrive within %v", timeout)
	}
	return nil, dragonflyhatch.Failf(dragonflyhatch.KindBadRequest, "the body cannot be read: %v", err)
}

// bearerToken returns the bearer token of the Authorization header.
func bearerToken(request *http.Request) (string, error) {
	token, ok := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return "", dragonflyhatch.Failf(dragonflyhatch.KindUnauthorized, "the request has no bearer token")
	}
	return token, nil
}

// requestDeadline returns the deadline of the request: maxDuration from now,
// or the shorter duration in the Request-Deadline header.
func requestDeadline(request *http.Request, maxDuration time.Duration) (time.Time, error) {
	requested := request.Header.Get(deadlineHeader)
	if requested == "" {
		return time.Now().Add(maxDuration), nil
	}
	duration, err := time.ParseDuration(requested)
	if err != nil || duration <= 0 {
		return time.Time{}, dragonflyhatch.Failf(dragonflyhatch.KindBadRequest, `%s must be a positive duration such as "2s"`, deadlineHeader)
	}
	return time.Now().Add(min(duration, maxDuration)), nil
}

// newRouter returns a router that responds with a Problem to unknown resources,
// wrong methods and panics.
func newRouter() *httprouter.Router {
	router := httprouter.New()
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.HandleOPTIONS = false
	router.NotFound = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		refuse(writer, dragonflyhatch.Failf(dragonflyhatch.KindNotFound, "no resource %.100q", request.URL.Path))
	})
	router.MethodNotAllowed = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		refuse(writer, dragonflyhatch.Failf(dragonflyhatch.KindMethodNotAllowed, "%.20q", request.Method))
	})
	router.PanicHandler = func(writer http.ResponseWriter, _ *http.Request, reason any) {
		if reason == http.ErrAbortHandler {
			panic(reason)
		}
		refuse(writer, dragonflyhatch.Failf(dragonflyhatch.KindInternal, "%v", reason))
	}
	return router
}
