package origins

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/telemetry"
)

const (
	testService  = "s"
	testLifetime = 6 * time.Second
)

var errAway = errors.New("store is away")

// fakeStore is a store that may be away, or come back from an older copy.
type fakeStore struct {
	mu       sync.Mutex
	away     bool
	records  map[string]Origin
	served   map[string]ServedRow
	revision int64
	began    time.Time
}

func newFakeStore() *fakeStore {
	return &fakeStore{records: map[string]Origin{}, served: map[string]ServedRow{}, began: time.Now()}
}

// call runs f unless the store is away.
func (s *fakeStore) call(f func()) error {
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return errAway
	}
	f()
	return nil
}

func (s *fakeStore) PutRecords(_ context.Context, records []Record) error {
	return s.call(func() {
		for _, r := range records {
			s.records[r.Key] = r.Origin
		}
	})
}

func (s *fakeStore) DropRecords(_ context.Context, keys []string) error {
	return s.call(func() {
		for _, key := range keys {
			delete(s.records, key)
		}
	})
}

func (s *fakeStore) FindRecord(_ context.Context, key string) (o Origin, found bool, err error) {
	err = s.call(func() { o, found = s.records[key] })
	return o, found, err
}

func (s *fakeStore) RecordKeys(context.Context) (keys []string, err error) {
	err = s.call(func() { keys = slices.Collect(maps.Keys(s.records)) })
	return keys, err
}

func (s *fakeStore) ReadServed(context.Context) (rows map[string]ServedRow, clock time.Duration, err error) {
	err = s.call(func() { rows, clock = maps.Clone(s.served), time.Since(s.began) })
	return rows, clock, err
}

func (s *fakeStore) WriteServed(_ context.Context, service string, row ServedRow) (written bool, err error) {
	err = s.call(func() {
		if s.served[service].Revision != row.Revision {
			return
		}
		s.revision++
		s.served[service] = ServedRow{Served: row.Served, Revision: s.revision}
		written = true
	})
	return written, err
}

// fleet is some gateways with a store and servers of several versions.
type fleet struct {
	t        *testing.T
	store    *fakeStore
	began    time.Time
	listed   []string // versions with a server in the list
	gateways []*gateway
}

// gateway is a gateway that reads the list of servers.
type gateway struct {
	f    *fleet
	name string
	keep *Keeper
	stop context.CancelFunc
	done chan struct{}
	// cut is set while the gateway can't read the list. list is the list as last read, at readAt.
	cut bool
	// stopped is set while the process stands still.
	stopped atomic.Bool
	list    []string
	readAt  time.Duration
}

func (f *fleet) now() time.Duration { return time.Since(f.began) + time.Hour }

// set changes what gateways read.
func (f *fleet) set(change func()) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	change()
}

// recorded returns the number of records in the store.
func (f *fleet) recorded() (n int) {
	f.set(func() { n = len(f.store.records) })
	return n
}

func newFleet(t *testing.T, gateways int, versions ...string) *fleet {
	f := &fleet{t: t, store: newFakeStore(), began: time.Now(), listed: versions}
	for i := range gateways {
		f.gateways = append(f.gateways, &gateway{f: f, name: fmt.Sprint("g", i)})
	}
	for _, g := range f.gateways {
		g.start()
	}
	time.Sleep(testLifetime + lag + servedWriters*servedDelay)
	return f
}

func (f *fleet) close() {
	time.Sleep(time.Second) // until calls to the store have ended whose results nobody waits for
	for _, g := range f.gateways {
		g.kill()
	}
}

func (g *gateway) start() {
	ctx, cancel := context.WithCancel(context.Background())
	g.stop, g.done = cancel, make(chan struct{})
	g.read()
	keep := New(Options{
		Store: g.f.store, Caller: g, View: g, Now: g.f.now, Logger: log.NewNopLogger(), Metrics: telemetry.New(),
		Versions: func() map[string][]string {
			g.read()
			g.f.store.mu.Lock()
			defer g.f.store.mu.Unlock()
			return map[string][]string{testService: slices.Clone(g.list)}
		},
		ConfirmedAt: g.read,
	})
	g.f.set(func() { g.keep = keep })
	go func() { defer close(g.done); _ = keep.Run(ctx) }()
}

func (g *gateway) kill() {
	g.stop()
	<-g.done
}

// read reads the list if the gateway can, and returns the time of the last read.
func (g *gateway) read() time.Duration {
	for g.stopped.Load() {
		time.Sleep(time.Millisecond)
	}
	g.f.store.mu.Lock()
	defer g.f.store.mu.Unlock()
	if !g.cut && !g.f.store.away {
		g.list, g.readAt = slices.Clone(g.f.listed), g.f.now()
	}
	return g.readAt
}

