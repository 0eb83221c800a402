package engine

import (
	"math"
	"math/rand/v2"
	"regexp"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// The distribution of output lengths without a #tokens= marker: log-normal,
// which gives the heavy tail of real outputs.
const (
	medianOutputTokens = 120
	outputSigma        = 1.2
	maxOutputTokens    = 30_000
)

var (
	tokensMarker = regexp.MustCompile(`#tokens=(\d{1,9})`)
	idMarker     = regexp.MustCompile(`#id=(\S+)`)
)

// outputLength returns the natural number of output tokens of an input.
func outputLength(seed uint64, input string) int {
	if m := tokensMarker.FindStringSubmatch(input); m != nil {
		n, err := strconv.Atoi(m[1])
		if err == nil {
			return max(1, n)
		}
	}
	r := rand.New(rand.NewPCG(seed, xxhash.Sum64String(input)))
	n := int(medianOutputTokens * math.Exp(outputSigma*r.NormFloat64()))
	return min(max(1, n), maxOutputTokens)
}

// marker returns the value of the input's #id= marker, or "".
func marker(input string) string {
	if m := idMarker.FindStringSubmatch(input); m != nil {
		return m[1]
	}
	return ""
}
