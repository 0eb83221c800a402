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
	// rebuildEvery bounds the cost of learning: the curve is recomputed after
	// this many ends once it has settled.
	rebuildEvery = 8
)

// Estimator is the survival curve of the output lengths of one entry. It uses
// a constant hazard in each bucket: ended sequences over sequences at risk,
// where a sequence that is still running or was cut off counts as at risk only
// for the tokens it has generated. It is not safe for concurrent use.
type Estimator struct {
	atRisk, ended           [buckets]float64
	priorAtRisk, priorEnded [buckets]float64
	// cumulative[i] is the cumulative hazard at the lower edge of bucket i.
	cumulative [buckets + 1]float64
	// remaining[i] is the mean number of tokens beyond the lower edge of bucket i.
	remaining [buckets + 1]float64
	ends      int
	stale     int
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
		e.priorEnded[i] = weight * math.Log(low/high)
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
	// The last token counts as half at risk, because the end falls within it.
	last := bucketOf(max(length, 1) - 1)
	for i := range buckets {
		e.atRisk[i] *= forgetting
		e.ended[i] *= forgetting
	}
	width := lowerEdge(last+1) - lowerEdge(last)
	e.atRisk[last] = math.Max(0, e.atRisk[last]-0.5/width)
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
	for i := range buckets {
		e.cumulative[i+1] = e.cumulative[i] + e.hazard(i)
	}
	last := buckets - 1
	e.remaining[buckets] = (lowerEdge(buckets) - lowerEdge(last)) / e.hazard(last)
	for i := last; i >= 0; i-- {
		width := lowerEdge(i+1) - lowerEdge(i)
		e.remaining[i] = within(e.hazard(i)/width, width, e.remaining[i+1])
	}
}

// hazard returns the integrated hazard over bucket i.
func (e *Estimator) hazard(i int) float64 {
	return (e.ended[i] + e.priorEnded[i]) / (e.atRisk[i] + e.priorAtRisk[i])
}

// within returns the mean remaining tokens when the hazard per token is rate
// for width tokens and the mean is after at their end.
func within(rate, width, after float64) float64 {
	s := math.Exp(-rate * width)
	return (1-s)/rate + s*after
}

// cumulativeAt returns the cumulative hazard at x tokens.
func (e *Estimator) cumulativeAt(x int) float64 {
	i := bucketOf(x)
	low, high := lowerEdge(i), lowerEdge(i+1)
	return e.cumulative[i] + (e.cumulative[i+1]-e.cumulative[i])*(float64(x)-low)/(high-low)
}

// Survive returns the probability that a generation with g tokens is longer
// than g+h tokens.
func (e *Estimator) Survive(g, h int) float64 {
	if h <= 0 {
		return 1
	}
	return math.Exp(e.cumulativeAt(g) - e.cumulativeAt(g+h))
}

// Mean returns the expected number of further tokens of a generation with g tokens.
func (e *Estimator) Mean(g int) float64 {
	i := bucketOf(g)
	if g >= MaxTokens {
		return e.remaining[buckets]
	}
	low, high := lowerEdge(i), lowerEdge(i+1)
	rate := (e.cumulative[i+1] - e.cumulative[i]) / (high - low)
	return within(rate, high-float64(g), e.remaining[i+1])
}
