package hatchstandin

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"dragonflyhatch"
)

// PlatformFaults says how the platform stand-in misbehaves.
type PlatformFaults struct {
	Outage      bool     `json:"outage"`      // every call fails
	Delay       Duration `json:"delay"`       // added before each call
	LoseReplies int      `json:"loseReplies"` // next writes that apply but are not answered
	StaleHosts  bool     `json:"staleHosts"`  // the host list stops changing
	HoldWatches bool     `json:"holdWatches"` // changes are not shown to watches
}

// PlatformCounts says how often the platform stand-in was called.
type PlatformCounts struct {
	Reads    int `json:"reads"`
	Writes   int `json:"writes"`
	Watches  int `json:"watches"`
	Hosts    int `json:"hosts"`
	Refused  int `json:"refused"` // writes that met another version
	Outages  int `json:"outages"` // calls refused by an outage
	BytesIn  int `json:"bytesIn"`
	BytesOut int `json:"bytesOut"`
}

// Platform is the stand-in for the platform's object API and host list.
type Platform struct {
	hostLag time.Duration

	mu      sync.Mutex
	version uint64
	objects map[string]dragonflyhatch.Object
	log     []dragonflyhatch.Change
	changed chan struct{} // closed and replaced by every write
	faults  PlatformFaults
	counts  PlatformCounts
	hosts   map[string]hostRow
	shown   []dragonflyhatch.ListedHost
}

type hostRow struct {
	before, now dragonflyhatch.ListedHost
	since       time.Time
}

// PlatformOption changes a platform stand-in.
type PlatformOption func(*Platform)

// WithHostLag delays each change of the host list by lag.
func WithHostLag(lag time.Duration) PlatformOption {
	return func(platform *Platform) { platform.hostLag = lag }
}

// NewPlatform returns an empty platform stand-in.
func NewPlatform(options ...PlatformOption) *Platform {
	platform := &Platform{
		objects: make(map[string]dragonflyhatch.Object),
		changed: make(chan struct{}),
		hosts:   make(map[string]hostRow),
	}
	for _, option := range options {
		option(platform)
	}
	return platform
}

// Handler serves the object API, the host list and the controls.
func (platform *Platform) Handler() http.Handler {
	router := httprouter.New()
	router.GET("/v1/objects/*name", platform.guard(platform.get))
	router.PUT("/v1/objects/*name", platform.guard(platform.put))
	router.DELETE("/v1/objects/*name", platform.guard(platform.remove))
	router.GET("/v1/list/*prefix", platform.guard(platform.list))
	router.GET("/v1/watch/*prefix", platform.guard(platform.watch))
	router.GET("/v1/hosts", platform.guard(platform.listHosts))
	router.PUT("/standin/hosts", platform.setHost)
	router.PUT("/standin/faults", platform.setFaults)
	router.GET("/standin/counts", platform.getCounts)
	return router
}

// guard applies the faults that concern every call.
func (platform *Platform) guard(handle httprouter.Handle) httprouter.Handle {
	return func(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
		platform.mu.Lock()
		faults := platform.faults
		if faults.Outage {
			platform.counts.Outages++
		}
		platform.mu.Unlock()
		time.Sleep(time.Duration(faults.Delay))
		if faults.Outage {
			http.Error(writer, "outage", http.StatusServiceUnavailable)
			return
		}
		handle(writer, request, params)
	}
}

func objectName(params httprouter.Params, parameter string) string {
	return strings.TrimPrefix(params.ByName(parameter), "/")
}

func (platform *Platform) get(writer http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.counts.Reads++
	object, ok := platform.objects[objectName(params, "name")]
	if !ok {
		http.Error(writer, "no such object", http.StatusNotFound)
		return
	}
	platform.counts.BytesOut += len(object.Value)
	writeJSON(writer, object)
}

func (platform *Platform) put(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
	var object dragonflyhatch.Object
	if !readJSON(writer, request, &object) {
		return
	}
	object.Name = objectName(params, "name")
	platform.write(writer, request, object, false)
}

func (platform *Platform) remove(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
	platform.write(writer, request, dragonflyhatch.Object{Name: objectName(params, "name")}, true)
}

