package catalogue

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Op is the type of a change.
type Op string

// The values of Op.
const (
	Added   Op = "added"
	Removed Op = "removed"
	Changed Op = "changed"
)

// Part is the part of the catalogue that a change applies to.
type Part string

// The values of Part.
const (
	PartSetting   Part = "setting"
	PartDraining  Part = "draining"
	PartEvacuated Part = "evacuated"
	PartService   Part = "service"
	PartModel     Part = "model"
	PartWorkspace Part = "workspace"
	PartEntry     Part = "entry"
)

// Change is one difference between two catalogues.
type Change struct {
	Op   Op     `json:"op"`
	Part Part   `json:"part"`
	Name string `json:"name"`
	// Field, Before and After are set for a changed field.
	Field  string `json:"field,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String formats the change on one line.
func (c Change) String() string {
	switch c.Op {
	case Added:
		return fmt.Sprintf("+ %s %s", c.Part, c.Name)
	case Removed:
		return fmt.Sprintf("- %s %s", c.Part, c.Name)
	default:
		subject := strings.TrimSpace(fmt.Sprintf("%s %s %s", c.Part, c.Name, c.Field))
		return fmt.Sprintf("~ %s: %s -> %s", subject, orNone(c.Before), orNone(c.After))
	}
}

func orNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}

// Diff returns the changes that turn a into b. A nil catalogue is treated as empty. The
// order of the elements of a list is ignored, unless the list is the value of a field.
func Diff(a, b *Catalogue) []Change {
	if a == nil {
		a = &Catalogue{}
	}
	if b == nil {
		b = &Catalogue{}
	}
	var out []Change
	out = append(out, setting("background_floor", a.BackgroundFloor, b.BackgroundFloor)...)
	out = append(out, setting("urgent_reserve", a.UrgentReserve, b.UrgentReserve)...)
	self := func(s string) string { return s }
	out = append(out, diffNamed(PartDraining, a.Draining, b.Draining, self)...)
	out = append(out, diffNamed(PartEvacuated, a.Evacuated, b.Evacuated, self)...)
	out = append(out, diffNamed(PartService, a.Services, b.Services, func(s ServiceServers) string { return s.Name })...)
	out = append(out, diffNamed(PartModel, a.Models, b.Models, func(m Model) string { return m.Name })...)
	out = append(out, diffNamed(PartWorkspace, a.Workspaces, b.Workspaces, func(w Workspace) string { return w.Name })...)
	out = append(out, diffNamed(PartEntry, a.Entries, b.Entries, func(e Entry) string { return e.Name })...)
	return out
}

func setting(name string, before, after float64) []Change {
	if before == after {
		return nil
	}
	return []Change{{Op: Changed, Part: PartSetting, Name: name, Before: fmt.Sprint(before), After: fmt.Sprint(after)}}
}

func diffNamed[T any](part Part, before, after []T, name func(T) string) []Change {
	var out []Change
	index := make(map[string]T, len(after))
	for _, x := range after {
		index[name(x)] = x
	}
	known := make(map[string]bool, len(before))
	for _, x := range before {
		n := name(x)
		known[n] = true
		y, kept := index[n]
		if !kept {
			out = append(out, Change{Op: Removed, Part: part, Name: n})
			continue
		}
		out = append(out, fieldChanges(part, n, reflect.ValueOf(x), reflect.ValueOf(y), "")...)
	}
	for _, x := range after {
		if !known[name(x)] {
			out = append(out, Change{Op: Added, Part: part, Name: name(x)})
		}
	}
	return out
}

// fieldChanges compares two values of the same struct type field by field. The fields
// are named by their YAML keys.
func fieldChanges(part Part, name string, a, b reflect.Value, path string) []Change {
	if a.Kind() == reflect.Struct {
		var out []Change
		for i := range a.NumField() {
			key, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("yaml"), ",")
			out = append(out, fieldChanges(part, name, a.Field(i), b.Field(i), join(path, key))...)
		}
		return out
	}
	before, after := render(a), render(b)
	if before == after {
		return nil
	}
	return []Change{{Op: Changed, Part: part, Name: name, Field: path, Before: before, After: after}}
}

func render(v reflect.Value) string {
	if list, ok := v.Interface().([]string); ok {
		return strings.Join(list, ", ")
	}
	return fmt.Sprint(v.Interface())
}

// Dangerous returns the changes that end service for some callers: a removed workspace,
// entry or model. A removed service only loses its bounds.
func Dangerous(changes []Change) []Change {
	return slices.DeleteFunc(slices.Clone(changes), func(c Change) bool {
		return c.Op != Removed || c.Part == PartDraining || c.Part == PartEvacuated || c.Part == PartService
	})
}
