package storefeed

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"persimmonwing/internal/process/boottime"
	"persimmonwing/internal/process/membership"
)

const testTable = "servers"

// fakeStore is a store with one table.
type fakeStore struct {
	mu       sync.Mutex
	rows     map[string]Row
	revision int64
	down     bool
	oldest   int64          // oldest revision after which changes can be read
	calls    map[string]int // by gateway
	drills   fakeDrills
}

func (s *fakeStore) put(key string, tombstone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(Row{Key: key, Tombstone: tombstone})
}

func (s *fakeStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// fakeSource is one gateway's connection to a fakeStore.
type fakeSource struct {
	store   *fakeStore
	gateway string
	cut     atomic.Bool
	// hangs is set while calls get no response. held, if not nil, delays the response to a List call until it is closed.
	hangs atomic.Bool
	held  chan struct{}
}

var errCut = errors.New("cut off")

func (s *fakeSource) answer(since int64) (Rows, error) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	if s.store.down || s.cut.Load() {
		return Rows{}, errCut
	}
	out := Rows{Revision: s.store.revision}
	out.Era = s.store.drills.era
	for _, r := range s.store.rows {
		if r.Revision > since && (since >= 0 || !r.Tombstone) {
			out.Rows = append(out.Rows, r)
		}
	}
	return out, nil
}

func (s *fakeSource) List(context.Context, string) (Rows, error) {
	s.store.set(func() { s.store.calls[s.gateway]++ })
	out, err := s.answer(needsList)
	if s.held != nil {
		<-s.held
	}
	return out, err
}

func (s *fakeSource) Feed(ctx context.Context, _ string, since int64, wait time.Duration) (Rows, error) {
	s.store.set(func() { s.store.calls[s.gateway]++ })
	era := s.store.era()
	for deadline := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		if s.silent() {
			return Rows{}, s.awaitTimeout(ctx, deadline)
		}
		if s.store.era() != era {
			return Rows{}, errCut
		}
		gone := false
		s.store.set(func() { gone = since < s.store.oldest || since > s.store.revision })
		if gone {
			return Rows{}, ErrHistoryGone
		}
		out, err := s.answer(since)
		if err != nil || len(out.Rows) > 0 || !time.Now().Before(deadline) || ctx.Err() != nil {
			return out, err
		}
	}
}

// member is one gateway of the data centre under test. With several data centres, place
// is its data centre.
type member struct {
	name       string
	place      string
	dc         *dataCentre
	source     fakeSource
	copies     *Copies
	frozen     atomic.Bool
	mu         sync.Mutex
	rows       map[string]bool
	syncs      int
	confirm    time.Duration
	recoveries int
}

// dataCentre is a set of gateways that call each other within this process, sorted by
// rank. It holds the gateways of several data centres if their places differ.
type dataCentre struct {
	store   *fakeStore
	members []*member
}

func (m *member) Self() membership.Host { return membership.Host{Name: m.name} }

func (m *member) Ranked(string, int) []membership.Gateway {
	var out []membership.Gateway
	for _, o := range m.dc.members {
		if o.place == m.place {
			out = append(out, membership.Gateway{Name: o.name, PeerAddress: o.name})
		}
	}
	return out
}

func (m *member) FirstRanked(string) []membership.Gateway {
	var out []membership.Gateway
	known := map[string]bool{}
	for _, o := range m.dc.members {
		if !known[o.place] {
			known[o.place] = true
			out = append(out, membership.Gateway{Name: o.name, PeerAddress: o.name})
		}
	}
	return out
}

func (m *member) Live() []membership.Gateway {
	var out []membership.Gateway
	for _, o := range m.dc.members {
		out = append(out, membership.Gateway{Name: o.name, PeerAddress: o.name})
	}
	return out
}

