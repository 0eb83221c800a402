package controller

import (
	"strings"
	"testing"

	"persimmonwing/internal/process/settings"
)

// goodSettings are complete and valid settings. Each case of TestBadSettings replaces
// or adds one line.
const goodSettings = `name: controller-1
data_centre: wa-south
admin_listen: 127.0.0.1:7301
platform: {table_url: "http://127.0.0.1:7400", object_url: "http://127.0.0.1:7400/objects", hosts_url: "http://127.0.0.1:7400"}
`

// Guards against complete settings being rejected; the cases of TestBadSettings are
// then rejected for their own fault only.
func TestGoodSettings(t *testing.T) {
	if err := settings.Parse([]byte(goodSettings), "good.yaml", DefaultOptions()); err != nil {
		t.Fatal(err)
	}
}

// Guards against accepting settings that can't work, and against messages that don't
// name the file, the key, the value and what is allowed.
func TestBadSettings(t *testing.T) {
	for _, c := range []struct{ line, want string }{
		{"name: ''", "name: a value is needed"},
		{"admin_listen: localhost:7301", `admin_listen: "localhost:7301" is not allowed; use an IP number and a port, such as 127.0.0.1:7301`},
		{"platform: {table_url: '127.0.0.1:7400'}", `platform.table_url: "127.0.0.1:7400" is not allowed; use http://host:port`},
		{"platform: {object_url: 'https://127.0.0.1:7400'}", `platform.object_url: "https://127.0.0.1:7400" is not allowed; use http://host:port`},
		{"platform: {timeout: 5s}", "platform.timeout: 5s is out of range; allowed are 10ms to 3s"},
		{"reconcile: {interval: 1ms}", "reconcile.interval: 1ms is out of range; allowed are 40ms to 1m0s"},
		{"reconcile: {call_timeout: 1s}", "reconcile.call_timeout: 1s is out of range; allowed are 10ms to 500ms"},
		{"reconcile: {lost_after: 1s}", "reconcile.lost_after: 1s is out of range; allowed are 2s to 1h0m0s"},
		{"reconcile: {concurrency: 0}", "reconcile.concurrency: 0 is out of range; allowed are 1 to 1024"},
		{"weights_per_second: 0", "weights_per_second: 0 is out of range; allowed are 0.001 to 1e+06"},
		{"weights_per_second: .nan", "weights_per_second: NaN is out of range"},
		{"max_loads: -1", "max_loads: -1 is out of range; allowed are 1 to 10000"},
		{"log: {level: loud}", `log.level: "loud" is not allowed; use debug, info, warn or error`},
		{"max_load: 1", "field max_load not found: this file has no such key"},
	} {
		err := settings.Parse([]byte(goodSettingsWith(c.line)), "bad.yaml", DefaultOptions())
		if err == nil {
			t.Errorf("%s: accepted, want an error", c.line)
			continue
		}
		if !strings.HasPrefix(err.Error(), "settings bad.yaml: ") || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: the message is %q, want %q", c.line, err, c.want)
		}
	}
}

// goodSettingsWith returns goodSettings with the line of one key replaced or added.
func goodSettingsWith(line string) string {
	key, _, _ := strings.Cut(line, ":")
	var b strings.Builder
	for l := range strings.Lines(goodSettings) {
		if !strings.HasPrefix(l, key+":") {
			b.WriteString(l)
		}
	}
	return b.String() + line + "\n"
}
