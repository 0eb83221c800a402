package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var began = time.Unix(1_700_000_000, 0)

// shares returns how often each candidate is chosen by gateways that know the same.
func shares(b *Loads, now time.Time, candidates []Candidate, need Need) []float64 {
	out := make([]float64, len(candidates))
	random := rand.New(rand.NewPCG(1, 1))
	for range 10_000 {
		c, _ := b.Choose(now, candidates, need, random.Float64())
		out[c.Index] += 1e-4
	}
	return out
}

func alike(names ...string) (out []Candidate) {
	for _, n := range names {
		out = append(out, Candidate{Name: n, Share: 1})
	}
	return out
}

// Guards against a herd: gateways with the same statements must not all choose the server that looks best.
func TestNoHerd(t *testing.T) {
	is := is.New(t)
	b := NewLoads()
	b.Learn(began, "a", 0, Statement{Running: 2, Slots: 6, Slowdown: 1})
	b.Learn(began, "b", 0, Statement{Running: 3, Slots: 6, Slowdown: 1})
	b.Learn(began, "c", 0, Statement{Running: 6, Waiting: 4, Slots: 6, Slowdown: 1})
	got := shares(b, began, alike("a", "b", "c"), Need{})
	is.True(got[0] > got[1] && got[0] < 0.75)
	is.True(got[2] < 0.05)
}

// Guards against a statement that counts for ever: it is drawn towards the usual load, and says nothing in the end.
func TestStatementsAge(t *testing.T) {
	is := is.New(t)
	b := NewLoads()
	for i := range 100 {
		b.Learn(began.Add(time.Duration(i)*100*time.Millisecond), "a", 0, Statement{Running: 2, Slots: 6, Slowdown: 1})
	}
	last := began.Add(10 * time.Second)
	b.Learn(last, "a", 0, Statement{Running: 6, Waiting: 20, Slots: 6, Slowdown: 3})
	is.True(!b.Learn(last.Add(-time.Second), "a", 0, Statement{Slots: 6, Slowdown: 1})) // older
	busy := func(age time.Duration) float64 {
		c, ok := b.Choose(last.Add(age), alike("a", "b"), Need{}, 0)
		is.True(ok)
		is.Equal(c.Age, age)
		return c.Busy
	}
	is.True(busy(0) > 25)
	is.True(busy(time.Second) < 10)
	is.True(busy(4*time.Second) < 4)
	_, ok := b.Choose(last.Add(forgetAfter), alike("a", "b"), Need{}, 0)
	is.True(!ok)
	_, ok = b.Choose(last, []Candidate{{Name: "a", Incarnation: 1, Share: 1}}, Need{}, 0)
	is.True(!ok) // restarted
}

// Guards against all gateways that leave a server because they hear the same moment of it, against a slowdown that only
// the gateways notice that call the slow server, and against a heard statement that replaces a newer answer.
func TestHeardStatements(t *testing.T) {
	is := is.New(t)
	b := NewLoads()
	now := began
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		for _, name := range []string{"a", "b"} {
			is.True(b.Hear(now, name, 0, Statement{Running: 2, Slots: 6, Slowdown: 1}))
		}
	}
	b.Hear(now.Add(50*time.Millisecond), "a", 0, Statement{Running: 6, Waiting: 3, Slots: 6, Slowdown: 1})
	now = now.Add(100 * time.Millisecond)
	is.True(shares(b, now, alike("a", "b"), Need{})[0] > 0.35)
	b.Hear(now, "a", 0, Statement{Running: 2, Slots: 6, Slowdown: 3})
	is.True(shares(b, now, alike("a", "b"), Need{})[0] < 0.2)
	is.True(b.Learn(now.Add(time.Second), "a", 0, Statement{Running: 5, Slots: 6, Slowdown: 1}))
	is.True(!b.Hear(now.Add(900*time.Millisecond), "a", 0, Statement{Running: 1, Slots: 6, Slowdown: 1}))
}