func (m *member) Call(ctx context.Context, address, _ string, args, reply any) error {
	i := slices.IndexFunc(m.dc.members, func(o *member) bool { return o.name == address })
	if to := m.dc.members[i]; !to.frozen.Load() && !m.frozen.Load() {
		return to.copies.Service().Feed(args.(*Args), reply.(*Reply))
	}
	<-ctx.Done()
	return ctx.Err()
}

func (m *member) has(key string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rows[key]
}

func (m *member) age() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return boottime.Now() - m.confirm
}

// byRank compares gateways by their rank as readers.
func byRank(a, b *member) int {
	if membership.RanksBefore(a.name, b.name, purpose) {
		return -1
	}
	return 1
}

func newDataCentre(t *testing.T, n int) *dataCentre {
	return newDataCentres(t, n, 1)
}

// newDataCentres starts n gateways, spread over a number of data centres.
func newDataCentres(t *testing.T, n, places int) *dataCentre {
	t.Parallel()
	dc := &dataCentre{store: &fakeStore{rows: map[string]Row{}, calls: map[string]int{}}}
	dc.store.put("first", false)
	for i := range n {
		dc.members = append(dc.members, &member{name: fmt.Sprintf("g%d", i+1), dc: dc, rows: map[string]bool{}})
	}
	slices.SortFunc(dc.members, byRank)
	for i, m := range dc.members {
		m.place = fmt.Sprint(i % places)
		m.source.store, m.source.gateway = dc.store, m.name
		m.copies = NewCopies(m, m, log.NewNopLogger())
	}
	for _, m := range dc.members {
		m.start(t)
	}
	dc.eventually(t, "all have read the table", func(m *member) bool { return m.has("first") }, 2*time.Second)
	return dc
}

// start runs the watcher of a gateway until the test ends.
func (m *member) start(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{
		Source: &m.source, Copies: m.copies, Table: testTable, Logger: log.NewNopLogger(), Newest: new(Newest),
		Sync: func(_ time.Time, rows []Row) {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.rows = map[string]bool{}
			m.syncs++
			for _, r := range rows {
				m.rows[r.Key] = true
			}
		},
		Change: func(_ time.Time, rows []Row) {
			m.mu.Lock()
			defer m.mu.Unlock()
			for _, r := range rows {
				m.rows[r.Key] = !r.Tombstone
			}
		},
		Confirmed: func(at time.Duration) {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.confirm = max(m.confirm, at)
		},
		Recovered: func(time.Time) {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.recoveries++
		},
	}
	ended := make(chan struct{})
	go func() { defer close(ended); _ = w.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
}

func (dc *dataCentre) eventually(t *testing.T, what string, condition func(*member) bool, within time.Duration) {
	t.Helper()
	for deadline := time.Now().Add(within); ; time.Sleep(5 * time.Millisecond) {
		missing := slices.IndexFunc(dc.members, func(m *member) bool { return !condition(m) })
		if missing < 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s (%s)", within, what, dc.members[missing].name)
		}
	}
}

// callsDuring returns the number of calls of each gateway to the store within d.
func (dc *dataCentre) callsDuring(d time.Duration) map[string]int {
	dc.store.set(func() { clear(dc.store.calls) })
	time.Sleep(d)
	out := map[string]int{}
	dc.store.set(func() {
		for k, v := range dc.store.calls {
			out[k] = v
		}
	})
	return out
}

