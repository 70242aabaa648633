package hatchentry

import (
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"dragonflyhatch"
	"dragonflyhatch/hatchconfig"
)

// callers serves the callers' interface.
type callers struct {
	fleet Fleet
	guard *guard
}

// serviceMethods are the methods that plain services are routed for.
var serviceMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

// NewCallers returns the handler of the callers' interface; docs/CALLERS.md
// describes it.
func NewCallers(fleet Fleet, limits hatchconfig.Limits) http.Handler {
	callers := &callers{fleet: fleet, guard: &guard{limits: limits, leaving: fleet.Leaving}}
	router := newRouter()
	router.GET("/v1/entries", callers.entries)
	router.POST("/v1/chat/completions", callers.authenticated(callers.complete))
	for _, method := range serviceMethods {
		router.Handle(method, "/v1/services/:service/*path", callers.authenticated(callers.call))
	}
	return callers.guard.wrap(router)
}

func (callers *callers) entries(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	// The address with its port, so that callers behind one address spread too.
	entries := callers.fleet.Entries(request.RemoteAddr)
	if len(entries.Addresses) == 0 {
		refuse(writer, dragonflyhatch.Fail(dragonflyhatch.KindLeaving, "no host of the fleet is known to serve"))
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

// handler serves an authenticated request; target names what it is for, and
// the error is the request's failure, answered already.
type handler func(writer http.ResponseWriter, request *http.Request, session session) error

// authenticated finds out whom a request is from, reads it whole, and keeps its
// record.
func (callers *callers) authenticated(handle handler) httprouter.Handle {
	return func(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
		session, err := callers.open(writer, request)
		if err != nil {
			callers.fleet.End(session.id, err)
			refuse(writer, err)
			return
		}
		session.params = params
		callers.fleet.Begin(session.id, session.organisation.Name, request.URL.Path, session.deadline)
		callers.fleet.End(session.id, handle(writer, request, session))
	}
}

func (callers *callers) open(writer http.ResponseWriter, request *http.Request) (session, error) {
	session := session{id: writer.Header().Get(requestHeader)}
	token, err := bearer(request)
	if err != nil {
		return session, err
	}
	if session.organisation, err = callers.fleet.Authenticate(token); err != nil {
		return session, err
	}
	if session.deadline, err = deadlineOf(request, session.organisation.Promise); err != nil {
		return session, err
	}
	session.body, err = callers.guard.readBody(writer, request)
	return session, err
}