// Guards against a server that states free slots and is slow all the same, and against one that has stopped: both
// must lose the preference of their data centre and most of the requests.
func TestSlowServerIsFoundOut(t *testing.T) {
	is := is.New(t)
	candidates := []Candidate{{Name: "liar", Home: true, Share: 1}, {Name: "b", Share: 1}, {Name: "c", Share: 1}}
	for _, stopped := range []bool{true, false} {
		b := NewLoads()
		for i := range 50 {
			for _, c := range candidates {
				at := began.Add(time.Duration(i) * 50 * time.Millisecond)
				b.Learn(at, c.Name, 0, Statement{Slots: 6, Slowdown: 1})
				ended := b.Sent(at, c.Name, 0)
				switch {
				case c.Name != "liar":
					ended(20 * time.Millisecond)
				case !stopped:
					ended(300 * time.Millisecond)
				case i < 48:
					ended(20 * time.Millisecond)
				}
			}
		}
		got := shares(b, began.Add(2550*time.Millisecond), candidates, Need{Target: 100 * time.Millisecond, Left: time.Second})
		is.True(got[0] < 0.2)
	}
}

// Guards against traffic between data centres while there is room at home, and against a full home that keeps it all.
func TestHomeFirst(t *testing.T) {
	is := is.New(t)
	candidates := []Candidate{{Name: "a", Home: true, Share: 1}, {Name: "b", Share: 1}}
	at := func(running int) float64 {
		b := NewLoads()
		b.Learn(began, "a", 0, Statement{Running: running, Slots: 6, Slowdown: 1})
		b.Learn(began, "b", 0, Statement{Slots: 6, Slowdown: 1})
		return shares(b, began, candidates, Need{Target: 100 * time.Millisecond})[0]
	}
	is.True(at(1) > 0.99)
	is.True(at(5) < 0.2)
}

// Guards against calls that wait for their deadline in queues that are known to be too long, and against refusing
// them because of old statements.
func TestHopelessQueues(t *testing.T) {
	is := is.New(t)
	b := NewLoads()
	for _, name := range []string{"a", "b"} {
		b.Sent(began, name, 0)(200 * time.Millisecond)
		b.Learn(began, name, 0, Statement{Running: 6, Waiting: 24, Slots: 6, Slowdown: 1})
	}
	hopeless := func(now time.Time, left time.Duration) bool {
		c, _ := b.Choose(now, alike("a", "b"), Need{Left: left}, 0.5)
		return c.Hopeless
	}
	is.True(hopeless(began, 500*time.Millisecond))
	is.True(!hopeless(began, 2*time.Second))
	is.True(!hopeless(began.Add(2*time.Second), 500*time.Millisecond))
	b = NewLoads() // slow answers, but no queues
	for _, name := range []string{"a", "b"} {
		b.Sent(began, name, 0)(time.Second)
		b.Sent(began, name, 0)
		b.Learn(began, name, 0, Statement{Running: 6, Slots: 6, Slowdown: 1})
	}
	is.True(!hopeless(began.Add(300*time.Millisecond), 200*time.Millisecond))
}

// Guards against absurd statements, and against choices outside the candidates, whatever servers state and in
// whatever order.
func TestAnyStatement(t *testing.T) {
	is := is.New(t)
	for _, value := range []string{"", "1", "1,2", "a,0,6", "-1,0,6", "1,0,0", "7,0,6", "1,0,6,", "1,0,6,-5", "1,0,6,NaN", "1,0,6,Inf", "1,0,6,100,1", "99999999999999999999,0,6"} {
		_, ok := Parse(value)
		is.True(!ok)
	}
	s, ok := Parse("3, 0,8")
	is.True(ok && s == Statement{Running: 3, Slots: 8, Slowdown: 1})
	rapid.Check(t, func(t *rapid.T) {
		b, now := NewLoads(), began
		candidates := alike("a", "b", "c")
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-50, 3000).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server")
			incarnation := rapid.Int64Range(0, 1).Draw(t, "incarnation")
			st := Statement{Running: rapid.IntRange(0, 8).Draw(t, "running"), Waiting: rapid.IntRange(0, maxStated).Draw(t, "waiting"),
				Slots: rapid.IntRange(1, 8).Draw(t, "slots"), Slowdown: rapid.Float64Range(minSlowdown, maxSlowdown).Draw(t, "slowdown")}
			b.Learn(now, name, incarnation, st)
			ended := b.Sent(now, name, incarnation)
			if rapid.Bool().Draw(t, "ends") {
				ended(time.Duration(rapid.IntRange(0, 5000).Draw(t, "took")) * time.Millisecond)
			}
			c, ok := b.Choose(now, candidates, Need{Target: 100 * time.Millisecond, Left: time.Second}, rapid.Float64Range(0, 0.999).Draw(t, "random"))
			if ok && (c.Index < 0 || c.Index >= len(candidates) || !(c.Busy >= 0)) {
				t.Fatalf("chose %+v", c)
			}
		}
	})
}
