package api

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against prefix hashes that depend on text after the block, which would make
// equal prefixes look different.
func TestPrefixHashesDependOnLeadingBlocksOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		head := strings.Repeat(rapid.StringMatching(`[a-z]{8}`).Draw(t, "head"), PrefixBlockBytes/8*2)
		tail := rapid.StringMatching(`[a-z]{0,300}`).Draw(t, "tail")
		long, short := PrefixHashes(head+tail, 8), PrefixHashes(head, 8)
		for i, h := range short {
			if long[i] != h {
				t.Fatalf("hash of block %d changed with the tail", i)
			}
		}
	})
}

// Guards against an unlimited number of hashes for a long input.
func TestPrefixHashesLimit(t *testing.T) {
	is := is.New(t)
	is.Equal(len(PrefixHashes(strings.Repeat("a", 10*PrefixBlockBytes), 4)), 4)
	is.Equal(len(PrefixHashes("short", 4)), 0)
}

// Guards against sampling that no longer recognises a shared prefix or does not reduce
// the number of hashes.
func TestSamplePrefixHashes(t *testing.T) {
	is := is.New(t)
	all := make([]uint64, 64)
	for i := range all {
		all[i] = uint64(i + 1)
	}
	is.Equal(SamplePrefixHashes(all), []uint64{1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64})
	for shared := range all {
		sampled := SamplePrefixHashes(all[:shared])
		is.True(shared == 0 || 3*sampled[len(sampled)-1] >= 2*uint64(shared))
	}
	is.Equal(len(SamplePrefixHashes(nil)), 0)
}
