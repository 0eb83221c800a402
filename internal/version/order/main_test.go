package order

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed, so that every run has the same result. The flag -rapid.seed
// still overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "40", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
