package registry

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a server that has left and gets work again because the list has come back from an older copy, which has its last
// entry. Its own later word, or a start since, counts.
func TestRemovedEntryInAnOlderList(t *testing.T) {
	for _, engine := range []bool{false, true} {
		for name, tt := range map[string]struct {
			listed  Server
			change  bool // the entry comes as a change, so that it has been written since the return
			accepts bool
		}{
			"last entry":            {listed: entry(engine, 100, 4)},
			"earlier entry":         {listed: entry(engine, 100, 3)},
			"later entry":           {listed: entry(engine, 100, 5), accepts: true},
			"later start":           {listed: entry(engine, 200, 1), accepts: true},
			"last entry, new write": {listed: entry(engine, 100, 4), change: true, accepts: true},
		} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				r := newTestRegistry()
				r.Put(entry(engine, 100, 4))
				r.Remove(start, "x")
				r.ListReturned()
				for range 2 { // the list may be read again before the store removes the entry
					if tt.change {
						r.Put(tt.listed)
					} else {
						r.Sync(start, []Server{tt.listed})
					}
					is.Equal(r.acceptsWork(t, engine, start), tt.accepts)
				}
			})
		}
	}
}