// Guards against a cost of store calls that grows with the number of gateways, and against
// confirmations through a reader that are too old for API keys, which must be confirmed
// within 3 s.
func TestFollowersAskTheReaderOnly(t *testing.T) {
	is := is.New(t)
	dc := newDataCentre(t, 6)
	time.Sleep(2 * feedWait)
	oldest := atomic.Int64{}
	go func() {
		for range 500 {
			for _, m := range dc.members {
				oldest.Store(max(oldest.Load(), int64(m.age())))
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	calls := dc.callsDuring(2500 * time.Millisecond)
	is.Equal(len(calls), 1)
	is.True(calls[dc.members[0].name] <= 4) // one per 0.7 s
	is.True(time.Duration(oldest.Load()) < 3*time.Second)
	dc.store.put("second", false)
	dc.eventually(t, "all know the new row", func(m *member) bool { return m.has("second") }, 200*time.Millisecond)
	dc.store.put("first", true)
	dc.eventually(t, "all know the dropped row", func(m *member) bool { return !m.has("first") }, 200*time.Millisecond)
}

// Guards against a cost of store calls that grows with the number of data centres: with a
// reader in each of six, the calls were the largest cost of all. A follower of a reader
// that follows another one must know changes in time and be confirmed within 3 s.
func TestOneReaderForAllDataCentres(t *testing.T) {
	for _, size := range []struct{ gateways, places int }{{12, 4}, {6, 4}, {2, 1}, {2, 2}} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			dc := newDataCentres(t, size.gateways, size.places)
			time.Sleep(2 * feedWait)
			calls := dc.callsDuring(2 * time.Second)
			is.Equal(len(calls), 1)
			is.True(calls[dc.members[0].name] <= 4)
			oldest := time.Duration(0)
			for range 500 {
				for _, m := range dc.members {
					oldest = max(oldest, m.age())
				}
				time.Sleep(5 * time.Millisecond)
			}
			is.True(oldest < 3*time.Second)
			dc.store.put("second", false)
			dc.eventually(t, "all know the new row", func(m *member) bool { return m.has("second") }, 300*time.Millisecond)
		})
	}
}

// Guards against an outage of the list that only the reader had: its followers, which have
// read the store in the meantime, would keep servers that leave in use for 2.5 s after the
// reader's return. In a day all generations on such a server were lost.
func TestOutageOfTheReaderAloneIsNone(t *testing.T) {
	is := is.New(t)
	dc := newDataCentres(t, 6, 3)
	time.Sleep(2 * feedWait)
	first := dc.members[0]
	first.source.cut.Store(true)
	time.Sleep(4 * time.Second)
	first.source.cut.Store(false)
	time.Sleep(3 * time.Second)
	dc.store.put("second", false)
	dc.eventually(t, "all know the new row", func(m *member) bool { return m.has("second") }, time.Second)
	for _, m := range dc.members {
		m.mu.Lock()
		is.Equal(m.recoveries, 0) // the reader has read the copies of others
		m.mu.Unlock()
	}
}

// Guards against gateways that stay without confirmations because the reader of all data
// centres is lost: all must be confirmed within 4.3 s of their last one, and know changes
// within the 2 s of the smallest deployments.
func TestReaderOfAllDataCentresIsLost(t *testing.T) {
	dc := newDataCentres(t, 12, 4)
	time.Sleep(2 * feedWait)
	first := dc.members[0]
	first.frozen.Store(true)
	first.source.cut.Store(true)
	dc.store.put("second", false)
	rest := &dataCentre{store: dc.store, members: dc.members[1:]}
	oldest := time.Duration(0)
	for started := time.Now(); time.Since(started) < 4*time.Second; time.Sleep(5 * time.Millisecond) {
		for _, m := range rest.members {
			oldest = max(oldest, m.age())
			if time.Since(started) > 2*time.Second && !m.has("second") {
				t.Fatalf("%s does not know the new row after 2 s", m.name)
			}
		}
	}
	if oldest > 4300*time.Millisecond {
		t.Errorf("a confirmation was %v old", oldest)
	}
	t.Logf("the oldest confirmation was %v old", oldest)
	first.frozen.Store(false)
	first.source.cut.Store(false)
}

