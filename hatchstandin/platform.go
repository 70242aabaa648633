package hatchstandin

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
)

// PlatformFaults sets the faults of the platform stand-in.
type PlatformFaults struct {
	Outage      bool     `json:"outage"`      // every call fails with 503
	Silent      bool     `json:"silent"`      // calls get no response; they end when the client disconnects
	Refuse      int      `json:"refuse"`      // how many of the next calls fail with 429
	Delay       Duration `json:"delay"`       // added before each call
	LoseReplies int      `json:"loseReplies"` // how many of the next writes are applied but get no response
	LateWrites  Duration `json:"lateWrites"`  // delay before a write whose response is lost is applied, if its condition still holds then; 0 for none
	HoldWatches bool     `json:"holdWatches"` // changes are withheld from watches
}

// PlatformCounts counts the calls to the platform stand-in.
type PlatformCounts struct {
	Reads     int `json:"reads"`
	Writes    int `json:"writes"`
	Watches   int `json:"watches"`
	Conflicts int `json:"refused"` // writes that failed with 409 because the object exists or has another revision
	Outages   int `json:"outages"` // calls that failed because of an outage
	BytesIn   int `json:"bytesIn"`
	BytesOut  int `json:"bytesOut"`
}

// StoredObject is an object in the store's JSON format.
type StoredObject struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

// Metadata is the part of an object that the store maintains.
type Metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision,omitempty"` // of the last change
	Created  uint64 `json:"created,omitempty"`  // revision at which the object was created
}

// StoredChange is one event of a watch.
type StoredChange struct {
	Object  StoredObject `json:"object"`
	Removed bool         `json:"removed"`
}

// ObjectPage is the response to a listing or a watch.
type ObjectPage struct {
	Items    []StoredObject `json:"items,omitempty"`
	Events   []StoredChange `json:"events,omitempty"`
	HasMore  bool           `json:"has_more"`
	Revision uint64         `json:"as_of"`
}

// pageSize limits the items in one page of a listing; the real platform's limit is
// about 500.
const pageSize = 50

// serversKind is the kind of the objects with which replicas register themselves.
const serversKind = "servers"

// Platform is the stand-in for the platform's metadata store.
type Platform struct {
	hostLag time.Duration

	mu            sync.Mutex
	era           uint64
	revision      uint64
	forgottenUpTo uint64                             // a watch after an older revision fails with 410
	objects       map[string]map[string]StoredObject // by kind and name
	history       map[string][]StoredChange          // by kind
	changed       chan struct{}                      // closed and replaced to wake all watches
	faults        PlatformFaults
	counts        PlatformCounts
}

// PlatformOption configures a platform stand-in.
type PlatformOption func(*Platform)

// WithHostLag delays each change of the host list by lag.
func WithHostLag(lag time.Duration) PlatformOption {
	return func(platform *Platform) { platform.hostLag = lag }
}

// NewPlatform returns an empty platform stand-in.
func NewPlatform(options ...PlatformOption) *Platform {
	platform := &Platform{
		era:      1,
		revision: 1,
		objects:  make(map[string]map[string]StoredObject),
		history:  make(map[string][]StoredChange),
		changed:  make(chan struct{}),
	}
	for _, option := range options {
		option(platform)
	}
	return platform
}

// Handler serves the object API and the endpoints that control the stand-in.
func (platform *Platform) Handler() http.Handler {
	router := httprouter.New()
	router.GET("/-/objects/:kind", platform.injectFaults(platform.listOrWatch))
	router.POST("/-/objects/:kind", platform.injectFaults(platform.create))
	router.GET("/-/objects/:kind/*name", platform.injectFaults(platform.get))
	router.PUT("/-/objects/:kind/*name", platform.injectFaults(platform.put))
	router.DELETE("/-/objects/:kind/*name", platform.injectFaults(platform.remove))
	router.PUT("/standin/hosts", platform.setHost)
	router.PUT("/standin/faults", platform.setFaults)
	router.GET("/standin/counts", platform.getCounts)
	router.POST("/standin/forget", platform.forgetHistory)
	return router
}

