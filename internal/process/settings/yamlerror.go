package settings

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Messages of the YAML library about one line.
var (
	lineMessage  = regexp.MustCompile(`^line (\d+): (.*)$`)
	fieldMessage = regexp.MustCompile(`^field (\S+) not found in type`)
	typeMessage  = regexp.MustCompile("^cannot unmarshal \\S+ (?:`(.*)` )?into (.*)$")
	keyOfLine    = regexp.MustCompile(`^[\s{-]*([a-z_]+)\s*:`)
)

// readable turns the library's errors into lines that name line, key and what
// is allowed. Values of whole lines are left out because they may hold secrets.
func readable(raw []byte, err error) error {
	var types *yaml.TypeError
	if !errors.As(err, &types) {
		return err
	}
	lines := bytes.Split(raw, []byte("\n"))
	var errs []error
	for _, message := range types.Errors {
		errs = append(errs, errors.New(readableLine(lines, message)))
	}
	return errors.Join(errs...)
}

func readableLine(lines [][]byte, message string) string {
	m := lineMessage.FindStringSubmatch(message)
	if m == nil {
		return message
	}
	if f := fieldMessage.FindStringSubmatch(m[2]); f != nil {
		return fmt.Sprintf("line %s: field %s not found: this file has no such key; check its spelling and nesting", m[1], f[1])
	}
	t := typeMessage.FindStringSubmatch(m[2])
	if t == nil {
		return message
	}
	return fmt.Sprintf("line %s%s: %q is not allowed; use %s", m[1], keyOf(lines, m[1]), t[1], wanted(t[2]))
}

// keyOf returns the first key of a line in brackets, or nothing.
func keyOf(lines [][]byte, number string) string {
	n, err := strconv.Atoi(number)
	if err != nil || n < 1 || n > len(lines) {
		return ""
	}
	if k := keyOfLine.FindSubmatch(lines[n-1]); k != nil {
		return " (" + string(k[1]) + ")"
	}
	return ""
}

// wanted describes a Go type to an operator.
func wanted(goType string) string {
	if strings.HasPrefix(goType, "[]") {
		return "a list"
	}
	switch goType {
	case "time.Duration":
		return "a duration with a unit, such as 10s"
	case "int", "int64", "uint64":
		return "a whole number"
	case "float64":
		return "a number"
	case "bool":
		return "true or false"
	case "string":
		return "a text"
	default:
		return "a mapping of keys"
	}
}
