package registry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a cold server that an entry read once more, or a late answer, makes warm or keeps cold, and
// against the state of an earlier incarnation.
func TestColdWords(t *testing.T) {
	is := is.New(t)
	now := start
	g := newTestRegistry()
	g.now = func() time.Time { return now }
	left := func() time.Duration {
		_, left := g.Cold(now, "x")
		return left
	}
	listed := func(entry int64, cold time.Duration) Server {
		s := Server{Name: "x", Service: "s", StartedMS: 1000, Entry: entry, Cold: cold, HasCold: true}
		g.Put(s)
		return s
	}
	first := listed(1, time.Second)
	is.Equal(left(), time.Second)
	now = now.Add(400 * time.Millisecond)
	listed(1, time.Second) // the list is read again
	is.Equal(left(), 600*time.Millisecond)
	sent := now
	now = now.Add(100 * time.Millisecond)
	g.NoteCold(now, sent, first, 2*time.Second)
	is.Equal(left(), 2*time.Second)
	listed(2, 0) // perhaps written before the answer
	is.Equal(left(), 2*time.Second)
	g.NoteCold(now, sent.Add(-time.Millisecond), first, 9*time.Second) // an earlier request
	is.Equal(left(), 2*time.Second)
	listed(3, 5*time.Second) // cold again
	is.Equal(left(), 5*time.Second)
	g.NoteCold(now, sent.Add(50*time.Millisecond), first, 0) // sent before the entry came
	is.Equal(left(), 5*time.Second)
	now = now.Add(time.Second)
	g.NoteCold(now, now.Add(-time.Millisecond), first, 0) // sent after it
	is.Equal(left(), time.Duration(0))
	listed(3, 5*time.Second)
	is.Equal(left(), time.Duration(0))
	listed(4, 7*time.Second)
	g.BoundCold(func(string) int { return 0 }, func(string) time.Duration { return 9 * time.Second })
	g.NoteStarted("x", 1000) // the incarnation of the entry
	is.Equal(left(), 7*time.Second)
	g.NoteStarted("x", 2000) // known before the entry shows it
	is.Equal(left(), 9*time.Second)
	now = now.Add(time.Second)
	g.NoteStarted("x", 2000)
	is.Equal(left(), 8*time.Second)
	restarted := Server{Name: "x", Service: "s", StartedMS: 2000, Entry: 1, HasCold: true}
	g.Put(restarted)
	is.Equal(left(), time.Duration(0))
	g.NoteCold(now, now, first, time.Second) // an answer of the earlier incarnation
	is.Equal(left(), time.Duration(0))
}

// Guards against what another gateway passes on of a cold server that replaces a newer answer to this one, ends a cold time, or is lost
// because this gateway doesn't know of a restart; and against one that keeps a server cold after a later answer.
func TestHeardCold(t *testing.T) {
	is := is.New(t)
	now := start
	g := newTestRegistry()
	g.now = func() time.Time { return now }
	s := Server{Name: "x", Service: "s", StartedMS: 1000}
	g.Put(s)
	heard := func(age, left time.Duration, started int64) time.Duration {
		g.HearCold(now, now.Add(-age), "x", started, left)
		_, left = g.Cold(now, "x")
		return left
	}
	is.Equal(heard(0, 9*time.Second, 900), time.Duration(0)) // an earlier start
	is.Equal(heard(300*time.Millisecond, 2*time.Second, 1000), 1700*time.Millisecond)
	is.Equal(heard(500*time.Millisecond, 9*time.Second, 1000), 1700*time.Millisecond) // an older one
	now = now.Add(100 * time.Millisecond)
	g.NoteCold(now, now.Add(-200*time.Millisecond), s, 0) // an answer to a request from before it was heard
	is.Equal(heard(time.Second, 9*time.Second, 1000), 1600*time.Millisecond)
	g.NoteCold(now, now, s, 0)
	is.Equal(heard(time.Millisecond, 9*time.Second, 1000), time.Duration(0)) // read before that request was sent
	now = now.Add(time.Second)
	is.Equal(heard(0, 5*time.Second, 2000), 5*time.Second) // a start that the list doesn't show yet
	g.NoteCold(now, now.Add(-time.Millisecond), s, 7*time.Second)
	is.Equal(heard(0, time.Second, 2000), 7*time.Second)
}

// Guards against begins and ends of cold times that don't alternate, in any order of entries, answers, denials and
// time, against an accepting server without a right, and against a bound where a service has none.
func TestColdTimesAlternate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		g := newTestRegistry()
		g.now = func() time.Time { return now }
		g.BoundCold(func(service string) int { return map[string]int{"s": 10}[service] }, func(string) time.Duration { return time.Second })
		open := map[string]int{}
		g.ObserveStates(func(c StateChange) {
			if c.Server == "y" {
				t.Fatalf("a change of a server whose requests are not bounded: %+v", c)
			}
			if c.Began {
				open[c.Server]++
			} else {
				open[c.Server]--
			}
			if n := open[c.Server]; n < 0 || n > 1 {
				t.Fatalf("%d begins without an end: %+v", n, c)
			}
		})
		names := rapid.SampledFrom([]string{"x", "y"})
		services := map[string]string{"x": "s", "y": "unbounded"}
		ms := rapid.IntRange(-100, 2000)
		draw := func(t *rapid.T) Server {
			name := names.Draw(t, "name")
			return Server{
				Name: name, Service: services[name], StartedMS: rapid.Int64Range(1, 2).Draw(t, "started"), HasCold: rapid.Bool().Draw(t, "says it"),
				Entry: rapid.Int64Range(0, 4).Draw(t, "entry"), Cold: max(0, time.Duration(ms.Draw(t, "cold"))*time.Millisecond),
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"put":    func(t *rapid.T) { g.Put(draw(t)) },
			"remove": func(t *rapid.T) { g.Remove(now, names.Draw(t, "name")) },
			"answer": func(t *rapid.T) {
				s := draw(t)
				g.NoteCold(now, now.Add(-time.Duration(rapid.IntRange(0, 500).Draw(t, "took"))*time.Millisecond), s, s.Cold)
			},
			"report": func(t *rapid.T) { g.NoteStarted(names.Draw(t, "name"), rapid.Int64Range(0, 4).Draw(t, "started")) },
			"heard": func(t *rapid.T) {
				s := draw(t)
				g.HearCold(now, now.Add(-time.Duration(rapid.IntRange(0, 500).Draw(t, "age"))*time.Millisecond), s.Name, s.StartedMS, s.Cold)
			},
			"denied": func(t *rapid.T) {
				g.NoteColdDenied(now, names.Draw(t, "name"), time.Duration(ms.Draw(t, "wait"))*time.Millisecond)
			},
			"time": func(t *rapid.T) {
				now = now.Add(max(0, time.Duration(ms.Draw(t, "passes"))*time.Millisecond))
				g.Tick(now)
			},
			"": func(t *rapid.T) {
				for name, service := range services {
					s, left := g.Cold(now, name)
					for _, b := range g.Service(now, service, "") {
						if bounded := b.MaxStarts > 0; bounded != (left > 0 && service == "s") {
							t.Fatalf("%+v has %d starts a second, cold for %s", s, b.MaxStarts, left)
						}
						if wait, denied := g.ColdWait(now, service); denied && (b.Accepting || wait > left) {
							t.Fatalf("%+v accepts work, or waits for %s of %s", b, wait, left)
						}
					}
				}
			},
		})
	})
}
