package main

import "encoding/json"

// Route is one route of a configuration.
type Route struct {
	host      string
	prefix    string
	kind      string
	timeoutMS int
	targetMS  int
	priority  int
	attempts  int
	service   string
}

// PutConfig writes a configuration to the store.
func (w *World) PutConfig(version string, services []string, routes ...Route) {
	var rows [][]any
	for _, r := range routes {
		rows = append(rows, []any{
			"r" + r.prefix, r.host, r.prefix, r.kind, r.timeoutMS, r.targetMS, r.priority, nil, r.attempts, r.service,
		})
	}
	var serviceRows [][]any
	for _, s := range services {
		serviceRows = append(serviceRows, []any{s, "/health", 1222, "h1", false})
	}
	text, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": map[string]any{
			"columns": []string{
				"name", "hostname", "prefix", "route_type", "timeout_ms", "target_latency_ms", "priority", "traffic_split",
				"max_attempts", "service",
			},
			"rows": rows,
		},
		"services": map[string]any{
			"columns": []string{"name", "health_path", "max_connections", "protocol", "tls"}, "rows": serviceRows,
		},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
	w.store.Put(names.ConfigKey, text)
	w.record.Add("configuration %s acknowledged", version)
}
