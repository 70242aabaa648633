package hatchstandin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"dragonflyhatch"
)

// HeartbeatInterval is the interval of heartbeats in a stream that waits for a slot.
const HeartbeatInterval = 200 * time.Millisecond

// EngineSpec configures an engine stand-in.
type EngineSpec struct {
	Name          string                    `json:"name"`
	Model         string                    `json:"model"`
	Version       string                    `json:"version"`
	Layers        dragonflyhatch.LayerRange `json:"layers"`
	TokenInterval Duration                  `json:"tokenInterval"` // time for each token of a stream
	PrefillTime   Duration                  `json:"prefillTime"`   // time for each prompt block that is not in the prefix cache
	Slots         int                       `json:"slots"`         // number of streams that run concurrently
	CacheBlocks   int                       `json:"cacheBlocks"`   // capacity of the prefix cache; 0 for none
	LoadLag       Duration                  `json:"loadLag"`       // age of the load reports
	ChecksFencing bool                      `json:"checksFencing"` // refuses layer commands with an old fencing number
}

// EngineFaults sets the faults of an engine stand-in.
type EngineFaults struct {
	Dead            bool     `json:"dead"`        // every connection is aborted
	Frozen          bool     `json:"frozen"`      // calls and open streams wait until this fault is cleared
	Leaving         bool     `json:"leaving"`     // new streams are refused as not run
	SlowdownPercent int      `json:"slowBy"`      // percent added to the time of each token
	CacheLag        Duration `json:"cacheLag"`    // delay before cache events are published
	DropCache       bool     `json:"dropCache"`   // every second cache event is discarded
	SilenceOpen     bool     `json:"silenceOpen"` // open streams send nothing more; new ones are unaffected
}

// Step records one run of a layer, for checks by tests.
type Step struct {
	Request  string `json:"request"`
	Attempt  int    `json:"attempt"`
	Position int    `json:"position"`
	Layer    int    `json:"layer"`
}

// maxSteps limits the recorded layer runs; later ones are not recorded.
const maxSteps = 1 << 18

// Engine is the stand-in for a model engine that holds a range of layers and is an
// upstream of the command serve.
type Engine struct {
	client *http.Client

	mu              sync.Mutex
	spec            EngineSpec
	faults          EngineFaults
	faultsChanged   chan struct{}            // closed and replaced when the faults change
	silence         chan struct{}            // closed to silence all open streams, then replaced
	fencing         uint64                   // highest fencing number seen
	commandsApplied int                      // layer commands carried out
	requestStates   map[string]*requestState // by request
	steps           []Step
	streamsStarted  int // streams accepted as head
	slots           slotQueue
	cache           prefixCache
	loads           loadHistory
}

// requestState is an engine's state of a request: the length of its KV cache and
// the attempt that owns it.
type requestState struct {
	attempt   int
	cancelled int // attempts up to this one are cancelled
	positions int // token positions in the KV cache
}

// NewEngine returns an engine stand-in.
func NewEngine(spec EngineSpec) *Engine {
	return &Engine{
		client:        &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		spec:          spec,
		faultsChanged: make(chan struct{}),
		silence:       make(chan struct{}),
		requestStates: make(map[string]*requestState),
		slots:         slotQueue{free: spec.Slots},
		cache:         newPrefixCache(spec.CacheBlocks),
	}
}

// Handler serves the engine's protocol and the endpoints that control the stand-in.
func (engine *Engine) Handler() http.Handler {
	router := httprouter.New()
	router.POST("/v1/generate", engine.injectFaults(engine.generate))
	router.POST("/v1/step", engine.injectFaults(engine.step))
	router.POST("/v1/cancel", engine.injectFaults(engine.cancel))
	router.GET("/v1/load", engine.injectFaults(engine.getLoad))
	router.GET("/v1/cache/events", engine.injectFaults(engine.getCacheEvents))
	router.GET("/v1/kv/:request", engine.injectFaults(engine.exportKV))
	router.PUT("/v1/kv/:request", engine.injectFaults(engine.importKV))
	router.POST("/v1/orders", engine.injectFaults(engine.command))
	router.GET("/v1/state", engine.injectFaults(engine.getState))
	router.PUT("/standin/faults", engine.setFaults)
	router.GET("/standin/steps", engine.getSteps)
	router.GET("/standin/streams", engine.getStreams)
	return router
}

// injectFaults wraps a handler with the faults that apply to every call.
func (engine *Engine) injectFaults(handle httprouter.Handle) httprouter.Handle {
	return func(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
		if !engine.waitWhileFrozen(request.Context()) {
			abortConnection(writer)
		}
		handle(writer, request, params)
	}
}

// waitWhileFrozen waits while the engine is frozen; it returns false if the engine
// is dead or ctx is done.
func (engine *Engine) waitWhileFrozen(ctx context.Context) bool {
	for {
		engine.mu.Lock()
		faults, faultsChanged := engine.faults, engine.faultsChanged
		engine.mu.Unlock()
		if faults.Dead {
			return false
		}
		if !faults.Frozen {
			return ctx.Err() == nil
		}
		select {
		case <-faultsChanged:
		case <-ctx.Done():
			return false
		}
	}
}

