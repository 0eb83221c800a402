// Package origins keeps at which software version each stream began that its caller may take up after a broken connection.
// What two versions of a server's software write doesn't fit together, and servers don't check this.
//
// A gateway remembers the streams that began at it. While only one version can have begun a stream, nothing else is needed. While
// several can, a gateway records the origin of each stream in the store before the stream's first event is passed on, so that a
// take-up can go on at any gateway, also after the loss of all their memory. A stream whose origin nobody can tell is not taken up.
package origins

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"

	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/telemetry"
	"persimmonwing/internal/request/pause"
)

// ServiceName is the name under which gateways ask each other.
const ServiceName = "Origins"

const (
	// lag is how long after the last server of a version has left the list a gateway that can't read the list may still begin a stream
	// there. Servers serve on for many seconds, but such a gateway refuses requests with a key after 4.3 s.
	lag = 5 * time.Second
	// freshList is the age of the last confirmation of the list of servers up to which a version that is not in it has no server. It
	// is above the age at a gateway that follows a reader through another one.
	freshList = 3 * time.Second
	// maxUnobserved is the time between two confirmations after which a version may have come and left between them. A server
	// serves for longer.
	maxUnobserved = 2 * time.Second
	// recordAfterGap is how long after a gap streams that began before it are not recorded while the store has not told whether one
	// version served all the time. It usually does within 20 ms.
	recordAfterGap = time.Second
	// servedRetention is how long the store keeps a version that no server has. It exceeds the lifetime of a stream and lag.
	servedRetention = 10 * time.Minute
	// servedTolerance is a difference of two such times that is not worth a write.
	servedTolerance = time.Second
	// maxStreams bounds the streams that a gateway remembers. At the target size 8 streams a second begin at a gateway.
	maxStreams = 1 << 14
	// recordTimeout bounds the time for which the first event of a stream waits until its origin is recorded. The store takes
	// about 10 ms.
	recordTimeout = 100 * time.Millisecond
	// findTimeout bounds the search for the origin of a stream, and startTimeout the wait of a gateway that has just started until it
	// knows which versions have served.
	findTimeout  = 200 * time.Millisecond
	startTimeout = 200 * time.Millisecond
	// writeTimeout bounds a write to the store.
	writeTimeout = time.Second
	// observePeriod is the time between two looks at the list of servers.
	observePeriod = 250 * time.Millisecond
	// maxBatch bounds the records of one transaction.
	maxBatch = 50
	// sweepPeriod is the time between two looks for records that a gateway has left behind. A record found twice is deleted: it is
	// older than any stream.
	sweepPeriod = 2 * time.Minute
	// servedWriters is the number of gateways, the first in rank, that record which versions serve, each servedDelay after the one
	// before it.
	servedWriters = 4
	servedDelay   = time.Second
)

// ErrUnknown is returned for a stream that may have begun at several versions, if nobody knows at which.
var ErrUnknown = eris.New("the software version that began the stream is not known")

// Record is the origin of one stream in the store, under a key that is derived from the id of the attempt that brought the first event.
type Record struct {
	Key string
	Origin
}

// recordKey returns the key of a stream's record. Ids are chosen by callers and may have any bytes and length.
func recordKey(id string) string {
	sum := sha256.Sum256([]byte(id))
	return hex.EncodeToString(sum[:16])
}

// Store keeps records and versions. Its calls are linearizable.
type Store interface {
	// PutRecords writes records, and DropRecords deletes some, in one transaction each.
	PutRecords(ctx context.Context, records []Record) error
	DropRecords(ctx context.Context, keys []string) error
	// FindRecord returns a record, and RecordKeys the keys of all.
	FindRecord(ctx context.Context, key string) (o Origin, found bool, err error)
	RecordKeys(ctx context.Context) ([]string, error)
	// ReadServed returns what is recorded of each service, and the store's clock. WriteServed replaces what is recorded of one if it
	// has not changed since it was read; otherwise written is false.
	ReadServed(ctx context.Context) (rows map[string]ServedRow, clock time.Duration, err error)
	WriteServed(ctx context.Context, service string, row ServedRow) (written bool, err error)
}

// ServedRow is what the store has recorded of a service, at a revision that is 0 if there is nothing.
type ServedRow struct {
	Served   Served
	Revision int64
}

// View provides the live gateways.
type View interface {
	Self() membership.Host
	Live() []membership.Gateway
	FirstRanked(purpose string) []membership.Gateway
}

// Options configures a Keeper.
type Options struct {
	Store  Store
	Caller membership.Caller
	View   View
	// Versions returns the software versions of the listed servers of each service.
	Versions func() map[string][]string
	// ConfirmedAt returns the time of the last confirmation of the list of servers, or 0 if there was none.
	ConfirmedAt func() time.Duration
	// Now is a clock that runs on while the host is suspended.
	Now     func() time.Duration
	Logger  log.Logger
	Metrics *telemetry.Metrics
}

