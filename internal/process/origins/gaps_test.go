package origins

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// away is the time for which a gateway observes nothing in these tests.
const away = 4 * time.Second

// Guards against a gateway that takes the only version it has seen for the only one, after it could not read the list, or stood still,
// while another version came, began streams at other gateways and left.
func TestVersionThatCameAndLeftUnseen(t *testing.T) {
	for name, during := range map[string]func(f *fleet, blind *gateway, come, leave func()){
		"cut off": func(f *fleet, blind *gateway, come, leave func()) {
			f.set(func() { blind.cut = true })
			come()
			time.Sleep(away)
			leave()
			f.set(func() { blind.cut = false })
		},
		"cut off, and the gateways that know were killed": func(f *fleet, blind *gateway, come, leave func()) {
			f.set(func() { blind.cut = true })
			come()
			time.Sleep(away)
			leave()
			for _, g := range f.gateways {
				if g != blind {
					g.kill()
					g.start()
				}
			}
			f.set(func() { blind.cut = false })
		},
		"stood still": func(f *fleet, blind *gateway, come, leave func()) {
			blind.stopped.Store(true)
			come()
			time.Sleep(away)
			leave()
			blind.stopped.Store(false)
		},
	} {
		for i := range 2 { // the gateway is the first in rank, which records the versions, or another one
			t.Run(fmt.Sprint(name, "/", i), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { findAfter(t, i, during) })
			})
		}
	}
}

// findAfter fails if a gateway takes up streams of v2 at another version, or refuses them, after v2 served during a function.
func findAfter(t *testing.T, blind int, during func(f *fleet, blind *gateway, come, leave func())) {
	is := is.New(t)
	f := newFleet(t, 3, "v1")
	defer f.close()
	began := time.Now()
	during(f, f.gateways[blind], func() { f.set(func() { f.listed = []string{"v1", "v2"} }) }, func() {
		for i := range 4 {
			f.gateways[2].begin(fmt.Sprint("stream-", i), "v2")
		}
		f.set(func() { f.listed = []string{"v1"} })
		time.Sleep(300 * time.Millisecond)
	})
	for ; time.Since(began) < away+testLifetime-time.Second; time.Sleep(100 * time.Millisecond) {
		for i := range 4 {
			o, err := f.gateways[blind].keep.Find(context.Background(), stream(fmt.Sprint("stream-", i)))
			if err == nil && o.Version != "v2" {
				t.Fatalf("%v after the other version came: a stream of v2 goes on at %s", time.Since(began), o.Version)
			}
			is.NoErr(err)
		}
	}
}

// Guards against refusing the take-up of a stream that only one version can have begun, or recording streams, for longer than
// reading the store takes after the list could not be read for a while.
func TestOneVersionAfterACut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3, "v1")
		defer f.close()
		for _, g := range f.gateways {
			f.set(func() { g.cut = true })
		}
		time.Sleep(10 * time.Second)
		for _, g := range f.gateways {
			f.set(func() { g.cut = false })
		}
		for _, g := range f.gateways {
			o, err := g.keep.Find(context.Background(), stream("unknown"))
			is.NoErr(err)
			is.Equal(o.Version, "v1")
			g.begin("after", "v1")
		}
		is.Equal(f.recorded(), 0)
	})
}

// Guards against taking the versions of a service for known since long ago where the store has a row that says nothing.
func TestRestoreOfAnEmptyRow(t *testing.T) {
	is := is.New(t)
	const started, now = time.Hour, time.Hour + time.Second
	h := NewHistory(started)
	h.Observe(now, testService, "v1")
	h.Restore(now, time.Hour, testService, Served{})
	_, known := h.Possible(now, testService, testLifetime)
	is.True(!known)
	h.Restore(now, time.Hour, testService, Served{Versions: map[string]time.Duration{"v1": 0}, Since: time.Minute})
	_, known = h.Possible(now, testService, testLifetime)
	is.True(known)
}

// startUnread starts a gateway anew that can read the store's rows but not the list until cut is reset.
func (g *gateway) startUnread() {
	g.kill()
	g.f.set(func() { g.cut, g.list, g.readAt = true, nil, 0 })
	g.start()
}

// Guards against a gateway that takes its start for the time from which on it knows all versions, although it reads the list only later.
func TestVersionThatCameAndLeftBeforeTheFirstRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3, "v1")
		defer f.close()
		g := f.gateways[1]
		g.startUnread()
		time.Sleep(time.Second) // the rows of versions are read
		began := time.Now()
		f.set(func() { f.listed = []string{"v1", "v2"} })
		time.Sleep(away)
		f.gateways[2].begin("stream", "v2")
		f.set(func() { f.listed = []string{"v1"} })
		time.Sleep(300 * time.Millisecond)
		f.set(func() { g.cut = false })
		for ; time.Since(began) < away+testLifetime-time.Second; time.Sleep(100 * time.Millisecond) {
			o, err := g.keep.Find(context.Background(), stream("stream"))
			if err == nil && o.Version != "v2" {
				t.Fatalf("%v after the other version came: a stream of v2 goes on at %s", time.Since(began), o.Version)
			}
			is.NoErr(err)
		}
	})
}

// Guards against taking the versions of a service for known from the start although the service is observed only since later, when it

// became one whose streams can be taken up.
func TestServiceObservedLater(t *testing.T) {
	is := is.New(t)
	const started, became = time.Hour, 2 * time.Hour
	h := NewHistory(started)
	h.Observe(became, "other", "v1")
	// v1 of the service left a second ago; since then the service is one whose streams can be taken up.
	h.Observe(became, testService, "v2")
	_, known := h.Possible(became+time.Second, testService, testLifetime)
	is.True(!known)
}

// Guards against recording all streams that run at each short outage of the store where one version serves.
func TestOneVersionRecordsNoStreamsAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, "v1")
		defer f.close()
		for i := range 300 {
			f.gateways[i%3].begin(fmt.Sprint("stream-", i), "v1")
		}
		f.set(func() { f.store.away = true })
		time.Sleep(2500 * time.Millisecond)
		f.set(func() { f.store.away = false })
		time.Sleep(time.Second)
		if n := f.recorded(); n > 0 {
			t.Errorf("%d records", n)
		}
	})
}
