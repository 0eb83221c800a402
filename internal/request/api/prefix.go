package api

import "github.com/cespare/xxhash/v2"

// PrefixBlockBytes is the size of a prefix block of the input in bytes.
const PrefixBlockBytes = 256

// PrefixHashes returns one chained hash for each whole block of the input, in order: hash
// i identifies the input up to the end of block i. It returns at most limit hashes.
func PrefixHashes(input string, limit int) []uint64 {
	n := min(len(input)/PrefixBlockBytes, limit)
	hashes := make([]uint64, 0, n)
	d := xxhash.New()
	for i := range n {
		_, _ = d.WriteString(input[i*PrefixBlockBytes : (i+1)*PrefixBlockBytes])
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

// SamplePrefixHashes returns only the hashes of 1, 2, 3, 4, 6, 8, 12, 16 blocks and so
// on. At least two thirds of a prefix that two inputs share is still recognised, and 64
// hashes are reduced to 12, which every request sends to a group's owner.
func SamplePrefixHashes(hashes []uint64) []uint64 {
	var out []uint64
	for n := 1; n <= len(hashes); n *= 2 {
		out = append(out, hashes[n-1])
		if between := n + n/2; between > n && between <= len(hashes) {
			out = append(out, hashes[between-1])
		}
	}
	return out
}

// bytesPerToken is the average number of bytes per token that is assumed for prompts.
const bytesPerToken = 4

// EstimateTokens returns an estimate of the number of tokens in an input text.
func EstimateTokens(input string) int {
	return (len(input) + bytesPerToken - 1) / bytesPerToken
}
