package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stallTime is how long work that depends on a dead replica stalls (stall_ms).
const stallTime = 3 * time.Second

// replica is a stand-in for a replica that registers itself in the store.
type replica struct {
	id, service, zone string
	slots             int
	accelerator       string // empty for a plain service
	store             *store
	record            *record
	listener          net.Listener
	server            *http.Server
	born              int64
	advertised        string // address to register; the listener's if empty

	mu       sync.Mutex
	leaving  bool
	stopped  bool
	gone     time.Time // when the entry was removed
	lateIDs  []string  // of requests that arrived later than drainTime after that
	running  int
	work     time.Duration // of a plain request
	from, to int           // layers held
	busy     bool
	sequence int // orders accepted
	peers    *engineSet
	interval time.Duration // between events
	events   int
	loadTime time.Duration // of all layers
	layers   int           // of the model
}

// engineSet finds engines by address, for the stages of a pipeline.
type engineSet struct {
	mu        sync.Mutex
	byAddress map[string]*replica
}

func newEngineSet() *engineSet { return &engineSet{byAddress: map[string]*replica{}} }

func (set *engineSet) at(address string) *replica {
	set.mu.Lock()
	defer set.mu.Unlock()
	return set.byAddress[address]
}

// start listens and registers the replica.
func (replica *replica) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	replica.serve(listener)
	return nil
}

// serve serves on the listener and registers the replica.
func (replica *replica) serve(listener net.Listener) {
	replica.listener, replica.born = listener, time.Now().UnixMilli()
	replica.server = &http.Server{Handler: replica}
	if replica.peers != nil {
		replica.peers.mu.Lock()
		replica.peers.byAddress[replica.address()] = replica
		replica.peers.mu.Unlock()
	}
	go func() { _ = replica.server.Serve(listener) }() // until stop
	replica.register()
	replica.record.printf("replica %s of %s starts at %s in %s", replica.id, replica.service, replica.address(), replica.zone)
}

// startBehindProxy is like start, but the replica registers the address of a proxy.
func (replica *replica) startBehindProxy() (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	link, err := newProxy("127.0.0.1:0", listener.Addr().String())
	if err != nil {
		return nil, err
	}
	replica.advertised = link.address()
	replica.serve(listener)
	return link, nil
}

// address returns the address that the replica registers.
func (replica *replica) address() string {
	if replica.advertised != "" {
		return replica.advertised
	}
	return replica.listener.Addr().String()
}

// entry returns the registration; the mutex must be held.
func (replica *replica) entry() map[string]any {
	state := "ready"
	if replica.leaving {
		state = "draining"
	}
	entry := map[string]any{
		"service": replica.service, "address": replica.address(), "zone": replica.zone, "version": 1, "slots": replica.slots,
		"state": state, "cold_remaining_ms": 0, "sequence": 1, "born": replica.born,
	}
	if replica.accelerator != "" {
		entry["route_type"] = replica.accelerator
		entry["layers"] = replica.held()
	}
	return entry
}

func (replica *replica) held() any {
	if replica.to <= replica.from {
		return nil
	}
	return map[string]int{"from": replica.from, "to": replica.to, "version": 1}
}

func (replica *replica) register() {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	if !replica.stopped {
		replica.store.set("servers", replica.id, replica.entry())
	}
}

// drain reports that the replica leaves; it continues to serve.
func (replica *replica) drain() {
	replica.mu.Lock()
	replica.leaving = true
	replica.mu.Unlock()
	replica.register()
	replica.record.printf("replica %s reports that it is draining", replica.id)
}

// vanish removes the replica's entry without a report of draining; it continues to
// serve.
func (replica *replica) vanish() {
	replica.mu.Lock()
	replica.leaving, replica.stopped = true, true
	replica.mu.Unlock()
	replica.store.remove("servers", replica.id)
	replica.mu.Lock()
	replica.gone = time.Now()
	replica.mu.Unlock()
	replica.record.printf("replica %s leaves without a report: its entry is removed", replica.id)
}

// late returns the ids of the requests that arrived too long after the entry's removal.
func (replica *replica) late() []string {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	return replica.lateIDs
}

// stop ends the replica.
func (replica *replica) stop() {
	replica.mu.Lock()
	replica.stopped = true
	replica.mu.Unlock()
	if replica.peers != nil {
		replica.peers.mu.Lock()
		delete(replica.peers.byAddress, replica.address())
		replica.peers.mu.Unlock()
	}
	replica.server.Close()
	replica.store.remove("servers", replica.id)
	replica.record.printf("replica %s has ended", replica.id)
}