// injectFaults wraps a handler with the faults that apply to every call.
func (platform *Platform) injectFaults(handle httprouter.Handle) httprouter.Handle {
	return func(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
		platform.mu.Lock()
		faults := platform.faults
		writer.Header().Set("Store-Era", strconv.FormatUint(platform.era, 10))
		if faults.Outage {
			platform.counts.Outages++
		}
		if faults.Refuse > 0 {
			platform.faults.Refuse--
		}
		platform.mu.Unlock()
		time.Sleep(time.Duration(faults.Delay))
		switch {
		case faults.Silent:
			<-request.Context().Done()
		case faults.Outage:
			http.Error(writer, "outage", http.StatusServiceUnavailable)
		case faults.Refuse > 0:
			http.Error(writer, "too many calls", http.StatusTooManyRequests)
		default:
			handle(writer, request, params)
		}
	}
}

func objectName(params httprouter.Params) string {
	return strings.TrimPrefix(params.ByName("name"), "/")
}

func (platform *Platform) get(writer http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.counts.Reads++
	object, ok := platform.objects[params.ByName("kind")][objectName(params)]
	if !ok {
		http.Error(writer, "no such object", http.StatusNotFound)
		return
	}
	platform.counts.BytesOut += len(object.Spec)
	writeJSON(writer, object)
}

func (platform *Platform) create(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
	var object StoredObject
	if !readJSON(writer, request, &object) {
		return
	}
	platform.respondToWrite(writer, func() (StoredObject, int) {
		return platform.writeLocked(params.ByName("kind"), object, true)
	})
}

func (platform *Platform) put(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
	var object StoredObject
	if !readJSON(writer, request, &object) {
		return
	}
	object.Metadata.Name = objectName(params)
	platform.respondToWrite(writer, func() (StoredObject, int) {
		return platform.writeLocked(params.ByName("kind"), object, false)
	})
}

func (platform *Platform) remove(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
	revision, err := strconv.ParseUint(request.URL.Query().Get("revision"), 10, 64)
	if err != nil && request.URL.Query().Has("revision") {
		http.Error(writer, "revision is not a number", http.StatusBadRequest)
		return
	}
	platform.respondToWrite(writer, func() (StoredObject, int) {
		return platform.removeLocked(params.ByName("kind"), objectName(params), revision)
	})
}

// respondToWrite applies a write and sends its result. With LoseReplies it aborts
// the connection instead, and with LateWrites it applies the write only later.
func (platform *Platform) respondToWrite(writer http.ResponseWriter, apply func() (StoredObject, int)) {
	platform.mu.Lock()
	platform.counts.Writes++
	loseReply := platform.faults.LoseReplies > 0
	if loseReply {
		platform.faults.LoseReplies--
	}
	lateBy := time.Duration(platform.faults.LateWrites)
	if loseReply && lateBy > 0 {
		time.AfterFunc(lateBy, func() {
			platform.mu.Lock()
			defer platform.mu.Unlock()
			apply()
		})
		platform.mu.Unlock()
		abortConnection(writer)
	}
	object, status := apply()
	platform.mu.Unlock()
	if loseReply {
		abortConnection(writer)
	}
	if status != http.StatusOK {
		writer.Header().Set("Content-Type", "application/json")
		writer.WriteHeader(status)
	}
	writeJSON(writer, object)
}

// writeLocked creates or replaces an object if its condition holds; the mutex must
// be held. With a 409 it returns the stored object.
func (platform *Platform) writeLocked(kind string, object StoredObject, create bool) (StoredObject, int) {
	name := object.Metadata.Name
	old, exists := platform.objects[kind][name]
	switch {
	case create && exists, !create && exists && object.Metadata.Revision != 0 && object.Metadata.Revision != old.Metadata.Revision:
		platform.counts.Conflicts++
		return old, http.StatusConflict
	case !create && !exists:
		return StoredObject{}, http.StatusNotFound
	}
	platform.counts.BytesIn += len(object.Spec)
	if exists && string(old.Spec) == string(object.Spec) {
		return old, http.StatusOK
	}
	platform.revision++
	object.Metadata = Metadata{Name: name, Revision: platform.revision, Created: old.Metadata.Created}
	if !exists {
		object.Metadata.Created = platform.revision
	}
	if platform.objects[kind] == nil {
		platform.objects[kind] = make(map[string]StoredObject)
	}
	platform.objects[kind][name] = object
	platform.recordLocked(kind, StoredChange{Object: object})
	return object, http.StatusOK
}

