package engine

import (
	"sync"
	"time"
)

// registry stores streams by response id. An ended stream is removed after the
// retention, or earlier if more than limit ended streams are stored.
type registry struct {
	retention time.Duration
	limit     int

	mu      sync.Mutex
	streams map[string]*stream
	ended   []endedStream
}

type endedStream struct {
	id string
	at time.Time
}

func newRegistry(retention time.Duration, limit int) *registry {
	return &registry{retention: retention, limit: limit, streams: map[string]*stream{}}
}

func (r *registry) add(s *stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams[s.id()] = s
}

// get returns the stream with this id, or nil.
func (r *registry) get(id string) *stream {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireLocked(time.Now())
	return r.streams[id]
}

// end marks a stream as ended. It expires after the retention.
func (r *registry) end(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.ended = append(r.ended, endedStream{id: id, at: now})
	r.expireLocked(now)
}

func (r *registry) expireLocked(now time.Time) {
	n := 0
	for n < len(r.ended) && (len(r.ended)-n > r.limit || now.Sub(r.ended[n].at) > r.retention) {
		delete(r.streams, r.ended[n].id)
		n++
	}
	r.ended = r.ended[n:]
}
