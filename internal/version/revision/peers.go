package revision

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"
)

// HearRevision takes from gossip that a peer has a revision, and fetches it at
// once if it is higher. It doesn't block.
func (s *Syncer) HearRevision(peer string, revision int64) {
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

// otherPeerAfter is the time after which a revision that is being fetched is
// fetched from another peer too. Gossip repeats the hints that were passed over.
const otherPeerAfter = 300 * time.Millisecond

// followHints fetches revisions heard of. A peer that stalls delays only its
// own fetch: at most one fetch a peer is running.
func (s *Syncer) followHints(ctx context.Context) {
	var mu sync.Mutex
	busy := map[string]bool{}
	// The highest revision that is being fetched, and since when.
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
		skip = skip || !h.search && h.revision <= fetching && time.Since(since) < otherPeerAfter
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

// fetchLater asks a peer through the queue of hints, so that the limit of one
// fetch a peer holds.
func (s *Syncer) fetchLater(p Peer) {
	s.hint(hint{peer: p.Name(), revision: s.Holder.Number() + 1, search: true})
}

// fetch asks one peer and accepts its answer.
func (s *Syncer) fetch(ctx context.Context, p Peer) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	r, body, newer, err := p.FetchNewer(ctx, s.Holder.Number())
	if err != nil {
		level.Debug(s.Logger).Log("msg", "A peer didn't give its revision.", "peer", p.Name(), "err", err)
		return
	}
	if newer && !s.Holder.isRejected(r.Digest) {
		s.accept(p.Name(), r, body)
	}
}
