package registry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against new work for an incarnation that has stated that it leaves or has asked for a
// pause, against one that is blocked by what an earlier incarnation stated, and against more than
// one first request after a pause, in any order of responses, entries, restarts and addresses.
func TestStatements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		g := newTestRegistry()
		g.now = func() time.Time { return now }
		open := map[string]int{} // states begun and not ended
		g.ObserveStates(func(c StateChange) {
			if c.Began {
				open[c.Server+c.State]++
			} else {
				open[c.Server+c.State]--
			}
			if n := open[c.Server+c.State]; n < 0 || n > 1 {
				t.Fatalf("%d begins without an end: %+v", n, c)
			}
		})
		type incarnation struct {
			name    string
			started int64
		}
		leaving := map[incarnation]bool{}
		until := map[incarnation]time.Time{}
		pauses := map[incarnation]int{}
		firstAt := map[incarnation]time.Time{}
		of := func(s Server) incarnation { return incarnation{s.Name, s.StartedMS} }
		names := rapid.SampledFrom([]string{"x", "y"})
		type request struct {
			server Server
			// first is the result of Admit, and pauses the number of pauses asked for before.
			first  uint64
			pauses int
		}
		var sent []request // without a response
		take := func(t *rapid.T) request {
			if len(sent) == 0 {
				t.Skip("no request")
			}
			i := rapid.IntRange(0, len(sent)-1).Draw(t, "request")
			r := sent[i]
			sent = slices.Delete(sent, i, i+1)
			return r
		}
		draw := func() Server {
			s := server(names.Draw(t, "name"))
			s.StartedMS = rapid.Int64Range(1, 3).Draw(t, "start")
			s.Address = fmt.Sprintf("10.0.0.%d:1", rapid.IntRange(1, 2).Draw(t, "address"))
			return s
		}
		current := func(s Server) bool { r, ok := g.Get(s.Name); return ok && r.StartedMS == s.StartedMS }
		t.Repeat(map[string]func(*rapid.T){
			"put":    func(*rapid.T) { g.Put(draw()) },
			"sync":   func(*rapid.T) { g.Sync(now, []Server{draw()}) },
			"remove": func(t *rapid.T) { g.Remove(now, names.Draw(t, "name")) },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 15_000).Draw(t, "ms")) * time.Millisecond)
				g.Tick(now)
			},
			"send": func(t *rapid.T) {
				s, ok := g.Get(names.Draw(t, "name"))
				if !ok {
					return
				}
				admitted, first := g.Admit(now, s, false)
				if !admitted {
					return
				}
				if first != 0 {
					if at, waiting := firstAt[of(s)]; waiting && now.Sub(at) < firstRequestTimeout {
						t.Fatalf("another first request after %v", now.Sub(at))
					}
					firstAt[of(s)] = now
				}
				sent = append(sent, request{s, first, pauses[of(s)]})
			},
			"unanswered": func(t *rapid.T) {
				r := take(t)
				if r.first != 0 {
					g.Unanswered(r.server, r.first)
					if r.pauses == pauses[of(r.server)] {
						delete(firstAt, of(r.server))
					}
				}
			},
			"response": func(t *rapid.T) {
				r := take(t)
				s := r.server
				st := Statement{Leaving: rapid.IntRange(0, 3).Draw(t, "leaving") == 0, Pause: time.Duration(rapid.IntRange(-2000, 70_000).Draw(t, "pause")) * time.Millisecond}
				if current(s) {
					leaving[of(s)] = leaving[of(s)] || st.Leaving
					switch end := now.Add(min(st.Pause, MaxPause)); {
					case st.Pause > 0 && end.After(until[of(s)]):
						until[of(s)] = end
						delete(firstAt, of(s))
					case st.Pause > 0:
						delete(firstAt, of(s))
					case r.first != 0 && r.pauses == pauses[of(s)]:
						delete(until, of(s))
						delete(firstAt, of(s))
					}
				}
				if st.Pause > 0 && current(s) {
					pauses[of(s)]++
				}
				g.NoteStatement(now, s, r.first, st)
			},
			"": func(t *rapid.T) {
				for _, name := range []string{"x", "y"} {
					s, ok := g.Get(name)
					if !ok {
						continue
					}
					paused := now.Before(until[of(s)])
					if leaving[of(s)] && !g.Leaving(name) {
						t.Fatalf("%s has stated that it leaves and gets new work", name)
					}
					if g.Paused(now, name) != paused {
						t.Fatalf("%s is paused: %v, want %v", name, !paused, paused)
					}
					control, _ := g.Admit(now, s, true)
					at, waiting := firstAt[of(s)]
					waiting = waiting && now.Sub(at) < firstRequestTimeout
					if control == paused || !paused && !waiting && !leaving[of(s)] && !g.servers[name].removed && g.Blocked(now, name) {
						t.Fatalf("%s: control calls %v, blocked %v, paused %v", name, control, g.Blocked(now, name), paused)
					}
				}
			},
		})
	})
}