func (engine *Engine) setFaults(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	var faults EngineFaults
	if !readJSON(writer, request, &faults) {
		return
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.faults = faults
	close(engine.faultsChanged)
	engine.faultsChanged = make(chan struct{})
	if faults.SilenceOpen {
		close(engine.silence)
		engine.silence = make(chan struct{})
	}
	writeJSON(writer, faults)
}

func (engine *Engine) getSteps(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	writeJSON(writer, engine.steps)
}

// StreamCounts counts the streams and requests of an engine since it started.
type StreamCounts struct {
	Started  int `json:"begun"`    // streams accepted as head
	Requests int `json:"requests"` // requests for which the engine keeps state
}

func (engine *Engine) getStreams(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	writeJSON(writer, StreamCounts{engine.streamsStarted, len(engine.requestStates)})
}

// EngineState is an engine's response to a layer command and to a state query.
type EngineState struct {
	dragonflyhatch.EngineCommand
	CommandsApplied int `json:"orders"` // layer commands carried out since the engine started
}

func (engine *Engine) command(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	var command dragonflyhatch.EngineCommand
	if !readJSON(writer, request, &command) {
		return
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.spec.ChecksFencing && command.Fencing < engine.fencing {
		http.Error(writer, "old fencing number", http.StatusConflict)
		return
	}
	engine.fencing = max(engine.fencing, command.Fencing)
	engine.commandsApplied++
	engine.spec.Model, engine.spec.Version, engine.spec.Layers = command.Model, command.Version, command.Layers
	writeJSON(writer, engine.stateLocked())
}

func (engine *Engine) getState(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	writeJSON(writer, engine.stateLocked())
}

func (engine *Engine) stateLocked() EngineState {
	spec := engine.spec
	modelLayers := dragonflyhatch.ModelLayers{Model: spec.Model, Version: spec.Version, Layers: spec.Layers}
	return EngineState{dragonflyhatch.EngineCommand{ModelLayers: modelLayers, Fencing: engine.fencing}, engine.commandsApplied}
}

func (engine *Engine) getLoad(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(writer, engine.loadReport())
}

// loadReport returns the load as it was LoadLag ago.
func (engine *Engine) loadReport() dragonflyhatch.LoadReport {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	loadReport := engine.loads.at(time.Now(), time.Duration(engine.spec.LoadLag))
	loadReport.TokenInterval = time.Duration(engine.spec.TokenInterval)
	loadReport.Leaving = engine.faults.Leaving
	return loadReport
}

func (engine *Engine) getCacheEvents(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	writeJSON(writer, engine.cache.visible(time.Now(), time.Duration(engine.faults.CacheLag)))
}

// KVExport is the exported KV cache of one request: the layers and the number of
// token positions that it covers.
type KVExport struct {
	Request   string                    `json:"request"`
	Model     string                    `json:"model"`
	Version   string                    `json:"version"`
	Layers    dragonflyhatch.LayerRange `json:"layers"`
	Positions int                       `json:"positions"`
}

func (engine *Engine) exportKV(writer http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	name := params.ByName("request")
	engine.mu.Lock()
	defer engine.mu.Unlock()
	state, ok := engine.requestStates[name]
	if !ok {
		http.Error(writer, "no such request", http.StatusNotFound)
		return
	}
	spec := engine.spec
	writeJSON(writer, KVExport{name, spec.Model, spec.Version, spec.Layers, state.positions})
}

func (engine *Engine) importKV(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
	var kv KVExport
	if !readJSON(writer, request, &kv) {
		return
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	spec := engine.spec
	if kv.Model != spec.Model || kv.Version != spec.Version || kv.Layers != spec.Layers {
		http.Error(writer, "other layers or another version", http.StatusConflict)
		return
	}
	engine.requestStateLocked(params.ByName("request")).positions = kv.Positions
	writeJSON(writer, kv)
}

func (engine *Engine) requestStateLocked(request string) *requestState {
	state, ok := engine.requestStates[request]
	if !ok {
		state = &requestState{}
		engine.requestStates[request] = state
	}
	return state
}

// CancelRequest is the request to cancel all attempts of a request up to Attempt.
type CancelRequest struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
}

func (engine *Engine) cancel(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	var cancellation CancelRequest
	if !readJSON(writer, request, &cancellation) {
		return
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	state := engine.requestStateLocked(cancellation.Request)
	state.cancelled = max(state.cancelled, cancellation.Attempt)
	writeJSON(writer, cancellation)
}

// writeFrame writes a frame as one line of JSON and flushes it.
func writeFrame(writer http.ResponseWriter, frame dragonflyhatch.Frame) error {
	if err := json.NewEncoder(writer).Encode(frame); err != nil {
		return err
	}
	return http.NewResponseController(writer).Flush()
}
