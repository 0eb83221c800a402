package catalogue

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one fault of a catalogue body.
type Problem struct {
	// Line is the line of the body, or 0 when it is not known.
	Line int
	// Path is the key path, such as entries[2].timeout.
	Path string
	// Value is the value as written.
	Value string
	// Allowed says which values are accepted.
	Allowed string
}

// String renders the problem without the file's name.
func (p Problem) String() string {
	if p.Value == "" {
		return fmt.Sprintf("%s: missing or empty; %s", p.Path, p.Allowed)
	}
	return fmt.Sprintf("%s: %s is not allowed; %s", p.Path, p.Value, p.Allowed)
}

// InvalidError holds every problem of a body, in the order of its lines.
type InvalidError struct {
	Name     string
	Problems []Problem
}

// Error renders one problem a line, each preceded by file and line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, fmt.Sprintf("%s:%d: %s", e.Name, p.Line, p))
	}
	return strings.Join(lines, "\n")
}

// asError returns nil when there are no problems.
func asError(name string, problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	slices.SortStableFunc(problems, func(a, b Problem) int { return a.Line - b.Line })
	return &InvalidError{Name: name, Problems: problems}
}