// The following methods implement View and membership.Caller.

func (g *gateway) Self() membership.Host { return membership.Host{Name: g.name} }

func (g *gateway) Live() []membership.Gateway {
	var out []membership.Gateway
	for _, o := range g.f.gateways {
		out = append(out, membership.Gateway{Name: o.name, PeerAddress: o.name})
	}
	return out
}

func (g *gateway) FirstRanked(string) []membership.Gateway { return g.Live() }

func (g *gateway) Call(_ context.Context, address, _ string, args, reply any) error {
	i := slices.IndexFunc(g.f.gateways, func(o *gateway) bool { return o.name == address })
	var keep *Keeper
	g.f.set(func() { keep = g.f.gateways[i].keep })
	return keep.RPC().Find(args.(*FindArgs), reply.(*FindReply))
}

func stream(id string) Stream {
	return Stream{ID: id, Services: []string{testService}, Lifetime: testLifetime}
}

// begin begins a stream at a version of the list as the gateway has it.
func (g *gateway) begin(id, version string) {
	g.keep.Begun(context.Background(), stream(id), Origin{testService, version})
}

// Guards against take-ups that are refused although the origin of their stream can be told: by any gateway that remembers it, by the store
// after the loss of all memory, or because only one version can have begun it.
func TestOriginsAreFound(t *testing.T) {
	for name, c := range map[string]struct {
		versions []string
		change   func(f *fleet)
		id       string
		found    string
	}{
		"same version everywhere":         {[]string{"v1"}, func(*fleet) {}, "unknown", "v1"},
		"not named, one version":          {[]string{"v1"}, func(*fleet) {}, "", "v1"},
		"two versions":                    {[]string{"v1", "v2"}, func(*fleet) {}, "a", "v2"},
		"two versions, unknown":           {[]string{"v1", "v2"}, func(*fleet) {}, "unknown", ""},
		"two versions, not named":         {[]string{"v1", "v2"}, func(*fleet) {}, "", ""},
		"its gateway was killed":          {[]string{"v1", "v2"}, func(f *fleet) { f.gateways[0].kill(); f.gateways[0].start() }, "a", "v2"},
		"all were killed":                 {[]string{"v1", "v2"}, killAll, "a", "v2"},
		"all were killed, one version":    {[]string{"v2"}, killAll, "unknown", "v2"},
		"all were killed, version gone":   {[]string{"v1", "v2"}, func(f *fleet) { f.set(func() { f.listed = []string{"v1"} }); killAll(f) }, "a", "v2"},
		"all killed, only version gone":   {[]string{"v2"}, func(f *fleet) { f.set(func() { f.listed = []string{"v3"} }); killAll(f) }, "unknown", ""},
		"another version has just come":   {[]string{"v2"}, func(f *fleet) { f.set(func() { f.listed = []string{"v1", "v2"} }); time.Sleep(observePeriod) }, "a", "v2"},
		"it has come and all were killed": {[]string{"v2"}, func(f *fleet) { f.set(func() { f.listed = []string{"v1", "v2"} }); time.Sleep(time.Second); killAll(f) }, "a", "v2"},
		"store away":                      {[]string{"v1", "v2"}, func(f *fleet) { f.set(func() { f.store.away = true }) }, "a", "v2"},
		"store away, unknown":             {[]string{"v1", "v2"}, func(f *fleet) { f.set(func() { f.store.away = true }) }, "unknown", ""},
		"another version long gone": {[]string{"v1", "v2"}, func(f *fleet) {
			f.set(func() { f.listed = []string{"v1"} })
			time.Sleep(testLifetime + lag + observePeriod)
		}, "unknown", "v1"},
		"another version gone": {[]string{"v1", "v2"}, func(f *fleet) { f.set(func() { f.listed = []string{"v1"} }); time.Sleep(time.Second) }, "unknown", ""},
		"list not read for long": {[]string{"v1"}, func(f *fleet) {
			f.set(func() { f.gateways[1].cut = true })
			time.Sleep(4 * time.Second)
		}, "unknown", ""},
		"store came back without the record": {[]string{"v1", "v2"}, func(f *fleet) {
			f.set(func() { f.store.records = map[string]Origin{} })
			for _, g := range f.gateways {
				g.keep.StoreReturned()
			}
			time.Sleep(time.Second)
			killAll(f)
		}, "a", "v2"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 3, c.versions...)
				defer f.close()
				f.gateways[0].begin("a", "v2")
				c.change(f)
				o, err := f.gateways[1].keep.Find(context.Background(), stream(c.id))
				is.Equal(o.Version, c.found)
				is.Equal(err == nil, c.found != "")
			})
		})
	}
}

