package limits

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"persimmonwing/internal/version/catalogue"
)

// site is one gateway of a test: it sends rate requests a second, each of which
// generates tokens and lasts for a time.
type site struct {
	rate     float64
	tokens   int
	lasts    time.Duration
	limiter  *Limiter
	due      float64
	running  []ending
	sent     int
	admitted int
}

type ending struct {
	at    time.Time
	lease *Lease
}

func (s *site) tick(now time.Time, w *catalogue.Workspace, e *catalogue.Entry, counted bool) {
	for len(s.running) > 0 && !s.running[0].at.After(now) {
		s.running[0].lease.Tokens(now, s.tokens)
		s.running[0].lease.Release()
		s.running = s.running[1:]
	}
	for s.due += s.rate / 100; s.due >= 1; s.due-- {
		lease, err := s.limiter.Acquire(now, w, e)
		if counted {
			s.sent++
		}
		if err != nil {
			continue
		}
		if counted {
			s.admitted++
		}
		s.running = append(s.running, ending{now.Add(s.lasts), lease})
	}
}

// run plays 60 s in steps of 10 ms and counts the last 30. Without home nobody
// divides the limits.
func run(sites []*site, limits catalogue.Limits, home bool) (sent, admitted, mostRunning int) {
	w, e := scope(limits)
	d := NewDivision()
	for _, s := range sites {
		s.limiter = New()
		s.limiter.SetShare(1 / float64(len(sites)))
	}
	for step := range 6000 {
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		running := 0
		for i, s := range sites {
			s.tick(now, w, e, step >= 3000)
			running += len(s.running)
			every := int(period(len(sites)) / (10 * time.Millisecond))
			if home && step%every == i%every {
				until := now.Add(lifePeriods * period(len(sites)))
				s.limiter.SetShares(until, d.Divide(now, until, fmt.Sprintf("g%03d", i), s.limiter.Demands(now)))
			}
		}
		if step >= 3000 {
			mostRunning = max(mostRunning, running)
		}
	}
	for _, s := range sites {
		sent += s.sent
		admitted += s.admitted
	}
	return sent, admitted, mostRunning
}

func sitesOf(n int, rate func(i int) float64, tokens int, lasts time.Duration) []*site {
	out := make([]*site, n)
	for i := range out {
		out[i] = &site{rate: rate(i), tokens: tokens, lasts: lasts}
	}
	return out
}

func atFirst(rate float64) func(int) float64 {
	return func(i int) float64 {
		if i == 0 {
			return rate
		}
		return 0
	}
}

func each(rate float64) func(int) float64 { return func(int) float64 { return rate } }

// Guards against refusing a workspace below its limit because its requests reach
// few of the gateways, and against admitting far more than the limit because each
// of many gateways rounds its share up.
func TestLimitsHoldAcrossGateways(t *testing.T) {
	for name, c := range map[string]struct {
		gateways int
		rate     func(int) float64
		tokens   int
		lasts    time.Duration
		limits   catalogue.Limits
		// least and most bound the admitted requests a second, and running those at
		// once; 0 means no bound.
		least, most float64
		running     int
	}{
		"60% of the rate at one of 7":     {7, atFirst(60), 0, 0, catalogue.Limits{RequestsPerSecond: 100}, 59, 60, 0},
		"60% of the rate at one of 400":   {400, atFirst(60), 0, 0, catalogue.Limits{RequestsPerSecond: 100}, 59, 60, 0},
		"60% of the tokens at one of 400": {400, atFirst(6), 100, time.Second, catalogue.Limits{TokensPerSecond: 1000}, 5.9, 6, 0},
		"3 times the rate at all":         {7, each(43), 0, 0, catalogue.Limits{RequestsPerSecond: 100}, 90, 110, 0},
		"3 times the rate at one":         {7, atFirst(300), 0, 0, catalogue.Limits{RequestsPerSecond: 100}, 90, 110, 0},
		"below the limit at all of 400":   {400, each(0.2), 0, 0, catalogue.Limits{RequestsPerSecond: 100}, 79, 80, 0},
		"half of the slots at one of 400": {400, atFirst(5), 0, time.Second, catalogue.Limits{Concurrent: 10}, 4.9, 5, 10},
		"5 times the slots at 50":         {50, each(1), 0, time.Second, catalogue.Limits{Concurrent: 10}, 8, 12, 12},
		// The other one does not report, so its requests come on top of the limit.
		"a flood at one, few at the other": {2, func(i int) float64 { return []float64{500, 20}[i] }, 0, 0, catalogue.Limits{RequestsPerSecond: 100}, 90, 120, 0},
		"few requests at each of many":     {400, each(0.04), 0, 0, catalogue.Limits{RequestsPerSecond: 20}, 13, 14, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, without, _ := run(sitesOf(c.gateways, c.rate, c.tokens, c.lasts), c.limits, false)
			sites := sitesOf(c.gateways, c.rate, c.tokens, c.lasts)
			sent, admitted, running := run(sites, c.limits, true)
			t.Logf("sent %d, admitted %d (equal shares only: %d), at most %d running", sent, admitted, without, running)
			is.True(float64(admitted) >= 30*c.least-1)
			is.True(float64(admitted) <= 30*c.most+1)
			is.True(c.running == 0 || running <= c.running)
			if len(sites) == 2 {
				is.True(sites[1].admitted >= sites[1].sent*99/100) // the flood takes nothing from it
			}
		})
	}
}

