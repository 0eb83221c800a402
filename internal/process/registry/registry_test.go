package registry

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// testRegistry is a registry that records the names passed to its onLeaving callback.
type testRegistry struct {
	*Registry
	leaving []string
}

func newTestRegistry() *testRegistry {
	r := &testRegistry{}
	r.Registry = New(func() {}, func(name string) { r.leaving = append(r.leaving, name) })
	return r
}

func server(name string) Server {
	return Server{Name: name, Address: "10.0.0.1:1", Service: "s", DataCentre: "a", StartedMS: 100}
}

func (r *testRegistry) accepting(now time.Time) []string {
	var out []string
	for _, b := range r.Service(now, "s", "a") {
		if b.Accepting {
			out = append(out, b.Name)
		}
	}
	return out
}

// Guards against new work for a leaving server, whichever source reports that it leaves,
// and against calling the onLeaving callback twice.
func TestEverySourceStopsNewWork(t *testing.T) {
	for name, leave := range map[string]func(*testRegistry){
		"entry":    func(r *testRegistry) { s := server("x"); s.Leaving = true; r.Put(s) },
		"removal":  func(r *testRegistry) { r.Remove(start, "x") },
		"list":     func(r *testRegistry) { r.Sync(start, []Server{server("y")}) },
		"itself":   func(r *testRegistry) { r.NoteDraining("x", 0) },
		"replaced": func(r *testRegistry) { r.NoteReplaced(server("x")) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newTestRegistry()
			r.Sync(start, []Server{server("x"), server("y")})
			leave(r)
			leave(r)
			is.Equal(r.accepting(start), []string{"y"})
			is.True(r.Leaving("x"))
			is.Equal(r.leaving, []string{"x"})
		})
	}
}

// Guards against a restarted server that stays excluded, and against a late entry of its
// previous incarnation taking effect.
func TestRebornServer(t *testing.T) {
	is := is.New(t)
	r := newTestRegistry()
	r.Sync(start, []Server{server("x")})
	r.NoteDraining("x", 100)
	restarted := server("x")
	restarted.StartedMS = 200
	r.Put(restarted)
	is.Equal(r.accepting(start), []string{"x"})
	old := server("x")
	old.Leaving = true
	r.Put(old)
	is.Equal(r.accepting(start), []string{"x"})
	r.NoteDraining("x", 100)
	is.Equal(r.accepting(start), []string{"x"})
}

// Guards against dropping running servers whose entries expired during an outage of the
// list, and against keeping servers whose entries are not rewritten.
func TestLapsedEntries(t *testing.T) {
	is := is.New(t)
	r := newTestRegistry()
	r.Sync(start, []Server{server("x"), server("y")})
	back := start.Add(time.Minute)
	r.ListRecovered(back)
	r.Remove(back, "x")
	r.Remove(back, "y")
	is.Equal(r.accepting(back), []string{"x", "y"})
	r.NoteServing(server("x"))
	r.Put(server("y"))
	r.Tick(back.Add(recoveryGrace - time.Millisecond))
	is.Equal(r.accepting(back), []string{"x", "y"})
	r.Tick(back.Add(recoveryGrace))
	is.Equal(r.accepting(back), []string{"y"})
	is.Equal(r.leaving, []string{"x"})
}

// Guards against new work for a server that has left while the list could not be read, until the end
// of the grace period, and against a service without servers because no entry is back yet.
func TestLapsedServersAreAsked(t *testing.T) {
	is := is.New(t)
	r := newTestRegistry()
	var asked []string
	r.ObserveLapses(func(s Server) { asked = append(asked, s.Name) })
	r.Sync(start, []Server{server("w"), server("x"), server("y"), server("z")})
	r.ListRecovered(start)
	r.Sync(start, []Server{server("w")})
	slices.Sort(asked)
	is.Equal(asked, []string{"x", "y", "z"})
	is.Equal(r.accepting(start), []string{"w"}) // one whose entry is there
	is.Equal(len(r.leaving), 0)                 // work that runs goes on
	is.True(r.Lapsed(server("x")))

	r.NoteServing(server("x"))
	r.NoteStatement(start, server("y"), 0, Statement{Leaving: true})
	r.NoteEnded(start, server("z"))
	is.Equal(r.accepting(start), []string{"w", "x"})
	is.Equal(r.leaving, []string{"y", "z"})
	is.True(!r.Lapsed(server("x")) && !r.Lapsed(server("y")) && !r.Lapsed(server("z")))

	r.NoteUnreachable(start, "w")
	r.Remove(start, "w")
	is.Equal(r.accepting(start), []string{"x"})
	r.NoteUnreachable(start, "x")
	r.Put(server("y")) // an old entry of the server that leaves
	later := start.Add(unreachableExclusion)
	is.Equal(r.accepting(later), []string{"x"})
	r.Tick(start.Add(recoveryGrace))
	is.Equal(len(r.accepting(later)), 0)

	// An answer of an earlier incarnation tells nothing of a later one.
	reborn := server("v")
	reborn.StartedMS++
	r.Put(reborn)
	r.ListRecovered(later)
	r.Remove(later, "v")
	r.NoteEnded(later, server("v"))
	r.NoteServing(server("v"))
	is.True(r.Lapsed(reborn))
	is.Equal(r.accepting(later), []string{"v"}) // no other server is left
}

