package catalogue

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"

	"persimmonwing/internal/version/configcheck"
)

// Check reads a body as processes do and returns what is wrong with it. Against, which may be nil, is the catalogue in force.
func Check(name string, body []byte, against *Catalogue) *configcheck.Report {
	r := &configcheck.Report{File: name}
	c, err := Parse(name, body)
	var invalid *InvalidError
	switch {
	case errors.As(err, &invalid):
		for _, p := range invalid.Problems {
			r.Add(configcheck.Finding{Severity: configcheck.Error, Line: p.Line, Where: p.Path, Text: strings.TrimPrefix(p.String(), p.Path+": ")})
		}
		return r
	case err != nil:
		r.Add(configcheck.Finding{Severity: configcheck.Error, Text: err.Error()})
		return r
	}
	var doc yaml.Node
	if err := yaml.Unmarshal(body, &doc); err == nil {
		l := &linter{c: c, pos: indexPositions(&doc), report: r}
		l.services()
		l.models()
		l.workspaces()
		l.entries()
	}
	if against != nil {
		for _, change := range Diff(against, c) {
			r.Differences = append(r.Differences, configcheck.Difference{Text: change.String(), Effect: effect(change)})
		}
	}
	return r
}

// linter finds parts of a valid catalogue that have no effect or contradict each other.
type linter struct {
	c      *Catalogue
	pos    positions
	report *configcheck.Report
}

func (l *linter) warn(path, format string, args ...any) {
	l.report.Add(configcheck.Finding{Severity: configcheck.Warning, Line: l.pos.line(path), Where: path, Text: fmt.Sprintf(format, args...)})
}

func (l *linter) services() {
	used := map[string]bool{}
	for _, e := range l.c.Entries {
		used[e.Service] = true
	}
	for i, s := range l.c.Services {
		if !used[s.Name] {
			l.warn(fmt.Sprintf("services[%d]", i), "no entry uses the service %s", s.Name)
		}
	}
}

func (l *linter) models() {
	used := map[string]bool{}
	for _, e := range l.c.Entries {
		used[e.Model] = true
	}
	for i, m := range l.c.Models {
		if !used[m.Name] {
			l.warn(fmt.Sprintf("models[%d]", i), "no entry uses the model %s", m.Name)
		}
	}
}

func (l *linter) workspaces() {
	for i, w := range l.c.Workspaces {
		admitted := len(l.c.Entries) == 0
		for _, e := range l.c.Entries {
			admitted = admitted || e.admits(w.Name)
		}
		path := fmt.Sprintf("workspaces[%d]", i)
		if !admitted {
			l.warn(path, "no entry admits the workspace %s, so that all its requests are refused", w.Name)
		}
		if len(w.KeyDigests) == 0 {
			l.warn(path, "the workspace %s has no key, so that nobody can send requests for it", w.Name)
		}
		if w.Floor > 0 && !l.generates(w.Name) {
			l.warn(path+".floor", "no entry of kind generation admits the workspace %s, so that its floor of %v is never used", w.Name, w.Floor)
		}
	}
}

// generates reports whether an entry of kind generation admits a workspace.
func (l *linter) generates(workspace string) bool {
	return slices.ContainsFunc(l.c.Entries, func(e Entry) bool { return e.Kind == Generation && e.admits(workspace) })
}

// limitsOfOne warns of limits of an entry that its only workspace can't reach.
func (l *linter) limitsOfOne(path string, e *Entry) {
	if len(e.Workspaces) != 1 {
		return
	}
	for _, w := range l.c.Workspaces {
		if w.Name != e.Workspaces[0] {
			continue
		}
		for _, x := range []struct {
			key              string
			entry, workspace float64
		}{
			{"requests_per_second", e.Limits.RequestsPerSecond, w.Limits.RequestsPerSecond},
			{"tokens_per_second", e.Limits.TokensPerSecond, w.Limits.TokensPerSecond},
			{"concurrent", float64(e.Limits.Concurrent), float64(w.Limits.Concurrent)},
		} {
			if x.workspace > 0 && x.entry > x.workspace {
				l.warn(path+".limits."+x.key, "%s admits only the workspace %s, whose own limit is lower (%v)", e.Name, w.Name, x.workspace)
			}
		}
	}
}

func (e *Entry) admits(workspace string) bool {
	for _, w := range e.Workspaces {
		if w == workspace {
			return true
		}
	}
	return len(e.Workspaces) == 0
}

func (l *linter) entries() {
	for i, e := range l.c.Entries {
		path := fmt.Sprintf("entries[%d]", i)
		l.limitsOfOne(path, &e)
		if t := e.Targets.FirstToken; t > 0 && e.Timeout <= t {
			l.warn(path+".timeout", "the timeout %v of %s ends requests before their first token is late (%v)", e.Timeout, e.Name, t)
		}
		if e.MaxOutputTokens > 0 && e.ExpectedOutputTokens > e.MaxOutputTokens {
			l.warn(path+".expected_output_tokens", "%s expects %d tokens, but at most %d are generated", e.Name, e.ExpectedOutputTokens, e.MaxOutputTokens)
		}
		if rate := e.Limits.TokensPerSecond; rate > 0 && e.Timeout > 0 && float64(e.MaxOutputTokens) > rate*e.Timeout.Seconds() {
			l.warn(path+".limits.tokens_per_second", "%v tokens/s within the timeout %v are fewer than the %d that one request of %s may generate", rate, e.Timeout, e.MaxOutputTokens, e.Name)
		}
	}
}

// effect returns what a change does to requests. A request keeps the entry and the timeout of the revision in which
// it arrived.
func effect(c Change) string {
	switch {
	case c.Part == PartDraining && c.Op == Added:
		return "gets no new work; what runs there goes on"
	case c.Part == PartDraining:
		return "gets new work again"
	case c.Part == PartService, c.Part == PartModel && c.Field == "cold_requests_per_second":
		return "binds the next request to a server that is cold"
	case c.Part == PartEntry && c.Op == Removed:
		return "new requests get unknown_entry; those that run go on"
	case c.Part == PartWorkspace && c.Op == Removed, c.Part == PartWorkspace && c.Field == "key_digests":
		return "new requests with a key that is gone get unauthorized; those that run go on"
	case c.Part == PartEntry && c.Op == Changed, c.Part == PartWorkspace && c.Op == Changed:
		return "for new requests; those that run keep what they began with"
	}
	return ""
}
