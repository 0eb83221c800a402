package survival

import (
	"flag"
	"math"
	"math/rand"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// A fixed seed makes the runs reproducible; -rapid.seed selects another one.
func init() { _ = flag.Set("rapid.seed", "1") }

// Guards against buckets that overlap, leave gaps or end before MaxTokens.
func TestBucketsCoverAllLengths(t *testing.T) {
	is := is.New(t)
	is.Equal(lowerEdge(bucketCount), float64(MaxTokens))
	for x := range MaxTokens {
		i := bucketOf(x)
		if float64(x) < lowerEdge(i) || float64(x) >= lowerEdge(i+1) {
			t.Fatalf("%d tokens are outside bucket %d", x, i)
		}
	}
}

// Guards against probabilities that are outside 0 to 1 or rise with the horizon, and
// against means that are not positive and finite, for arbitrary observations.
func TestSurviveIsAProbability(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New(rapid.IntRange(0, 5000).Draw(t, "expected"))
		for range rapid.IntRange(0, 200).Draw(t, "observations") {
			e.Observe(rapid.IntRange(0, 50_000).Draw(t, "length"), rapid.Bool().Draw(t, "completed"))
		}
		g := rapid.IntRange(0, 2_000_000).Draw(t, "generated")
		last := 1.0
		for _, h := range []int{0, 1, 64, 256, 1024, 4096, 100_000} {
			p := e.Survive(g, h)
			if math.IsNaN(p) || p < 0 || p > last {
				t.Fatalf("Survive(%d, %d) = %v after %v", g, h, p, last)
			}
			last = p
		}
		if m := e.Mean(g); math.IsNaN(m) || math.IsInf(m, 0) || m <= 0 {
			t.Fatalf("Mean(%d) = %v", g, m)
		}
	})
}

// Guards against a biased curve: the learned values must match the true
// distribution, even if many generations are cut off.
func TestLearnsExponentialLengths(t *testing.T) {
	for name, limit := range map[string]int{"complete": MaxTokens, "cut off at 400": 400} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rnd := rand.New(rand.NewSource(1))
			e := New(2000)
			for range 4000 {
				length := int(rnd.ExpFloat64()*300) + 1
				e.Observe(min(length, limit), length <= limit)
			}
			is.True(math.Abs(e.Survive(0, 300)-math.Exp(-1)) < 0.06)
			is.True(math.Abs(e.Survive(200, 150)-math.Exp(-0.5)) < 0.08)
		})
	}
}

// Guards against an estimate that does not adapt when the lengths change.
func TestForgetsOldLengths(t *testing.T) {
	is := is.New(t)
	e := New(240)
	for range 3000 {
		e.Observe(2000, true)
	}
	is.True(math.Abs(e.Mean(0)-2000) < 200)
	for range 3000 {
		e.Observe(50, true)
	}
	is.True(e.Mean(0) < 100)
}

// Guards against a prior far from the catalogue's expected length.
func TestPriorMatchesExpectedLength(t *testing.T) {
	for _, expected := range []int{5, 50, 240, 2000} {
		mean := New(expected).Mean(0)
		if mean < 0.75*float64(expected) || mean > 1.35*float64(expected) {
			t.Errorf("prior mean of %d tokens is %.0f", expected, mean)
		}
	}
}

// Guards against learning and estimating that allocate or take more than O(bucketCount)
// time.
func TestEstimatorDoesNotAllocate(t *testing.T) {
	e := New(240)
	allocs := testing.AllocsPerRun(100, func() {
		e.Observe(500, true)
		_ = e.Survive(10, 256) + e.Mean(10)
	})
	is.New(t).Equal(allocs, 0.0)
}
