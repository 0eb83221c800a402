package catalogue

import (
	"fmt"
	"strings"

	"go.yaml.in/yaml/v3"
)

// positions maps key paths to lines of the body, and lines to key paths.
type positions struct {
	lines map[string]int
	// paths maps a line to the innermost path that starts on it.
	paths map[int]string
}

func indexPositions(doc *yaml.Node) positions {
	p := positions{lines: map[string]int{}, paths: map[int]string{}}
	p.walk("", doc)
	return p
}

// walk records the positions of a node and its children. It does not follow aliases,
// because nested aliases expand exponentially.
func (p positions) walk(path string, n *yaml.Node) {
	switch n.Kind {
	case yaml.DocumentNode:
		for _, c := range n.Content {
			p.walk(path, c)
		}
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			child := join(path, n.Content[i].Value)
			p.add(child, n.Content[i].Line)
			p.walk(child, n.Content[i+1])
		}
	case yaml.SequenceNode:
		for i, c := range n.Content {
			child := fmt.Sprintf("%s[%d]", path, i)
			p.add(child, c.Line)
			p.walk(child, c)
		}
	}
}

func (p positions) add(path string, line int) {
	p.lines[path] = line
	p.paths[line] = path
}

func (p positions) has(path string) bool {
	_, ok := p.lines[path]
	return ok
}

// line returns the line of a path. For a missing key, it returns the line of the
// nearest enclosing path.
func (p positions) line(path string) int {
	for path != "" {
		if l, ok := p.lines[path]; ok {
			return l
		}
		path = parent(path)
	}
	return min(1, len(p.lines))
}

func parent(path string) string {
	return path[:max(0, strings.LastIndexAny(path, ".["))]
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