// Guards against treating an outage before the first read of the list as a recovery,
// which would keep removed servers for the grace period.
func TestNoGraceBeforeTheFirstList(t *testing.T) {
	is := is.New(t)
	r := newTestRegistry()
	r.ListRecovered(start)
	r.Sync(start, []Server{server("x")})
	r.Remove(start, "x")
	is.Equal(len(r.accepting(start)), 0)
}

// Guards against excluding a server permanently after one refused connection.
func TestUnreachableForAWhile(t *testing.T) {
	is := is.New(t)
	r := newTestRegistry()
	r.Sync(start, []Server{server("x")})
	r.NoteUnreachable(start, "x")
	is.Equal(len(r.accepting(start)), 0)
	is.Equal(r.accepting(start.Add(unreachableExclusion)), []string{"x"})
	is.Equal(len(r.leaving), 0)
}

// Guards against preferring servers of another data centre.
func TestOwnDataCentreFirst(t *testing.T) {
	is := is.New(t)
	r := newTestRegistry()
	far := server("a-far")
	far.DataCentre = "b"
	r.Sync(start, []Server{far, server("near")})
	var names []string
	for _, b := range r.Service(start, "s", "a") {
		names = append(names, b.Name)
	}
	is.True(slices.Equal(names, []string{"near", "a-far"}))
}

// Guards against an engine that gets new work immediately after it closed a connection
// without responding, one that stays excluded long after connections work again, and one
// that is excluded because of a previous incarnation.
func TestBrokenLinks(t *testing.T) {
	is := is.New(t)
	r := newTestRegistry()
	r.Sync(start, []Server{server("x")})
	at := start
	for _, exclusion := range []time.Duration{minBrokenExclusion, 2 * minBrokenExclusion, maxBrokenExclusion} {
		r.NoteBroken(at, "x")
		is.Equal(len(r.accepting(at.Add(exclusion-1))), 0)
		is.Equal(r.accepting(at.Add(exclusion)), []string{"x"})
		at = at.Add(exclusion)
	}
	r.NoteAnswered("x")
	r.NoteBroken(at, "x")
	is.Equal(r.accepting(at.Add(minBrokenExclusion)), []string{"x"})
	is.Equal(len(r.leaving), 0)
	r.NoteBroken(at, "x")
	restarted := server("x")
	restarted.StartedMS++
	r.Put(restarted)
	is.Equal(r.accepting(at), []string{"x"})
}

// Guards against a server in a crash loop that gets new work after each restart because
// it is empty, and against excluding a server that has crashed once.
func TestServerThatGoesDownAndUp(t *testing.T) {
	is := is.New(t)
	r := newTestRegistry()
	r.now = func() time.Time { return start }
	restart := func(afterMS int64) {
		s := server("x")
		old, _ := r.Get("x")
		s.StartedMS = old.StartedMS + afterMS
		r.Put(s)
	}
	r.Sync(start, []Server{server("x")})
	restart(shortUptime.Milliseconds())
	is.Equal(r.accepting(start), []string{"x"}) // one crash
	restart(1400)
	is.Equal(len(r.accepting(start.Add(maxBrokenExclusion-1))), 0)
	is.Equal(r.accepting(start.Add(maxBrokenExclusion)), []string{"x"})
	r.NoteDraining("x", 0)
	restart(1400)
	is.Equal(r.accepting(start), []string{"x"}) // it had announced its end
}

// Guards against each gateway losing requests of its own before it learns that an engine
// closes connections, and against gateways that pass on exclusions they learned from
// others, which would never expire.
func TestBrokenLinksAreTold(t *testing.T) {
	is := is.New(t)
	a, b := newTestRegistry(), newTestRegistry()
	for _, r := range []*testRegistry{a, b} {
		r.Sync(start, []Server{server("x"), server("y")})
	}
	a.NoteBroken(start, "x")
	reported := a.Broken(start.Add(time.Second))
	is.Equal(reported, map[string]time.Duration{"x": minBrokenExclusion - time.Second})
	b.MergeBroken(start, reported)
	is.Equal(b.accepting(start), []string{"y"})
	is.Equal(b.accepting(start.Add(reported["x"])), []string{"x", "y"})
	is.Equal(len(b.Broken(start)), 0)
	a.NoteAnswered("x")
	is.Equal(len(a.Broken(start.Add(time.Second))), 0)
	is.Equal(len(a.Broken(start.Add(minBrokenExclusion))), 0)
	b.MergeBroken(start, map[string]time.Duration{"x": time.Hour, "unknown": time.Second})
	is.Equal(b.accepting(start.Add(maxBrokenExclusion)), []string{"x", "y"})
}

