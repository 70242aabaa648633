package hatchstandin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
)

// ServiceFaults sets the faults of the service stand-in.
type ServiceFaults struct {
	Delay     Duration `json:"delay"`     // added before each run
	LoseReply bool     `json:"loseReply"` // requests run, but the connection is closed without a response
	Refuse    bool     `json:"refuse"`    // requests are refused with 503 and marked as not run
	Freeze    bool     `json:"freeze"`    // requests wait until the faults change, then run
}

// KeyRuns is the number of runs with one idempotency key. Tests use it to check
// that an order runs at most once.
type KeyRuns struct {
	Key  string `json:"key"`
	Runs int    `json:"runs"`
}

// Service is the stand-in for a plain service that is an upstream of the command
// serve.
type Service struct {
	mu            sync.Mutex
	runs          map[string]int
	faults        ServiceFaults
	faultsChanged chan struct{} // closed and replaced when the faults change
}

// NewService returns a service stand-in without recorded runs.
func NewService() *Service {
	return &Service{runs: make(map[string]int)}
}

// Handler serves the service and the endpoints that control the stand-in.
func (service *Service) Handler() http.Handler {
	router := httprouter.New()
	router.GET("/standin/runs", service.getRuns)
	router.PUT("/standin/faults", service.setFaults)
	router.GET("/load", service.load)
	router.NotFound = http.HandlerFunc(service.run)
	return router
}

// ServiceResponse is the body of the service stand-in's response to a run.
type ServiceResponse struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Key    string `json:"key,omitempty"`
	Run    int    `json:"run"`    // runs with this key so far, including this one
	Length int    `json:"length"` // of the request body, in bytes
}

func (service *Service) run(writer http.ResponseWriter, request *http.Request) {
	var body json.RawMessage
	if request.ContentLength != 0 && !readJSON(writer, request, &body) {
		return
	}
	service.mu.Lock()
	faults, faultsChanged := service.faults, service.faultsChanged
	service.mu.Unlock()
	if faults.Freeze {
		<-faultsChanged
	}
	time.Sleep(time.Duration(faults.Delay))
	if faults.Refuse {
		writer.Header().Set("Not-Run", "true")
		http.Error(writer, "refused", http.StatusServiceUnavailable)
		return
	}
	key := request.Header.Get("Idempotency-Key")
	service.mu.Lock()
	service.runs[key]++
	run := service.runs[key]
	service.mu.Unlock()
	if faults.LoseReply {
		abortConnection(writer)
	}
	writeJSON(writer, ServiceResponse{Method: request.Method, Path: request.URL.Path, Key: key, Run: run, Length: len(body)})
}

func (service *Service) load(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	service.mu.Lock()
	defer service.mu.Unlock()
	writeJSON(writer, struct {
		Keys int `json:"keys"`
	}{len(service.runs)})
}

func (service *Service) getRuns(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	service.mu.Lock()
	defer service.mu.Unlock()
	runs := make([]KeyRuns, 0, len(service.runs))
	for key, count := range service.runs {
		runs = append(runs, KeyRuns{key, count})
	}
	writeJSON(writer, runs)
}

func (service *Service) setFaults(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	var faults ServiceFaults
	if !readJSON(writer, request, &faults) {
		return
	}
	service.mu.Lock()
	defer service.mu.Unlock()
	if service.faultsChanged != nil {
		close(service.faultsChanged)
	}
	service.faultsChanged = make(chan struct{})
	service.faults = faults
	writeJSON(writer, faults)
}
