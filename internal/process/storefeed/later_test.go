package storefeed

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
)

// numbered holds what a gateway knows of its keys: the highest number in the values of their rows. The list of a real
// gateway compares them as well.
type numbered struct {
	mu    sync.Mutex
	known map[string]string
}

func (n *numbered) add(rows []Row) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.known == nil {
		n.known = map[string]string{}
	}
	for _, r := range rows {
		n.known[r.Key] = max(n.known[r.Key], string(r.Value))
	}
}

func (n *numbered) superseded(r Row) bool { return string(r.Value) < n.of(r.Key) }

func (n *numbered) of(key string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.known[key]
}

// startNumbered starts the watcher of a member, which knows nothing.
func startNumbered(t *testing.T, m *member) *numbered {
	n := &numbered{}
	w := &Watcher{
		Source: &m.source, Copies: m.copies, Table: testTable, Logger: log.NewNopLogger(), Newest: new(Newest),
		Sync: func(_ time.Time, rows []Row) { n.add(rows) }, Change: func(_ time.Time, rows []Row) { n.add(rows) },
		Confirmed: func(time.Duration) {}, Recovered: func(time.Time) {},
		Superseded: n.superseded, Later: func(_ string, rows []Row) []Row { n.add(rows); return nil },
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = w.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return n
}

// write writes a row with a value.
func (s *fakeStore) write(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(Row{Key: key, Value: []byte(value)})
}

func awaitValue(t *testing.T, n *numbered, want string) {
	t.Helper()
	for deadline := time.Now().Add(askWithin); n.of("x") != want; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the row is %q after %v, want %q", n.of("x"), askWithin, want)
		}
	}
}

// Guards against a gateway that has just started and knows only the row that the store has written over a later one. It
// reads the store itself, or follows a reader.
func TestStartedGatewayLearnsOverwrittenRows(t *testing.T) {
	for starts, name := range []string{"reader", "follower"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dc := &dataCentre{store: &fakeStore{rows: map[string]Row{}, calls: map[string]int{}}}
			for i := range 2 {
				m := &member{name: fmt.Sprintf("g%d", i+1), dc: dc, place: "a"}
				m.source.store, m.source.gateway = dc.store, m.name
				m.copies = NewCopies(m, m, log.NewNopLogger())
				dc.members = append(dc.members, m)
			}
			slices.SortFunc(dc.members, byRank)
			dc.store.write("x", "4")
			kept := startNumbered(t, dc.members[1-starts])
			awaitValue(t, kept, "4")
			dc.store.write("x", "3")
			dc.store.write("y", "1")
			for kept.of("y") == "" {
				time.Sleep(5 * time.Millisecond)
			}
			time.Sleep(changePause / 2) // the copies are updated after the watcher's own state
			started := startNumbered(t, dc.members[starts])
			awaitValue(t, started, "4")
			dc.store.write("x", "5")
			awaitValue(t, started, "5")
		})
	}
}

// Guards against a start that waits for other gateways.
func TestStartWithoutOtherGateways(t *testing.T) {
	is := is.New(t)
	dc := &dataCentre{store: &fakeStore{rows: map[string]Row{}, calls: map[string]int{}}}
	m := &member{name: "g1", dc: dc, place: "a"}
	m.copies = NewCopies(m, m, log.NewNopLogger())
	dc.members = []*member{m}
	m.source.store, m.source.gateway = dc.store, m.name
	dc.store.write("x", "4")
	began := time.Now()
	n := startNumbered(t, m)
	awaitValue(t, n, "4")
	is.True(time.Since(began) < askPause)
}
