package loadgen

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"

	"persimmonwing/internal/process/settings"
)

// Length is a distribution of lengths in tokens: either the constant Fixed, or a
// log-normal distribution with a median and Sigma, the standard deviation of the
// logarithm, whose samples are truncated at Cap.
type Length struct {
	Fixed  int     `yaml:"fixed"`
	Median float64 `yaml:"median"`
	Sigma  float64 `yaml:"sigma"`
	Cap    int     `yaml:"cap"`
}

func (l Length) validate(key string) error {
	if l.Fixed != 0 {
		err := settings.CheckRange(key+".fixed", l.Fixed, 1, maxTokens)
		if l.Median != 0 || l.Sigma != 0 || l.Cap != 0 {
			err = errors.Join(err, fmt.Errorf("%s.fixed: %d is not allowed beside median, sigma and cap; set either fixed or the other three", key, l.Fixed))
		}
		return err
	}
	return errors.Join(
		settings.CheckRange(key+".median", l.Median, 1, maxTokens),
		settings.CheckRange(key+".sigma", l.Sigma, 0, maxSigma),
		settings.CheckRange(key+".cap", l.Cap, 1, maxTokens),
	)
}

// sample draws a length. It consumes the same number of random values for either
// form, so that the form does not change the values drawn after it.
func (l Length) sample(r *rand.Rand) int {
	n := r.NormFloat64()
	if l.Fixed > 0 {
		return l.Fixed
	}
	return l.truncate(l.Median * math.Exp(l.Sigma*n))
}

// Mean returns the mean length.
func (l Length) Mean() float64 {
	return l.integrate(func(n float64) float64 { return n })
}

// WeightedMean returns the mean length weighted by length: that of the generation to
// which a randomly chosen token belongs.
func (l Length) WeightedMean() float64 {
	return l.integrate(func(n float64) float64 { return n * n }) / l.Mean()
}

// integrate returns the mean of f over the distribution, by the midpoint rule over
// quantiles.
func (l Length) integrate(f func(float64) float64) float64 {
	if l.Fixed > 0 {
		return f(float64(l.Fixed))
	}
	const quantiles = 2000
	sum := 0.0
	for i := range quantiles {
		z := math.Sqrt2 * math.Erfinv(2*(float64(i)+0.5)/quantiles-1)
		sum += f(float64(l.truncate(l.Median * math.Exp(l.Sigma*z))))
	}
	return sum / quantiles
}

// residual draws the remaining length of a generation that is observed at a random
// time: a uniform fraction of a length drawn with a probability proportional to it.
func (l Length) residual(r *rand.Rand) int {
	n, u := r.NormFloat64(), r.Float64()
	full := float64(l.Fixed)
	if l.Fixed == 0 {
		biased := l.Median * math.Exp(l.Sigma*l.Sigma)
		full = float64(l.truncate(biased * math.Exp(l.Sigma*n)))
	}
	return max(1, int(u*full))
}

func (l Length) truncate(tokens float64) int {
	return max(1, int(min(tokens, float64(l.Cap))))
}
