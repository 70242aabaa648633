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
	plainService = "desk"
	tenantName   = "office"
	tenantKey    = "secret"
	callerHost   = "h.example"

	modelLayers   = 8
	memoryLayers  = 7  // that fit into an engine's memory
	streamEvents  = 60 // in a complete stream
	eventInterval = 15 * time.Millisecond
	plainWorkTime = 20 * time.Millisecond // processing time of a request
	loadTime      = 100 * time.Millisecond

	// heartbeatInterval is how often replicas renew their registrations, and
	// missedHeartbeats the number of intervals after which the registration of a
	// crashed one is removed.
	heartbeatInterval = 400 * time.Millisecond
	missedHeartbeats  = 3
	// leaveGracePeriod is how long a leaving replica continues to serve after the store
	// has acknowledged that it is leaving.
	leaveGracePeriod = 3 * time.Second
)

var sites = []string{"a", "b"}

// replica is a stand-in replica and the proxy in front of it.
type replica struct {
	id      string
	site    string
	engine  *hatchstandin.LayerEngine  // nil for a replica of the plain service
	plain   *hatchstandin.PlainReplica // nil for an engine
	link    *proxy
	stopped bool // crashed, or left and its grace period is over
}

// standins holds the stand-ins of the store and the replicas. They run in the
// soak's process, so that the checker sees the requests that reach them.
type standins struct {
	checker *checker
	store   *hatchstandin.Platform
	engines *hatchstandin.LayerEngineSet

	mu          sync.Mutex
	writeBlocks int // active faults that also keep the stand-ins from writing to the store
	created     int // number of replicas so far
	live        []*replica
	stopped     []string // ids of replicas that have crashed or left
	version     int      // of the configuration
}

func newStandins(checker *checker) *standins {
	return &standins{checker: checker, store: hatchstandin.NewPlatform(), engines: hatchstandin.NewLayerEngineSet()}
}

// start starts a replica in the site and registers it.
func (standins *standins) start(service, site string) (*replica, error) {
	link, err := newProxy()
	if err != nil {
		return nil, err
	}
	standins.mu.Lock()
	standins.created++
	replica := &replica{id: fmt.Sprintf("i-%d", standins.created), site: site, link: link}
	standins.mu.Unlock()
	layers := 0
	if service == modelService {
		layers = modelLayers
	}
	recordArrival := func(arrival hatchstandin.Arrival) {
		standins.checker.recordArrival(service, replica.id, layers, arrival)
	}
	changed := func() { standins.register(replica) }
	if service == modelService {
		replica.engine, err = standins.engines.Start(hatchstandin.LayerEngineSpec{
			ID: replica.id, Service: service, Zone: site, Accelerator: "card", MemoryLayers: memoryLayers,
			Events: streamEvents, EventInterval: eventInterval, LoadTime: loadTime, Advertised: link.address(), OnArrival: recordArrival,
		}, changed)
	} else {
		replica.plain, err = hatchstandin.StartPlainReplica(hatchstandin.PlainReplicaSpec{
			ID: replica.id, Service: service, Zone: site, Slots: 16, WorkTime: plainWorkTime, Advertised: link.address(), OnArrival: recordArrival,
		}, changed)
	}
	if err != nil {
		return nil, err
	}
	link.setTarget(replica.listenAddress())
	standins.mu.Lock()
	standins.live = append(standins.live, replica)
	standins.mu.Unlock()
	standins.register(replica)
	return replica, nil
}

func (replica *replica) listenAddress() string {
	if replica.engine != nil {
		return replica.engine.ListenAddress()
	}
	return replica.plain.ListenAddress()
}

func (replica *replica) service() string {
	if replica.engine != nil {
		return modelService
	}
	return plainService
}

// register writes the replica's entry to the store. It reports whether it did:
// it doesn't while writes are blocked or once the replica has stopped.
func (standins *standins) register(replica *replica) bool {
	var entry map[string]any
	if replica.engine != nil {
		entry = replica.engine.Registration()
	} else {
		entry = replica.plain.Registration()
	}
	text, err := json.Marshal(entry)
	if err != nil { // strings and numbers can always be encoded
		standins.checker.addViolation("registration of %s: %v", replica.id, err)
		return false
	}
	standins.mu.Lock()
	defer standins.mu.Unlock()
	if standins.writeBlocks > 0 || replica.stopped {
		return false
	}
	standins.store.Put("servers", replica.id, text)
	return true
}

