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

// Times of the syncer. In the worst case a gateway misses an edit for
// maxUnconfirmed and then for one poll: under 5 s.
const (
	pollInterval = time.Second
	// pollJitter is the fraction by which an interval varies either way, so
	// that gateways started together don't poll together.
	pollJitter = 0.1
	// pollTimeout bounds a poll of the head with the fetch of the body.
	pollTimeout = 1500 * time.Millisecond
	// fetchTimeout bounds a fetch from one peer.
	fetchTimeout = 1500 * time.Millisecond
	// maxUnconfirmed is the age of the last confirmation from which a gateway
	// that isn't an elected poller polls itself.
	maxUnconfirmed = 3 * time.Second
)

// hintQueue bounds the revisions heard of but not handled yet. More are
// dropped: gossip repeats them every second.
const hintQueue = 64

// Source is the platform as seen by a gateway. Store implements it.
type Source interface {
	// Head returns platform.ErrNotFound before the first edit.
	Head(ctx context.Context) (Revision, error)
	Body(ctx context.Context, digest string) ([]byte, error)
}

// Peer is another gateway that can be asked for its revision.
type Peer interface {
	Name() string
	// FetchNewer returns the peer's revision and body if it is higher than
	// known; false otherwise.
	FetchNewer(ctx context.Context, known int64) (Revision, []byte, bool, error)
}

// SyncerConfig is what a Syncer depends on.
type SyncerConfig struct {
	Holder *Holder
	Source Source
	// Peers lists the other gateways that are reachable as far as is known.
	Peers func() []Peer
	// Poller tells whether this process polls in each interval now: an elected
	// gateway, or a controller that orders engines.
	Poller func() bool
	// MaxUnconfirmed replaces the age of the last confirmation from which any
	// other process polls itself; 0 is the default of gateways.
	MaxUnconfirmed time.Duration
	Logger         log.Logger
	// Rand jitters the polls. Only the Syncer may use it.
	Rand *rand.Rand
}

// Syncer keeps the revision in force at a gateway up to date, from the
// platform and from peers.
type Syncer struct {
	SyncerConfig
	ready atomic.Bool
	fresh freshness
	// settled is the latest poll after which the head's revision was in force, or
	// can't be because its body is invalid.
	settled freshness
	hints   chan hint
	wg      sync.WaitGroup
	// failing is set while polls fail, so that a long outage logs two lines.
	failing bool
	// lastHead is the last head seen, so that a lower one is logged once.
	lastHead int64
}

// hint is a revision that a peer is said to have.
type hint struct {
	peer     string
	revision int64
	// search tells that the peer may not have it, so that all are asked.
	search bool
}

// NewSyncer returns a syncer that does nothing until Run.
func NewSyncer(c SyncerConfig) *Syncer {
	if c.MaxUnconfirmed == 0 {
		c.MaxUnconfirmed = maxUnconfirmed
	}
	return &Syncer{SyncerConfig: c, hints: make(chan hint, hintQueue)}
}

// Ready tells whether the start is over: the platform or a peer gave a
// revision, and the highest answer is in force.
func (s *Syncer) Ready() bool { return s.ready.Load() }

// Run starts up and follows the head until the context ends.
func (s *Syncer) Run(ctx context.Context) error {
	s.wg.Go(func() { s.followHints(ctx) })
	defer s.wg.Wait()
	if err := s.start(ctx); err != nil {
		return err
	}
	for {
		if pause.For(ctx, s.untilPoll()) != nil {
			return ctx.Err()
		}
		if s.Poller() || s.fresh.age() >= s.MaxUnconfirmed {
			s.poll(ctx)
		}
	}
}

// untilPoll returns the time until the next look: an interval, or less if the
// last confirmation gets too old before.
func (s *Syncer) untilPoll() time.Duration {
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

// poll reads the head and brings it into force.
func (s *Syncer) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	asked := time.Now()
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
		s.fresh.confirm(asked)
	}
	if current || s.Holder.isRejected(head.Digest) {
		s.settled.confirm(asked)
	}
	s.logLower(head)
}

// logLower reports a platform that lost accepted revisions. The gateway keeps
// the higher revision, so edits come into force only above it.
func (s *Syncer) logLower(head Revision) {
	held := s.Holder.Number()
	if held > head.Number && head.Number != s.lastHead {
		level.Warn(s.Logger).Log("msg", "The platform's head is lower than the revision in force.", "head", head.Number, "revision", held)
	}
	s.lastHead = head.Number
}

// install fetches the body of a higher head, from peers if the object store fails.
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
		s.fetchLater(p)
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
