package hatchentry

import (
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"dragonflyhatch"
	"dragonflyhatch/hatchconfig"
)

// callerHandler implements the HTTP interface for callers.
type callerHandler struct {
	fleet Fleet
	guard *guard
}

// serviceMethods are the HTTP methods that are routed to plain services.
var serviceMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

// NewCallerHandler returns the handler of the HTTP interface for callers, which
// docs/CALLERS.md describes.
func NewCallerHandler(fleet Fleet, limits hatchconfig.Limits) http.Handler {
	callerHandler := &callerHandler{fleet: fleet, guard: &guard{limits: limits, isLeaving: fleet.Leaving}}
	router := newRouter()
	router.GET("/v1/entries", callerHandler.entries)
	router.POST("/v1/chat/completions", callerHandler.authenticated(callerHandler.complete))
	for _, method := range serviceMethods {
		router.Handle(method, "/v1/services/:service/*path", callerHandler.authenticated(callerHandler.call))
	}
	return callerHandler.guard.wrap(router)
}

func (callerHandler *callerHandler) entries(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	// The address includes the port, so that callers behind one address are
	// distributed too.
	entries := callerHandler.fleet.Entries(request.RemoteAddr)
	if len(entries.Addresses) == 0 {
		refuse(writer, dragonflyhatch.Failf(dragonflyhatch.KindLeaving, "no serving host is known"))
		return
	}
	writeJSON(writer, entries)
}

// session is an authenticated request.
type session struct {
	id           string
	organisation Organisation
	deadline     time.Time
	body         []byte
	params       httprouter.Params
}

// sessionHandler serves an authenticated request and writes the response. It
// returns the failure, if any, for the record of the request.
type sessionHandler func(writer http.ResponseWriter, request *http.Request, session session) error

// authenticated authenticates a request, reads its body, calls handle, and
// keeps the record of the request.
func (callerHandler *callerHandler) authenticated(handle sessionHandler) httprouter.Handle {
	return func(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
		session, err := callerHandler.openSession(writer, request)
		if err != nil {
			callerHandler.fleet.End(session.id, err)
			refuse(writer, err)
			return
		}
		session.params = params
		callerHandler.fleet.Begin(session.id, session.organisation.Name, request.URL.Path, session.deadline)
		callerHandler.fleet.End(session.id, handle(writer, request, session))
	}
}

func (callerHandler *callerHandler) openSession(writer http.ResponseWriter, request *http.Request) (session, error) {
	session := session{id: writer.Header().Get(requestIDHeader)}
	token, err := bearerToken(request)
	if err != nil {
		return session, err
	}
	if session.organisation, err = callerHandler.fleet.Authenticate(token); err != nil {
		return session, err
	}
	if session.deadline, err = requestDeadline(request, session.organisation.MaxDuration); err != nil {
		return session, err
	}
	session.body, err = callerHandler.guard.readBody(writer, request)
	return session, err
}
