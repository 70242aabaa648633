package main

import (
	"fmt"
	"time"

	"dragonflyhatch/hatchstandin"
)

const (
	modelService = "lm"
	memoryLayers = 7 // that fit into an engine; a placement uses 65 in 100 of them, so 4
	loadTime     = 200 * time.Millisecond
)

// configuration returns a configuration as the operator writes it, with the route /draft/
// to the model, which has the given number of layers.
func configuration(version, layers int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{
				"name": "draft", "host": requestHost, "path_prefix": "/draft/", "route_type": "streaming", "timeout_ms": 20000,
				"target_latency_ms": 500, "priority": 1, "service": modelService, "max_attempts": 2, "sticky": true, "resumable": true, "gap_target_ms": 200,
			},
		},
		"services": []any{
			map[string]any{"name": modelService, "health_path": "/healthz", "max_connections": 2256, "engine": map[string]any{
				"slots": 64, "kv_bytes": 1000, "layers": layers, "layer_mb": 100, "step_ms": 0.85, "read_per_s": 196000,
				"models": []any{map[string]any{"name": "m", "load_s": 1.2}}, "loads_at_once": 8,
				"kinds": []any{map[string]any{"name": "card", "footprint": memoryLayers * 100, "pace": 1, "read_factor": 1}},
				"usual": map[string]any{"prompt": 40, "answer": 40},
			}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
		"tenants": []any{map[string]any{"name": "office", "priority": 5, "api_keys": []string{requestKey}}},
	}
}

// servers are the replicas of a case, in its own process.
type servers struct {
	run     *run
	store   *store
	engines *hatchstandin.LayerEngineSet
	arrived func(hatchstandin.Arrival) // called by an engine before its first event; may be nil
}

// serversOption configures the replicas.
type serversOption func(*servers)

// withArrivals sets what engines call before the first event of a request, or before they
// refuse it.
func withArrivals(arrived func(hatchstandin.Arrival)) serversOption {
	return func(servers *servers) { servers.arrived = arrived }
}

func newServers(run *run, store *store, options ...serversOption) *servers {
	servers := &servers{run: run, store: store, engines: hatchstandin.NewLayerEngineSet()}
	for _, option := range options {
		option(servers)
	}
	return servers
}

// startEngine starts an engine that holds nothing, with the given events in each stream.
// crash ends it.
func (servers *servers) startEngine(id string, events int, interval time.Duration) (crash func(), err error) {
	var engine *hatchstandin.LayerEngine
	var changed func()
	registered := make(chan struct{})
	engine, err = servers.engines.Start(hatchstandin.LayerEngineSpec{
		ID: id, Service: modelService, Zone: "a", Accelerator: "card", MemoryLayers: memoryLayers,
		Events: events, EventInterval: interval, LoadTime: loadTime, OnArrival: servers.arrived,
	}, func() {
		<-registered
		from, to := engine.HeldRange()
		servers.run.record.printf("engine %s holds layers %d to %d", id, from, to)
		changed()
	})
	if err != nil {
		return nil, err
	}
	changed, stop := servers.store.register(id, engine.Registration)
	close(registered)
	return func() {
		engine.Crash()
		stop()
	}, nil
}

// startEngines starts as many engines and returns the functions that end them, by id.
func (servers *servers) startEngines(count, events int, interval time.Duration) (map[string]func(), error) {
	crashes := make(map[string]func())
	for number := range count {
		id := fmt.Sprintf("i-%d", number+1)
		crash, err := servers.startEngine(id, events, interval)
		if err != nil {
			return nil, err
		}
		crashes[id] = crash
	}
	return crashes, nil
}
