package order

import "slices"

// matching assigns engines to models of limited capacity by augmenting paths. An engine
// that was assigned once stays assigned, but its model may change.
type matching struct {
	capacity map[string]int
	modelOf  map[string]string
	members  map[string][]string
	edges    map[string][]string
}

func newMatching(capacity map[string]int) *matching {
	return &matching{capacity: capacity, modelOf: map[string]string{}, members: map[string][]string{}, edges: map[string][]string{}}
}

func (m *matching) free(model string) int { return m.capacity[model] - len(m.members[model]) }

// add tries to assign an engine to one of the models. It reassigns other engines if
// necessary.
func (m *matching) add(engine string, models []string) {
	if _, done := m.modelOf[engine]; done || len(models) == 0 {
		return
	}
	m.edges[engine] = models
	m.augment(engine, map[string]bool{})
}

func (m *matching) augment(engine string, visited map[string]bool) bool {
	for _, model := range m.edges[engine] {
		if visited[model] || m.capacity[model] == 0 {
			continue
		}
		visited[model] = true
		if m.free(model) > 0 {
			m.put(engine, model)
			return true
		}
		for _, other := range slices.Clone(m.members[model]) {
			if m.augment(other, visited) {
				m.put(engine, model)
				return true
			}
		}
	}
	return false
}

// put assigns an engine to a model and removes it from its previous one.
func (m *matching) put(engine, model string) {
	if old, ok := m.modelOf[engine]; ok {
		m.members[old] = slices.DeleteFunc(m.members[old], func(e string) bool { return e == engine })
	}
	m.modelOf[engine] = model
	m.members[model] = append(m.members[model], engine)
}
