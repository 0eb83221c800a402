// Package random has a random generator for parts that draw concurrently.
package random

import "math/rand/v2"

// source draws from the runtime's generator, which is safe for concurrent use.
type source struct{}

// Uint64 implements rand.Source.
func (source) Uint64() uint64 { return rand.Uint64() }

// Shared may be used by all parts at once, because a rand.Rand has no state
// besides its source.
var Shared = rand.New(source{})