// Keeper keeps the origins of streams. It is safe for concurrent use.
type Keeper struct {
	o Options
	// readAgain makes the keeper read the versions in the store again.
	readAgain chan struct{}
	writes    chan *write

	mu sync.Mutex
	// restored is closed once the store has told which versions served before the start, or during the last gap.
	restored   chan struct{}
	isRestored bool
	// confirmedAt is the last confirmation of the list of servers that was observed, and gaps the number of gaps between two.
	confirmedAt time.Duration
	gaps        int
	// gapAt is the time at which the last gap was noticed.
	gapAt   time.Duration
	history *History
	streams *table
	// expiring holds the records that this gateway has written, in the order of their end.
	expiring []expiry
	served   map[string]ServedRow
	// servedReadAt is the time at which served was read, and clock the store's clock then.
	servedReadAt, clock time.Duration
	// differsSince is the time since which the list has other versions of a service than the store.
	differsSince map[string]time.Duration
}

type expiry struct {
	key string
	at  time.Duration
}

// write is a record that is to be written. done is closed when the write has ended.
type write struct {
	id    string
	o     Origin
	until time.Duration
	done  chan struct{}
}

// New returns a Keeper of a process that has just started.
func New(o Options) *Keeper {
	now := o.Now()
	return &Keeper{
		o: o, restored: make(chan struct{}), readAgain: make(chan struct{}, 1), writes: make(chan *write, maxStreams),
		// A list that is first read long after the start is a gap, too.
		confirmedAt: now,
		history:     NewHistory(now), streams: newTable(), differsSince: map[string]time.Duration{},
	}
}

// Stream describes a stream to Begun and Find.
type Stream struct {
	// ID is that of the attempt that brought the first event, or empty if it is not known.
	ID string
	// Services are those to which the stream's route has led in its lifetime.
	Services []string
	// Lifetime is the longest time from the beginning of the stream to its end.
	Lifetime time.Duration
}

// Begun records where a stream begins. It is called before the first event is passed on, and waits for the store if several versions
// can have begun the stream, but not long: where the store is away, only the memories of gateways know the origin.
func (k *Keeper) Begun(ctx context.Context, s Stream, o Origin) {
	k.mu.Lock()
	now := k.o.Now()
	k.history.Observe(now, o.Service, o.Version)
	stream := k.streams.add(s.ID, o, now, s.Lifetime)
	_, unique := k.unique(now, s)
	var w *write
	if !unique && !stream.recorded {
		w = k.enqueue(s.ID, stream)
	}
	k.mu.Unlock()
	if w == nil {
		return
	}
	limit := time.NewTimer(recordTimeout)
	defer limit.Stop()
	select {
	case <-w.done:
	case <-limit.C:
		k.o.Metrics.Counter("stream_records_late").Inc(1)
	case <-ctx.Done():
	}
}

// enqueue queues the write of a record, or returns nil if the queue is full. The caller holds the lock.
func (k *Keeper) enqueue(id string, s *known) *write {
	w := &write{id: id, o: s.Origin, until: s.until, done: make(chan struct{})}
	select {
	case k.writes <- w:
		s.recorded = true
		return w
	default:
		return nil
	}
}

// unique returns the only origin that a stream can have. The caller holds the lock.
func (k *Keeper) unique(now time.Duration, s Stream) (Origin, bool) {
	var only Origin
	n := 0
	for _, service := range s.Services {
		versions, known := k.history.Possible(now, service, s.Lifetime+lag)
		if !known {
			return Origin{}, false
		}
		for _, version := range versions {
			only = Origin{Service: service, Version: version}
			n++
		}
	}
	return only, n == 1
}

