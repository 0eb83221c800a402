package revision

import (
	"context"
	"sync"

	"github.com/go-kit/log/level"
)

// HearRevision takes from gossip that a peer has a revision, and fetches it at
// once if it is higher. It doesn't block.
func (s *Syncer) HearRevision(peer string, revision int64) {
	if revision <= s.Holder.Number() {
		return
	}
	select {
	case s.hints <- hint{peer, revision}:
	default:
	}
}

// followHints fetches revisions heard of. A peer that stalls delays only its
// own fetch: at most one fetch a peer is running.
func (s *Syncer) followHints(ctx context.Context) {
	var mu sync.Mutex
	busy := map[string]bool{}
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
		if !skip {
			busy[h.peer] = true
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
	s.HearRevision(p.Name(), s.Holder.Number()+1)
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
