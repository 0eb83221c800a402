package peer

import (
	"bytes"
	"slices"
	"sync"
)

// maxSecrets bounds the secrets that a process knows. There is more than one only after the place that keeps the secret has lost
// it and other processes have agreed on another one.
const maxSecrets = 4

// Secrets are the secrets by which this process and its peers know each other, the newest first. They are safe for concurrent use.
type Secrets struct {
	mu  sync.Mutex
	all [][]byte
}

// NewSecrets returns the secrets of a process that knows one.
func NewSecrets(secret []byte) *Secrets { return &Secrets{all: [][]byte{secret}} }

// Add makes a secret the newest one. Connections stay; new ones use it first, and peers may use any. It reports whether the
// secret was not known.
func (s *Secrets) Add(secret []byte) (added bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := slices.ContainsFunc(s.all, func(known []byte) bool { return bytes.Equal(known, secret) })
	if known {
		return false
	}
	s.all = append([][]byte{secret}, s.all[:min(len(s.all), maxSecrets-1)]...)
	return true
}

// Newest returns the newest secret.
func (s *Secrets) Newest() []byte { return s.list()[0] }

// list returns all secrets. The result must not be changed.
func (s *Secrets) list() [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all
}
