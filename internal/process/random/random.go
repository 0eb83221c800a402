// Package random provides a random generator that is safe for concurrent use.
package random

import "math/rand/v2"

// source takes numbers from the runtime's generator, which is safe for concurrent use.
type source struct{}

// Uint64 implements rand.Source.
func (source) Uint64() uint64 { return rand.Uint64() }

// Shared is safe for concurrent use, because a rand.Rand has no state other than its
// source.
var Shared = rand.New(source{})
