package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the number of objects on a page of a listing.
const pageSize = 500

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	Object  object `json:"object"`
	Removed bool   `json:"removed"`
}

// contents is what the store holds at a revision.
type contents struct {
	revision uint64
	objects  map[string]map[string]object // by kind and name
	history  map[string][]event           // by kind
}

func (contents contents) clone() contents {
	clone := contents
	clone.objects = make(map[string]map[string]object)
	for kind, byName := range contents.objects {
		clone.objects[kind] = maps.Clone(byName)
	}
	clone.history = make(map[string][]event)
	for kind, events := range contents.history {
		clone.history[kind] = slices.Clone(events)
	}
	return clone
}

// store is the stand-in for the platform's store. It follows PROTOCOL.md and the letter
// on Store-Era.
type store struct {
	run     *run
	address string
	server  *http.Server

	mu      sync.Mutex
	now     contents
	era     int
	away    bool
	changed chan struct{} // closed and replaced when a watch must look again
}

func startStore(run *run) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	store := &store{run: run, address: listener.Addr().String(), era: 1, changed: make(chan struct{})}
	store.now = contents{revision: 100, objects: make(map[string]map[string]object), history: make(map[string][]event)}
	store.server = &http.Server{Handler: store}
	go func() { _ = store.server.Serve(listener) }()
	run.store = store
	run.onClose(func() { _ = store.server.Close() })
	return nil
}

// wake makes all watches look again. The mutex must be held.
func (store *store) wake() {
	close(store.changed)
	store.changed = make(chan struct{})
}

// setAway begins or ends the time in which the store answers nobody with more than 503.
func (store *store) setAway(away bool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.away = away
	store.wake()
	store.run.logf("store: away %t, revision %d", away, store.now.revision)
}

// copyNow returns a copy of all that the store holds.
func (store *store) copyNow() contents {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.run.logf("store: a copy is taken at revision %d", store.now.revision)
	return store.now.clone()
}

// comeBackFrom makes the store serve again, from the copy.
func (store *store) comeBackFrom(copied contents) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.run.logf("store: back from the copy; its revision goes from %d to %d", store.now.revision, copied.revision)
	store.now, store.away = copied, false
	store.era++
	store.wake()
}

// put writes an object for the operator or a replica. It reports whether the store has
// acknowledged it.
func (store *store) put(kind, name string, value any) bool {
	spec, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.away {
		return false
	}
	store.write(kind, name, spec, nil)
	return true
}

// get returns the spec of an object, or nil.
func (store *store) get(kind, name string) json.RawMessage {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.now.objects[kind][name].Spec
}

// delete removes an object for the platform, if it exists.
func (store *store) delete(kind, name string) bool {
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.away {
		return false
	}
	if old, ok := store.now.objects[kind][name]; ok {
		store.removeObject(kind, old)
	}
	return true
}

func (store *store) removeObject(kind string, old object) {
	store.now.revision++
	old.Metadata.Revision = store.now.revision
	delete(store.now.objects[kind], old.Metadata.Name)
	store.now.history[kind] = append(store.now.history[kind], event{Object: old, Removed: true})
	store.run.logf("store: %s/%s removed at revision %d", kind, old.Metadata.Name, store.now.revision)
	store.wake()
}

// write creates or replaces an object; a write that changes nothing has no effect. The
// mutex must be held.
func (store *store) write(kind, name string, spec, status json.RawMessage) object {
	old, exists := store.now.objects[kind][name]
	if exists && string(old.Spec) == string(spec) && status == nil {
		return old
	}
	store.now.revision++
	if !exists {
		old = object{Metadata: metadata{Name: name, Created: store.now.revision, Finalizers: []string{}}, Status: json.RawMessage("null")}
	}
	if spec != nil {
		old.Spec = spec
	}
	if status != nil {
		old.Status = status
	}
	old.Metadata.Revision = store.now.revision
	if store.now.objects[kind] == nil {
		store.now.objects[kind] = make(map[string]object)
	}
	store.now.objects[kind][name] = old
	store.now.history[kind] = append(store.now.history[kind], event{Object: old})
	store.run.logf("store: %s/%s written at revision %d", kind, name, store.now.revision)
	store.wake()
	return old
}

