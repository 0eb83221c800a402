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

// lineMessage, fieldMessage and typeMessage match the YAML library's messages about
// one line. keyOfLine matches the first key of a line of YAML.
var (
	lineMessage  = regexp.MustCompile(`^line (\d+): (.*)$`)
	fieldMessage = regexp.MustCompile(`^field (\S+) not found in type`)
	typeMessage  = regexp.MustCompile("^cannot unmarshal \\S+ (?:`(.*)` )?into (.*)$")
	keyOfLine    = regexp.MustCompile(`^[\s{-]*([a-z_]+)\s*:`)
)

// describeDecodeError converts the YAML library's type errors into messages with the
// line, the key and what is allowed. They don't quote whole lines, which may contain
// secrets.
func describeDecodeError(raw []byte, err error) error {
	var types *yaml.TypeError
	if !errors.As(err, &types) {
		return err
	}
	lines := bytes.Split(raw, []byte("\n"))
	var errs []error
	for _, message := range types.Errors {
		errs = append(errs, errors.New(describeProblem(lines, message)))
	}
	return errors.Join(errs...)
}

func describeProblem(lines [][]byte, message string) string {
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
	return fmt.Sprintf("line %s%s: %q is not allowed; use %s", m[1], keyOnLine(lines, m[1]), t[1], expectedValue(t[2]))
}

// keyOnLine returns " (KEY)" for the first key of the line with this number, or "" if
// the line has none.
func keyOnLine(lines [][]byte, number string) string {
	n, err := strconv.Atoi(number)
	if err != nil || n < 1 || n > len(lines) {
		return ""
	}
	if k := keyOfLine.FindSubmatch(lines[n-1]); k != nil {
		return " (" + string(k[1]) + ")"
	}
	return ""
}

// expectedValue describes the values of a Go type in the terms of YAML.
func expectedValue(goType string) string {
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
		return "a string"
	default:
		return "a mapping of keys"
	}
}