// Find returns where a stream began that its caller takes up.
func (k *Keeper) Find(ctx context.Context, s Stream) (Origin, error) {
	if o, ok := k.lookUp(s); ok {
		return o, nil
	}
	k.awaitRestored(ctx)
	if o, ok := k.lookUp(s); ok {
		return o, nil
	}
	if s.ID == "" {
		return Origin{}, ErrUnknown
	}
	o, ok := k.search(ctx, s.ID)
	if !ok {
		return Origin{}, ErrUnknown
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.streams.add(s.ID, o, k.o.Now(), s.Lifetime)
	return o, nil
}

// lookUp returns what this gateway knows of a stream.
func (k *Keeper) lookUp(s Stream) (Origin, bool) {
	list := k.readList()
	k.mu.Lock()
	defer k.mu.Unlock()
	if known := k.streams.streams[s.ID]; known != nil && s.ID != "" {
		return known.Origin, true
	}
	now := k.o.Now()
	k.observe(now, list)
	o, unique := k.unique(now, s)
	return o, unique && list.fresh(now)
}

// awaitRestored waits until the store has told which versions served before the start or during a gap, but not long.
func (k *Keeper) awaitRestored(ctx context.Context) {
	k.mu.Lock()
	restored := k.restored
	k.mu.Unlock()
	limit := time.NewTimer(startTimeout)
	defer limit.Stop()
	select {
	case <-restored:
	case <-limit.C:
	case <-ctx.Done():
	}
}

// observation is the versions in the list of servers, which was confirmed at a time.
type observation struct {
	confirmedAt time.Duration
	versions    map[string][]string
}

func (l observation) fresh(now time.Duration) bool {
	return l.confirmedAt > 0 && now-l.confirmedAt <= freshList
}

func (k *Keeper) readList() observation {
	at := k.o.ConfirmedAt() // first: what changes in between only makes the versions newer
	return observation{confirmedAt: at, versions: k.o.Versions()}
}

// observe adds the list to the history. If it was not confirmed for a while before, the store is asked for the versions of that time.
// The caller holds the lock.
func (k *Keeper) observe(now time.Duration, l observation) {
	if l.confirmedAt-k.confirmedAt > maxUnobserved {
		k.history.Gap(l.confirmedAt)
		k.gaps++
		k.gapAt = now
		if k.isRestored {
			k.restored, k.isRestored = make(chan struct{}), false
		}
		k.requestRead()
	}
	k.confirmedAt = max(k.confirmedAt, l.confirmedAt)
	for service, versions := range l.versions {
		for _, version := range versions {
			k.history.Observe(now, service, version)
		}
	}
}

// requestRead makes the keeper read the versions in the store.
func (k *Keeper) requestRead() {
	select {
	case k.readAgain <- struct{}{}:
	default:
	}
}

// search asks the store and the other gateways for the origin of a stream, all at once.
func (k *Keeper) search(ctx context.Context, id string) (Origin, bool) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	peers := k.peers()
	found := make(chan *Origin, len(peers)+1)
	go func() {
		o, ok, err := k.o.Store.FindRecord(ctx, recordKey(id))
		if err != nil {
			_ = level.Info(k.o.Logger).Log("msg", "cannot read the origin of a stream", "id", id, "err", err)
		}
		if !ok {
			found <- nil
			return
		}
		found <- &o
	}()
	for _, g := range peers {
		go func() {
			var reply FindReply
			if k.o.Caller.Call(ctx, g.PeerAddress, ServiceName+".Find", &FindArgs{ID: id}, &reply) != nil || !reply.Known {
				found <- nil
				return
			}
			found <- &reply.Origin
		}()
	}
	for range len(peers) + 1 {
		select {
		case o := <-found:
			if o != nil {
				return *o, true
			}
		case <-ctx.Done():
			return Origin{}, false
		}
	}
	return Origin{}, false
}

// maxPeersAsked bounds the gateways that are asked for the origin of a stream. In a larger fleet the store is asked only, which has the
// records of all gateways.
const maxPeersAsked = 16

func (k *Keeper) peers() []membership.Gateway {
	self := k.o.View.Self().Name
	var out []membership.Gateway
	for _, g := range k.o.View.Live() {
		if g.Name != self {
			out = append(out, g)
		}
	}
	if len(out) > maxPeersAsked {
		return nil
	}
	return out
}

// FindArgs asks a gateway for the origin of a stream.
type FindArgs struct{ ID string }

// FindReply is the origin of a stream, if the gateway knows it.
type FindReply struct {
	Known  bool
	Origin Origin
}

// RPC is the service for other gateways.
type RPC struct{ k *Keeper }

// RPC returns the service to register under ServiceName.
func (k *Keeper) RPC() *RPC { return &RPC{k} }

// Find fills out with what this gateway remembers of a stream.
func (s *RPC) Find(in *FindArgs, out *FindReply) error {
	s.k.mu.Lock()
	defer s.k.mu.Unlock()
	if known := s.k.streams.streams[in.ID]; known != nil {
		*out = FindReply{Known: true, Origin: known.Origin}
	}
	return nil
}

// StoreReturned makes the keeper write again what the store has lost. It is called when the store has come back from an older copy.
func (k *Keeper) StoreReturned() {
	k.mu.Lock()
	for _, s := range k.streams.streams {
		s.recorded = false
	}
	k.mu.Unlock()
	k.requestRead()
}

// Run does the work in the background until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	var wait sync.WaitGroup
	defer wait.Wait()
	wait.Go(func() { k.writeRecords(ctx) })
	wait.Go(func() { k.keepServed(ctx) })
	wait.Go(func() { k.sweep(ctx) })
	for pause.For(ctx, observePeriod) == nil {
		k.upkeep()
	}
	return nil
}

// upkeep observes the list of servers and records the streams that began before several versions could have begun them.
func (k *Keeper) upkeep() {
	list := k.readList()
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.o.Now()
	k.observe(now, list)
	k.history.Prune(now)
	k.streams.prune(now)
	k.o.Metrics.Gauge("streams_remembered").Update(int64(len(k.streams.order)))
	if !k.isRestored && k.gapAt > 0 && now-k.gapAt < recordAfterGap {
		return
	}
	for _, id := range k.streams.order {
		s := k.streams.streams[id]
		if s.recorded {
			continue
		}
		if _, unique := k.unique(now, Stream{Services: []string{s.Service}, Lifetime: s.lifetime}); !unique {
			k.enqueue(id, s)
		}
	}
}
