package catalogue

import (
	"bytes"
	"fmt"
	"slices"

	"go.yaml.in/yaml/v3"
)

// SetDraining returns the body with a backend server added to or removed from the
// draining list. Comments and the order of keys are preserved. changed is false if the
// list already has the requested state.
func SetDraining(body []byte, name string, drain bool) (edited []byte, changed bool, err error) {
	c, err := Parse("catalogue", body)
	if err != nil {
		return nil, false, err
	}
	if slices.Contains(c.Draining, name) == drain {
		return body, false, nil
	}
	names := slices.DeleteFunc(slices.Clone(c.Draining), func(n string) bool { return n == name })
	if drain {
		names = append(names, name)
	}
	edited, err = replaceDraining(body, names)
	if err != nil {
		return nil, false, err
	}
	if _, err := Parse("catalogue", edited); err != nil {
		return nil, false, err
	}
	return edited, true, nil
}

func replaceDraining(body []byte, names []string) ([]byte, error) {
	var doc yaml.Node
	if err := yaml.Unmarshal(body, &doc); err != nil {
		return nil, fmt.Errorf("read catalogue: %w", err)
	}
	var list yaml.Node
	if err := list.Encode(names); err != nil {
		return nil, fmt.Errorf("encode draining list: %w", err)
	}
	list.Style = yaml.FlowStyle
	setKey(doc.Content[0], "draining", &list)
	var b bytes.Buffer
	enc := yaml.NewEncoder(&b)
	enc.SetIndent(2)
	if err := enc.Encode(&doc); err != nil {
		return nil, fmt.Errorf("encode catalogue: %w", err)
	}
	return b.Bytes(), enc.Close()
}

// setKey replaces the value of a key of a mapping, or appends the key if it is missing.
func setKey(mapping *yaml.Node, key string, value *yaml.Node) {
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		if mapping.Content[i].Value == key {
			mapping.Content[i+1] = value
			return
		}
	}
	mapping.Content = append(mapping.Content, &yaml.Node{Kind: yaml.ScalarNode, Value: key}, value)
}
