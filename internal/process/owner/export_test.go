package owner

// Arbiter returns the name of the gateway that decides the reservations on an engine,
// or of this gateway if there is none.
func (m *Manager) Arbiter(engine string) string {
	if g, ok := m.arbiter(engine); ok {
		return g.Name
	}
	return m.self()
}
