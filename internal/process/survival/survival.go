// Package survival estimates how many more tokens a generation will produce,
// from the lengths of earlier generations of the same entry.
package survival

import (
	"math"
	"math/bits"
)

const (
	// MaxTokens is the upper edge of the last bucket in tokens.
	MaxTokens = 32768
	// Four buckets to an octave keep the width of a bucket under a quarter of
	// its lower edge.
	subBuckets = 4
	buckets    = 56
	// forgetting scales old counts at each end; about 500 ends are remembered.
	forgetting = 0.998
	// priorSequences is the number of generations that the prior counts for.
	priorSequences = 8.0
	// priorTail keeps the prior in force in buckets that hardly any sequence reaches.
	priorTail = 0.25
	// defaultExpected is used where the catalogue states no expected length.
	defaultExpected = 240
	// maxHazard keeps a positive probability of reaching every length.
	maxHazard = 0.999
	// rebuildEvery bounds the cost of learning: the curve is recomputed after
	// this many ends once it has settled.
	rebuildEvery = 8
)

// Estimator is the survival curve of the output lengths of one entry. The
// hazard of a bucket is the number of sequences that ended in it over those at
// risk, as in the Kaplan-Meier estimator. A sequence that is still running or
// was cut off counts as at risk only for the part of the bucket it has covered.
// The curve is linear within a bucket. It is not safe for concurrent use.
type Estimator struct {
	atRisk, ended           [buckets]float64
	priorAtRisk, priorEnded [buckets]float64
	// survive[i] is the probability of reaching the lower edge of bucket i.
	survive [buckets + 1]float64
	// area[i] is the integral of the curve above the lower edge of bucket i.
	area [buckets + 1]float64
	// tailRate is the hazard per token beyond the last bucket.
	tailRate float64
	ends     int
	stale    int
}

// New returns an estimator whose prior is a heavy-tailed (log-logistic, shape 2)
// distribution with this mean number of tokens.
func New(expectedTokens int) *Estimator {
	if expectedTokens <= 0 {
		expectedTokens = defaultExpected
	}
	e := &Estimator{}
	scale := float64(expectedTokens) * 2 / math.Pi
	survive := func(x float64) float64 { return 1 / (1 + (x/scale)*(x/scale)) }
	for i := range buckets {
		low, high := survive(lowerEdge(i)), survive(lowerEdge(i+1))
		weight := math.Max(priorSequences*low, priorTail)
		e.priorAtRisk[i] = weight
		e.priorEnded[i] = weight * (1 - high/low)
	}
	e.rebuild()
	return e
}

// lowerEdge returns the lower edge in tokens of bucket i: 0, 1, 2, ... 8, 10, 12.
func lowerEdge(i int) float64 {
	if i < subBuckets {
		return float64(i)
	}
	octave := i/subBuckets - 1
	return float64((subBuckets + i%subBuckets) << octave)
}

// bucketOf returns the bucket that holds x tokens.
func bucketOf(x int) int {
	if x < subBuckets {
		return max(x, 0)
	}
	octave := bits.Len(uint(x)) - 3
	return min(subBuckets*(octave+1)+(x>>octave)-subBuckets, buckets-1)
}

// Expose records that a generation went from one length to another without ending.
func (e *Estimator) Expose(from, to int) {
	e.expose(float64(from), float64(min(to, MaxTokens)))
}

func (e *Estimator) expose(from, to float64) {
	if to <= from {
		return
	}
	for i := bucketOf(int(from)); i < buckets; i++ {
		low, high := lowerEdge(i), lowerEdge(i+1)
		if low >= to {
			return
		}
		e.atRisk[i] += (math.Min(to, high) - math.Max(from, low)) / (high - low)
	}
}

// End records that a generation that was exposed up to this length ended there.
func (e *Estimator) End(length int) {
	for i := range buckets {
		e.atRisk[i] *= forgetting
		e.ended[i] *= forgetting
	}
	length = min(max(length, 1), MaxTokens)
	last := bucketOf(length - 1)
	// An ended sequence was at risk for its whole last bucket.
	e.expose(float64(length), lowerEdge(last+1))
	e.ended[last]++
	e.ends++
	e.stale++
	if e.stale >= rebuildEvery || e.ends < rebuildEvery*rebuildEvery {
		e.rebuild()
	}
}

// Observe records a generation at once. When it is not completed, its true
// length is known only to be longer.
func (e *Estimator) Observe(length int, completed bool) {
	e.Expose(0, length)
	if completed {
		e.End(length)
	}
}

// rebuild recomputes the curve from the counts.
func (e *Estimator) rebuild() {
	e.stale = 0
	e.survive[0] = 1
	for i := range buckets {
		e.survive[i+1] = e.survive[i] * (1 - e.hazard(i))
	}
	last := buckets - 1
	e.tailRate = -math.Log1p(-e.hazard(last)) / (lowerEdge(buckets) - lowerEdge(last))
	e.area[buckets] = e.survive[buckets] / e.tailRate
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

// at returns the probability of reaching x tokens.
func (e *Estimator) at(x int) float64 {
	if x >= MaxTokens {
		return e.survive[buckets] * math.Exp(-e.tailRate*float64(x-MaxTokens))
	}
	i := bucketOf(x)
	low, high := lowerEdge(i), lowerEdge(i+1)
	return e.survive[i] + (e.survive[i+1]-e.survive[i])*(float64(x)-low)/(high-low)
}

// Survive returns the probability that a generation with g tokens is longer
// than g+h tokens.
func (e *Estimator) Survive(g, h int) float64 {
	if h <= 0 {
		return 1
	}
	if g >= MaxTokens {
		return math.Exp(-e.tailRate * float64(h))
	}
	return min(1, e.at(g+h)/e.at(g))
}

// Mean returns the expected number of further tokens of a generation with g tokens.
func (e *Estimator) Mean(g int) float64 {
	if g >= MaxTokens {
		return 1 / e.tailRate
	}
	i := bucketOf(g)
	here := e.at(g)
	rest := (lowerEdge(i+1) - float64(g)) * (here + e.survive[i+1]) / 2
	return (rest + e.area[i+1]) / here
}
