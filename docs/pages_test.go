// Package docs_test checks that the reference pages agree with the code.
package docs_test

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/process/controller"
	"persimmonwing/internal/process/gateway"
	"persimmonwing/internal/process/settings"
	"persimmonwing/internal/process/standin/app"
	"persimmonwing/internal/process/standin/engine"
	"persimmonwing/internal/process/standin/platform"
	"persimmonwing/internal/version/catalogue"
	usersplatform "persimmonwing/platform"
)

// row is the type, the default and the allowed values of one key, read from a page or
// from a struct. For a struct, allowed is empty unless an error of the code states the
// range.
type row struct{ kind, def, allowed string }

// needed is written instead of a default for keys that must be set.
const needed = "needed"

// Guards against a settings page that lacks a key, lists a key that the code no longer
// has, or states a wrong type, default or range.
func TestSettingsPage(t *testing.T) {
	engineDefaults := engine.DefaultSettings()
	for section, v := range map[string]settings.Validator{
		"Gateway":                     gateway.DefaultOptions(),
		"Controller":                  controller.DefaultOptions(),
		"Gateway on the platform":     usersplatform.DefaultSettings(),
		"Stand-in engine":             &engineDefaults,
		"Stand-in application server": app.DefaultSettings(),
		"Stand-in platform":           platform.DefaultSettings(),
	} {
		t.Run(section, func(t *testing.T) {
			want := map[string]row{}
			collectKeys(want, "", reflect.ValueOf(v).Elem())
			addConstraints(want, v)
			compareKeys(t, readPage(t, "SETTINGS.md")[section], want)
		})
	}
}

// collectKeys adds a row for each key of the struct v to rows, with keys prefixed by
// path. The keys of a list of structs are written as list[].key.
func collectKeys(rows map[string]row, path string, v reflect.Value) {
	for i := range v.NumField() {
		key, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ",")
		field := v.Field(i)
		if path != "" {
			key = path + "." + key
		}
		switch {
		case field.Kind() == reflect.Struct:
			collectKeys(rows, key, field)
		case field.Kind() == reflect.Slice && field.Type().Elem().Kind() == reflect.Struct:
			rows[key] = row{kind: "list", def: "-"}
			collectKeys(rows, key+"[]", reflect.New(field.Type().Elem()).Elem())
		default:
			rows[key] = row{kind: typeName(field.Type()), def: formatDefault(field)}
		}
	}
}

func typeName(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[time.Duration]():
		return "duration"
	case t.Kind() == reflect.Slice:
		return "list of " + typeName(t.Elem())
	case t.Kind() == reflect.Float64:
		return "number"
	case t.Kind() == reflect.String:
		return "text"
	case t.Kind() == reflect.Bool:
		return "bool"
	default:
		return "integer"
	}
}

func formatDefault(v reflect.Value) string {
	if s := fmt.Sprint(v.Interface()); s != "" && s != "[]" {
		return s
	}
	return "-"
}

// rangeMessage is the part of an error of settings that states a range.
var rangeMessage = regexp.MustCompile(`allowed are (\S+ to \S+)`)

// addConstraints adds to the rows what the errors of Validate state: which keys must
// be set, and the ranges.
func addConstraints(rows map[string]row, v settings.Validator) {
	defaults := v.Validate()
	for key, r := range rows {
		if messageOf(defaults, key) != "" {
			r.def = needed
		}
		r.allowed = allowedRange(key, r.kind, v)
		rows[key] = r
	}
}

// allowedRange sets a key in a copy of the settings to a value below all ranges and
// returns the range that the resulting error states, or "".
func allowedRange(key, kind string, v settings.Validator) string {
	low, ok := map[string]string{"duration": "-1s", "number": "-1", "integer": "-1"}[kind]
	if !ok {
		return ""
	}
	copied := reflect.New(reflect.TypeOf(v).Elem())
	copied.Elem().Set(reflect.ValueOf(v).Elem())
	var body strings.Builder
	parts := strings.Split(key, ".")
	for depth, part := range parts {
		fmt.Fprintf(&body, "%s%s:", strings.Repeat("  ", depth), part)
		if depth < len(parts)-1 {
			body.WriteString("\n")
		}
	}
	fmt.Fprintf(&body, " %s\n", low)
	err := settings.Parse([]byte(body.String()), "page", copied.Interface().(settings.Validator))
	if m := rangeMessage.FindStringSubmatch(messageOf(err, key)); m != nil {
		return m[1]
	}
	return ""
}

// messageOf returns the message about the key in an error with one line per key, or
// "".
func messageOf(err error, key string) string {
	if err == nil {
		return ""
	}
	for line := range strings.SplitSeq(err.Error(), "\n") {
		if _, after, found := strings.Cut(" "+line, " "+key+": "); found {
			return after
		}
	}
	return ""
}

// tableRow matches a row of a reference table.
var tableRow = regexp.MustCompile("^\\| `([^`]+)` \\| ([^|]+) \\| ([^|]+) \\| ([^|]+) \\| ([^|]+) \\|$")