// refreshRegistrations renews the registrations of the live replicas until done is
// closed.
func (standins *standins) refreshRegistrations(done <-chan struct{}) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			for _, replica := range standins.byService("") {
				standins.register(replica)
			}
		}
	}
}

// byService returns the live replicas of the service, or of all services if it is
// empty.
func (standins *standins) byService(service string) []*replica {
	standins.mu.Lock()
	defer standins.mu.Unlock()
	var matching []*replica
	for _, replica := range standins.live {
		if service == "" || replica.service() == service {
			matching = append(matching, replica)
		}
	}
	return matching
}

// crash ends the replica immediately. Its entry is removed after missedHeartbeats
// intervals.
func (standins *standins) crash(replica *replica) {
	standins.mu.Lock()
	replica.stopped = true
	standins.stopped = append(standins.stopped, replica.id)
	for i, live := range standins.live {
		if live == replica {
			standins.live = append(standins.live[:i:i], standins.live[i+1:]...)
			break
		}
	}
	standins.mu.Unlock()
	if replica.engine != nil {
		replica.engine.Crash()
	} else {
		replica.plain.Crash()
	}
	replica.link.close()
	standins.removeLater(replica.id)
}

// removeLater removes the entry of a replica that writes no longer, as the store does.
func (standins *standins) removeLater(id string) {
	time.AfterFunc(missedHeartbeats*heartbeatInterval, func() { standins.store.Remove("servers", id) })
}

// writeAgain writes the configuration again after the store came back from a copy, and has the
// entries removed that the copy has brought back. Live replicas renew theirs by themselves.
func (standins *standins) writeAgain() {
	standins.mu.Lock()
	defer standins.mu.Unlock()
	standins.store.Put("config", "main", []byte(configurationText(standins.version)))
	for _, id := range standins.stopped {
		standins.removeLater(id)
	}
}

// leave registers the replica as leaving and ends it after the grace period.
func (standins *standins) leave(replica *replica) {
	if replica.engine != nil {
		replica.engine.Leave()
	} else {
		replica.plain.Leave()
	}
	for !standins.register(replica) {
		time.Sleep(heartbeatInterval)
	}
	standins.checker.mu.Lock()
	standins.checker.leavingSince[replica.id] = time.Now()
	standins.checker.mu.Unlock()
	time.Sleep(leaveGracePeriod)
	standins.crash(replica)
}

// blockWrites keeps the stand-ins from writing to the store during an outage. The
// returned function unblocks them.
func (standins *standins) blockWrites() func() {
	standins.mu.Lock()
	defer standins.mu.Unlock()
	standins.writeBlocks++
	return func() {
		standins.mu.Lock()
		defer standins.mu.Unlock()
		standins.writeBlocks--
	}
}

// applyConfiguration writes the next version of the configuration to the store,
// after waiting until writes are possible.
func (standins *standins) applyConfiguration() {
	for {
		standins.mu.Lock()
		if standins.writeBlocks == 0 {
			break
		}
		standins.mu.Unlock()
		time.Sleep(heartbeatInterval)
	}
	defer standins.mu.Unlock()
	standins.version++
	standins.checker.mu.Lock()
	standins.checker.acceptedAt[standins.version] = time.Now()
	standins.checker.mu.Unlock()
	standins.store.Put("config", "main", []byte(configurationText(standins.version)))
}

// configurationVersion returns the last version written to the store.
func (standins *standins) configurationVersion() int {
	standins.mu.Lock()
	defer standins.mu.Unlock()
	return standins.version
}

// markerPath returns the path that only this version of the configuration routes.
func markerPath(version int) string { return fmt.Sprintf("/marker-%d/", version) }

// configurationText returns a version of the configuration as an operator writes
// it.
func configurationText(version int) string {
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
		version, callerHost, modelService, callerHost, plainService, callerHost, plainService, callerHost, markerPath(version), plainService,
		plainService, modelService, modelLayers, memoryLayers*100, tenantName, tenantKey)
}