// ServeHTTP serves requests, status checks, reports and orders.
func (replica *replica) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return // the sender has closed the connection
	}
	header := writer.Header()
	replica.mu.Lock()
	leaving := replica.leaving
	header.Set("Replica-Load", fmt.Sprintf("%d,0,%d", replica.running, replica.slots))
	replica.mu.Unlock()
	if leaving {
		header.Set("Server-Leaving", "1")
	}
	header.Set("Replica-Id", replica.id)
	if wanted := request.Header.Get("Expect-Instance"); wanted != "" && wanted != replica.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/-/report":
		replica.report(writer)
		return
	case "/-/order":
		replica.order(writer, body)
		return
	case "/healthz":
		writer.WriteHeader(status(!leaving, http.StatusServiceUnavailable))
		return
	}
	header.Set("Attempt-Id", request.Header.Get("Attempt-Id"))
	replica.mu.Lock()
	full := replica.running >= replica.slots
	if !replica.gone.IsZero() && time.Since(replica.gone) > drainTime {
		replica.lateIDs = append(replica.lateIDs, request.Header.Get("Attempt-Id"))
	}
	if !full {
		replica.running++
	}
	replica.mu.Unlock()
	if full {
		header.Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		replica.mu.Lock()
		replica.running--
		replica.mu.Unlock()
	}()
	if replica.accelerator != "" {
		replica.generate(writer, request)
		return
	}
	id := request.Header.Get("Attempt-Id")
	replica.record.printf("request %s reaches %s, which runs it", id, replica.id)
	select {
	case <-time.After(replica.work):
	case <-request.Context().Done(): // most replicas drop a request when its channel closes
		replica.record.printf("replica %s drops request %s: its channel is closed", replica.id, id)
		return
	}
	header.Set("Server-Seal", "seal of "+replica.id)
	header.Set("Content-Type", "text/plain")
	fmt.Fprint(writer, plainBody(id))
}

// plainBody returns the body of the answer to a plain request.
func plainBody(id string) string { return "answer to " + id + strings.Repeat(".", 800) }

func (replica *replica) report(writer http.ResponseWriter) {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	reply(writer, map[string]any{
		"stage": "colocated", "models": []any{}, "busy": replica.busy, "sequence": replica.sequence, "queued": 0, "running": replica.running,
		"kv_used": 0, "kv_total": 1000000, "handles": 0, "pace": 1, "layers": replica.held(), "route_type": replica.accelerator, "born": replica.born,
	}, http.StatusOK)
}

// order serves a place order.
func (replica *replica) order(writer http.ResponseWriter, body []byte) {
	var order struct {
		Op       string `json:"op"`
		From     int    `json:"from"`
		To       int    `json:"to"`
		Expected *int   `json:"expected"`
	}
	if json.Unmarshal(body, &order) != nil || order.Op != "place" {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	replica.mu.Lock()
	defer replica.mu.Unlock()
	switch {
	case order.From == replica.from && order.To == replica.to:
		return
	case replica.busy || order.Expected != nil && *order.Expected != replica.sequence:
		writer.WriteHeader(http.StatusConflict)
		return
	}
	replica.record.printf("replica %s is ordered to hold layers %d to %d", replica.id, order.From, order.To)
	replica.busy = true
	replica.sequence++
	replica.from, replica.to = max(replica.from, order.From), min(replica.to, order.To) // what is given up accepts nothing new
	load := time.Duration(float64(replica.loadTime) * float64(order.To-order.From) / float64(replica.layers))
	time.AfterFunc(load, func() {
		replica.mu.Lock()
		replica.from, replica.to, replica.busy = order.From, order.To, false
		replica.mu.Unlock()
		replica.register()
	})
	writer.WriteHeader(http.StatusAccepted)
}

// holds returns the status with which a stage at the address accepts the layers.
func (set *engineSet) holds(address, layers string) int {
	stage := set.at(address)
	if stage == nil {
		return http.StatusServiceUnavailable
	}
	first, end, _ := strings.Cut(layers, "-")
	from, errFrom := strconv.Atoi(first)
	to, errTo := strconv.Atoi(end)
	stage.mu.Lock()
	defer stage.mu.Unlock()
	switch {
	case errFrom != nil || errTo != nil:
		return http.StatusBadRequest
	case stage.leaving && stage.stopped:
		return http.StatusServiceUnavailable
	case from < stage.from || to > stage.to:
		return http.StatusMisdirectedRequest
	}
	return http.StatusOK
}

// generate streams the answer of a model.
func (replica *replica) generate(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Attempt-Id")
	path := request.Header.Get("Hop-Count")
	if path == "" {
		path = fmt.Sprintf("%s=0-%d", replica.address(), replica.layers)
	}
	var stages []string
	for part := range strings.SplitSeq(path, ",") {
		address, layers, _ := strings.Cut(part, "=")
		if code := replica.peers.holds(address, layers); code != http.StatusOK {
			writer.Header().Set("Not-Executed", "1")
			writer.Header().Set("At-Server", address)
			writer.WriteHeader(code)
			return
		}
		stages = append(stages, address)
	}
	replica.record.printf("stream %s reaches %s, which runs it on %s", id, replica.id, path)
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id")) // 0 for a new stream
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("Server-Seal", "seal of "+replica.id)
	for event := after + 1; event <= replica.events; event++ {
		for _, address := range stages {
			if replica.peers.at(address) == nil {
				time.Sleep(stallTime)
				panic(http.ErrAbortHandler)
			}
		}
		time.Sleep(replica.interval)
		fmt.Fprintf(writer, "id: %d\ndata: token %d of %s\n\n", event, event, id)
		writer.(http.Flusher).Flush()
	}
}
