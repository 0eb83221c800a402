package engine

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"persimmonwing/internal/request/api"
)

// prefixCache is an LRU cache of the hashes of prefix blocks. Only the loop
// goroutine accesses it.
type prefixCache struct {
	blocks *simplelru.LRU[uint64, struct{}]
	log    *cacheLog
}

func newPrefixCache(blocks int, log *cacheLog) (*prefixCache, error) {
	removed := func(hash uint64, _ struct{}) { log.add(hash, true) }
	lru, err := simplelru.NewLRU(blocks, removed)
	if err != nil {
		return nil, err
	}
	return &prefixCache{blocks: lru, log: log}, nil
}

// access returns how many leading blocks are cached, and adds the missing blocks
// to the cache.
func (c *prefixCache) access(hashes []uint64) int {
	hits := 0
	for i, h := range hashes {
		if _, ok := c.blocks.Get(h); ok {
			if hits == i {
				hits++
			}
			continue
		}
		c.blocks.Add(h, struct{}{})
		c.log.add(h, false)
	}
	return hits
}

// Limits of the published cache events: at least the latest cacheLogLimit events
// are retained, and a response has at most cacheBatchSize events. As with a real engine,
// a reader that falls further behind misses the oldest events.
const (
	cacheLogLimit  = 8_192
	cacheBatchSize = 1_024
)

type loggedEvent struct {
	api.CacheEvent
	at time.Time
}

// cacheLog publishes cache events with a delay and drops a fraction of them. A
// dropped event leaves a gap in the event numbers.
type cacheLog struct {
	mu     sync.Mutex
	lag    time.Duration
	loss   float64
	random *rand.Rand
	last   int64
	events []loggedEvent
}

func newCacheLog(lag time.Duration, loss float64, seed uint64) *cacheLog {
	return &cacheLog{lag: lag, loss: loss, random: rand.New(rand.NewPCG(seed, seed))}
}

func (l *cacheLog) add(hash uint64, removed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last++
	if l.random.Float64() < l.loss {
		return
	}
	e := api.CacheEvent{Number: l.last, PrefixHash: hash, Removed: removed}
	l.events = append(l.events, loggedEvent{CacheEvent: e, at: time.Now()})
	if len(l.events) > 2*cacheLogLimit {
		l.events = append([]loggedEvent(nil), l.events[len(l.events)-cacheLogLimit:]...)
	}
}

// after returns the published events with a number above n, at most
// cacheBatchSize events.
func (l *cacheLog) after(n int64) api.CacheEvents {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := api.CacheEvents{Events: []api.CacheEvent{}, Next: n}
	visible := time.Now().Add(-l.lag)
	for _, e := range l.events {
		if e.at.After(visible) || len(out.Events) == cacheBatchSize {
			break
		}
		if e.Number > n {
			out.Events = append(out.Events, e.CacheEvent)
			out.Next = e.Number
		}
	}
	return out
}
