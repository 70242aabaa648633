package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the number of objects in one page of a listing.
const pageSize = 500

type metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision,omitempty"`
	Created  uint64 `json:"created,omitempty"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

type event struct {
	Object  object `json:"object"`
	Removed bool   `json:"removed"`
}

type listing struct {
	Items    []object `json:"items,omitempty"`
	Events   []event  `json:"events,omitempty"`
	HasMore  bool     `json:"has_more"`
	Revision uint64   `json:"as_of"`
}

// store is a stand-in for the platform's metadata store, which PROTOCOL.md describes.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object // by kind and name
	history  map[string][]event           // by kind
	changed  chan struct{}                // closed and replaced at each change
	busy     bool                         // every call is refused with 503
}

// setBusy sets whether the store refuses every call with 503. It also cuts off the
// watches that wait.
func (store *store) setBusy(busy bool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.busy = busy
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *store) isBusy() bool {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.busy
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]object{}, history: map[string][]event{}, changed: make(chan struct{})}
}

// set creates or replaces an object, as an operator or a replica does.
func (store *store) set(kind, name string, value any) {
	spec, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	store.write(kind, name, spec)
}

func (store *store) write(kind, name string, spec json.RawMessage) object {
	old, exists := store.objects[kind][name]
	if exists && string(old.Spec) == string(spec) {
		return old
	}
	store.revision++
	written := object{Metadata: metadata{Name: name, Revision: store.revision, Created: old.Metadata.Created}, Spec: spec}
	if !exists {
		written.Metadata.Created = store.revision
	}
	if store.objects[kind] == nil {
		store.objects[kind] = map[string]object{}
	}
	store.objects[kind][name] = written
	store.record(kind, event{Object: written})
	return written
}

// remove removes an object if it exists.
func (store *store) remove(kind, name string) {
	store.mu.Lock()
	defer store.mu.Unlock()
	if _, ok := store.objects[kind][name]; ok {
		store.drop(kind, name)
	}
}

func (store *store) drop(kind, name string) object {
	old := store.objects[kind][name]
	store.revision++
	old.Metadata.Revision = store.revision
	delete(store.objects[kind], name)
	store.record(kind, event{Object: old, Removed: true})
	return old
}

func (store *store) record(kind string, change event) {
	store.history[kind] = append(store.history[kind], change)
	close(store.changed)
	store.changed = make(chan struct{})
}

// ServeHTTP serves the calls on objects.
func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	rest, ok := strings.CutPrefix(request.URL.Path, "/-/objects/")
	if !ok {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	if store.isBusy() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	kind, name, _ := strings.Cut(rest, "/")
	query := request.URL.Query()
	switch {
	case request.Method == http.MethodGet && query.Has("watch"):
		store.watch(writer, request, kind)
	case request.Method == http.MethodGet && name == "":
		store.list(writer, kind, query.Get("after"))
	case request.Method == http.MethodGet:
		store.mu.Lock()
		found, ok := store.objects[kind][name]
		store.mu.Unlock()
		reply(writer, found, status(ok, http.StatusNotFound))
	default:
		store.change(writer, request, kind, name)
	}
}

func status(ok bool, otherwise int) int {
	if ok {
		return http.StatusOK
	}
	return otherwise
}

func reply(writer http.ResponseWriter, value any, status int) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value) // the caller may have disconnected
}

func (store *store) list(writer http.ResponseWriter, kind, after string) {
	store.mu.Lock()
	page := listing{Revision: store.revision}
	var names []string
	for name := range store.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names[:min(len(names), pageSize)] {
		page.Items = append(page.Items, store.objects[kind][name])
	}
	page.HasMore = len(names) > pageSize
	store.mu.Unlock()
	reply(writer, page, http.StatusOK)
}

func (store *store) watch(writer http.ResponseWriter, request *http.Request, kind string) {
	after, _ := strconv.ParseUint(request.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(request.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		store.mu.Lock()
		page, changed := listing{Revision: store.revision}, store.changed
		for _, change := range store.history[kind] {
			if change.Object.Metadata.Revision > after {
				page.Events = append(page.Events, change)
			}
		}
		busy := store.busy
		store.mu.Unlock()
		if busy {
			panic(http.ErrAbortHandler)
		}
		if len(page.Events) > 0 {
			reply(writer, page, http.StatusOK)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(writer, page, http.StatusOK)
			return
		case <-request.Context().Done():
			return
		}
	}
}

// change serves POST, PUT and DELETE.
func (store *store) change(writer http.ResponseWriter, request *http.Request, kind, name string) {
	var body object
	if request.Method != http.MethodDelete {
		if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if request.Method == http.MethodPost {
		name = body.Metadata.Name
	}
	wanted := body.Metadata.Revision
	if text := request.URL.Query().Get("revision"); text != "" {
		wanted, _ = strconv.ParseUint(text, 10, 64)
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	old, exists := store.objects[kind][name]
	switch {
	case request.Method == http.MethodPost && exists, exists && wanted != 0 && wanted != old.Metadata.Revision:
		reply(writer, old, http.StatusConflict)
	case request.Method != http.MethodPost && !exists:
		writer.WriteHeader(http.StatusNotFound)
	case request.Method == http.MethodDelete:
		reply(writer, store.drop(kind, name), http.StatusOK)
	default:
		reply(writer, store.write(kind, name, body.Spec), http.StatusOK)
	}
}
