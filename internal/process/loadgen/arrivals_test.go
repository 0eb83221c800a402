package loadgen

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"persimmonwing/internal/version/catalogue"
)

func collect(s *Stream, seed uint64, until time.Duration) []arrival {
	source := newArrivals(s, 5, seed)
	var out []arrival
	for {
		a, ok := source.next()
		if !ok || a.at >= until {
			return out
		}
		out = append(out, a)
	}
}

func testStream(rate float64) *Stream {
	return &Stream{
		Name:         "s",
		Kind:         catalogue.Generation,
		Rate:         rate,
		Prompt:       Length{Fixed: 8},
		Output:       Length{Median: 100, Sigma: 1, Cap: 2000},
		SharedPrefix: 0.5,
	}
}

// Guards against a load that differs between two runs with the same seed: policies
// could not be compared.
func TestSeedRepeatsArrivals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := testStream(rapid.Float64Range(0, 200).Draw(t, "rate"))
		s.InitialGap = time.Duration(rapid.IntRange(0, 50).Draw(t, "gap")) * time.Millisecond
		seed := rapid.Uint64().Draw(t, "seed")
		a, b := collect(s, seed, 3*time.Second), collect(s, seed, 3*time.Second)
		if !slices.Equal(a, b) {
			t.Fatal("the same seed gave different arrivals")
		}
		if !slices.IsSortedFunc(a, func(x, y arrival) int { return int(x.at - y.at) }) {
			t.Fatal("arrivals are not in order of time")
		}
	})
}

// Guards against arrivals that are not a Poisson process: more regular arrivals
// would hide queueing. The counts of a Poisson process have equal mean and variance.
func TestArrivalsArePoisson(t *testing.T) {
	is := is.New(t)
	const rate, seconds = 50, 400
	counts := make([]float64, seconds)
	for _, a := range collect(testStream(rate), 7, seconds*time.Second) {
		counts[int(a.at.Seconds())]++
	}
	mean, variance := moments(counts)
	is.True(math.Abs(mean-rate) < 4*math.Sqrt(rate/float64(seconds)))
	is.True(math.Abs(variance/mean-1) < 4*math.Sqrt(2/float64(seconds)))
}

func moments(values []float64) (mean, variance float64) {
	for _, v := range values {
		mean += v / float64(len(values))
	}
	for _, v := range values {
		variance += (v - mean) * (v - mean) / float64(len(values)-1)
	}
	return mean, variance
}

// Guards against phases that apply at the wrong time or with the wrong factor.
func TestPhasesMultiplyTheRate(t *testing.T) {
	is := is.New(t)
	s := testStream(100)
	s.Phases = []Phase{{0, 10 * time.Second, 0}, {10 * time.Second, 20 * time.Second, 4}}
	var calm, flood, after int
	for _, a := range collect(s, 3, 30*time.Second) {
		switch {
		case a.at < 10*time.Second:
			calm++
		case a.at < 20*time.Second:
			flood++
		default:
			after++
		}
	}
	is.Equal(calm, 0)
	is.True(math.Abs(float64(flood)-4000) < 4*math.Sqrt(4000))
	is.True(math.Abs(float64(after)-1000) < 4*math.Sqrt(1000))
}

// Guards against a start that differs from the steady state: running generations
// are long more often than new ones, so the initial ones have to be as well.
func TestInitialGenerationsFollowTheSteadyState(t *testing.T) {
	is := is.New(t)
	s := testStream(500)
	s.InitialGap = 20 * time.Millisecond
	a := newArrivals(s, 1, 5)
	is.Equal(len(a.initial), int(500*s.Output.Mean()*0.02))
	sum := 0.0
	for _, first := range a.initial {
		sum += float64(first.output)
	}
	want := s.Output.WeightedMean() / 2
	is.True(math.Abs(sum/float64(len(a.initial))/want-1) < 0.1)
}
