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

// HeartbeatInterval is how often a stream without a token says that it lives.
const HeartbeatInterval = 200 * time.Millisecond

// EngineSpec says what an engine stand-in holds and how fast it is.
type EngineSpec struct {
	Name          string                    `json:"name"`
	Model         string                    `json:"model"`
	Version       string                    `json:"version"`
	Layers        dragonflyhatch.LayerRange `json:"layers"`
	TokenInterval Duration                  `json:"tokenInterval"` // for each token of a stream
	PrefillTime   Duration                  `json:"prefillTime"`   // for each block of a prompt not in the cache
	Slots         int                       `json:"slots"`         // streams served at once
	CacheBlocks   int                       `json:"cacheBlocks"`
	LoadLag       Duration                  `json:"loadLag"`
	ChecksFencing bool                      `json:"checksFencing"`
}

// EngineFaults says how an engine stand-in misbehaves.
type EngineFaults struct {
	Dead        bool     `json:"dead"`        // every connection breaks
	Frozen      bool     `json:"frozen"`      // nothing moves until it ends
	Leaving     bool     `json:"leaving"`     // new streams are refused
	SlowBy      int      `json:"slowBy"`      // percent added to each token's time
	CacheLag    Duration `json:"cacheLag"`    // cache events show up late
	DropCache   bool     `json:"dropCache"`   // every second cache event is missing
	SilenceOpen bool     `json:"silenceOpen"` // open streams go silent, new ones work
}

// Step is what the oracle keeps of one run of a layer.
type Step struct {
	Request  string `json:"request"`
	Attempt  int    `json:"attempt"`
	Position int    `json:"position"`
	Layer    int    `json:"layer"`
}

// maxSteps bounds the record of layer runs.
const maxSteps = 1 << 18

// Engine is the stand-in for a model engine that holds a range of layers.
type Engine struct {
	client *http.Client

	mu      sync.Mutex
	spec    EngineSpec
	faults  EngineFaults
	change  chan struct{} // closed and replaced when the faults change
	silence chan struct{} // closed and replaced to silence open streams
	fencing uint64        // highest fencing number seen
	orders  int           // orders carried out
	held    map[string]*heldRequest
	steps   []Step
	begun   int // streams taken
	slots   slotQueue
	cache   prefixCache
	loads   loadHistory
}

// heldRequest is what an engine keeps of a request: its KV cache's length and
// the attempt that owns it.
type heldRequest struct {
	attempt   int
	cancelled int // attempts up to this one are over
	positions int
}

// NewEngine returns an engine stand-in.
func NewEngine(spec EngineSpec) *Engine {
	return &Engine{
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		spec:    spec,
		change:  make(chan struct{}),
		silence: make(chan struct{}),
		held:    make(map[string]*heldRequest),
		slots:   slotQueue{free: spec.Slots},
		cache:   newPrefixCache(spec.CacheBlocks),
	}
}

// Handler serves the engine's protocol and the controls.
func (engine *Engine) Handler() http.Handler {
	router := httprouter.New()
	router.POST("/v1/generate", engine.guard(engine.generate))
	router.POST("/v1/step", engine.guard(engine.step))
	router.POST("/v1/cancel", engine.guard(engine.cancel))
	router.GET("/v1/load", engine.guard(engine.load))
	router.GET("/v1/cache/events", engine.guard(engine.cacheEvents))
	router.GET("/v1/kv/:request", engine.guard(engine.exportKV))
	router.PUT("/v1/kv/:request", engine.guard(engine.importKV))
	router.POST("/v1/orders", engine.guard(engine.order))
	router.GET("/v1/state", engine.guard(engine.state))
	router.PUT("/standin/faults", engine.setFaults)
	router.GET("/standin/steps", engine.getSteps)
	router.GET("/standin/streams", engine.getStreams)
	return router
}

// guard applies the faults that concern every call.
func (engine *Engine) guard(handle httprouter.Handle) httprouter.Handle {
	return func(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
		if !engine.awaitThaw(request.Context()) {
			loseReply(writer)
		}
		handle(writer, request, params)
	}
}

