package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"persimmonwing/internal/request/fault"
)

var (
	// metricCall matches the creation of a counter or gauge. The name of a metric whose
	// last part is a variable is "FIRST.*".
	metricCall = regexp.MustCompile(`\.(?:Counter|Gauge)\("([^"]+)"(?:, "([^"]+)")?(, )?`)
	// controllerGauge matches an element of the controller's map of gauges.
	controllerGauge = regexp.MustCompile(`(?m)^\t\t"([a-z_]+\.[a-z_]+)": +`)
	// measure matches a constant with the name of a histogram.
	measure = regexp.MustCompile(`Measure = "([^"]+)"`)
	// placeholder matches the variable parts of a metric's name on the page, such as
	// ".WORKSPACE.CLASS".
	placeholder = regexp.MustCompile(`(\.[A-Z]+)+$`)
)

// platformSection is the line above the table of the gateway on the users' platform.
const platformSection = "Gateway on the platform (as text, with the parts behind the first as labels `part1`, `part2`):"

// Guards against metrics without a row on the page, and against rows of metrics that
// the code no longer has.
func TestMetricsOnThePage(t *testing.T) {
	code := map[string]bool{}
	for _, root := range []string{"../internal", "../platform"} {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			body, err := os.ReadFile(path)
			collectMetrics(code, path, string(body))
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if len(code) < 20 {
		t.Fatalf("found only %d metrics in the code, want at least 20: %v", len(code), code)
	}
	page := map[string]bool{}
	row := regexp.MustCompile("(?m)^\\| `([a-zA-Z_.]+)` \\| ")
	for _, section := range []string{"Gateway:", platformSection, "Controller:"} {
		_, rest, _ := strings.Cut(readText(t, "OPERATIONS.md"), "\n"+section+"\n")
		table, _, _ := strings.Cut(strings.TrimSpace(rest), "\n\n")
		for _, m := range row.FindAllStringSubmatch(table, -1) {
			page[placeholder.ReplaceAllString(m[1], ".*")] = true
		}
	}
	for name := range code {
		if !page[name] {
			t.Errorf("metric %s is not on the page", name)
		}
	}
	for name := range page {
		if !code[name] {
			t.Errorf("metric %s is on the page, but not in the code", name)
		}
	}
}

func collectMetrics(code map[string]bool, path, body string) {
	for _, m := range metricCall.FindAllStringSubmatch(body, -1) {
		name := m[1]
		if m[2] != "" {
			name += "." + m[2]
		}
		if m[3] != "" {
			name += ".*"
		}
		code[name] = true
	}
	if strings.HasSuffix(path, "controller/admin.go") {
		for _, m := range controllerGauge.FindAllStringSubmatch(body, -1) {
			code[m[1]] = true
		}
	}
	for _, m := range measure.FindAllStringSubmatch(body, -1) {
		code[m[1]+".*"] = true
	}
}

// Guards against advice on the page for error codes that the code doesn't define.
func TestCodesOnThePage(t *testing.T) {
	_, rest, _ := strings.Cut(readText(t, "OPERATIONS.md"), "\nCodes to alarm on:\n")
	table, _, _ := strings.Cut(strings.TrimSpace(rest), "\n\n")
	source := readText(t, "../internal/request/fault/fault.go")
	names := regexp.MustCompile("`([a-z_]+)`").FindAllStringSubmatch(firstColumn(table), -1)
	if len(names) < 10 || !strings.Contains(table, string(fault.RequestCrashes)) {
		t.Fatalf("the table of codes is missing or incomplete: got codes %v", names)
	}
	for _, m := range names {
		if !strings.Contains(source, `Code = "`+m[1]+`"`) {
			t.Errorf("code %s is on the page, but not in the code", m[1])
		}
	}
}

func firstColumn(table string) string {
	var out strings.Builder
	for line := range strings.SplitSeq(table, "\n") {
		if cells := strings.Split(line, "|"); len(cells) > 1 {
			out.WriteString(cells[1])
		}
	}
	return out.String()
}

func readText(t *testing.T, name string) string {
	body, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}
