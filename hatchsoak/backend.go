package hatchsoak

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"dragonflyhatch/hatchstandin"
)

const (
	modelService = "lm"
	deskService  = "desk"
	tenantName   = "office"
	tenantKey    = "secret"
	callerHost   = "h.example"

	modelLayers  = 8
	memoryLayers = 7  // that an engine has memory for
	draftEvents  = 60 // of a whole stream
	draftGap     = 15 * time.Millisecond
	deskWork     = 20 * time.Millisecond // for one request
	loadTime     = 100 * time.Millisecond

	// heartbeat is how often replicas look whether they are registered, and
	// silentBeats after how many a dead one's registration lapses.
	heartbeat   = 400 * time.Millisecond
	silentBeats = 3
	// lingerTime is how long a replica that is leaving serves after the store has
	// acknowledged it.
	lingerTime = 3 * time.Second
)

var sites = []string{"a", "b"}

// backend is a replica with the proxy before it.
type backend struct {
	id     string
	site   string
	engine *hatchstandin.LayerEngine  // nil for a replica of the desk
	desk   *hatchstandin.PlainReplica // nil for an engine
	link   *proxy
	gone   bool // it has crashed or left
}

// backends are the store and the replicas, which run in the soak's own process so
// that it sees what reaches them.
type backends struct {
	checker *checker
	store   *hatchstandin.Platform
	set     *hatchstandin.LayerEngines

	mu      sync.Mutex
	down    int // faults that keep the store from writers too
	number  int // of replicas so far
	live    []*backend
	version int // of the configuration
}

func newBackends(checker *checker) *backends {
	return &backends{checker: checker, store: hatchstandin.NewPlatform(), set: hatchstandin.NewLayerEngines()}
}

// start adds a replica in the site and registers it.
func (backends *backends) start(service, site string) (*backend, error) {
	link, err := newProxy()
	if err != nil {
		return nil, err
	}
	backends.mu.Lock()
	backends.number++
	backend := &backend{id: fmt.Sprintf("i-%d", backends.number), site: site, link: link}
	backends.mu.Unlock()
	layers := 0
	if service == modelService {
		layers = modelLayers
	}
	arrived := func(arrival hatchstandin.Arrival) { backends.checker.arrived(service, backend.id, layers, arrival) }
	changed := func() { backends.register(backend) }
	if service == modelService {
		backend.engine, err = backends.set.Start(hatchstandin.LayerEngineSpec{
			ID: backend.id, Service: service, Zone: site, Accelerator: "card", MemoryLayers: memoryLayers,
			Events: draftEvents, EventInterval: draftGap, LoadTime: loadTime, Advertised: link.address(), Arrived: arrived,
		}, changed)
	} else {
		backend.desk, err = hatchstandin.StartPlainReplica(hatchstandin.PlainReplicaSpec{
			ID: backend.id, Service: service, Zone: site, Slots: 16, WorkTime: deskWork, Advertised: link.address(), Arrived: arrived,
		}, changed)
	}
	if err != nil {
		return nil, err
	}
	link.setTarget(backend.socket())
	backends.mu.Lock()
	backends.live = append(backends.live, backend)
	backends.mu.Unlock()
	backends.register(backend)
	return backend, nil
}

func (backend *backend) socket() string {
	if backend.engine != nil {
		return backend.engine.Socket()
	}
	return backend.desk.Socket()
}

func (backend *backend) service() string {
	if backend.engine != nil {
		return modelService
	}
	return deskService
}

// register writes the replica's entry, unless the store is down for it.
func (backends *backends) register(backend *backend) bool {
	var entry map[string]any
	if backend.engine != nil {
		entry = backend.engine.Registration()
	} else {
		entry = backend.desk.Registration()
	}
	text, err := json.Marshal(entry)
	if err != nil { // strings and numbers always encode
		backends.checker.violate("registration of %s: %v", backend.id, err)
		return false
	}
	backends.mu.Lock()
	defer backends.mu.Unlock()
	if backends.down > 0 || backend.gone {
		return false
	}
	backends.store.Put("servers", backend.id, text)
	return true
}

