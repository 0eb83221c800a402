package owner

// Arbiter returns the name of the gateway that decides the claims on an engine, or
// that of this one.
func (m *Manager) Arbiter(engine string) string {
	if g, ok := m.arbiter(engine); ok {
		return g.Name
	}
	return m.self()
}
