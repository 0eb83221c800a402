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
	return setListed(body, "draining", func(c *Catalogue) []string { return c.Draining }, name, drain)
}

// SetEvacuated is like SetDraining for a data centre and the list of evacuated ones.
func SetEvacuated(body []byte, dataCentre string, evacuate bool) (edited []byte, changed bool, err error) {
	return setListed(body, "evacuated", func(c *Catalogue) []string { return c.Evacuated }, dataCentre, evacuate)
}

// setListed adds a name to the list with a key, or removes it.
func setListed(body []byte, key string, list func(*Catalogue) []string, name string, listed bool) (edited []byte, changed bool, err error) {
	c, err := Parse("catalogue", body)
	if err != nil {
		return nil, false, err
	}
	if slices.Contains(list(c), name) == listed {
		return body, false, nil
	}
	names := slices.DeleteFunc(slices.Clone(list(c)), func(n string) bool { return n == name })
	if listed {
		names = append(names, name)
	}
	edited, err = replaceList(body, key, names)
	if err != nil {
		return nil, false, err
	}
	if _, err := Parse("catalogue", edited); err != nil {
		return nil, false, err
	}
	return edited, true, nil
}

func replaceList(body []byte, key string, names []string) ([]byte, error) {
	var doc yaml.Node
	if err := yaml.Unmarshal(body, &doc); err != nil {
		return nil, fmt.Errorf("read catalogue: %w", err)
	}
	var list yaml.Node
	if err := list.Encode(names); err != nil {
		return nil, fmt.Errorf("encode list %s: %w", key, err)
	}
	list.Style = yaml.FlowStyle
	setKey(doc.Content[0], key, &list)
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