// removeLocked removes an object if it has the given revision; revision 0 matches
// any. The mutex must be held.
func (platform *Platform) removeLocked(kind, name string, revision uint64) (StoredObject, int) {
	old, exists := platform.objects[kind][name]
	switch {
	case !exists:
		return StoredObject{}, http.StatusNotFound
	case revision != 0 && revision != old.Metadata.Revision:
		platform.counts.Conflicts++
		return old, http.StatusConflict
	}
	platform.revision++
	old.Metadata.Revision = platform.revision
	delete(platform.objects[kind], name)
	platform.recordLocked(kind, StoredChange{Object: old, Removed: true})
	return old, http.StatusOK
}

func (platform *Platform) recordLocked(kind string, change StoredChange) {
	platform.history[kind] = append(platform.history[kind], change)
	platform.wakeWatchesLocked()
}

// wakeWatchesLocked makes all waiting watches check again; the mutex must be held.
func (platform *Platform) wakeWatchesLocked() {
	close(platform.changed)
	platform.changed = make(chan struct{})
}

func (platform *Platform) listOrWatch(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
	kind, query := params.ByName("kind"), request.URL.Query()
	if !query.Has("watch") {
		platform.list(writer, kind, query.Get("after"))
		return
	}
	after, err := strconv.ParseUint(query.Get("watch"), 10, 64)
	if err != nil {
		http.Error(writer, "watch is not a revision", http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(query.Get("wait_ms"))
	if err != nil {
		http.Error(writer, "wait_ms is not a number", http.StatusBadRequest)
		return
	}
	platform.watch(writer, request, kind, after, time.Duration(wait)*time.Millisecond)
}

func (platform *Platform) list(writer http.ResponseWriter, kind, after string) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.counts.Reads++
	page := ObjectPage{Revision: platform.revision}
	for _, name := range slices.Sorted(maps.Keys(platform.objects[kind])) {
		if name <= after {
			continue
		}
		if page.HasMore = len(page.Items) == pageSize; page.HasMore {
			break
		}
		page.Items = append(page.Items, platform.objects[kind][name])
		platform.counts.BytesOut += len(platform.objects[kind][name].Spec)
	}
	writeJSON(writer, page)
}

func (platform *Platform) watch(writer http.ResponseWriter, request *http.Request, kind string, after uint64, wait time.Duration) {
	platform.mu.Lock()
	platform.counts.Watches++
	platform.mu.Unlock()
	timeout := time.After(wait)
	for {
		page, changed, status := platform.changesAfter(kind, after)
		switch {
		case status == http.StatusServiceUnavailable || writer.Header().Get("Store-Era") != platform.Era():
			abortConnection(writer)
		case status == http.StatusGone:
			http.Error(writer, "history gone", status)
			return
		case len(page.Events) > 0:
			writeJSON(writer, page)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(writer, page)
			return
		case <-request.Context().Done():
			return
		}
	}
}

// changesAfter returns the changes after a revision, a channel that is closed when
// a watch must check again, and an HTTP status.
func (platform *Platform) changesAfter(kind string, after uint64) (ObjectPage, <-chan struct{}, int) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	page := ObjectPage{Revision: platform.revision}
	switch {
	case platform.faults.Outage:
		return page, platform.changed, http.StatusServiceUnavailable
	case platform.faults.HoldWatches:
		page.Revision = after
		return page, platform.changed, http.StatusOK
	case after < platform.forgottenUpTo || after > platform.revision:
		return page, platform.changed, http.StatusGone
	}
	for _, change := range platform.history[kind] {
		if change.Object.Metadata.Revision > after {
			page.Events = append(page.Events, change)
			platform.counts.BytesOut += len(change.Object.Spec)
		}
	}
	return page, platform.changed, http.StatusOK
}

