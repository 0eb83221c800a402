package catalogue

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

// digestPrefix precedes the hexadecimal SHA-256 digest of a key or body.
const digestPrefix = "sha256:"

// Digest returns the prefixed SHA-256 digest of a workspace key or a catalogue body.
func Digest(b []byte) string {
	sum := sha256.Sum256(b)
	return digestPrefix + hex.EncodeToString(sum[:])
}

// Snapshot is one accepted revision with its lookup indexes. It is immutable.
type Snapshot struct {
	*Catalogue
	Revision int64
	Digest   string
	// Body is the body with this digest, for peers that fetch it. It is nil in a
	// snapshot that was not read from a body.
	Body       []byte
	entries    map[string]*Entry
	workspaces map[string]*Workspace
	byKey      map[string]*Workspace
}

// NewSnapshot returns a snapshot of a valid catalogue, which must not change
// afterwards.
func NewSnapshot(revision int64, digest string, c *Catalogue) *Snapshot {
	s := &Snapshot{
		Catalogue:  c,
		Revision:   revision,
		Digest:     digest,
		entries:    make(map[string]*Entry, len(c.Entries)),
		workspaces: make(map[string]*Workspace, len(c.Workspaces)),
		byKey:      make(map[string]*Workspace, len(c.Workspaces)),
	}
	for i := range c.Entries {
		s.entries[c.Entries[i].Name] = &c.Entries[i]
	}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		s.workspaces[w.Name] = w
		for _, d := range w.KeyDigests {
			s.byKey[d] = w
		}
	}
	return s
}

// Entry returns the entry with this name, or nil.
func (s *Snapshot) Entry(name string) *Entry { return s.entries[name] }

// Workspace returns the workspace with this name, or nil.
func (s *Snapshot) Workspace(name string) *Workspace { return s.workspaces[name] }

// ServiceColdRate returns the requests that a cold server of a service may get within a second, or 0 without a
// bound.
func (s *Snapshot) ServiceColdRate(service string) int {
	for i := range s.Services {
		if s.Services[i].Name == service {
			return s.Services[i].ColdRequestsPerSecond
		}
	}
	return 0
}

// EngineColdRate is like ServiceColdRate for an engine that has models loaded: the lowest of their rates. If its
// models are not known, which is usual just after its start, it is the lowest rate of all models.
func (s *Snapshot) EngineColdRate(models []string) int {
	lowest := 0
	for i := range s.Models {
		m := &s.Models[i]
		if m.ColdRequestsPerSecond == 0 || len(models) > 0 && !slices.Contains(models, m.Name) {
			continue
		}
		if lowest == 0 || m.ColdRequestsPerSecond < lowest {
			lowest = m.ColdRequestsPerSecond
		}
	}
	return lowest
}

// Authenticate returns the workspace to which a key belongs, or nil. The key is looked
// up by its digest, so the comparison leaks no information about the key.
func (s *Snapshot) Authenticate(key string) *Workspace {
	return s.byKey[Digest([]byte(key))]
}
