package registry

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_700_000_000, 0)

// world records the notices of a registry.
type world struct {
	*Registry
	left []string
}

func newWorld() *world {
	w := &world{}
	w.Registry = New(func() {}, func(name string) { w.left = append(w.left, name) })
	return w
}

func server(name string) Server {
	return Server{Name: name, Address: "10.0.0.1:1", Service: "s", DataCentre: "a", StartedMS: 100}
}

func (w *world) accepting(now time.Time) []string {
	var out []string
	for _, b := range w.Service(now, "s", "a") {
		if b.Accepting {
			out = append(out, b.Name)
		}
	}
	return out
}

// Guards against new work for a server that leaves, by whichever source says so,
// and against a notice that is told twice.
func TestEverySourceStopsNewWork(t *testing.T) {
	for name, leave := range map[string]func(*world){
		"entry":    func(w *world) { s := server("x"); s.Leaving = true; w.Put(s) },
		"removal":  func(w *world) { w.Remove(start, "x") },
		"list":     func(w *world) { w.Sync(start, []Server{server("y")}) },
		"itself":   func(w *world) { w.NoteDraining("x", 0) },
		"replaced": func(w *world) { w.NoteReplaced("x") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld()
			w.Sync(start, []Server{server("x"), server("y")})
			leave(w)
			leave(w)
			is.Equal(w.accepting(start), []string{"y"})
			is.True(w.Leaving("x"))
			is.Equal(w.left, []string{"x"})
		})
	}
}

// Guards against a reborn server that stays out, and against the entry of its
// former start that arrives late.
func TestRebornServer(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.Sync(start, []Server{server("x")})
	w.NoteDraining("x", 100)
	reborn := server("x")
	reborn.StartedMS = 200
	w.Put(reborn)
	is.Equal(w.accepting(start), []string{"x"})
	old := server("x")
	old.Leaving = true
	w.Put(old)
	is.Equal(w.accepting(start), []string{"x"})
	w.NoteDraining("x", 100)
	is.Equal(w.accepting(start), []string{"x"})
}

// Guards against dropping living servers whose entries lapsed while the list was
// away, and against keeping those that don't come back.
func TestLapsedEntries(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.Sync(start, []Server{server("x"), server("y")})
	back := start.Add(time.Minute)
	w.ListReturned(back)
	w.Remove(back, "x")
	w.Remove(back, "y")
	is.Equal(w.accepting(back), []string{"x", "y"})
	w.Put(server("y"))
	w.Tick(back.Add(returnGrace - time.Millisecond))
	is.Equal(w.accepting(back), []string{"x", "y"})
	w.Tick(back.Add(returnGrace))
	is.Equal(w.accepting(back), []string{"y"})
	is.Equal(w.left, []string{"x"})
}

// Guards against an outage before the first list, which is no return.
func TestNoGraceBeforeTheFirstList(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.ListReturned(start)
	w.Sync(start, []Server{server("x")})
	w.Remove(start, "x")
	is.Equal(len(w.accepting(start)), 0)
}

// Guards against a server that is left out for good after one refused connection.
func TestUnreachableForAWhile(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.Sync(start, []Server{server("x")})
	w.NoteUnreachable(start, "x")
	is.Equal(len(w.accepting(start)), 0)
	is.Equal(w.accepting(start.Add(unreachableFor)), []string{"x"})
	is.Equal(len(w.left), 0)
}

// Guards against work that goes to another data centre first.
func TestOwnDataCentreFirst(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	far := server("a-far")
	far.DataCentre = "b"
	w.Sync(start, []Server{far, server("near")})
	var names []string
	for _, b := range w.Service(start, "s", "a") {
		names = append(names, b.Name)
	}
	is.True(slices.Equal(names, []string{"near", "a-far"}))
}

// Guards against an engine that gets new work again at once after it broke a link,
// one that is kept out for long after the link has healed, and one that is kept out
// for what an earlier start did.
func TestBrokenLinks(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.Sync(start, []Server{server("x")})
	at := start
	for _, hold := range []time.Duration{brokenFirst, 2 * brokenFirst, brokenMost} {
		w.NoteBroken(at, "x")
		is.Equal(len(w.accepting(at.Add(hold-1))), 0)
		is.Equal(w.accepting(at.Add(hold)), []string{"x"})
		at = at.Add(hold)
	}
	w.NoteAnswered("x")
	w.NoteBroken(at, "x")
	is.Equal(w.accepting(at.Add(brokenFirst)), []string{"x"})
	is.Equal(len(w.left), 0)
	w.NoteBroken(at, "x")
	reborn := server("x")
	reborn.StartedMS++
	w.Put(reborn)
	is.Equal(w.accepting(at), []string{"x"})
}

// Guards against a server that goes down and up and gets new work each time, since it
// comes back empty, and against keeping out one that has crashed once.
func TestServerThatGoesDownAndUp(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.now = func() time.Time { return start }
	restart := func(afterMS int64) {
		s := server("x")
		old, _ := w.Get("x")
		s.StartedMS = old.StartedMS + afterMS
		w.Put(s)
	}
	w.Sync(start, []Server{server("x")})
	restart(shortLife.Milliseconds())
	is.Equal(w.accepting(start), []string{"x"}) // one crash
	restart(1400)
	is.Equal(len(w.accepting(start.Add(brokenMost-1))), 0)
	is.Equal(w.accepting(start.Add(brokenMost)), []string{"x"})
	w.NoteDraining("x", 0)
	restart(1400)
	is.Equal(w.accepting(start), []string{"x"}) // it had said that it leaves
}

// Guards against each gateway losing requests of its own before it knows that an
// engine breaks links, and against gateways that keep telling each other what they
// only heard.
func TestBrokenLinksAreTold(t *testing.T) {
	is := is.New(t)
	a, b := newWorld(), newWorld()
	for _, w := range []*world{a, b} {
		w.Sync(start, []Server{server("x"), server("y")})
	}
	a.NoteBroken(start, "x")
	told := a.Broken(start.Add(time.Second))
	is.Equal(told, map[string]time.Duration{"x": brokenFirst - time.Second})
	b.HearBroken(start, told)
	is.Equal(b.accepting(start), []string{"y"})
	is.Equal(b.accepting(start.Add(told["x"])), []string{"x", "y"})
	is.Equal(len(b.Broken(start)), 0)
	a.NoteAnswered("x")
	is.Equal(len(a.Broken(start.Add(time.Second))), 0)
	is.Equal(len(a.Broken(start.Add(brokenFirst))), 0)
	b.HearBroken(start, map[string]time.Duration{"x": time.Hour, "unknown": time.Second})
	is.Equal(b.accepting(start.Add(brokenMost)), []string{"x", "y"})
}