// write applies a conditional write: If-None-Match "*" creates, If-Match with
// a version updates or removes.
func (platform *Platform) write(writer http.ResponseWriter, request *http.Request, object dragonflyhatch.Object, remove bool) {
	platform.mu.Lock()
	platform.counts.Writes++
	platform.counts.BytesIn += len(object.Value)
	old, exists := platform.objects[object.Name]
	if status := condition(request, old, exists); status != http.StatusOK {
		platform.counts.Refused++
		platform.mu.Unlock()
		http.Error(writer, "the condition does not hold", status)
		return
	}
	platform.version++
	object.Version = platform.version
	platform.objects[object.Name] = object
	if remove {
		delete(platform.objects, object.Name)
	}
	platform.log = append(platform.log, dragonflyhatch.Change{Object: object, Deleted: remove})
	close(platform.changed)
	platform.changed = make(chan struct{})
	lost := platform.faults.LoseReplies > 0
	if lost {
		platform.faults.LoseReplies--
	}
	platform.mu.Unlock()
	if lost {
		loseReply(writer)
	}
	writeJSON(writer, dragonflyhatch.Object{Name: object.Name, Version: object.Version})
}

func condition(request *http.Request, old dragonflyhatch.Object, exists bool) int {
	if request.Header.Get("If-None-Match") == "*" {
		if exists {
			return http.StatusPreconditionFailed
		}
		return http.StatusOK
	}
	if !exists {
		return http.StatusNotFound
	}
	if request.Header.Get("If-Match") != strconv.FormatUint(old.Version, 10) {
		return http.StatusPreconditionFailed
	}
	return http.StatusOK
}

// Listing is the answer to a list or a watch call.
type Listing struct {
	Objects []dragonflyhatch.Object `json:"objects,omitempty"`
	Changes []dragonflyhatch.Change `json:"changes,omitempty"`
	Version uint64                  `json:"version"`
}

func (platform *Platform) list(writer http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	prefix := objectName(params, "prefix")
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.counts.Reads++
	listing := Listing{Version: platform.version}
	for _, name := range slices.Sorted(maps.Keys(platform.objects)) {
		if strings.HasPrefix(name, prefix) {
			listing.Objects = append(listing.Objects, platform.objects[name])
			platform.counts.BytesOut += len(platform.objects[name].Value)
		}
	}
	writeJSON(writer, listing)
}

func (platform *Platform) watch(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
	prefix := objectName(params, "prefix")
	query := request.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(writer, "bad after", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		http.Error(writer, "bad wait", http.StatusBadRequest)
		return
	}
	platform.mu.Lock()
	platform.counts.Watches++
	platform.mu.Unlock()
	timeout := time.After(wait)
	for {
		listing, changed, outage := platform.changesAfter(prefix, after)
		if outage {
			loseReply(writer)
		}
		if len(listing.Changes) > 0 {
			writeJSON(writer, listing)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(writer, listing)
			return
		case <-request.Context().Done():
			return
		}
	}
}

func (platform *Platform) changesAfter(prefix string, after uint64) (Listing, <-chan struct{}, bool) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	listing := Listing{Version: platform.version}
	if platform.faults.HoldWatches {
		listing.Version = after
		return listing, platform.changed, platform.faults.Outage
	}
	first, _ := slices.BinarySearchFunc(platform.log, after+1, func(change dragonflyhatch.Change, version uint64) int {
		return int(change.Object.Version) - int(version)
	})
	for _, change := range platform.log[first:] {
		if strings.HasPrefix(change.Object.Name, prefix) {
			listing.Changes = append(listing.Changes, change)
			platform.counts.BytesOut += len(change.Object.Value)
		}
	}
	return listing, platform.changed, platform.faults.Outage
}

func (platform *Platform) listHosts(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.counts.Hosts++
	if !platform.faults.StaleHosts {
		platform.shown = platform.laggingHosts(time.Now())
	}
	writeJSON(writer, platform.shown)
}

func (platform *Platform) laggingHosts(now time.Time) []dragonflyhatch.ListedHost {
	rows := make([]dragonflyhatch.ListedHost, 0, len(platform.hosts))
	for _, address := range slices.Sorted(maps.Keys(platform.hosts)) {
		row := platform.hosts[address]
		if now.Sub(row.since) >= platform.hostLag {
			rows = append(rows, row.now)
			continue
		}
		if row.before.Address != "" {
			rows = append(rows, row.before)
		}
	}
	return rows
}

func (platform *Platform) setHost(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	var host dragonflyhatch.ListedHost
	if !readJSON(writer, request, &host) {
		return
	}
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.version++
	host.Version = platform.version
	old := platform.hosts[host.Address]
	platform.hosts[host.Address] = hostRow{before: old.now, now: host, since: time.Now()}
	writeJSON(writer, host)
}

func (platform *Platform) setFaults(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	var faults PlatformFaults
	if !readJSON(writer, request, &faults) {
		return
	}
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.faults = faults
	close(platform.changed) // waiting watches see an outage at once
	platform.changed = make(chan struct{})
	writeJSON(writer, faults)
}

func (platform *Platform) getCounts(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	writeJSON(writer, platform.counts)
}
