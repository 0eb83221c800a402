package operator

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a completion script that bash can't parse, that registers no
// completion, or that offers commands where a file, a flag or a name is expected.
func TestBashCompletion(t *testing.T) {
	bash, err := exec.LookPath("bash")
	if err != nil {
		t.Skip("bash is not installed")
	}
	is := is.New(t)
	b := newHarness()
	is.Equal(b.run("completion", "bash"), 0)
	script := filepath.Join(t.TempDir(), "completion.bash")
	is.NoErr(os.WriteFile(script, b.stdout.Bytes(), 0o600))
	run := func(args ...string) string {
		t.Helper()
		out, err := exec.CommandContext(t.Context(), bash, append([]string{"--noprofile", "--norc"}, args...)...).CombinedOutput()
		if err != nil {
			t.Fatalf("bash %q: %v\n%s", args, err, out)
		}
		return strings.TrimSpace(string(out))
	}
	is.Equal(run("-n", script), "")
	is.Equal(run("-c", `. "$1"; complete -p persimmonctl`, "bash", script), "complete -o default -F _persimmonctl persimmonctl")
	// The script's path is followed by the words of the command line, of which the
	// last one is to be completed.
	complete := `set -u; . "$1"; shift; COMP_WORDS=("$@"); COMP_CWORD=$(($# - 1)); _persimmonctl; echo "${COMPREPLY[*]-}"`
	for _, c := range []struct {
		words []string
		want  string
	}{
		{[]string{""}, "catalogue config status workspaces explain drain undrain evacuate unevacuate completion"},
		{[]string{"un"}, "undrain unevacuate"},
		{[]string{"und"}, "undrain"},
		{[]string{"catalogue", ""}, "validate diff apply get history rollback"},
		{[]string{"-gateways", "a:1", "catalogue", "r"}, "rollback"},
		{[]string{"catalogue", "-author", "ann", "ap"}, "apply"},
		{[]string{"-author", "status", "d"}, "drain"},
		{[]string{"catalogue", "apply", ""}, ""}, // files
		{[]string{"catalogue", "apply", "f", "-m"}, "-message"},
		{[]string{"catalogue", "apply", "f", "-message", ""}, ""},
		{[]string{"status", ""}, ""},
		{[]string{"status", "-b"}, "-backends"},
		{[]string{"drain", ""}, ""},
		{[]string{"drain", "status", "-y"}, "-yes"},
		{[]string{"completion", ""}, "bash"},
	} {
		got := run(append([]string{"-c", complete, "bash", script, "persimmonctl"}, c.words...)...)
		if got != c.want {
			t.Errorf("%q: got completions %q, want %q", c.words, got, c.want)
		}
	}
}
