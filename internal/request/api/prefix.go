package api

import "github.com/cespare/xxhash/v2"

// PrefixBlockChars is the size of a prefix block in bytes of input.
const PrefixBlockChars = 256

// PrefixHashes returns a chained hash for each whole block of the input, first
// block first: hash i identifies the input up to the end of block i. At most
// limit hashes are returned.
func PrefixHashes(input string, limit int) []uint64 {
	n := min(len(input)/PrefixBlockChars, limit)
	hashes := make([]uint64, 0, n)
	d := xxhash.New()
	for i := range n {
		_, _ = d.WriteString(input[i*PrefixBlockChars : (i+1)*PrefixBlockChars])
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

// bytesPerToken is the average that the project assumes for prompt lengths.
const bytesPerToken = 4

// EstimateTokens estimates the number of tokens of an input text.
func EstimateTokens(input string) int {
	return (len(input) + bytesPerToken - 1) / bytesPerToken
}
