package catalogue

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxTimeout limits how long response ids and buffers of streams must be kept.
const maxTimeout = 24 * time.Hour

// serviceMethods are the HTTP methods that a service entry may allow.
var serviceMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

func (v *validator) checkEntries() {
	seen := map[string]bool{}
	for i := range v.c.Entries {
		e := &v.c.Entries[i]
		path := fmt.Sprintf("entries[%d]", i)
		v.name(path+".name", e.Name)
		if seen[e.Name] {
			v.report(path+".name", e.Name, "the names of entries must differ")
		}
		seen[e.Name] = true
		v.entry(path, e)
	}
}

func (v *validator) entry(path string, e *Entry) {
	if strings.TrimSpace(e.Owner) == "" {
		v.report(path+".owner", "", "the owner of the piece of work")
	}
	if e.Class != Urgent && e.Class != Background {
		v.report(path+".class", string(e.Class), "urgent or background")
	}
	if e.Timeout <= 0 || e.Timeout > maxTimeout {
		v.report(path+".timeout", e.Timeout.String(), fmt.Sprintf("more than 0s, at most %v", maxTimeout))
	}
	v.limits(path+".limits", e.Limits)
	v.names(path+".workspaces", e.Workspaces)
	for i, w := range e.Workspaces {
		if v.workspaces[w] == nil {
			v.report(fmt.Sprintf("%s.workspaces[%d]", path, i), w, "the name of a workspace of this catalogue")
		}
	}
	switch e.Kind {
	case Generation:
		v.generation(path, e)
	case Service:
		v.service(path, e)
	default:
		v.report(path+".kind", string(e.Kind), "generation or service")
	}
}

func (v *validator) generation(path string, e *Entry) {
	v.model(path, e)
	if e.MaxOutputTokens <= 0 {
		v.report(path+".max_output_tokens", strconv.Itoa(e.MaxOutputTokens), "1 or more")
	}
	if e.ExpectedOutputTokens < 0 || e.MaxOutputTokens > 0 && (e.ExpectedOutputTokens < 1 || e.ExpectedOutputTokens > e.MaxOutputTokens) {
		v.report(path+".expected_output_tokens", strconv.Itoa(e.ExpectedOutputTokens),
			fmt.Sprintf("1 to max_output_tokens (%d)", e.MaxOutputTokens))
	}
	v.target(path+".targets.first_token", e.Targets.FirstToken, e.Timeout)
	v.target(path+".targets.token_gap", e.Targets.TokenGap, e.Timeout)
	v.checkUnused(path, "generation", map[string]bool{
		"service": e.Service != "", "methods": len(e.Methods) > 0, "path": e.Path != "", "idempotent": e.Idempotent,
	})
	v.checkTokenLimits(path, e)
}

func (v *validator) model(path string, e *Entry) {
	m := v.models[e.Model]
	if m == nil {
		v.report(path+".model", e.Model, "the name of a model of this catalogue")
		return
	}
	if e.Adapter != "" && !slices.Contains(m.Adapters, e.Adapter) {
		v.report(path+".adapter", e.Adapter, "an adapter of model "+m.Name)
	}
}

func (v *validator) target(path string, d, timeout time.Duration) {
	if d <= 0 || timeout > 0 && d > timeout {
		v.report(path, d.String(), fmt.Sprintf("more than 0s, at most the timeout (%v)", timeout))
	}
}

// printedPrecision is the relative tolerance with which the rounded value that a
// message prints passes the check.
const printedPrecision = 1e-5

// checkTokenLimits checks that the token limits let a response of the expected length
// finish within the timeout. With a lower limit, every request of the entry would end
// incomplete.
func (v *validator) checkTokenLimits(path string, e *Entry) {
	if e.ExpectedOutputTokens <= 0 || e.Timeout <= 0 {
		return
	}
	minimum := float64(e.ExpectedOutputTokens) / e.Timeout.Seconds()
	threshold := minimum * (1 - printedPrecision)
	rule := fmt.Sprintf("0 (unlimited) or at least %s, which entry %s needs to finish %d tokens in %v",
		number(minimum), e.Name, e.ExpectedOutputTokens, e.Timeout)
	if l := e.Limits.TokensPerSecond; l > 0 && l < threshold {
		v.report(path+".limits.tokens_per_second", number(l), rule)
	}
	for i := range v.c.Workspaces {
		w := &v.c.Workspaces[i]
		if len(e.Workspaces) > 0 && !slices.Contains(e.Workspaces, w.Name) {
			continue
		}
		if l := w.Limits.TokensPerSecond; l > 0 && l < threshold {
			v.report(fmt.Sprintf("workspaces[%d].limits.tokens_per_second", i), number(l), rule)
		}
	}
}

func (v *validator) service(path string, e *Entry) {
	v.name(path+".service", e.Service)
	if len(e.Methods) == 0 {
		v.report(path+".methods", "", "at least one of "+strings.Join(serviceMethods, ", "))
	}
	readOnly := len(e.Methods) > 0
	for i, m := range e.Methods {
		at := fmt.Sprintf("%s.methods[%d]", path, i)
		if !slices.Contains(serviceMethods, m) {
			v.report(at, m, "one of "+strings.Join(serviceMethods, ", "))
		}
		if slices.Contains(e.Methods[:i], m) {
			v.report(at, m, "the methods in this list must differ")
		}
		readOnly = readOnly && (m == http.MethodGet || m == http.MethodHead)
	}
	if readOnly && !e.Idempotent {
		v.report(path+".methods", strings.Join(e.Methods, ", "),
			"a non-idempotent entry needs a method that writes, or set idempotent: true")
	}
	if !strings.HasPrefix(e.Path, "/") || strings.ContainsAny(e.Path, "?#") {
		v.report(path+".path", e.Path, "a path that begins with / and has no query")
	}
	v.checkUnused(path, "service", map[string]bool{
		"model": e.Model != "", "adapter": e.Adapter != "", "max_output_tokens": e.MaxOutputTokens != 0,
		"expected_output_tokens": e.ExpectedOutputTokens != 0, "targets": e.Targets != Targets{},
	})
}

// checkUnused reports keys that have no effect on entries of the given kind.
func (v *validator) checkUnused(path, kind string, set map[string]bool) {
	for _, key := range slices.Sorted(maps.Keys(set)) {
		if set[key] {
			v.report(path+"."+key, "a value", "leave this key out of a "+kind+" entry")
		}
	}
}