// readPage returns the rows of a page by second-level heading and key.
func readPage(t *testing.T, name string) map[string]map[string]row {
	body, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	sections := map[string]map[string]row{}
	section := ""
	for line := range strings.SplitSeq(string(body), "\n") {
		if heading, ok := strings.CutPrefix(line, "## "); ok {
			section = heading
			sections[section] = map[string]row{}
		}
		if m := tableRow.FindStringSubmatch(line); m != nil {
			if _, twice := sections[section][m[1]]; twice {
				t.Errorf("%s: key %s is listed twice in section %q", name, m[1], section)
			}
			sections[section][m[1]] = row{kind: m[2], def: strings.Trim(m[3], "`"), allowed: strings.Trim(m[4], "`")}
		}
	}
	return sections
}

func compareKeys(t *testing.T, page, code map[string]row) {
	for key, want := range code {
		got, ok := page[key]
		if !ok {
			t.Errorf("key %s is not on the page", key)
			continue
		}
		if got.kind != want.kind || got.def != want.def {
			t.Errorf("key %s: the page says %s, default %s; the code says %s, default %s", key, got.kind, got.def, want.kind, want.def)
		}
		if want.allowed != "" && got.allowed != want.allowed {
			t.Errorf("key %s: the page says %q is allowed; the code says %q", key, got.allowed, want.allowed)
		}
	}
	for key := range page {
		if _, ok := code[key]; !ok {
			t.Errorf("key %s is on the page, but not in the code", key)
		}
	}
}

// The smallest valid body with one entry of each kind and class, and bodies whose
// elements lack all required keys.
const (
	minimalHead = "models: [{name: m}]\nworkspaces: [{name: w, key_digests: ['sha256:" +
		"0000000000000000000000000000000000000000000000000000000000000000']}]\nentries:\n"
	minimalUrgent     = "- {name: u, owner: o, kind: generation, class: urgent, model: m, max_output_tokens: 100}\n"
	minimalBackground = "- {name: b, owner: o, kind: generation, class: background, model: m, max_output_tokens: 100}\n"
	minimalService    = "- {name: s, owner: o, kind: service, class: urgent, service: x, methods: [POST]}\n"
	emptyWorkspaces   = "workspaces: [{}]\nentries: [{kind: generation}, {kind: service}, {}]\n"
	emptyModels       = "services: [{}]\nmodels: [{}]\n"
)

// Guards against a catalogue page that lacks a key, lists a key that the code no
// longer has, or states a wrong type or default.
func TestCataloguePage(t *testing.T) {
	is := is.New(t)
	c, err := catalogue.Parse("minimal", []byte(minimalHead+minimalUrgent+minimalBackground+minimalService))
	is.NoErr(err)
	want := map[string]row{}
	collectKeys(want, "", reflect.ValueOf(c).Elem())
	collectKeys(want, "models[]", reflect.ValueOf(c.Models[0]))
	collectKeys(want, "workspaces[]", reflect.ValueOf(c.Workspaces[0]))
	addEntryKeys(want, c.Entries)
	for _, key := range neededKeys(t) {
		r := want[key]
		r.def = needed
		want[key] = r
	}
	is.Equal(want["entries[].expected_output_tokens"].def, "25 (urgent, background)") // a quarter of 100
	expected := want["entries[].expected_output_tokens"]
	expected.def = "a quarter of the maximum"
	want["entries[].expected_output_tokens"] = expected
	compareKeys(t, readPage(t, "CATALOGUE.md")["Keys"], want)
}

// addEntryKeys adds a row for each key of entries to want. A default that depends on
// the kind and class is written as "VALUE (KINDS), ...".
func addEntryKeys(want map[string]row, entries []catalogue.Entry) {
	labels := []string{"urgent", "background", "service"}
	var each []map[string]row
	for _, e := range entries {
		rows := map[string]row{}
		collectKeys(rows, "entries[]", reflect.ValueOf(e))
		each = append(each, rows)
	}
	for key, first := range each[0] {
		var values []string
		owners := map[string][]string{}
		for i, rows := range each {
			v := rows[key].def
			if !slices.Contains(values, v) {
				values = append(values, v)
			}
			owners[v] = append(owners[v], labels[i])
		}
		def := values[0]
		if len(values) > 1 {
			var parts []string
			for _, v := range values {
				if v != "0" && v != "0s" && v != "-" {
					parts = append(parts, fmt.Sprintf("%s (%s)", v, strings.Join(owners[v], ", ")))
				}
			}
			def = strings.Join(parts, ", ")
		}
		want[key] = row{kind: first.kind, def: def}
	}
}

// neededKeys returns the keys that the catalogue reports as missing.
func neededKeys(t *testing.T) []string {
	index := regexp.MustCompile(`\[\d+\]`)
	var keys []string
	for _, body := range []string{emptyWorkspaces, emptyModels} {
		_, err := catalogue.Parse("empty", []byte(body))
		invalid, ok := err.(*catalogue.InvalidError)
		if !ok {
			t.Fatalf("parsing a catalogue without required keys: got error %v, want an InvalidError", err)
		}
		for _, p := range invalid.Problems {
			keys = append(keys, index.ReplaceAllString(p.Path, "[]"))
		}
	}
	return keys
}