func killAll(f *fleet) {
	for _, g := range f.gateways {
		g.kill()
	}
	for _, g := range f.gateways {
		g.start()
	}
}

// Guards against a stream that is taken up at another version than that which began it, in random sequences of changes of the versions that
// serve, gateways that begin and take up streams, are killed and cut off from the list, and a store that is away or loses records.
func TestOriginsAreNeverWrong(t *testing.T) {
	const seeds, steps = 60, 120
	found, unknown := 0, 0
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			f := newFleet(t, 3, "v1")
			defer f.close()
			type begun struct {
				version string
				at      time.Time
			}
			streams := map[string]begun{}
			next := 2
			for step := range steps {
				g := f.gateways[rng.IntN(len(f.gateways))]
				switch rng.IntN(16) {
				case 0:
					f.set(func() { f.listed = append(slices.Clone(f.listed), fmt.Sprint("v", next)) })
					next++
				case 1:
					if len(f.listed) > 1 {
						f.set(func() { f.listed = slices.Delete(slices.Clone(f.listed), 0, 1) })
					}
				case 2:
					g.kill()
					g.start()
				case 3:
					killAll(f)
				case 4:
					f.set(func() { g.cut = !g.cut })
				case 5:
					f.set(func() { f.store.away = !f.store.away })
				case 6:
					f.store.mu.Lock()
					clear(f.store.records)
					clear(f.store.served)
					f.store.mu.Unlock()
					for _, g := range f.gateways {
						g.keep.StoreReturned()
					}
				case 7, 8, 9, 10:
					// A gateway that can't read the list refuses requests with a key soon.
					if f.now()-g.read() < lag {
						id := fmt.Sprint("stream-", step)
						var versions []string
						f.set(func() { versions = g.list })
						version := versions[rng.IntN(len(versions))]
						g.begin(id, version)
						streams[id] = begun{version, time.Now()}
					}
				default:
					for id, b := range streams {
						if time.Since(b.at) >= testLifetime {
							continue
						}
						o, err := g.keep.Find(context.Background(), stream(id))
						if err != nil {
							unknown++
							continue
						}
						found++
						if o.Version != b.version {
							t.Fatalf("seed %d, step %d: stream of %s goes on at %s", seed, step, b.version, o.Version)
						}
					}
				}
				time.Sleep(time.Duration(rng.Int64N(int64(1500 * time.Millisecond))))
			}
		})
	}
	t.Logf("%d origins found, %d unknown", found, unknown)
	if found < 2*unknown {
		t.Errorf("%d origins found, %d unknown", found, unknown)
	}
}

// Guards against records that stay in the store after their streams have ended, also those of gateways that were killed.
func TestRecordsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3, "v1", "v2")
		defer f.close()
		for i := range 3 * maxBatch {
			f.gateways[i%3].begin(fmt.Sprint("stream-", i), "v1")
		}
		is.Equal(f.recorded(), 3*maxBatch)
		f.gateways[2].kill()
		f.gateways[2].start()
		time.Sleep(testLifetime + 2*dropPeriod)
		is.Equal(f.recorded(), maxBatch) // of the gateway that was killed
		time.Sleep(3 * sweepPeriod)
		is.Equal(f.recorded(), 0)
	})
}

// Guards against records of killed gateways that pile up because few are deleted at once.
func TestRecordsOfKilledGatewaysAreDeletedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2, "v1", "v2")
		defer f.close()
		for i := range 4 * maxBatch {
			f.gateways[1].begin(fmt.Sprint("stream-", i), "v1")
		}
		f.gateways[1].kill()
		f.gateways[1].start()
		time.Sleep(3 * sweepPeriod)
		is.Equal(f.recorded(), 0)
	})
}

// Guards against records that pile up in the store because streams end faster than their records are deleted.
func TestRecordsAreDeletedAsFastAsTheyCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const perSecond, seconds = 40, 60
		f := newFleet(t, 1, "v1", "v2")
		defer f.close()
		for i := range seconds * perSecond {
			go f.gateways[0].begin(fmt.Sprint("stream-", i), "v1")
			time.Sleep(time.Second / perSecond)
		}
		is.True(f.recorded() < perSecond*(int(testLifetime/time.Second)+2*int(dropPeriod/time.Second)))
	})
}

// Guards against calls to the store for streams that can have begun at one version only.
func TestOneVersionNeedsNoRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3, "v1")
		defer f.close()
		for i := range 30 {
			f.gateways[i%3].begin(fmt.Sprint("stream-", i), "v1")
		}
		time.Sleep(time.Second)
		is.Equal(f.recorded(), 0)
		is.Equal(f.store.revision, int64(1)) // the versions that serve were recorded once
	})
}