// Guards against a server that is confirmed at once, as engines are, and that accepts no work for a
// moment: it would come back slowly.
func TestConfirmedLapseIsNotSeen(t *testing.T) {
	is := is.New(t)
	var r *Registry
	r = New(func() {
		for _, b := range r.Service(start, "s", "a") {
			is.True(b.Accepting)
		}
	}, func(string) {})
	r.ObserveLapses(r.NoteServing)
	r.Sync(start, []Server{server("x"), server("y")})
	r.ListRecovered(start)
	r.Remove(start, "x")
	is.True(!r.Lapsed(server("x")))
}

// Guards against periodic work that grows with the list, of which a host has thousands of servers: only
// those with a state that ends are visited, until it has ended.
func TestPeriodicWorkIsThatOfServersWithTimedStates(t *testing.T) {
	is := is.New(t)
	r := newTestRegistry()
	r.now = func() time.Time { return start }
	r.BoundCold(func(string) int { return 1 }, func(string) time.Duration { return 0 })
	var list []Server
	for i := range 1000 {
		list = append(list, server(fmt.Sprint("s", i)))
	}
	r.Sync(start, list)
	r.Tick(start)
	is.Equal(len(r.timed), 0)
	r.NoteBroken(start, "s1")
	r.NoteStatement(start, list[2], 0, Statement{Pause: time.Second})
	r.NoteCold(start, start, list[3], time.Second)
	r.Remove(start, "s4")
	r.Tick(start)
	is.Equal(len(r.timed), 4)
	r.Tick(start.Add(maxBrokenExclusion + statementRetention))
	is.Equal(len(r.timed), 0)
	is.Equal(len(r.servers), 999)
}

// BenchmarkTick measures the work of a tick, of the list of broken servers and of that of cold ones.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{300, 1000, 3000} {
		b.Run(fmt.Sprint("servers=", n), func(b *testing.B) {
			r := newTestRegistry()
			for i := range n {
				r.Put(server(fmt.Sprint("s", i)))
			}
			for b.Loop() {
				r.Tick(start)
				r.Broken(start)
				r.ColdServers(start)
			}
		})
	}
}

// Guards against changes of single entries that take time in proportion to the list: an entry that is written again
// leaves the set of engines as it is, and the index is the same as that of a list that is read as a whole.
func TestIndexFollowsChangesOfEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		changed, now := newTestRegistry(), start
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			now = now.Add(time.Second)
			s := server(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"))
			s.Address = rapid.SampledFrom([]string{"1", "2"}).Draw(t, "address")
			s.Service = rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service")
			s.Models = rapid.SampledFrom([][]string{nil, {"m"}}).Draw(t, "models")
			s.StartedMS = rapid.Int64Range(100, 102).Draw(t, "started")
			set, engines := changed.engineSet, len(changed.index.engines)
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				changed.Remove(now, s.Name)
			case 1:
				changed.ListRecovered(now)
				changed.Sync(now, []Server{s})
			case 2:
				changed.Tick(now)
				changed.NoteEnded(now, s)
			default:
				changed.Put(s)
				again := changed.engineSet
				changed.Put(s)
				if changed.engineSet != again {
					t.Fatal("an entry that did not change changes the set of engines")
				}
			}
			if len(changed.index.engines) != engines && changed.engineSet == set {
				t.Fatal("the set of engines changed unnoticed")
			}
			want := newIndex()
			for _, r := range changed.servers {
				want.add(r)
			}
			if !reflect.DeepEqual(changed.index, want) {
				t.Fatalf("the index is %+v, want %+v", changed.index, want)
			}
		}
	})
}

// BenchmarkChange measures a changed entry with what is looked up after it.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{300, 1000, 3000} {
		b.Run(fmt.Sprint("servers=", n), func(b *testing.B) {
			r, set := newTestRegistry(), uint64(0)
			for i := range n {
				s := server(fmt.Sprint("s", i))
				s.Models = []string{"m"}
				r.Put(s)
			}
			changed := server("s7")
			changed.Models = []string{"m"}
			for b.Loop() {
				changed.Leaving = !changed.Leaving
				r.Put(changed)
				r.AllPaused(start, "none")
				_, set = r.engineNames(set)
			}
		})
	}
}
