package revision

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/request/pause"
)

// Times of the syncer. In the worst case a gateway misses an edit for maxUnconfirmed
// plus the time of one poll, together less than 5 s.
const (
	pollInterval = time.Second
	// pollJitter is the fraction by which an interval varies in either direction, so
	// that gateways that start together do not poll together.
	pollJitter = 0.1
	// pollTimeout limits a poll of the head including the fetch of the body.
	pollTimeout = 1500 * time.Millisecond
	// fetchTimeout limits a fetch from one peer.
	fetchTimeout = 1500 * time.Millisecond
	// maxUnconfirmed is the time since the last confirmation after which a gateway that
	// is not an elected poller polls the platform itself.
	maxUnconfirmed = 3 * time.Second
)

// hintQueueSize limits the hints that wait to be processed. Further hints are dropped,
// because gossip repeats them every second.
const hintQueueSize = 64

// Source is the part of the platform that a gateway reads. Store implements it.
type Source interface {
	// Head returns platform.ErrNotFound before the first edit.
	Head(ctx context.Context) (Revision, error)
	Body(ctx context.Context, digest string) ([]byte, error)
}

// Peer is another gateway from which a revision can be fetched.
type Peer interface {
	Name() string
	// FetchNewer returns the peer's revision and body if the revision is higher than
	// known, and false otherwise.
	FetchNewer(ctx context.Context, known int64) (Revision, []byte, bool, error)
}

// SyncerConfig holds the dependencies and settings of a Syncer.
type SyncerConfig struct {
	Holder *Holder
	Source Source
	// Peers lists the other gateways that are believed to be reachable.
	Peers func() []Peer
	// Poller reports whether this process currently polls in each interval. An elected
	// gateway does, and so does a controller that orders engines.
	Poller func() bool
	// MaxUnconfirmed is the time since the last confirmation after which any other
	// process polls itself; 0 means the default of gateways.
	MaxUnconfirmed time.Duration
	Logger         log.Logger
	// Rand is the source of the poll jitter. Only the Syncer may use it.
	Rand *rand.Rand
}

// Syncer keeps the current revision of a gateway up to date, from the platform and
// from peers.
type Syncer struct {
	SyncerConfig
	ready atomic.Bool
	fresh freshness
	// handled is the start of the latest poll after which the revision of the head was
	// installed or its body was known to be invalid.
	handled freshness
	hints   chan hint
	wg      sync.WaitGroup
	// failing is set while polls fail, so that an outage logs two lines, one at its
	// start and one at its end.
	failing bool
	// lastHead is the last head that was read, so that a head below the current
	// revision is logged once.
	lastHead int64
}

// hint reports that a peer has a revision.
type hint struct {
	peer     string
	revision int64
	// allPeers is set if it is not known whether the peer has the revision, so that all
	// peers are queried.
	allPeers bool
}

// NewSyncer returns a syncer that does nothing until Run.
func NewSyncer(c SyncerConfig) *Syncer {
	if c.MaxUnconfirmed == 0 {
		c.MaxUnconfirmed = maxUnconfirmed
	}
	return &Syncer{SyncerConfig: c, hints: make(chan hint, hintQueueSize)}
}

// Ready reports whether the startup is complete: the platform or a peer returned a
// revision, and the highest one returned is installed.
func (s *Syncer) Ready() bool { return s.ready.Load() }

// Run fetches a first revision and then follows the head until ctx ends. It returns the
// error of ctx.
func (s *Syncer) Run(ctx context.Context) error {
	s.wg.Go(func() { s.processHints(ctx) })
	defer s.wg.Wait()
	if err := s.bootstrap(ctx); err != nil {
		return err
	}
	for {
		if pause.For(ctx, s.pollDelay()) != nil {
			return ctx.Err()
		}
		if s.Poller() || s.fresh.age() >= s.MaxUnconfirmed {
			s.poll(ctx)
		}
	}
}

// pollDelay returns the time until Run next decides whether to poll: the interval, or
// less if the last confirmation becomes MaxUnconfirmed old before then.
func (s *Syncer) pollDelay() time.Duration {
	interval := s.interval()
	if left := s.MaxUnconfirmed - s.fresh.age(); left > 0 {
		return min(interval, left)
	}
	return interval
}

func (s *Syncer) interval() time.Duration {
	factor := 1 + pollJitter*(2*s.Rand.Float64()-1)
	return time.Duration(float64(pollInterval) * factor)
}

// poll reads the head and installs its revision.
func (s *Syncer) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sentAt := time.Now()
	head, err := s.Source.Head(ctx)
	if errors.Is(err, platform.ErrNotFound) {
		head, err = Revision{}, nil
	}
	s.logOutage(err)
	if err != nil {
		return
	}
	s.install(ctx, head)
	current := s.Holder.Number() >= head.Number
	if current {
		s.fresh.confirm(sentAt)
	}
	if current || s.Holder.isRejected(head.Digest) {
		s.handled.confirm(sentAt)
	}
	s.logLowerHead(head)
}

// logLowerHead logs that the platform has lost accepted revisions. The gateway keeps
// its higher revision, so an edit takes effect on this gateway only if its revision
// number is higher.
func (s *Syncer) logLowerHead(head Revision) {
	held := s.Holder.Number()
	if held > head.Number && head.Number != s.lastHead {
		level.Warn(s.Logger).Log("msg", "The platform's head is lower than the current revision.", "head", head.Number, "revision", held)
	}
	s.lastHead = head.Number
}

// install fetches and installs the body of a higher head. If the object store fails, it
// queues fetches from all peers.
func (s *Syncer) install(ctx context.Context, head Revision) {
	if head.Number <= s.Holder.Number() || s.Holder.isRejected(head.Digest) {
		return
	}
	body, err := s.Source.Body(ctx, head.Digest)
	if err == nil {
		s.accept("platform", head, body)
		return
	}
	level.Warn(s.Logger).Log("msg", "The body of a revision can't be read from the platform.", "revision", head.Number, "err", err)
	for _, p := range s.Peers() {
		s.enqueueFetch(p)
	}
}

func (s *Syncer) accept(from string, r Revision, body []byte) {
	done, err := s.Holder.Accept(r, body)
	if err != nil {
		level.Error(s.Logger).Log("msg", "A revision was refused.", "from", from, "revision", r.Number, "err", err)
		return
	}
	if done {
		level.Info(s.Logger).Log("msg", "A revision is in force.", "from", from, "revision", r.Number, "author", r.Author)
	}
}

func (s *Syncer) logOutage(err error) {
	if failing := err != nil; failing != s.failing {
		s.failing = failing
		level.Warn(s.Logger).Log("msg", "The platform's catalogue head changed reachability.", "reachable", !failing, "err", err)
	}
}
