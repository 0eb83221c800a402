package world

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a script.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// Script is what the program of a script has at its start.
type Script struct {
	// Trouble is false if the disruption is to be left out (TROUBLE=0).
	Trouble bool
	Record  *Record
	Store   *Store
	// Binary is the project's program, and Directory a temporary folder.
	Binary, Directory string
}

// Main runs a script and returns its exit code. play returns what broke the rule, a line for each case.
func Main(play func(*Script) ([]string, error)) int {
	binary := flag.String("gateway", "", "path of the project's program")
	record := flag.String("record", "record.txt", "path of the record")
	flag.Parse()
	directory, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CannotRun
	}
	defer os.RemoveAll(directory)
	s := &Script{Trouble: os.Getenv("TROUBLE") != "0", Binary: *binary, Directory: directory}
	if s.Record, err = NewRecord(*record); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CannotRun
	}
	defer s.Record.Close()
	if s.Store, err = NewStore(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CannotRun
	}
	broken, err := play(s)
	switch {
	case err != nil:
		s.Record.Line("the script could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return CannotRun
	case len(broken) > 0:
		for _, b := range broken {
			s.Record.Line("BROKEN: %s", b)
			fmt.Println("BROKEN:", b)
		}
		return Broken
	}
	s.Record.Line("the rule held")
	fmt.Println("the rule held")
	return Held
}

// Config returns a configuration like that of the site kernfield-wa: a streaming route that may not be resumed, one
// that may, one whose requests run at most once, and one whose requests may be repeated.
func Config(version int) map[string]any {
	route := func(name, kind, service string, timeout, goal, priority, attempts int, more map[string]any) map[string]any {
		r := map[string]any{
			"name": "r-" + name, "hostname": Host, "prefix": "/" + name + "/", "type": kind, "timeout_ms": timeout, "goal_ms": goal,
			"priority": priority, "service": service, "attempts": attempts, "public": false,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	stream := func(resumable bool) map[string]any {
		return map[string]any{"sticky": true, "resumable": resumable, "gap_goal_ms": 180}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("plan", "streaming", Model, 39000, 4000, 2, 1, stream(false)),
			route("check", "streaming", Model, 6000, 1500, 0, 2, stream(true)),
			route("booking", "non_idempotent", App, 1500, 300, 2, 1, nil),
			route("lookup", "idempotent", App, 1500, 300, 2, 2, nil),
		},
		"services": []any{
			map[string]any{"name": Model, "health_path": "/healthz", "max_conns": 222, "proto": "h1", "tls": false, "engine": map[string]any{
				"slots": 24, "kv_capacity": KVCapacity, "kv_token_bytes": 163840, "link_mbps": 24000.0, "moves": false, "backups": false, "stride": 4,
				"most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": App, "health_path": "/healthz", "max_conns": 100, "proto": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": MaxBody, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "crew", "api_keys": []any{Key}}},
	}
}

// Names of the configuration.
const (
	Host    = "field.example"
	Model   = "orchard-model"
	App     = "crew-app"
	Key     = "xd9dnn2ctnfzs989anu6"
	MaxBody = 4194304
)