// beat keeps the registrations of live replicas in the store until done is
// closed.
func (backends *backends) beat(done <-chan struct{}) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			for _, backend := range backends.of("") {
				backends.register(backend)
			}
		}
	}
}

// of returns the live replicas of the service, or all.
func (backends *backends) of(service string) []*backend {
	backends.mu.Lock()
	defer backends.mu.Unlock()
	var found []*backend
	for _, backend := range backends.live {
		if service == "" || backend.service() == service {
			found = append(found, backend)
		}
	}
	return found
}

// crash ends the replica at once; its entry lapses later.
func (backends *backends) crash(backend *backend) {
	backends.mu.Lock()
	backend.gone = true
	for i, live := range backends.live {
		if live == backend {
			backends.live = append(backends.live[:i:i], backends.live[i+1:]...)
			break
		}
	}
	backends.mu.Unlock()
	if backend.engine != nil {
		backend.engine.Crash()
	} else {
		backend.desk.Crash()
	}
	backend.link.close()
	time.AfterFunc(silentBeats*heartbeat, func() { backends.store.Remove("servers", backend.id) })
}

// leave has the replica drain, and end once it may.
func (backends *backends) leave(backend *backend) {
	if backend.engine != nil {
		backend.engine.Leave()
	} else {
		backend.desk.Leave()
	}
	for !backends.register(backend) {
		time.Sleep(heartbeat)
	}
	backends.checker.mu.Lock()
	backends.checker.left[backend.id] = time.Now()
	backends.checker.mu.Unlock()
	time.Sleep(lingerTime)
	backends.crash(backend)
}

// setDown keeps writers from the store while it is down for all; the result
// brings it back.
func (backends *backends) setDown() func() {
	backends.mu.Lock()
	defer backends.mu.Unlock()
	backends.down++
	return func() {
		backends.mu.Lock()
		defer backends.mu.Unlock()
		backends.down--
	}
}

// configure puts the next version of the configuration into the store, once that
// takes writes.
func (backends *backends) configure() {
	for {
		backends.mu.Lock()
		if backends.down == 0 {
			break
		}
		backends.mu.Unlock()
		time.Sleep(heartbeat)
	}
	defer backends.mu.Unlock()
	backends.version++
	backends.checker.mu.Lock()
	backends.checker.accepted[backends.version] = time.Now()
	backends.checker.mu.Unlock()
	backends.store.Put("config", "main", []byte(routing(backends.version)))
}

// current returns the version of the configuration.
func (backends *backends) current() int {
	backends.mu.Lock()
	defer backends.mu.Unlock()
	return backends.version
}

// markerPath is the path that only the version of the configuration routes.
func markerPath(version int) string { return fmt.Sprintf("/marker-%d/", version) }

// routing is the version of the configuration as the operator writes it.
func routing(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
		{"name":"draft","host":%q,"path_prefix":"/draft/","route_type":"streaming","timeout_ms":8000,"target_latency_ms":500,
			"service":%q,"max_attempts":2,"sticky":true,"resumable":true,"gap_target_ms":200},
		{"name":"order","host":%q,"path_prefix":"/order/","route_type":"unsafe","timeout_ms":3000,"target_latency_ms":300,"service":%q,"max_attempts":1},
		{"name":"status","host":%q,"path_prefix":"/status/","route_type":"safe","timeout_ms":3000,"target_latency_ms":300,"service":%q,"max_attempts":2},
		{"name":"marker","host":%q,"path_prefix":%q,"route_type":"safe","timeout_ms":3000,"target_latency_ms":300,"service":%q,"max_attempts":2}],
		"services":[{"name":%q},{"name":%q,"engine":{"slots":64,"kv_bytes":1000,"layers":%d,"layer_mb":100,"models":[{"load_s":0.8}],
			"kinds":[{"name":"card","footprint":%d,"pace":1,"read_factor":1}],"usual":{"prompt":10,"answer":40}}}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":5000,"idle_timeout_ms":10000},
		"tenants":[{"name":%q,"api_keys":[%q]}]}`,
		version, callerHost, modelService, callerHost, deskService, callerHost, deskService, callerHost, markerPath(version), deskService,
		deskService, modelService, modelLayers, memoryLayers*100, tenantName, tenantKey)
}
