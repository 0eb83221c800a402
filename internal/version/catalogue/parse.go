package catalogue

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"

	"go.yaml.in/yaml/v3"
)

// MaxBodyBytes limits the size of a body. 350 workspaces with 100 entries need about
// 150 KB.
const MaxBodyBytes = 4 << 20

// Parse decodes a YAML body, applies the defaults and validates the result. name is the
// file name that messages contain. The error is an *InvalidError with every problem
// found.
func Parse(name string, body []byte) (*Catalogue, error) {
	if len(body) > MaxBodyBytes {
		return nil, bodyProblem(name, fmt.Sprintf("%d bytes", len(body)), fmt.Sprintf("at most %d bytes", MaxBodyBytes))
	}
	var doc yaml.Node
	if err := yaml.Unmarshal(body, &doc); err != nil {
		return nil, asError(name, decodeProblems(err, positions{}))
	}
	if doc.Kind == 0 {
		return nil, bodyProblem(name, "", "a YAML mapping with models, workspaces and entries")
	}
	pos := indexPositions(&doc)
	c := &Catalogue{BackgroundFloor: DefaultBackgroundFloor, UrgentReserve: DefaultUrgentReserve}
	dec := yaml.NewDecoder(bytes.NewReader(body))
	dec.KnownFields(true)
	var problems []Problem
	if err := dec.Decode(c); err != nil {
		problems = decodeProblems(err, pos)
	}
	if err := dec.Decode(&yaml.Node{}); !errors.Is(err, io.EOF) {
		problems = append(problems, Problem{Path: "(body)", Value: "a second document", Allowed: "one YAML document"})
	}
	applyDefaults(c, pos)
	problems = mergeProblems(problems, validate(c, pos))
	if err := asError(name, problems); err != nil {
		return nil, err
	}
	return c, nil
}

// Encode returns a catalogue as a YAML body that Parse accepts.
func Encode(c *Catalogue) ([]byte, error) {
	var b bytes.Buffer
	enc := yaml.NewEncoder(&b)
	enc.SetIndent(2)
	if err := enc.Encode(c); err != nil {
		return nil, fmt.Errorf("encode catalogue: %w", err)
	}
	if err := enc.Close(); err != nil {
		return nil, fmt.Errorf("encode catalogue: %w", err)
	}
	return b.Bytes(), nil
}

func bodyProblem(name, value, allowed string) error {
	return asError(name, []Problem{{Line: 1, Path: "(body)", Value: value, Allowed: allowed}})
}

// Patterns of the messages of the YAML library that contain a line number.
var (
	lineMessage  = regexp.MustCompile(`^(?:yaml: )?line (\d+): (?s:(.*))$`)
	fieldMessage = regexp.MustCompile(`^field (\S+) not found in type`)
	typeMessage  = regexp.MustCompile("^cannot unmarshal \\S+ (?:`(.*)` )?into (.*)$")
)

// decodeProblems converts the errors of the YAML library to problems with key paths.
func decodeProblems(err error, pos positions) []Problem {
	var te *yaml.TypeError
	if !errors.As(err, &te) {
		return []Problem{decodeProblem(err.Error(), pos)}
	}
	problems := make([]Problem, 0, len(te.Errors))
	for _, m := range te.Errors {
		problems = append(problems, decodeProblem(m, pos))
	}
	return problems
}

func decodeProblem(message string, pos positions) Problem {
	m := lineMessage.FindStringSubmatch(message)
	if m == nil {
		return Problem{Line: 1, Path: "(body)", Value: message, Allowed: "well-formed YAML"}
	}
	line, _ := strconv.Atoi(m[1])
	path := pos.paths[line]
	if path == "" {
		path = "(body)"
	}
	if f := fieldMessage.FindStringSubmatch(m[2]); f != nil {
		return Problem{Line: line, Path: path, Value: "key " + f[1], Allowed: "only keys of the catalogue's format"}
	}
	if t := typeMessage.FindStringSubmatch(m[2]); t != nil {
		return Problem{Line: line, Path: path, Value: strconv.Quote(t[1]), Allowed: "a value of type " + t[2]}
	}
	return Problem{Line: line, Path: path, Value: m[2], Allowed: "well-formed YAML"}
}

// mergeProblems adds the problems of validation to those of decoding. It omits those on
// a line that could not be decoded, because they are only consequences of the decoding
// problem.
func mergeProblems(decoding, validation []Problem) []Problem {
	bad := map[int]bool{}
	for _, p := range decoding {
		bad[p.Line] = true
	}
	for _, p := range validation {
		if !bad[p.Line] {
			decoding = append(decoding, p)
		}
	}
	return decoding
}
