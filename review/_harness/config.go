package main

import "time"

const (
	chatService  = "assistant-llm"
	orderService = "orders-app"
	menuService  = "menu-app"
	modelLayers  = 8
	drainTime    = 2 * time.Second // drain_ms
	stableWindow = 3 * time.Second // stable_window_ms
)

// configuration returns config/main: a route for chats with a model, and one for orders.
func configuration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{
				"name": "chat", "host": callerHost, "path_prefix": "/chat/", "route_type": "streaming", "timeout_ms": 20000, "target_latency_ms": 500,
				"priority": 1, "service": chatService, "max_attempts": 2, "sticky": true, "resumable": true, "gap_target_ms": 200,
			},
			map[string]any{
				"name": "order", "host": callerHost, "path_prefix": "/order/", "route_type": "unsafe", "timeout_ms": 1500, "target_latency_ms": 300,
				"priority": 2, "service": orderService, "max_attempts": 1,
			},
			map[string]any{
				"name": "menu", "host": callerHost, "path_prefix": "/menu/", "route_type": "safe", "timeout_ms": 1500, "target_latency_ms": 300,
				"priority": 2, "service": menuService, "max_attempts": 2,
			},
		},
		"services": []any{
			map[string]any{"name": menuService, "health_path": "/healthz", "max_connections": 192},
			map[string]any{"name": orderService, "health_path": "/healthz", "max_connections": 192},
			map[string]any{"name": chatService, "health_path": "/healthz", "max_connections": 2256, "engine": map[string]any{
				"slots": 192, "kv_bytes": 100000, "step_ms": 0.85, "read_per_s": 196000, "loads_at_once": 4,
				"models": []any{map[string]any{"name": "m0", "load_s": 1.0}}, "usual": map[string]any{"prompt": 800, "answer": 160},
				"layers": modelLayers, "layer_mb": 1750,
				"kinds": []any{map[string]any{"name": "l4", "footprint": 22000, "pace": 1, "read_factor": 1}},
			}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
		"tenants": []any{map[string]any{"name": "office", "api_keys": []string{callerKey}, "priority": 1}},
	}
}
