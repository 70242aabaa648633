package hatchstandin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
)

// LayerEngineSpec says what a layer engine is.
type LayerEngineSpec struct {
	ID            string
	Service       string
	Zone          string
	Accelerator   string
	MemoryLayers  int // it crashes if ordered to hold more
	Events        int // of a whole stream
	EventInterval time.Duration
	LoadTime      time.Duration // of an order
	Advertised    string        // address that it registers, such as a proxy's; its own if empty
	Arrived       func(Arrival) // called for each request that reaches it, unless nil
}

// LayerEngines is a set of engines that hold ranges of layers and run pipelines
// of each other.
type LayerEngines struct {
	mu      sync.Mutex
	engines map[string]*LayerEngine // by address
}

// NewLayerEngines returns an empty set.
func NewLayerEngines() *LayerEngines {
	return &LayerEngines{engines: make(map[string]*LayerEngine)}
}

// LayerEngine is the stand-in for an engine by the platform's protocol.
type LayerEngine struct {
	spec     LayerEngineSpec
	set      *LayerEngines
	listener net.Listener
	server   *http.Server
	born     int64

	mu       sync.Mutex
	from, to int // layers held
	busy     bool
	leaving  bool
	orders   int // accepted
	over     bool
	changed  func()
}

// Start adds an engine and serves it on loopback. Changed is called when what it
// registers changes.
func (set *LayerEngines) Start(spec LayerEngineSpec, changed func()) (*LayerEngine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	engine := &LayerEngine{
		spec: spec, set: set, listener: listener, born: time.Now().UnixMilli(), changed: changed,
	}
	if engine.spec.Advertised == "" {
		engine.spec.Advertised = listener.Addr().String()
	}
	if engine.spec.Arrived == nil {
		engine.spec.Arrived = func(Arrival) {}
	}
	router := httprouter.New()
	router.GET("/-/report", engine.report)
	router.POST("/-/order", engine.order)
	router.NotFound = http.HandlerFunc(engine.generate)
	engine.server = &http.Server{Handler: router, ReadHeaderTimeout: 10 * time.Second}
	set.mu.Lock()
	set.engines[engine.Address()] = engine
	set.mu.Unlock()
	go func() { _ = engine.server.Serve(listener) }() // ends with Crash
	return engine, nil
}

// Address returns the address that the engine registers.
func (engine *LayerEngine) Address() string { return engine.spec.Advertised }

// Socket returns where the engine listens.
func (engine *LayerEngine) Socket() string { return engine.listener.Addr().String() }

// Leave makes the engine register that it is leaving; it goes on serving.
func (engine *LayerEngine) Leave() {
	engine.mu.Lock()
	engine.leaving = true
	engine.mu.Unlock()
	engine.changed()
}

// Crash ends the engine at once.
func (engine *LayerEngine) Crash() {
	engine.set.mu.Lock()
	delete(engine.set.engines, engine.Address())
	engine.set.mu.Unlock()
	_ = engine.server.Close() // what it still did is lost, as is meant
}

// Held returns the layers from the first to the one after the last.
func (engine *LayerEngine) Held() (from, to int) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.from, engine.to
}

// OverMemory says whether the engine was ever ordered to hold too much.
func (engine *LayerEngine) OverMemory() bool {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.over
}

// Registration returns the entry that the engine writes to the store.
func (engine *LayerEngine) Registration() map[string]any {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	entry := map[string]any{
		"service": engine.spec.Service, "address": engine.spec.Advertised, "zone": engine.spec.Zone, "slots": 64,
		"state": stateName(engine.leaving), "route_type": engine.spec.Accelerator, "born": engine.born, "layers": nil,
	}
	if engine.to > engine.from {
		entry["layers"] = map[string]int{"from": engine.from, "to": engine.to, "version": 1}
	}
	return entry
}

func (engine *LayerEngine) report(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	entry := engine.Registration()
	engine.mu.Lock()
	defer engine.mu.Unlock()
	entry["busy"], entry["sequence"], entry["pace"] = engine.busy, engine.orders, 1
	writeJSON(writer, entry)
}

// layerOrder is the body of an order.
type layerOrder struct {
	Operation string `json:"op"`
	From      int    `json:"from"`
	To        int    `json:"to"`
	Expected  *int   `json:"expected"`
}

func (engine *LayerEngine) order(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	var order layerOrder
	if !readJSON(writer, request, &order) {
		return
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	switch {
	case order.Operation != "place":
		writer.WriteHeader(http.StatusBadRequest)
		return
	case order.From == engine.from && order.To == engine.to:
		return
	case engine.busy || order.Expected != nil && *order.Expected != engine.orders:
		writer.WriteHeader(http.StatusConflict)
		return
	}
	engine.orders++
	engine.over = engine.over || order.To-order.From > engine.spec.MemoryLayers
	engine.busy = true
	time.AfterFunc(engine.spec.LoadTime, func() {
		engine.mu.Lock()
		engine.from, engine.to, engine.busy = order.From, order.To, false
		engine.mu.Unlock()
		engine.changed()
	})
	writer.WriteHeader(http.StatusAccepted)
}

// generate streams events if all parts of the pipeline hold their layers.
func (engine *LayerEngine) generate(writer http.ResponseWriter, request *http.Request) {
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return // the caller left
	}
	if refuseOther(writer, request, engine.spec.ID) {
		return
	}
	parts := strings.Split(request.Header.Get("Hop-Count"), ",")
	arrival := arrivalOf(request)
	for i, part := range parts {
		if status := engine.set.check(part, i == 0, engine.Address()); status != http.StatusOK {
			address, _, _ := strings.Cut(part, "=")
			writer.Header().Set("Not-Executed", "1")
			writer.Header().Set("At-Server", address)
			writer.WriteHeader(status)
			engine.spec.Arrived(arrival)
			return
		}
	}
	arrival.Ran = true
	engine.spec.Arrived(arrival)
	from, err := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	if err != nil {
		from = 0 // a stream from its beginning
	}
	header := writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Server-Seal", "seal")
	header.Set("Attempt-Id", request.Header.Get("Attempt-Id"))
	for event := from + 1; event <= engine.spec.Events; event++ {
		for i, part := range parts {
			if engine.set.check(part, i == 0, engine.Address()) != http.StatusOK {
				time.Sleep(3 * time.Second) // the rest stalls on a lost part
				panic(http.ErrAbortHandler)
			}
		}
		fmt.Fprintf(writer, "id: %d\ndata: token %d of %s\n\n", event, event, arrival.ID)
		writer.(http.Flusher).Flush()
		time.Sleep(engine.spec.EventInterval)
	}
}

// check says whether the part of a pipeline holds its layers: 200, 421 if it does
// not, or 503 if it is dead.
func (set *LayerEngines) check(part string, first bool, head string) int {
	address, layers, _ := strings.Cut(part, "=")
	if first && address != head {
		return http.StatusBadRequest
	}
	set.mu.Lock()
	engine, alive := set.engines[address]
	set.mu.Unlock()
	if !alive {
		return http.StatusServiceUnavailable
	}
	var from, to int
	if _, err := fmt.Sscanf(layers, "%d-%d", &from, &to); err != nil {
		return http.StatusBadRequest
	}
	if heldFrom, heldTo := engine.Held(); from < heldFrom || to > heldTo || from >= to {
		return http.StatusMisdirectedRequest
	}
	return http.StatusOK
}
