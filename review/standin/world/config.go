package world

// Names of the cases' configuration.
const (
	Host         = "ficu95.example"
	Key          = "xd9dnn2ctnfzs989anu6"
	Tenant       = "huka270"
	ModelService = "huvo11a"
	AppService   = "wuno96b"
	PlanPath     = "/lohu930/2f"
	CheckPath    = "/pufi791/2f"
	BookingPath  = "/pule252/2f"
	LookupPath   = "/puxa403/2f"
)

// MaxBodyBytes is the largest body that the configuration allows.
const MaxBodyBytes = 4194304

// Config returns a configuration with the four kinds of requests of the site kernfield-wa.
func Config(version int) map[string]any {
	route := func(name, prefix, kind string, timeout, goal, priority, attempts int, service string, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "hostname": Host, "prefix": prefix, "type": kind, "timeout_ms": timeout, "goal_ms": goal,
			"priority": priority, "service": service, "attempts": attempts, "public": false,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("season-plan", "/lohu930/", "streaming", 39000, 4000, 2, 1, ModelService, map[string]any{"sticky": true, "resumable": false, "gap_goal_ms": 180}),
			route("block-check", "/pufi791/", "streaming", 6000, 1500, 0, 2, ModelService, map[string]any{"sticky": true, "resumable": true, "gap_goal_ms": 180}),
			route("wire-booking", "/pule252/", "non_idempotent", 1500, 300, 2, 1, AppService, nil),
			route("roster-lookup", "/puxa403/", "idempotent", 1500, 300, 2, 2, AppService, nil),
		},
		"services": []any{
			map[string]any{"name": ModelService, "health_path": "/healthz", "max_conns": 222, "proto": "h1", "tls": false, "engine": map[string]any{
				"slots": 24, "kv_capacity": 34266, "kv_token_bytes": 163840, "link_mbps": 24000.0, "moves": true, "backups": true,
				"stride": 4, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": AppService, "health_path": "/healthz", "max_conns": 100, "proto": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": MaxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": Tenant, "api_keys": []string{Key}, "priority": 1}},
	}
}
