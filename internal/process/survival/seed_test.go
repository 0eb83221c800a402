package survival

import "flag"

// The property tests use one seed, so that they give the same verdict on every
// run; -rapid.seed selects another.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
