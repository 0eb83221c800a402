package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"persimmonwing/internal/process/settings"
)

const workload = `
streams:
- {name: s, workspace: w, key: k, entry: e, kind: generation, class: urgent, rate: 50, prompt: {fixed: 9}, output: {fixed: 5}}
`

// Guards against exit codes by which scripts cannot tell a usage error from a failed
// run, and against output that is neither a table nor JSON.
func TestExitCodes(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "workload.yaml")
	is.NoErr(os.WriteFile(file, []byte(workload), 0o600))
	// Nothing listens on port 1, so every connection is refused at once.
	load := "run -targets http://127.0.0.1:1 -duration 100ms -grace 1s -workload " + file
	for _, c := range []struct {
		args string
		want int
		out  string
	}{
		{"-version", settings.ExitOK, "loadgen "},
		{"run -h", settings.ExitOK, ""},
		{load, settings.ExitOK, "unreachable/not_run"},
		{load + " -output json", settings.ExitOK, `"violations": {}`},
		{load + " -plots " + file, settings.ExitFailure, ""}, // a file instead of a directory
		{"", settings.ExitUsage, ""},
		{"sing", settings.ExitUsage, ""},
		{load + " -output tune", settings.ExitUsage, ""},
		{load + " -duration 0s", settings.ExitUsage, ""},
		{"run -targets http://127.0.0.1:1 -workload " + file + "x", settings.ExitUsage, ""},
		{"run -workload " + file, settings.ExitUsage, ""},
		{"experiment", settings.ExitUsage, ""},
		{"experiment nothing", settings.ExitUsage, ""},
		{"experiment steady -policies none", settings.ExitUsage, ""},
		{"experiment steady extra", settings.ExitUsage, ""},
		{"experiment -scale huge steady", settings.ExitUsage, ""},
	} {
		var stdout, stderr bytes.Buffer
		if got := Main(t.Context(), strings.Fields(c.args), &stdout, &stderr); got != c.want {
			t.Errorf("loadgen %s: exit code %d, want %d; stderr: %s", c.args, got, c.want, stderr.String())
		}
		if !strings.Contains(stdout.String(), c.out) {
			t.Errorf("loadgen %s: output lacks %q: %s", c.args, c.out, stdout.String())
		}
	}
}