func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	store.mu.Lock()
	writer.Header().Set("Store-Era", strconv.Itoa(store.era))
	away := store.away
	store.mu.Unlock()
	path, isObject := strings.CutPrefix(request.URL.Path, "/-/objects/")
	if !isObject {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	if away {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	kind, name, hasName := strings.Cut(path, "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	query := request.URL.Query()
	switch {
	case request.Method == http.MethodGet && !hasName && query.Has("watch"):
		store.watch(writer, request, kind)
	case request.Method == http.MethodGet && !hasName:
		store.list(writer, kind, query.Get("after"))
	default:
		store.single(writer, request, kind, name, isStatus, body)
	}
}

// single serves a call for one object.
func (store *store) single(writer http.ResponseWriter, request *http.Request, kind, name string, isStatus bool, body []byte) {
	var sent object
	if len(body) > 0 && json.Unmarshal(body, &sent) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if request.Method == http.MethodPost {
		name = sent.Metadata.Name
	}
	wanted := sent.Metadata.Revision
	if text := request.URL.Query().Get("revision"); text != "" {
		wanted, _ = strconv.ParseUint(text, 10, 64)
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	old, exists := store.now.objects[kind][name]
	switch {
	case request.Method == http.MethodPost && exists:
		reply(writer, http.StatusConflict, old)
	case request.Method == http.MethodPost:
		reply(writer, http.StatusOK, store.write(kind, name, sent.Spec, nil))
	case !exists:
		writer.WriteHeader(http.StatusNotFound)
	case request.Method == http.MethodGet:
		reply(writer, http.StatusOK, old)
	case wanted != 0 && wanted != old.Metadata.Revision:
		reply(writer, http.StatusConflict, old)
	case request.Method == http.MethodDelete:
		store.removeObject(kind, old)
		reply(writer, http.StatusOK, old)
	case isStatus:
		reply(writer, http.StatusOK, store.write(kind, name, nil, sent.Status))
	default:
		reply(writer, http.StatusOK, store.write(kind, name, sent.Spec, nil))
	}
}

func reply(writer http.ResponseWriter, status int, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(text)
}

func (store *store) list(writer http.ResponseWriter, kind, after string) {
	store.mu.Lock()
	defer store.mu.Unlock()
	items, more := []object{}, false
	for _, name := range slices.Sorted(maps.Keys(store.now.objects[kind])) {
		if name <= after {
			continue
		}
		if len(items) == pageSize {
			more = true
			break
		}
		items = append(items, store.now.objects[kind][name])
	}
	reply(writer, http.StatusOK, map[string]any{"items": items, "has_more": more, "as_of": store.now.revision})
}

// watch answers as soon as there is an event after the revision. It answers 410 for a
// revision that the store does not have, and is cut off when the store goes away.
func (store *store) watch(writer http.ResponseWriter, request *http.Request, kind string) {
	query := request.URL.Query()
	after, err := strconv.ParseUint(query.Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || waitErr != nil || wait > 30000 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	store.mu.Lock()
	era := store.era
	store.mu.Unlock()
	for {
		store.mu.Lock()
		if store.away || store.era != era {
			store.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after > store.now.revision {
			store.mu.Unlock()
			writer.WriteHeader(http.StatusGone)
			return
		}
		events := []event{}
		for _, event := range store.now.history[kind] {
			if event.Object.Metadata.Revision > after {
				events = append(events, event)
			}
		}
		revision, changed := store.now.revision, store.changed
		store.mu.Unlock()
		if len(events) > 0 {
			reply(writer, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		case <-timeout:
			reply(writer, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
	}
}

// operator writes configurations.
type operator struct {
	run     *run
	version int
	latest  map[string]any
}

// apply writes the next version, which differs from the one before in the time-out of a
// route that no requester uses. It reports when the store acknowledged it.
func (operator *operator) apply() (time.Time, error) {
	operator.version += 3
	operator.latest = configuration(operator.version)
	return operator.rewrite()
}

// rewrite writes the newest version again.
func (operator *operator) rewrite() (time.Time, error) {
	for range 100 {
		if operator.run.store.put("config", "main", operator.latest) {
			operator.run.logf("operator: version %d is acknowledged", operator.version)
			return time.Now(), nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("the store takes no configuration")
}

func configuration(version int) map[string]any {
	route := func(name, prefix, class string, timeout int) map[string]any {
		return map[string]any{
			"name": name, "host": callerHostName, "path_prefix": prefix, "route_type": class, "timeout_ms": timeout,
			"target_latency_ms": 300, "priority": 2, "service": "orders-app", "max_attempts": 2, "public": false,
			"sticky": false, "resumable": false, "gap_target_ms": 0,
		}
	}
	streamRoute := route("menu-help", "/chat/", "streaming", 20000)
	streamRoute["resumable"], streamRoute["gap_target_ms"] = true, 200
	return map[string]any{
		"version": version,
		"routes": []any{
			route("place-order", "/order/", "unsafe", 3000), route("run-sheet", "/sheet/", "safe", 3000),
			route("archive", "/archive/", "safe", 2000+version), streamRoute,
		},
		"services": []any{map[string]any{"name": "orders-app", "health_path": "/healthz", "max_connections": 192, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": tenantName, "api_keys": []string{tenantKey}, "priority": 1}},
	}
}
