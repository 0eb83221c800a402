package engine

import (
	"math"
	"math/rand/v2"
	"regexp"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Output lengths of inputs without a #tokens= marker follow a log-normal
// distribution, which has the heavy tail of real output lengths.
const (
	medianOutputTokens = 120
	outputSigma        = 1.2
	maxOutputTokens    = 30_000
)

var (
	tokensMarker = regexp.MustCompile(`#tokens=(\d{1,9})`)
	idMarker     = regexp.MustCompile(`#id=(\S+)`)
)

// outputLength returns the number of output tokens that the engine generates for
// input if no limit ends the generation earlier. It is the value of the #tokens=
// marker, or else a length that depends on seed and input only.
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

// parseIDMarker returns the value of the #id= marker in input, or "" if there is
// none.
func parseIDMarker(input string) string {
	if m := idMarker.FindStringSubmatch(input); m != nil {
		return m[1]
	}
	return ""
}
