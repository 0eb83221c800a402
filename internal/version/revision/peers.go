package revision

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"
)

// ObserveRevision records that gossip announced a revision of a peer. If the revision is
// higher than the current one, it is queued to be fetched at once. ObserveRevision does
// not block.
func (s *Syncer) ObserveRevision(peer string, revision int64) {
	if revision > s.Holder.Number() {
		s.hint(hint{peer: peer, revision: revision})
	}
}

func (s *Syncer) hint(h hint) {
	select {
	case s.hints <- h:
	default:
	}
}

// hedgeDelay is the time after which a revision that is being fetched is fetched from
// another peer too. Hints that arrive before are dropped, because gossip repeats them.
const hedgeDelay = 300 * time.Millisecond

// processHints fetches the revisions announced by peers. At most one fetch per peer
// runs at a time, so a peer that stalls delays only its own fetch.
func (s *Syncer) processHints(ctx context.Context) {
	var mu sync.Mutex
	busy := map[string]bool{}
	// The highest revision that is being fetched, and the start of the latest fetch.
	var fetching int64
	var since time.Time
	for {
		var h hint
		select {
		case h = <-s.hints:
		case <-ctx.Done():
			return
		}
		p := s.peer(h.peer)
		mu.Lock()
		skip := p == nil || h.revision <= s.Holder.Number() || busy[h.peer]
		skip = skip || !h.allPeers && h.revision <= fetching && time.Since(since) < hedgeDelay
		if !skip {
			busy[h.peer] = true
			fetching, since = max(fetching, h.revision), time.Now()
		}
		mu.Unlock()
		if skip {
			continue
		}
		s.wg.Go(func() {
			s.fetch(ctx, p)
			mu.Lock()
			defer mu.Unlock()
			delete(busy, h.peer)
			if s.Holder.Number() < h.revision {
				fetching = 0
			}
		})
	}
}

func (s *Syncer) peer(name string) Peer {
	for _, p := range s.Peers() {
		if p.Name() == name {
			return p
		}
	}
	return nil
}

// enqueueFetch queues a fetch from a peer as a hint, so that the limit of one fetch per
// peer holds.
func (s *Syncer) enqueueFetch(p Peer) {
	s.hint(hint{peer: p.Name(), revision: s.Holder.Number() + 1, allPeers: true})
}

// fetch requests the revision of one peer and installs it if it is newer.
func (s *Syncer) fetch(ctx context.Context, p Peer) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	r, body, newer, err := p.FetchNewer(ctx, s.Holder.Number())
	if err != nil {
		level.Debug(s.Logger).Log("msg", "Failed to fetch the revision of a peer.", "peer", p.Name(), "err", err)
		return
	}
	if newer && !s.Holder.isRejected(r.Digest) {
		s.accept(p.Name(), r, body)
	}
}
