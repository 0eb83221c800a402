package loadgen

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonwing/internal/version/catalogue"
)

// arrival is one request of a stream. Its random values are drawn in a fixed
// order, so that a seed produces the same requests however fast the system responds.
// Lengths are in tokens.
type arrival struct {
	// at is the intended time since the start of the run.
	at     time.Duration
	number int
	prompt int
	output int
	// prefix is the index of the common prefix, or -1 for a prompt without one.
	prefix int
	resend bool
}

// arrivals generates the arrivals of one stream as a Poisson process whose rate
// follows the stream's phases. The time now is in seconds since the start of the run,
// and prefixes is the number of common prefixes.
type arrivals struct {
	stream   *Stream
	prefixes int
	random   *rand.Rand
	now      float64
	number   int
	// initial contains those generations in progress at the start of the run that have
	// not been sent yet. upcoming is the next arrival of the Poisson process; it is not
	// valid if exhausted is set.
	initial   []arrival
	upcoming  arrival
	exhausted bool
}

// initialSpread is the time over which the initial generations are sent, so
// that the engines do not prefill all of them at once.
const initialSpread = 2 * time.Second

func newArrivals(s *Stream, prefixes int, seed uint64) *arrivals {
	a := &arrivals{
		stream:   s,
		prefixes: prefixes,
		random:   rand.New(rand.NewPCG(seed, xxhash.Sum64String(s.Name))),
	}
	if s.InitialGap > 0 && s.Kind == catalogue.Generation {
		a.drawInitial(int(s.Rate * s.Output.Mean() * s.InitialGap.Seconds()))
	}
	a.drawNext()
	return a
}

func (a *arrivals) drawInitial(count int) {
	for i := range count {
		first := a.draw(time.Duration(i) * initialSpread / time.Duration(count))
		first.output = a.stream.Output.residual(a.random)
		a.initial = append(a.initial, first)
	}
}

// drawNext sets upcoming to the next arrival of the Poisson process, or sets
// exhausted if none is left within the longest run.
func (a *arrivals) drawNext() {
	at, ok := a.advance(a.random.ExpFloat64())
	a.exhausted = !ok
	if ok {
		a.upcoming = a.draw(at)
	}
}

// next returns the next arrival in order of time, or false if none is left within
// the longest run.
func (a *arrivals) next() (arrival, bool) {
	if len(a.initial) > 0 && (a.exhausted || a.initial[0].at <= a.upcoming.at) {
		first := a.initial[0]
		a.initial = a.initial[1:]
		return first, true
	}
	if a.exhausted {
		return arrival{}, false
	}
	next := a.upcoming
	a.drawNext()
	return next, true
}

func (a *arrivals) draw(at time.Duration) arrival {
	next := arrival{
		at:     at,
		number: a.number,
		prompt: a.stream.Prompt.sample(a.random),
		output: a.stream.Output.sample(a.random),
		prefix: -1,
	}
	a.number++
	shared := a.random.Float64() < a.stream.SharedPrefix
	if n := a.random.IntN(max(1, a.prefixes)); shared {
		next.prefix = n
	}
	next.resend = a.random.Float64() < a.stream.Resend
	return next
}

// advance moves now forward until the integral of the rate has grown by amount,
// and returns the new time. It returns false if that lies beyond the longest run.
func (a *arrivals) advance(amount float64) (time.Duration, bool) {
	for {
		rate, until, bounded := a.rateAt(a.now)
		if remaining := rate * (until - a.now); !bounded || amount < remaining {
			if rate <= 0 {
				return 0, false
			}
			a.now += amount / rate
			// Times beyond the longest run could overflow a time.Duration.
			return time.Duration(a.now * float64(time.Second)), a.now < maxRunLength.Seconds()
		} else {
			amount -= remaining
			a.now = until
		}
	}
}

// rateAt returns the rate at t seconds and, if bounded, the time in seconds until
// which it applies.
func (a *arrivals) rateAt(t float64) (rate, until float64, bounded bool) {
	for _, p := range a.stream.Phases {
		if start := p.Start.Seconds(); t < start {
			return a.stream.Rate, start, true
		}
		if end := p.End.Seconds(); t < end {
			return a.stream.Rate * p.Factor, end, true
		}
	}
	return a.stream.Rate, 0, false
}
