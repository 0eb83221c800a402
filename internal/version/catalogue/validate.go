package catalogue

import (
	"fmt"
	"math"
	"regexp"
	"strconv"
)

// Upper limits of the fractions in the catalogue.
const (
	maxFraction = 0.5
	// maxFractionSum leaves at least a fifth of the slots to either class.
	maxFractionSum = 0.8
)

const (
	nameRule   = "a name matches [a-z0-9][a-z0-9-]{0,62}"
	digestRule = "a key digest is sha256: and 64 lower-case hexadecimal digits"
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	digestPattern = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)
)

// Validate checks a catalogue that was not read from a body. Its problems contain key
// paths but no lines.
func (c *Catalogue) Validate() error {
	return asError("catalogue", validate(c, positions{}))
}

// validator checks a catalogue and collects the problems.
type validator struct {
	c          *Catalogue
	pos        positions
	problems   []Problem
	models     map[string]*Model
	workspaces map[string]*Workspace
}

func validate(c *Catalogue, pos positions) []Problem {
	v := &validator{c: c, pos: pos, models: map[string]*Model{}, workspaces: map[string]*Workspace{}}
	v.fractions()
	v.draining()
	v.evacuated()
	v.checkServices()
	v.checkModels()
	v.checkWorkspaces()
	v.checkEntries()
	return v.problems
}

func (v *validator) report(path, value, allowed string) {
	v.problems = append(v.problems, Problem{Line: v.pos.line(path), Path: path, Value: value, Allowed: allowed})
}

func (v *validator) fractions() {
	c := v.c
	v.between("background_floor", c.BackgroundFloor, 0, maxFraction)
	v.between("urgent_reserve", c.UrgentReserve, 0, maxFraction)
	if sum := c.BackgroundFloor + c.UrgentReserve; sum >= maxFractionSum {
		v.report("urgent_reserve", number(c.UrgentReserve),
			fmt.Sprintf("background_floor and urgent_reserve together must be under %v (they are %s)", maxFractionSum, number(sum)))
	}
}

func (v *validator) draining() {
	v.names("draining", v.c.Draining)
}

func (v *validator) evacuated() {
	v.names("evacuated", v.c.Evacuated)
}

func (v *validator) checkServices() {
	seen := map[string]bool{}
	for i := range v.c.Services {
		s := &v.c.Services[i]
		path := fmt.Sprintf("services[%d]", i)
		v.name(path+".name", s.Name)
		if seen[s.Name] {
			v.report(path+".name", s.Name, "the names of services must differ")
		}
		seen[s.Name] = true
		v.coldRate(path, s.ColdRequestsPerSecond)
	}
}

// coldRate checks the number of requests that a cold server may get within a second.
func (v *validator) coldRate(path string, n int) {
	if n < 0 || n > maxLimit {
		v.report(path+".cold_requests_per_second", strconv.Itoa(n), fmt.Sprintf("0 (no bound) to %v", float64(maxLimit)))
	}
}

func (v *validator) checkModels() {
	for i := range v.c.Models {
		m := &v.c.Models[i]
		path := fmt.Sprintf("models[%d]", i)
		v.name(path+".name", m.Name)
		if v.models[m.Name] != nil {
			v.report(path+".name", m.Name, "the names of models must differ")
		}
		v.models[m.Name] = m
		if m.Replicas < 0 {
			v.report(path+".replicas", strconv.Itoa(m.Replicas), "0 or more")
		}
		v.names(path+".adapters", m.Adapters)
		v.coldRate(path, m.ColdRequestsPerSecond)
	}
}

func (v *validator) checkWorkspaces() {
	if len(v.c.Workspaces) == 0 {
		v.report("workspaces", "", "at least one workspace")
	}
	owners := map[string]string{}
	floors := v.c.BackgroundFloor
	for i := range v.c.Workspaces {
		w := &v.c.Workspaces[i]
		path := fmt.Sprintf("workspaces[%d]", i)
		v.name(path+".name", w.Name)
		if v.workspaces[w.Name] != nil {
			v.report(path+".name", w.Name, "the names of workspaces must differ")
		}
		v.workspaces[w.Name] = w
		if !(w.Weight > 0 && w.Weight <= maxWeight) {
			v.report(path+".weight", number(w.Weight), fmt.Sprintf("more than 0 and at most %v", float64(maxWeight)))
		}
		v.between(path+".floor", w.Floor, 0, maxFraction)
		// Rounded, because a sum of decimal fractions that is 1 may be a little more in binary.
		if floors += w.Floor; w.Floor > 0 && math.Round(floors*maxWeight) > maxWeight {
			v.report(path+".floor", number(w.Floor), fmt.Sprintf("background_floor and the floors of this workspace and those before it together must be at most 1 (they are %s)", number(floors)))
		}
		v.limits(path+".limits", w.Limits)
		v.keys(path+".key_digests", w, owners)
	}
}

// maxWeight keeps the virtual times of the fair queue comparable in a float64.
const maxWeight = 1e6

func (v *validator) keys(path string, w *Workspace, owners map[string]string) {
	if len(w.KeyDigests) == 0 {
		v.report(path, "", "at least one key digest")
	}
	for i, d := range w.KeyDigests {
		at := fmt.Sprintf("%s[%d]", path, i)
		if !digestPattern.MatchString(d) {
			v.report(at, d, digestRule)
			continue
		}
		if owner, taken := owners[d]; taken {
			v.report(at, d, "a key belongs to one workspace; this one is also listed at "+owner)
			continue
		}
		owners[d] = w.Name
	}
}

func (v *validator) limits(path string, l Limits) {
	v.notNegative(path+".requests_per_second", l.RequestsPerSecond)
	v.notNegative(path+".tokens_per_second", l.TokensPerSecond)
	v.notNegative(path+".concurrent", float64(l.Concurrent))
}

func (v *validator) name(path, name string) {
	if !namePattern.MatchString(name) {
		v.report(path, name, nameRule)
	}
}

// names checks a list of names, which must be distinct.
func (v *validator) names(path string, names []string) {
	seen := map[string]bool{}
	for i, n := range names {
		at := fmt.Sprintf("%s[%d]", path, i)
		v.name(at, n)
		if seen[n] {
			v.report(at, n, "the names in this list must differ")
		}
		seen[n] = true
	}
}

// The comparisons are written so that they fail for NaN.

func (v *validator) between(path string, x, low, high float64) {
	if !(x >= low && x <= high) {
		v.report(path, number(x), fmt.Sprintf("%v to %v", low, high))
	}
}

func (v *validator) notNegative(path string, x float64) {
	if !(x >= 0 && x <= maxLimit) {
		v.report(path, number(x), fmt.Sprintf("0 (unlimited) to %v", float64(maxLimit)))
	}
}

// maxLimit is far above any rate at the target size of the system, and it is finite, so
// that an infinite limit is refused.
const maxLimit = 1e9

func number(x float64) string { return strconv.FormatFloat(x, 'g', 6, 64) }
