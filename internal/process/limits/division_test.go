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

// testGateway is a simulated gateway. It receives rate requests a second, each of which
// runs for duration and then charges tokens.
type testGateway struct {
	rate     float64
	tokens   int
	duration time.Duration
	limiter  *Limiter
	due      float64
	running  []runningRequest
	sent     int
	admitted int
}

type runningRequest struct {
	at    time.Time
	lease *Lease
}

func (s *testGateway) tick(now time.Time, w *catalogue.Workspace, e *catalogue.Entry, counted bool) {
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
		s.running = append(s.running, runningRequest{now.Add(s.duration), lease})
	}
}

// run simulates 60 s in steps of 10 ms and counts requests in the last 30 s. If
// divide is false, the limits are not divided by demand.
func run(gateways []*testGateway, limits catalogue.Limits, divide bool) (sent, admitted, mostRunning int) {
	w, e := scope(limits)
	d := NewDivision()
	for _, s := range gateways {
		s.limiter = New()
		s.limiter.SetShare(1 / float64(len(gateways)))
	}
	for step := range 6000 {
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		running := 0
		for i, s := range gateways {
			s.tick(now, w, e, step >= 3000)
			running += len(s.running)
			every := int(period(len(gateways)) / (10 * time.Millisecond))
			if divide && step%every == i%every {
				until := now.Add(validPeriods * period(len(gateways)))
				s.limiter.SetShares(until, d.Divide(now, until, fmt.Sprintf("g%03d", i), s.limiter.Demands(now)))
			}
		}
		if step >= 3000 {
			mostRunning = max(mostRunning, running)
		}
	}
	for _, s := range gateways {
		sent += s.sent
		admitted += s.admitted
	}
	return sent, admitted, mostRunning
}

func gatewaysOf(n int, rate func(i int) float64, tokens int, duration time.Duration) []*testGateway {
	out := make([]*testGateway, n)
	for i := range out {
		out[i] = &testGateway{rate: rate(i), tokens: tokens, duration: duration}
	}
	return out
}

func onlyFirst(rate float64) func(int) float64 {
	return func(i int) float64 {
		if i == 0 {
			return rate
		}
		return 0
	}
}

func equalRate(rate float64) func(int) float64 { return func(int) float64 { return rate } }

// Guards against refusing a workspace below its limit because its requests reach
// only a few of the gateways, and against admitting far more than the limit because
// each of many gateways rounds its share up.
func TestLimitsHoldAcrossGateways(t *testing.T) {
	for name, c := range map[string]struct {
		gateways int
		rate     func(int) float64
		tokens   int
		lasts    time.Duration
		limits   catalogue.Limits
		// least and most bound the admitted requests per second. running bounds the
		// requests that run at the same time; 0 means no bound.
		least, most float64
		running     int
	}{
		"60% of the rate at one of 7":     {7, onlyFirst(60), 0, 0, catalogue.Limits{RequestsPerSecond: 100}, 59, 60, 0},
		"60% of the rate at one of 400":   {400, onlyFirst(60), 0, 0, catalogue.Limits{RequestsPerSecond: 100}, 59, 60, 0},
		"60% of the tokens at one of 400": {400, onlyFirst(6), 100, time.Second, catalogue.Limits{TokensPerSecond: 1000}, 5.9, 6, 0},
		"3 times the rate at all":         {7, equalRate(43), 0, 0, catalogue.Limits{RequestsPerSecond: 100}, 90, 110, 0},
		"3 times the rate at one":         {7, onlyFirst(300), 0, 0, catalogue.Limits{RequestsPerSecond: 100}, 90, 110, 0},
		"below the limit at all of 400":   {400, equalRate(0.2), 0, 0, catalogue.Limits{RequestsPerSecond: 100}, 79, 80, 0},
		"half of the slots at one of 400": {400, onlyFirst(5), 0, time.Second, catalogue.Limits{Concurrent: 10}, 4.9, 5, 10},
		"5 times the slots at 50":         {50, equalRate(1), 0, time.Second, catalogue.Limits{Concurrent: 10}, 8, 12, 12},
		// The second gateway doesn't report its demand, so its requests are admitted
		// in addition to the limit.
		"a flood at one, few at the other": {2, func(i int) float64 { return []float64{500, 20}[i] }, 0, 0, catalogue.Limits{RequestsPerSecond: 100}, 90, 120, 0},
		"few requests at each of many":     {400, equalRate(0.04), 0, 0, catalogue.Limits{RequestsPerSecond: 20}, 13, 14, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, without, _ := run(gatewaysOf(c.gateways, c.rate, c.tokens, c.lasts), c.limits, false)
			fleet := gatewaysOf(c.gateways, c.rate, c.tokens, c.lasts)
			sent, admitted, running := run(fleet, c.limits, true)
			t.Logf("sent %d, admitted %d (equal shares only: %d), at most %d running", sent, admitted, without, running)
			is.True(float64(admitted) >= 30*c.least-1)
			is.True(float64(admitted) <= 30*c.most+1)
			is.True(c.running == 0 || running <= c.running)
			if len(fleet) == 2 {
				is.True(fleet[1].admitted >= fleet[1].sent*99/100) // the flood doesn't reduce its share
			}
		})
	}
}

// Guards against shares that add up to more or less than the limit, against giving a
// small demand less than equal shares would, and against negative shares.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := NewDivision()
		n := rapid.IntRange(1, 60).Draw(t, "gateways")
		limit := rapid.IntRange(0, 100).Draw(t, "limit")
		demands := make([]float64, n)
		var shares []Share
		for round := range 2 { // in the second round all demands are recorded
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
				t.Fatalf("demand %v, one of %d, was assigned %+v", demands[i], n, s)
			}
			sum += s.Fraction
			slots += s.Concurrent
		}
		if math.Abs(sum-1) > 1e-9 || slots != limit {
			t.Fatalf("shares add up to a fraction of %v and %d of %d slots", sum, slots, limit)
		}
	})
}

// Guards against an assigned share that doesn't expire when the responsible gateway is
// lost, and against a responsible gateway that keeps the demands of gateways that have
// stopped reporting.
func TestAssignedSharesExpire(t *testing.T) {
	is := is.New(t)
	w, e := scope(catalogue.Limits{Concurrent: 4})
	l, d := New(), NewDivision()
	l.SetShare(0.5)
	const ttl = 3 * time.Second
	divide := func(now time.Time, gateway string, demands []Demand) []Share {
		return d.Divide(now, now.Add(ttl), gateway, demands)
	}
	divide(start, "gone", []Demand{{"workspace w", 3, 4}})
	_, err := l.Acquire(start, w, e)
	is.True(err == nil)
	_, err = l.Acquire(start, w, e)
	is.True(err == nil)
	_, err = l.Acquire(start, w, e)
	is.True(err != nil) // the equal share is 2
	l.SetShares(start.Add(ttl), divide(start, "g", l.Demands(start)))
	_, err = l.Acquire(start, w, e)
	is.True(err != nil) // 2 of 4 are assigned; the other gateway has the rest
	later := start.Add(ttl)
	l.SetShares(later.Add(ttl), divide(later, "g", l.Demands(later)))
	_, err = l.Acquire(later, w, e)
	is.True(err == nil) // the other gateway's demand has expired
	end := later.Add(ttl)
	_, err = l.Acquire(end, w, e)
	is.True(err != nil) // the equal share of 2 applies again
	d.RemoveExpired(end.Add(time.Second))
	is.Equal(len(d.scopes), 0)
}
