package docscheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const root = "../../.."

var (
	// testName matches a test or benchmark in backquotes.
	testName = regexp.MustCompile("`((?:Test|Benchmark)[A-Za-z0-9_]+)`")
	// command matches a go test command with its packages and -run pattern.
	command = regexp.MustCompile(`go test [^\n]*?-run '([^']+)'((?: \./[^ \n]+)+)`)
)

// testsByPackage returns the names of the functions in the test files of each package,
// by the package's directory relative to the root.
func testsByPackage(t *testing.T) map[string]map[string]bool {
	t.Helper()
	found := map[string]map[string]bool{}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && path != root && strings.HasPrefix(d.Name(), ".") {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		dir, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			return err
		}
		if found[dir] == nil {
			found[dir] = map[string]bool{}
		}
		for _, decl := range file.Decls {
			if f, ok := decl.(*ast.FuncDecl); ok && f.Recv == nil {
				found[dir][f.Name.Name] = true
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}

// countMatching returns the number of tests of a package that a -run pattern selects.
// Only the part before the first slash selects test functions.
func countMatching(t *testing.T, tests map[string]bool, pattern string) int {
	t.Helper()
	top, _, _ := strings.Cut(pattern, "/")
	re, err := regexp.Compile(top)
	if err != nil {
		t.Errorf("pattern %q: %v", pattern, err)
		return 0
	}
	n := 0
	for name := range tests {
		if strings.HasPrefix(name, "Test") && re.MatchString(name) {
			n++
		}
	}
	return n
}

// Guards against PROOFS.md naming a test that was renamed or removed, and
// against a command that runs no test and so seems to pass.
func TestProofsNameExistingTests(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "PROOFS.md"))
	if err != nil {
		t.Fatal(err)
	}
	tests := testsByPackage(t)
	all := map[string]bool{}
	for _, names := range tests {
		for name := range names {
			all[name] = true
		}
	}
	named := testName.FindAllStringSubmatch(string(page), -1)
	commands := command.FindAllStringSubmatch(string(page), -1)
	if len(named) == 0 || len(commands) == 0 {
		t.Fatalf("PROOFS.md names %d tests and %d commands, want at least one of each", len(named), len(commands))
	}
	for _, m := range named {
		if !all[m[1]] {
			t.Errorf("PROOFS.md names %s, which does not exist", m[1])
		}
	}
	for _, m := range commands {
		for _, pkg := range strings.Fields(m[2]) {
			dir := filepath.Clean(strings.TrimPrefix(pkg, "./"))
			if countMatching(t, tests[dir], m[1]) == 0 {
				t.Errorf("%s: no test of %s matches", m[0], pkg)
			}
		}
	}
}
