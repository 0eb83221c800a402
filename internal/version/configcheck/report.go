// Package configcheck reports what is wrong with a configuration before it is sent, and what it would change.
package configcheck

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
)

// Severity tells an error, for which processes refuse a configuration, from a warning.
type Severity string

// The severities.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Finding is one thing that is wrong with a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// Line and Column count from 1; 0 means that they are not known.
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
	Where  string `json:"where,omitempty"`
	Text   string `json:"text"`
}

// Difference is one difference from the version in force, and its effect on requests.
type Difference struct {
	Text   string `json:"text"`
	Effect string `json:"effect,omitempty"`
}

// Report is the result of a check.
type Report struct {
	File string `json:"file"`
	// Against names what the configuration was compared with.
	Against     string       `json:"against,omitempty"`
	Findings    []Finding    `json:"findings"`
	Differences []Difference `json:"differences,omitempty"`
}

// Exit codes of a check.
const (
	ExitOK = 0
	// ExitErrors is returned for a configuration that processes refuse, and ExitWarnings for one that they accept.
	ExitErrors   = 1
	ExitWarnings = 3
)

// Add adds a finding.
func (r *Report) Add(f Finding) { r.Findings = append(r.Findings, f) }

// ExitCode returns the exit code of the check.
func (r *Report) ExitCode() int {
	if slices.ContainsFunc(r.Findings, func(f Finding) bool { return f.Severity == Error }) {
		return ExitErrors
	}
	if len(r.Findings) > 0 {
		return ExitWarnings
	}
	return ExitOK
}

// Write writes the report as JSON or as one line for each finding and difference.
func (r *Report) Write(w io.Writer, asJSON bool) error {
	if asJSON {
		if r.Findings == nil {
			r.Findings = []Finding{}
		}
		out := json.NewEncoder(w)
		out.SetIndent("", "  ")
		return out.Encode(r)
	}
	for _, f := range r.Findings {
		position := r.File
		if f.Line > 0 {
			position += fmt.Sprintf(":%d", f.Line)
		}
		if f.Column > 0 {
			position += fmt.Sprintf(":%d", f.Column)
		}
		if f.Where != "" {
			position += ": " + f.Where
		}
		if _, err := fmt.Fprintf(w, "%s: %s: %s\n", f.Severity, position, f.Text); err != nil {
			return err
		}
	}
	for _, d := range r.Differences {
		line := d.Text
		if d.Effect != "" {
			line += " (" + d.Effect + ")"
		}
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	if len(r.Findings)+len(r.Differences) > 0 {
		return nil
	}
	_, err := fmt.Fprintf(w, "%s: nothing found\n", r.File)
	return err
}

// Position returns the line and the column of a byte offset in a text.
func Position(text []byte, offset int64) (line, column int) {
	before := text[:min(max(offset, 0), int64(len(text)))]
	return bytes.Count(before, []byte{'\n'}) + 1, len(before) - bytes.LastIndexByte(before, '\n')
}
