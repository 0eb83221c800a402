package gateway

import (
	"strings"
	"testing"

	"persimmonwing/internal/process/settings"
)

// validSettings is a complete settings file. Each test case replaces or adds one line.
const validSettings = `name: gateway-1
data_centre: wa-south
listen: 127.0.0.1:7001
admin_listen: 127.0.0.1:7101
peer_listen: 127.0.0.1:7201
peers: ["127.0.0.1:7201", "[::1]:7202"]
peer_secret: 0123456789abcdef
response_keys: [{id: k1, secret: 0123456789abcdef}]
platform: {table_url: "http://127.0.0.1:7400", object_url: "http://127.0.0.1:7400/objects", hosts_url: "http://127.0.0.1:7400"}
policy: owner
`

// Guards against valid settings that are refused, so that each case below fails only
// because of the line that it changes.
func TestGoodSettings(t *testing.T) {
	if err := settings.Parse([]byte(validSettings), "good.yaml", DefaultOptions()); err != nil {
		t.Fatal(err)
	}
}

// Guards against invalid settings that are accepted, and against messages that do not
// name the file, the key, the value and the allowed values.
func TestBadSettings(t *testing.T) {
	const address = "use an IP number and a port, such as 127.0.0.1:7001"
	for _, c := range []struct{ line, want string }{
		{"name: ''", "name: a value is needed"},
		{"data_centre: ''", "data_centre: a value is needed"},
		{"listen: localhost:7001", `listen: "localhost:7001" is not allowed; ` + address},
		{"listen: 127.0.0.1", `listen: "127.0.0.1" is not allowed; ` + address},
		{"admin_listen: ':7101'", `admin_listen: ":7101" is not allowed; ` + address},
		{"peer_advertise: host:1", `peer_advertise: "host:1" is not allowed; ` + address},
		{"peer_listen: ''", `peer_listen: "" is not allowed; ` + address},
		{"peers: ['127.0.0.1:7201', gateway-2]", `peers[1]: "gateway-2" is not allowed; ` + address},
		{"peer_secret: short", "peer_secret: has 5 bytes; at least 16 are needed"},
		{"response_keys: []", "response_keys: at least one key is needed"},
		{"response_keys: [{id: a.b, secret: 0123456789abcdef}]", `response_keys: key "a.b" needs an id without a dot`},
		{"response_keys: [{id: k1, secret: short}]", `response_keys: key "k1" needs an id without a dot and a secret of at least 16 bytes`},
		{"response_keys: [{id: k1, secret: 0123456789abcdef}, {id: k1, secret: fedcba9876543210}]", `response_keys: id "k1" stands twice`},
		{"platform: {}", "platform.table_url: a value is needed"},
		{"platform: {timeout: 5m}", "platform.timeout: 5m0s is out of range; allowed are 10ms to 1m0s"},
		{"policy: random", `policy: "random" is not allowed; use one of [owner shares baseline]`},
		{"disable: [memory, luck]", `disable[1]: "luck" is not allowed; use one of [memory classes fairness batch_bound affinity retries early_refusal]`},
		{"max_attempts: 0", "max_attempts: 0 is out of range; allowed are 1 to 10"},
		{"http: {max_body_bytes: 10}", "http.max_body_bytes: 10 is out of range; allowed are 1024 to 67108864"},
		{"http: {write_timeout: 0s}", "http.write_timeout: 0s is out of range; allowed are 100ms to 10m0s"},
		{"queue: {max_waiting: 1000000}", "queue.max_waiting: 1000000 is out of range; allowed are 1 to 100000"},
		{"queue: {urgent_timeout: 2h}", "queue.urgent_timeout: 2h0m0s is out of range; allowed are 10ms to 1h0m0s"},
		{"relay: {stall_timeout: 1ms}", "relay.stall_timeout: 1ms is out of range; allowed are 100ms to 5m0s"},
		{"drain_delay: -1s", "drain_delay: -1s is out of range; allowed are 0s to 5m0s"},
		{"response_ttl: 48h", "response_ttl: 48h0m0s is out of range; allowed are 1s to 24h0m0s"},
		{"log: {level: loud}", `log.level: "loud" is not allowed; use debug, info, warn or error`},
		{"log: {format: xml}", `log.format: "xml" is not allowed; use logfmt or json`},
		{"drain_dealy: 1s", "line 11: field drain_dealy not found: this file has no such key"},
		{"max_attempts: three", `line 11 (max_attempts): "three" is not allowed; use a whole number`},
		{"relay: {lost_after: 10}", `line 11 (relay): "10" is not allowed; use a duration with a unit, such as 10s`},
		{"peers: 127.0.0.1:7201", `line 10 (peers): "127.0.0..." is not allowed; use a list`},
	} {
		err := settings.Parse([]byte(settingsWith(c.line)), "bad.yaml", DefaultOptions())
		if err == nil {
			t.Errorf("%s: accepted", c.line)
			continue
		}
		if !strings.HasPrefix(err.Error(), "settings bad.yaml: ") || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error is %q, want %q", c.line, err, c.want)
		}
	}
}

// Guards against a validation that stops at the first invalid value.
func TestAllBadValuesAreNamed(t *testing.T) {
	err := settings.Parse([]byte("max_attempts: 99\nlog: {level: loud}\n"), "bad.yaml", DefaultOptions())
	for _, key := range []string{"name", "data_centre", "platform.table_url", "platform.object_url", "platform.hosts_url",
		"listen", "admin_listen", "peer_listen", "peer_secret", "response_keys", "max_attempts", "log.level"} {
		if err == nil || !strings.Contains(err.Error(), key+": ") {
			t.Errorf("%s is not named in %v", key, err)
		}
	}
}

// settingsWith returns validSettings with the line of one key replaced or added.
func settingsWith(line string) string {
	key, _, _ := strings.Cut(line, ":")
	var b strings.Builder
	for l := range strings.Lines(validSettings) {
		if !strings.HasPrefix(l, key+":") {
			b.WriteString(l)
		}
	}
	return b.String() + line + "\n"
}