// Guards against shares that add up to more or less than the limit, against less
// than a small demand gets under equal shares, and against negative shares.
func TestDivisionAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := NewDivision()
		n := rapid.IntRange(1, 60).Draw(t, "gateways")
		limit := rapid.IntRange(0, 100).Draw(t, "limit")
		demands := make([]float64, n)
		var shares []Share
		for round := range 2 { // the second round knows all demands
			shares = nil
			for i := range n {
				if round == 0 {
					demands[i] = rapid.Float64Range(0, 3).Draw(t, "demand")
				}
				shares = append(shares, d.Divide(start, start.Add(time.Second), fmt.Sprint(i), []Demand{{"w", demands[i], limit}})...)
			}
		}
		sum, slots := 0.0, 0
		for i, s := range shares {
			if s.Fraction < min(demands[i], 1/float64(n))-1e-9 || s.Concurrent < 0 {
				t.Fatalf("demand %v of %d got %+v", demands[i], n, s)
			}
			sum += s.Fraction
			slots += s.Concurrent
		}
		if math.Abs(sum-1) > 1e-9 || slots != limit {
			t.Fatalf("shares add up to %v and %d of %d", sum, slots, limit)
		}
	})
}

// Guards against an allotment that stays in force when the home is lost, and
// against a home that remembers gateways that have gone.
func TestAllotmentsEnd(t *testing.T) {
	is := is.New(t)
	w, e := scope(catalogue.Limits{Concurrent: 4})
	l, d := New(), NewDivision()
	l.SetShare(0.5)
	const life = 3 * time.Second
	divide := func(now time.Time, gateway string, demands []Demand) []Share {
		return d.Divide(now, now.Add(life), gateway, demands)
	}
	divide(start, "gone", []Demand{{"workspace w", 3, 4}})
	_, err := l.Acquire(start, w, e)
	is.True(err == nil)
	_, err = l.Acquire(start, w, e)
	is.True(err == nil)
	_, err = l.Acquire(start, w, e)
	is.True(err != nil) // the equal share is 2
	l.SetShares(start.Add(life), divide(start, "g", l.Demands(start)))
	_, err = l.Acquire(start, w, e)
	is.True(err != nil) // 2 of 4 are allotted beside the other gateway
	later := start.Add(life)
	l.SetShares(later.Add(life), divide(later, "g", l.Demands(later)))
	_, err = l.Acquire(later, w, e)
	is.True(err == nil) // the other gateway has gone
	end := later.Add(life)
	_, err = l.Acquire(end, w, e)
	is.True(err != nil) // the equal share of 2 is in force again
	d.Forget(end.Add(time.Second))
	is.Equal(len(d.scopes), 0)
}
