package hatchstandin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
)

// ServiceFaults says how the service stand-in misbehaves.
type ServiceFaults struct {
	Delay     Duration `json:"delay"`     // added before each run
	LoseReply bool     `json:"loseReply"` // requests run but are not answered
	Refuse    bool     `json:"refuse"`    // requests are refused and said not to have run
	Freeze    bool     `json:"freeze"`    // requests wait before they run
}

// KeyRuns says how often one key ran; it is the oracle of at-most-once tests.
type KeyRuns struct {
	Key  string `json:"key"`
	Runs int    `json:"runs"`
}

// Service is the stand-in for a plain service.
type Service struct {
	mu     sync.Mutex
	runs   map[string]int
	faults ServiceFaults
	thaw   chan struct{} // closed when a freeze ends
}

// NewService returns a service stand-in that has run nothing.
func NewService() *Service {
	return &Service{runs: make(map[string]int)}
}

// Handler serves the service and the controls.
func (service *Service) Handler() http.Handler {
	router := httprouter.New()
	router.GET("/standin/runs", service.getRuns)
	router.PUT("/standin/faults", service.setFaults)
	router.GET("/load", service.load)
	router.NotFound = http.HandlerFunc(service.run)
	return router
}

// ServiceAnswer is what the service stand-in answers a run with.
type ServiceAnswer struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Key    string `json:"key,omitempty"`
	Run    int    `json:"run"` // how often the key has run, this time included
	Length int    `json:"length"`
}

func (service *Service) run(writer http.ResponseWriter, request *http.Request) {
	var body json.RawMessage
	if request.ContentLength != 0 && !readJSON(writer, request, &body) {
		return
	}
	service.mu.Lock()
	faults, thaw := service.faults, service.thaw
	service.mu.Unlock()
	if faults.Freeze {
		<-thaw
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
		loseReply(writer)
	}
	writeJSON(writer, ServiceAnswer{Method: request.Method, Path: request.URL.Path, Key: key, Run: run, Length: len(body)})
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
	if service.thaw != nil {
		close(service.thaw)
	}
	service.thaw = make(chan struct{})
	service.faults = faults
	writeJSON(writer, faults)
}