// Guards against followers that miss changes because their reader is frozen: a
// configuration must be installed everywhere within 3 s.
func TestFrozenReader(t *testing.T) {
	dc := newDataCentre(t, 4)
	time.Sleep(feedWait)
	dc.members[0].frozen.Store(true)
	dc.members[0].source.cut.Store(true)
	dc.store.put("second", false)
	rest := &dataCentre{store: dc.store, members: dc.members[1:]}
	rest.eventually(t, "the followers know the new row", func(m *member) bool { return m.has("second") }, 2*time.Second)
	rest.eventually(t, "the followers are confirmed", func(m *member) bool { return m.age() < time.Second }, 2*time.Second)
	dc.members[0].frozen.Store(false)
	dc.members[0].source.cut.Store(false)
}

// Guards against followers that miss changes because their reader cannot read the store.
func TestReaderCutOffFromTheStore(t *testing.T) {
	dc := newDataCentre(t, 4)
	time.Sleep(feedWait)
	dc.members[0].source.cut.Store(true)
	dc.store.put("second", false)
	rest := &dataCentre{store: dc.store, members: dc.members[1:]}
	rest.eventually(t, "the followers know the new row", func(m *member) bool { return m.has("second") }, 2*time.Second)
}

// Guards against all followers calling the store while one reader cannot read it.
func TestSpareReader(t *testing.T) {
	is := is.New(t)
	dc := newDataCentre(t, 6)
	time.Sleep(feedWait)
	dc.members[0].source.cut.Store(true)
	time.Sleep(2 * feedWait)
	calls := dc.callsDuring(2 * feedWait)
	is.True(calls[dc.members[1].name] > 0)
	for _, m := range dc.members[2:] {
		is.Equal(calls[m.name], 0)
	}
}

// Guards against a follower that does not use its reader although the follower itself has
// no connection to the store.
func TestFollowerCutOffFromTheStore(t *testing.T) {
	dc := newDataCentre(t, 4)
	time.Sleep(2 * feedWait)
	dc.members[3].source.cut.Store(true)
	dc.store.put("second", false)
	dc.eventually(t, "all know the new row", func(m *member) bool { return m.has("second") }, 500*time.Millisecond)
}

// Guards against all gateways calling the store frequently during an outage, and against
// followers that detect the store's recovery late or never: entries that expired during
// the outage are kept for a grace period that begins at the recovery.
func TestStoreLostAndRegained(t *testing.T) {
	is := is.New(t)
	dc := newDataCentre(t, 6)
	time.Sleep(feedWait)
	dc.store.set(func() { dc.store.down = true })
	time.Sleep(2 * feedWait)
	calls := dc.callsDuring(2 * probePeriod)
	for _, m := range dc.members[1:] {
		is.True(calls[m.name] <= 3) // one per probePeriod
	}
	dc.store.set(func() { dc.store.down = false })
	dc.store.put("first", true)
	dc.eventually(t, "all know of the return", func(m *member) bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.recoveries > 0 && !m.rows["first"]
	}, 2*MaxRecoveryDelay)
}

// Guards against a follower that keeps rows whose deletion the store has forgotten.
func TestHistoryGone(t *testing.T) {
	dc := newDataCentre(t, 4)
	time.Sleep(feedWait)
	dc.store.put("second", false)
	dc.eventually(t, "all know the new row", func(m *member) bool { return m.has("second") }, time.Second)
	dc.store.set(func() {
		delete(dc.store.rows, "second")
		dc.store.revision += 2
		dc.store.oldest = dc.store.revision
		dc.store.rows["third"] = Row{Key: "third", Revision: dc.store.revision}
	})
	dc.eventually(t, "all have dropped the row", func(m *member) bool { return !m.has("second") && m.has("third") }, 3*time.Second)
}

