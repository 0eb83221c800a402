// Package survival estimates how many more tokens a generation will produce from
// the lengths of earlier generations of the same entry.
package survival

import (
	"math"
	"math/bits"
)

const (
	// MaxTokens is the upper edge of the last bucket in tokens.
	MaxTokens = 32768
	// bucketsPerOctave is the number of buckets for each doubling of the length.
	// With four, a bucket is at most a quarter as wide as its lower edge.
	bucketsPerOctave = 4
	bucketCount      = 56
	// decayPerEnd scales the old counts whenever a generation ends, which gives an
	// effective memory of about 500 ended generations.
	decayPerEnd = 0.998
	// priorWeight is the weight of the prior as a number of generations.
	priorWeight = 8.0
	// priorMinWeight is the minimum weight of the prior in each bucket, so that it
	// still counts in buckets that hardly any sequence reaches.
	priorMinWeight = 0.25
	// defaultExpectedTokens is the mean used if the catalogue has no expected length.
	defaultExpectedTokens = 240
	// maxHazard is below 1 so that every length has a positive probability.
	maxHazard = 0.999
	// rebuildInterval is the number of ended generations after which the curve is
	// recomputed, to limit the cost of learning. Until the curve has settled, during
	// the first rebuildInterval*rebuildInterval ends, each end recomputes it.
	rebuildInterval = 8
)

// Estimator learns the survival curve of the output lengths of one entry. The
// hazard of a bucket is the number of sequences that ended in it divided by the
// number at risk, as in the Kaplan-Meier estimator. A sequence that is still running
// or was cut off counts as at risk only for the part of the bucket it has covered.
// The curve is linear within a bucket. An Estimator is not safe for concurrent use.
type Estimator struct {
	atRisk, ended           [bucketCount]float64
	priorAtRisk, priorEnded [bucketCount]float64
	// survive[i] is the probability of reaching the lower edge of bucket i.
	survive [bucketCount + 1]float64
	// area[i] is the integral of the curve above the lower edge of bucket i.
	area [bucketCount + 1]float64
	// tailRate is the hazard per token beyond the last bucket.
	tailRate         float64
	endCount         int
	endsSinceRebuild int
}

// New returns an estimator whose prior is a heavy-tailed (log-logistic, shape 2)
// distribution with expectedTokens as its mean.
func New(expectedTokens int) *Estimator {
	if expectedTokens <= 0 {
		expectedTokens = defaultExpectedTokens
	}
	e := &Estimator{}
	scale := float64(expectedTokens) * 2 / math.Pi
	survive := func(x float64) float64 { return 1 / (1 + (x/scale)*(x/scale)) }
	for i := range bucketCount {
		low, high := survive(lowerEdge(i)), survive(lowerEdge(i+1))
		weight := math.Max(priorWeight*low, priorMinWeight)
		e.priorAtRisk[i] = weight
		e.priorEnded[i] = weight * (1 - high/low)
	}
	e.rebuild()
	return e
}

// lowerEdge returns the lower edge of bucket i in tokens: 0, 1, 2, ... 8, 10, 12.
func lowerEdge(i int) float64 {
	if i < bucketsPerOctave {
		return float64(i)
	}
	octave := i/bucketsPerOctave - 1
	return float64((bucketsPerOctave + i%bucketsPerOctave) << octave)
}

// bucketOf returns the index of the bucket that contains a length of x tokens.
func bucketOf(x int) int {
	if x < bucketsPerOctave {
		return max(x, 0)
	}
	octave := bits.Len(uint(x)) - 3
	return min(bucketsPerOctave*(octave+1)+(x>>octave)-bucketsPerOctave, bucketCount-1)
}

// Expose records that a generation grew from one length to another, in tokens,
// without ending.
func (e *Estimator) Expose(from, to int) {
	e.expose(float64(from), float64(min(to, MaxTokens)))
}

func (e *Estimator) expose(from, to float64) {
	if to <= from {
		return
	}
	for i := bucketOf(int(from)); i < bucketCount; i++ {
		low, high := lowerEdge(i), lowerEdge(i+1)
		if low >= to {
			return
		}
		e.atRisk[i] += (math.Min(to, high) - math.Max(from, low)) / (high - low)
	}
}

// End records that a generation ended at this length in tokens. The growth up to
// this length must have been recorded with Expose.
func (e *Estimator) End(length int) {
	for i := range bucketCount {
		e.atRisk[i] *= decayPerEnd
		e.ended[i] *= decayPerEnd
	}
	length = min(max(length, 1), MaxTokens)
	last := bucketOf(length - 1)
	// An ended sequence counts as at risk for the whole of its last bucket.
	e.expose(float64(length), lowerEdge(last+1))
	e.ended[last]++
	e.endCount++
	e.endsSinceRebuild++
	if e.endsSinceRebuild >= rebuildInterval || e.endCount < rebuildInterval*rebuildInterval {
		e.rebuild()
	}
}

// Observe records a whole generation in one call. If it was not completed, its
// length counts as a lower bound (a censored observation).
func (e *Estimator) Observe(length int, completed bool) {
	e.Expose(0, length)
	if completed {
		e.End(length)
	}
}

// rebuild recomputes the survival curve from the counts.
func (e *Estimator) rebuild() {
	e.endsSinceRebuild = 0
	e.survive[0] = 1
	for i := range bucketCount {
		e.survive[i+1] = e.survive[i] * (1 - e.hazard(i))
	}
	last := bucketCount - 1
	e.tailRate = -math.Log1p(-e.hazard(last)) / (lowerEdge(bucketCount) - lowerEdge(last))
	e.area[bucketCount] = e.survive[bucketCount] / e.tailRate
	for i := last; i >= 0; i-- {
		width := lowerEdge(i+1) - lowerEdge(i)
		e.area[i] = e.area[i+1] + width*(e.survive[i]+e.survive[i+1])/2
	}
}

// hazard returns the probability of ending within bucket i.
func (e *Estimator) hazard(i int) float64 {
	h := (e.ended[i] + e.priorEnded[i]) / (e.atRisk[i] + e.priorAtRisk[i])
	return min(h, maxHazard)
}

// at returns the probability that a generation reaches x tokens.
func (e *Estimator) at(x int) float64 {
	if x >= MaxTokens {
		return e.survive[bucketCount] * math.Exp(-e.tailRate*float64(x-MaxTokens))
	}
	i := bucketOf(x)
	low, high := lowerEdge(i), lowerEdge(i+1)
	return e.survive[i] + (e.survive[i+1]-e.survive[i])*(float64(x)-low)/(high-low)
}

// Survive returns the probability that a generation which has produced g tokens
// grows beyond g+h tokens.
func (e *Estimator) Survive(g, h int) float64 {
	if h <= 0 {
		return 1
	}
	if g >= MaxTokens {
		return math.Exp(-e.tailRate * float64(h))
	}
	return min(1, e.at(g+h)/e.at(g))
}

// Mean returns the expected number of further tokens of a generation which has
// produced g tokens.
func (e *Estimator) Mean(g int) float64 {
	if g >= MaxTokens {
		return 1 / e.tailRate
	}
	i := bucketOf(g)
	here := e.at(g)
	rest := (lowerEdge(i+1) - float64(g)) * (here + e.survive[i+1]) / 2
	return (rest + e.area[i+1]) / here
}
