package registry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"persimmonwing/internal/process/evacuation"
	"persimmonwing/internal/process/membership"
)

// Guards against a request that is admitted to a server of an evacuated data centre, against control
// calls that running generations would miss, and against a server that stays out after its data centre
// was taken back, in any order of evacuations, entries, restarts, removals and pauses.
func TestEvacuations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		g := newTestRegistry()
		g.now = func() time.Time { return now }
		evacuated := map[string]bool{}
		servers := map[string]Server{}
		started := map[string]int64{}
		names := rapid.SampledFrom([]string{"x", "y", "z"})
		dataCentres := rapid.SampledFrom([]string{"a", "b"})
		draw := func(t *rapid.T) Server {
			s := server(names.Draw(t, "name"))
			s.Service, s.Models = "model", []string{"m"}
			s.DataCentre = dataCentres.Draw(t, "data centre")
			started[s.Name] += rapid.Int64Range(0, 1).Draw(t, "restart") * 2 * shortUptime.Milliseconds() // no crash loop
			s.StartedMS = started[s.Name]
			s.Address = fmt.Sprintf("10.0.0.%d:1", rapid.IntRange(1, 2).Draw(t, "address"))
			return s
		}
		accepts := func(list []membership.Backend, name string) bool {
			return slices.ContainsFunc(list, func(b membership.Backend) bool { return b.Name == name && b.Accepting })
		}
		t.Repeat(map[string]func(*rapid.T){
			"evacuate": func(t *rapid.T) {
				var set []evacuation.Evacuation
				clear(evacuated)
				for _, d := range rapid.SliceOfDistinct(dataCentres, func(d string) string { return d }).Draw(t, "evacuated") {
					evacuated[d] = true
					set = append(set, evacuation.Evacuation{DataCentre: d, Revision: rapid.Int64Range(1, 3).Draw(t, "revision")})
				}
				before := g.Evacuations()
				changes := g.SetEvacuated(now, set)
				for _, c := range changes {
					same := func(e evacuation.Evacuation) bool { return e.DataCentre == c.DataCentre && e.Revision == c.Revision }
					if c.Began != slices.ContainsFunc(g.Evacuations(), same) || c.Began == slices.ContainsFunc(before, same) {
						t.Fatalf("%v to %v is reported as %+v", before, set, changes)
					}
				}
			},
			"entry":   func(t *rapid.T) { s := draw(t); g.Put(s); servers[s.Name] = s },
			"removal": func(t *rapid.T) { name := names.Draw(t, "name"); g.Remove(now, name); delete(servers, name) },
			"list": func(t *rapid.T) {
				clear(servers)
				s := draw(t)
				servers[s.Name] = s
				g.Sync(now, []Server{s})
			},
			"pause": func(t *rapid.T) {
				s, _ := g.Get(names.Draw(t, "name"))
				g.NoteStatement(now, s, 0, Statement{Pause: time.Second})
			},
			"time": func(*rapid.T) { now = now.Add(time.Second); g.Tick(now) },
			"": func(t *rapid.T) {
				remaining := 0
				for name, s := range servers {
					if !evacuated[s.DataCentre] {
						remaining++
					}
					paused := g.Paused(now, name)
					control, _ := g.Admit(now, s, true)
					if control == paused {
						t.Fatalf("control call to %+v admitted %v, paused %v", s, control, paused)
					}
					service, engines := accepts(g.Service(now, "model", "a"), name), accepts(g.engines(now, nil), name)
					admitted := false
					if evacuated[s.DataCentre] {
						// In the other case the request would be the first one after a pause.
						admitted, _ = g.Admit(now, s, false)
					}
					if evacuated[s.DataCentre] && (admitted || service || engines || !g.Blocked(now, name)) {
						t.Fatalf("work for %+v is admitted %v, as a server %v, as an engine %v, blocked %v", s, admitted, service, engines, g.Blocked(now, name))
					}
					open := !evacuated[s.DataCentre] && !paused
					if open && (!service || !engines || g.Blocked(now, name)) {
						t.Fatalf("%+v gets no work: as a server %v, as an engine %v", s, service, engines)
					}
				}
				if all := g.AllEvacuated("model"); all != (len(servers) > 0 && remaining == 0) {
					t.Fatalf("all servers evacuated: %v, but %d of %d are left", all, remaining, len(servers))
				}
			},
		})
	})
}
