package catalogue

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one error in a catalogue body.
type Problem struct {
	// Line is the line of the body, or 0 if it is not known.
	Line int
	// Path is the key path, such as entries[2].timeout.
	Path string
	// Value is the value as written in the body.
	Value string
	// Allowed describes the accepted values.
	Allowed string
}

// String formats the problem without the file name.
func (p Problem) String() string {
	if p.Value == "" {
		return fmt.Sprintf("%s: missing or empty; %s", p.Path, p.Allowed)
	}
	return fmt.Sprintf("%s: %s is not allowed; %s", p.Path, p.Value, p.Allowed)
}

// InvalidError contains every problem of a body, in the order of lines.
type InvalidError struct {
	Name     string
	Problems []Problem
}

// Error formats one problem per line, each preceded by file name and line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, fmt.Sprintf("%s:%d: %s", e.Name, p.Line, p))
	}
	return strings.Join(lines, "\n")
}

// asError returns an *InvalidError, or nil if there are no problems.
func asError(name string, problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	slices.SortStableFunc(problems, func(a, b Problem) int { return a.Line - b.Line })
	return &InvalidError{Name: name, Problems: problems}
}