func (platform *Platform) forgetHistory(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(writer, platform.ForgetHistory())
}

// ForgetHistory discards the recorded changes and returns the oldest revision from
// which a watch can still start.
func (platform *Platform) ForgetHistory() uint64 {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.revision++
	platform.forgottenUpTo = platform.revision
	clear(platform.history)
	platform.wakeWatchesLocked()
	return platform.forgottenUpTo
}

// PlatformCopy is a copy of all that the stand-in holds.
type PlatformCopy struct {
	revision, forgottenUpTo uint64
	objects                 map[string]map[string]StoredObject
	history                 map[string][]StoredChange
}

// Copy returns a copy of all that the stand-in holds.
func (platform *Platform) Copy() *PlatformCopy {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	return &PlatformCopy{platform.revision, platform.forgottenUpTo, cloneAll(platform.objects, maps.Clone), cloneAll(platform.history, slices.Clone)}
}

// Restore begins another era with the contents of the copy: all later changes are lost, and
// their revisions are given out again. It ends waiting watches.
func (platform *Platform) Restore(copied *PlatformCopy) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.era++
	platform.revision, platform.forgottenUpTo = copied.revision, copied.forgottenUpTo
	platform.objects, platform.history = cloneAll(copied.objects, maps.Clone), cloneAll(copied.history, slices.Clone)
	platform.wakeWatchesLocked()
}

// Era returns the era that responses state.
func (platform *Platform) Era() string {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	return strconv.FormatUint(platform.era, 10)
}

// cloneAll returns a copy of the map with its values cloned.
func cloneAll[Value any](all map[string]Value, clone func(Value) Value) map[string]Value {
	result := make(map[string]Value, len(all))
	for key, value := range all {
		result[key] = clone(value)
	}
	return result
}

// hostEntry is the request body that sets an entry of the host list.
type hostEntry struct {
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// setHost registers a replica as ready or draining; the change takes effect after
// the stand-in's host lag.
func (platform *Platform) setHost(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	var host hostEntry
	if !readJSON(writer, request, &host) {
		return
	}
	state := "ready"
	if host.Leaving {
		state = "draining"
	}
	spec, err := json.Marshal(map[string]any{"service": "listed", "address": host.Address, "zone": "listed", "state": state})
	if err != nil { // not reached: encoding strings does not fail
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	time.AfterFunc(platform.hostLag, func() {
		platform.mu.Lock()
		defer platform.mu.Unlock()
		object := StoredObject{Metadata: Metadata{Name: host.Address}, Spec: spec}
		if _, status := platform.writeLocked(serversKind, object, false); status == http.StatusNotFound {
			platform.writeLocked(serversKind, object, true)
		}
	})
	writeJSON(writer, host)
}

func (platform *Platform) setFaults(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	var faults PlatformFaults
	if !readJSON(writer, request, &faults) {
		return
	}
	platform.SetFaults(faults)
	writeJSON(writer, faults)
}

// SetFaults replaces the faults of the platform stand-in.
func (platform *Platform) SetFaults(faults PlatformFaults) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.faults = faults
	platform.wakeWatchesLocked() // so that an outage ends waiting watches immediately
}

// Put writes an object without a condition, unaffected by faults.
func (platform *Platform) Put(kind, name string, spec []byte) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	_, exists := platform.objects[kind][name]
	platform.writeLocked(kind, StoredObject{Metadata: Metadata{Name: name}, Spec: spec}, !exists)
}

// Remove removes an object if it exists, unaffected by faults.
func (platform *Platform) Remove(kind, name string) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.removeLocked(kind, name, 0)
}

func (platform *Platform) getCounts(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	writeJSON(writer, platform.counts)
}
