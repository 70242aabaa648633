package hatchstandin

import (
	"context"
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

// LayerEngineSpec configures a layer engine.
type LayerEngineSpec struct {
	ID            string
	Service       string
	Zone          string
	Accelerator   string
	MemoryLayers  int // layers that fit in memory; a real engine crashes if it loads more, the stand-in only records that it was commanded to
	Events        int // events in a complete stream
	EventInterval time.Duration
	LoadTime      time.Duration // time that a layer command takes
	Advertised    string        // address to register, such as a proxy's; the listener's if empty
	OnArrival     func(Arrival) // if not nil, called for each request except those meant for another replica
	DeadlyPart    string        // part of a prompt at which the engine crashes, or empty
	Limit         string        // limit on requests a second that the engine names, or empty
}

// LayerEngineSet is a set of engines that hold ranges of layers and together run
// pipelines.
type LayerEngineSet struct {
	mu      sync.Mutex
	engines map[string]*LayerEngine // by address
}

// NewLayerEngineSet returns an empty set.
func NewLayerEngineSet() *LayerEngineSet {
	return &LayerEngineSet{engines: make(map[string]*LayerEngine)}
}

// LayerEngine is the stand-in for an engine that uses the platform's protocol and
// is a replica behind the command gateway.
type LayerEngine struct {
	spec          LayerEngineSpec
	set           *LayerEngineSet
	listener      net.Listener
	server        *http.Server
	startedMillis int64

	mu               sync.Mutex
	from, to         int // layers held, from inclusive, to exclusive
	loading          bool
	leaving          bool
	commandsAccepted int // reported as the sequence number
	exceededMemory   bool
	sendsForeign     bool
	onChange         func()
}

// Start adds an engine and starts it on a loopback port. It calls onChange when the
// engine's registration changes.
func (set *LayerEngineSet) Start(spec LayerEngineSpec, onChange func()) (*LayerEngine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	engine := &LayerEngine{
		spec: spec, set: set, listener: listener, startedMillis: time.Now().UnixMilli(), onChange: onChange,
	}
	if engine.spec.Advertised == "" {
		engine.spec.Advertised = listener.Addr().String()
	}
	if engine.spec.OnArrival == nil {
		engine.spec.OnArrival = func(Arrival) {}
	}
	router := httprouter.New()
	router.GET("/-/report", engine.getReport)
	router.POST("/-/order", engine.command)
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

// ListenAddress returns the address that the engine listens on.
func (engine *LayerEngine) ListenAddress() string { return engine.listener.Addr().String() }

// Leave changes the engine's registration to draining; it continues to serve.
func (engine *LayerEngine) Leave() {
	engine.mu.Lock()
	engine.leaving = true
	engine.mu.Unlock()
	engine.onChange()
}

// Crash stops the engine immediately and drops its open connections.
func (engine *LayerEngine) Crash() {
	engine.set.mu.Lock()
	delete(engine.set.engines, engine.Address())
	engine.set.mu.Unlock()
	_ = engine.server.Close() // aborts open requests, as a crash does
}

// IsRunning reports whether the engine has not crashed.
func (engine *LayerEngine) IsRunning() bool {
	engine.set.mu.Lock()
	defer engine.set.mu.Unlock()
	return engine.set.engines[engine.Address()] == engine
}

// HeldRange returns the layers that the engine holds: the first, and the one after the
// last.
func (engine *LayerEngine) HeldRange() (from, to int) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.from, engine.to
}

// ExceededMemory reports whether the engine ever accepted a command to hold more layers
// than fit in its memory.
func (engine *LayerEngine) ExceededMemory() bool {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.exceededMemory
}

// Registration returns the entry that the engine writes to the store.
func (engine *LayerEngine) Registration() map[string]any {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	entry := map[string]any{
		"service": engine.spec.Service, "address": engine.spec.Advertised, "zone": engine.spec.Zone, "slots": 64,
		"state": registrationState(engine.leaving), "route_type": engine.spec.Accelerator, "born": engine.startedMillis, "layers": nil,
	}
	if engine.to > engine.from {
		entry["layers"] = map[string]int{"from": engine.from, "to": engine.to, "version": 1}
	}
	return entry
}

func (engine *LayerEngine) getReport(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	entry := engine.Registration()
	engine.mu.Lock()
	defer engine.mu.Unlock()
	entry["busy"], entry["sequence"], entry["pace"] = engine.loading, engine.commandsAccepted, 1
	writeJSON(writer, entry)
}

// layerCommand is the request body of a layer command.
type layerCommand struct {
	Operation string `json:"op"`
	From      int    `json:"from"`
	To        int    `json:"to"`
	Expected  *int   `json:"expected"` // sequence number that the engine must have; nil for any
}

func (engine *LayerEngine) command(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	var command layerCommand
	if !readJSON(writer, request, &command) {
		return
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	switch {
	case command.Operation != "place":
		writer.WriteHeader(http.StatusBadRequest)
		return
	case command.From == engine.from && command.To == engine.to:
		return // it already holds these layers
	case engine.loading || command.Expected != nil && *command.Expected != engine.commandsAccepted:
		writer.WriteHeader(http.StatusConflict)
		return
	}
	engine.commandsAccepted++
	engine.exceededMemory = engine.exceededMemory || command.To-command.From > engine.spec.MemoryLayers
	engine.loading = true
	time.AfterFunc(engine.spec.LoadTime, func() {
		engine.mu.Lock()
		engine.from, engine.to, engine.loading = command.From, command.To, false
		engine.mu.Unlock()
		engine.onChange()
	})
	writer.WriteHeader(http.StatusAccepted)
}

// generate streams events if all stages of the pipeline hold their layers. The
// Hop-Count header lists the stages.
func (engine *LayerEngine) generate(writer http.ResponseWriter, request *http.Request) {
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return // the client disconnected
	}
	if refuseWrongReplica(writer, request, engine.spec.ID) {
		return
	}
	stages := strings.Split(request.Header.Get("Hop-Count"), ",")
	arrival := newArrival(request)
	if limit := engine.spec.Limit; limit != "" {
		writer.Header().Set("Server-Limit", limit)
	}
	for i, stage := range stages {
		if status := engine.set.checkStage(stage, i == 0, engine.Address()); status != http.StatusOK {
			address, _, _ := strings.Cut(stage, "=")
			writer.Header().Set("Not-Executed", "1")
			writer.Header().Set("At-Server", address)
			writer.WriteHeader(status)
			engine.spec.OnArrival(arrival)
			return
		}
	}
	arrival.Ran = true
	engine.spec.OnArrival(arrival)
	if deadly := engine.spec.DeadlyPart; deadly != "" && hasPart(request.Header.Get("Prompt-Prefix"), deadly) {
		engine.Crash()
		panic(http.ErrAbortHandler)
	}
	from, err := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	if err != nil {
		from = 0 // no event to resume after: stream from the start
	}
	header := writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Server-Seal", "seal")
	header.Set("Attempt-Id", request.Header.Get("Attempt-Id"))
	for event := from + 1; event <= engine.spec.Events; event++ {
		for i, stage := range stages {
			if engine.set.checkStage(stage, i == 0, engine.Address()) != http.StatusOK {
				time.Sleep(3 * time.Second) // a lost stage first stalls the stream and then breaks it
				panic(http.ErrAbortHandler)
			}
		}
		if engine.isSendingForeign() {
			sendForeign(request.Context(), writer, event)
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(writer, "id: %d\ndata: token %d of %s\n\n", event, event, arrival.ID)
		writer.(http.Flusher).Flush()
		time.Sleep(engine.spec.EventInterval)
	}
}

// SetForeign makes the engine's streams go on, from their next event, with bytes that are no
// events of theirs, until their callers disconnect, or ends that for new events.
func (engine *LayerEngine) SetForeign(enabled bool) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.sendsForeign = enabled
}

func (engine *LayerEngine) isSendingForeign() bool {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.sendsForeign
}

// foreignInterval is the pause between two blocks of foreign bytes.
const foreignInterval = 5 * time.Millisecond

// sendForeign writes bytes that are not the event with the number, without an end.
func sendForeign(ctx context.Context, writer http.ResponseWriter, event int) {
	random := make([]byte, 8<<10)
	for i := range random {
		random[i] = byte(event*i*i + i>>3)
	}
	kinds := [][]byte{
		random,
		[]byte("a line of text\n\n"),
		[]byte("HTTP/1.1 200 OK\r\nServer-Seal: seal\r\n\r\n"),
		fmt.Appendf(nil, "id: %d\ndata: foreign\n\n", event-1),
	}
	block := kinds[event%len(kinds)]
	for ctx.Err() == nil {
		if _, err := writer.Write(block); err != nil {
			return
		}
		writer.(http.Flusher).Flush()
		time.Sleep(foreignInterval)
	}
}

// hasPart reports whether a list of entries ID:TOKENS has the id.
func hasPart(list, id string) bool {
	for entry := range strings.SplitSeq(list, ",") {
		if name, _, _ := strings.Cut(entry, ":"); name == id {
			return true
		}
	}
	return false
}

// checkStage returns 200 if the engine of a stage holds the stage's layers, 421 if
// it does not, 503 if there is no such engine, or 400 if the stage is malformed or
// the first stage is not the head.
func (set *LayerEngineSet) checkStage(stage string, first bool, head string) int {
	address, layers, _ := strings.Cut(stage, "=")
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
	if heldFrom, heldTo := engine.HeldRange(); from < heldFrom || to > heldTo || from >= to {
		return http.StatusMisdirectedRequest
	}
	return http.StatusOK
}