// Guards against a whole table that is older than what this process has seen of the store.
func TestOutdatedTableIsNotUsed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	source := &fakeSource{store: &fakeStore{rows: map[string]Row{}, calls: map[string]int{}}}
	source.store.put("first", false)
	var newest Newest
	var read atomic.Int64
	newest.Raise(Position{Revision: 2})
	w := &Watcher{
		Source: source, Table: testTable, Logger: log.NewNopLogger(), Newest: &newest,
		Sync:   func(_ time.Time, rows []Row) { read.Store(int64(len(rows))) },
		Change: func(time.Time, []Row) {}, Confirmed: func(time.Duration) {}, Recovered: func(time.Time) {},
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = w.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	for calls := 0; calls < 3; time.Sleep(5 * time.Millisecond) {
		source.store.set(func() { calls = source.store.calls[""] })
	}
	is.Equal(read.Load(), int64(0))
	source.store.put("second", false)
	for deadline := time.Now().Add(2 * MaxRecoveryDelay); read.Load() == 0 && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(read.Load(), int64(2))
}

// Guards against a confirmation that is newer than the store's own, and against using the
// rows of an outdated copy.
func TestAnswerOfAReader(t *testing.T) {
	const sentAt = 100 * time.Second
	tests := []struct {
		name               string
		reply              Reply
		since, minRevision int64
		outcome            copyOutcome
		confirmedSecs      float64
	}{
		{"fresh", Reply{Revision: 7, Age: 2 * time.Second}, 5, 5, copyFresh, 98},
		{"same revision", Reply{Revision: 5, Age: time.Second}, 5, 5, copyFresh, 99},
		{"behind, confirms nothing", Reply{Revision: 4, Age: time.Second}, 5, 5, copyFresh, 0},
		{"too old", Reply{Revision: 7, Age: 2500 * time.Millisecond}, 5, 5, copyNone, 0},
		{"lost", Reply{Revision: 7, Lost: true}, 5, 5, copyLost, 0},
		{"whole", Reply{Revision: 7, Whole: true, Age: time.Second}, needsList, 7, copyFresh, 99},
		{"whole but behind this process", Reply{Revision: 6, Whole: true, Age: time.Second}, needsList, 7, copyNone, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a, outcome := tt.reply.result(Position{Revision: tt.since}, Position{Revision: tt.minRevision}, sentAt)
			is.Equal(outcome, tt.outcome)
			is.Equal(a.confirmedAt.Seconds(), tt.confirmedSecs)
		})
	}
}

// Guards against a copy that grows with every server that ever existed, and against a
// follower that misses a deletion whose tombstone was pruned.
func TestTombstonesAreBounded(t *testing.T) {
	is := is.New(t)
	c := NewCopies(nil, nil, log.NewNopLogger())
	c.update(testTable, result{Rows: Rows{Rows: []Row{{Key: "kept", Revision: 1}}, Revision: 1}, whole: true})
	for i := range int64(3 * maxTombstones) {
		c.update(testTable, result{Rows: Rows{Rows: []Row{{Key: fmt.Sprint(i), Revision: i + 2, Tombstone: true}}, Revision: i + 2}})
	}
	is.True(len(c.tables[testTable].rows) <= maxTombstones+1)
	var r Reply
	is.NoErr(c.Service().Feed(&Args{Table: testTable, Since: 5}, &r))
	is.True(r.Whole)
	is.Equal(len(r.Rows), 1)
}

// Guards against gateways that follow each other when their views differ.
func TestFollowsOnlyWhoRanksBefore(t *testing.T) {
	is := is.New(t)
	all := &dataCentre{}
	for i := range 3 * gatewaysPerReader {
		m := &member{name: fmt.Sprintf("g%03d", i)}
		if i%3 > 0 {
			m.place = fmt.Sprint("small ", i%5)
		}
		all.members = append(all.members, m)
	}
	slices.SortFunc(all.members, byRank)
	for drop := range 10 {
		for i, m := range all.members {
			view := &dataCentre{}
			for j, o := range all.members {
				if j == i || (i*7+j*3)%11 != drop { // each view lacks other gateways
					view.members = append(view.members, o)
				}
			}
			m.dc = view
			for _, chosen := range NewCopies(m, m, log.NewNopLogger()).candidateReaders(time.Now()) {
				is.True(membership.RanksBefore(chosen.Name, m.name, purpose))
			}
		}
	}
}