// awaitThaw waits while the engine is frozen; it returns false if the engine
// is dead or ctx is done.
func (engine *Engine) awaitThaw(ctx context.Context) bool {
	for {
		engine.mu.Lock()
		faults, change := engine.faults, engine.change
		engine.mu.Unlock()
		if faults.Dead {
			return false
		}
		if !faults.Frozen {
			return ctx.Err() == nil
		}
		select {
		case <-change:
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
	close(engine.change)
	engine.change = make(chan struct{})
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

// StreamCount says how many streams an engine has taken as a head, and how many
// requests it has run layers for.
type StreamCount struct {
	Begun    int `json:"begun"`
	Requests int `json:"requests"`
}

func (engine *Engine) getStreams(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	writeJSON(writer, StreamCount{engine.begun, len(engine.held)})
}

// EngineState is what an engine says it holds.
type EngineState struct {
	dragonflyhatch.EngineOrder
	Orders int `json:"orders"` // orders carried out since it started
}

func (engine *Engine) order(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	var order dragonflyhatch.EngineOrder
	if !readJSON(writer, request, &order) {
		return
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.spec.ChecksFencing && order.Fencing < engine.fencing {
		http.Error(writer, "old fencing number", http.StatusConflict)
		return
	}
	engine.fencing = max(engine.fencing, order.Fencing)
	engine.orders++
	engine.spec.Model, engine.spec.Version, engine.spec.Layers = order.Model, order.Version, order.Layers
	writeJSON(writer, engine.stateLocked())
}

func (engine *Engine) state(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	writeJSON(writer, engine.stateLocked())
}

func (engine *Engine) stateLocked() EngineState {
	spec := engine.spec
	held := dragonflyhatch.Held{Model: spec.Model, Version: spec.Version, Layers: spec.Layers}
	return EngineState{dragonflyhatch.EngineOrder{Held: held, Fencing: engine.fencing}, engine.orders}
}

func (engine *Engine) load(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(writer, engine.report())
}

// report returns the load as it was some time ago.
func (engine *Engine) report() dragonflyhatch.LoadReport {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	report := engine.loads.at(time.Now(), time.Duration(engine.spec.LoadLag))
	report.TokenInterval = time.Duration(engine.spec.TokenInterval)
	report.Leaving = engine.faults.Leaving
	return report
}

func (engine *Engine) cacheEvents(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	writeJSON(writer, engine.cache.visible(time.Now(), time.Duration(engine.faults.CacheLag)))
}

// HeldKV is the exported KV cache of one request: the layers and the number of
// token positions that it covers.
type HeldKV struct {
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
	held, ok := engine.held[name]
	if !ok {
		http.Error(writer, "no such request", http.StatusNotFound)
		return
	}
	spec := engine.spec
	writeJSON(writer, HeldKV{name, spec.Model, spec.Version, spec.Layers, held.positions})
}

func (engine *Engine) importKV(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
	var kv HeldKV
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
	engine.heldLocked(params.ByName("request")).positions = kv.Positions
	writeJSON(writer, kv)
}

func (engine *Engine) heldLocked(request string) *heldRequest {
	held, ok := engine.held[request]
	if !ok {
		held = &heldRequest{}
		engine.held[request] = held
	}
	return held
}

// CancelOrder ends the attempts of a request up to Attempt.
type CancelOrder struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
}

func (engine *Engine) cancel(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	var order CancelOrder
	if !readJSON(writer, request, &order) {
		return
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	held := engine.heldLocked(order.Request)
	held.cancelled = max(held.cancelled, order.Attempt)
	writeJSON(writer, order)
}

// encodeFrame writes one line of a stream and sends it at once.
func encodeFrame(writer http.ResponseWriter, frame dragonflyhatch.Frame) error {
	if err := json.NewEncoder(writer).Encode(frame); err != nil {
		return err
	}
	return http.NewResponseController(writer).Flush()
}
