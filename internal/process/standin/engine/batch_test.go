package engine

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"persimmonwing/internal/request/api"
)

// Guards against KV blocks that leak or are reserved twice.
func TestPoolCountsBlocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newKVPool(rapid.IntRange(16, 4_096).Draw(t, "capacity"), 16)
		var reserved []int
		sum := 0
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				n := p.blocksFor(rapid.IntRange(1, 2_048).Draw(t, "tokens"))
				if ok := p.reserve(n); ok != (sum+n <= p.capacity) {
					t.Fatalf("reserve(%d) = %v with %d of %d used", n, ok, sum, p.capacity)
				} else if ok {
					reserved = append(reserved, n)
					sum += n
				}
			},
			"release": func(t *rapid.T) {
				if len(reserved) == 0 {
					t.Skip("nothing reserved")
				}
				p.release(reserved[0])
				sum -= reserved[0]
				reserved = reserved[1:]
			},
			"": func(t *rapid.T) {
				if p.used != sum || p.used > p.capacity {
					t.Fatalf("%d blocks used, want %d, capacity %d", p.used, sum, p.capacity)
				}
			},
		})
	})
}

func newTestBatch(s *Settings) *batch {
	log := newCacheLog(0, 0, 1)
	prefixes, err := newPrefixCache(s.CacheBlocks, log)
	if err != nil {
		panic(err)
	}
	return &batch{
		settings: s,
		pool:     newKVPool(s.KVCapacityTokens, s.KVBlockTokens),
		prefixes: prefixes,
		streams:  newRegistry(time.Hour, 100),
		byID:     map[string]*sequence{},
	}
}

func newTestStream(id string) *stream {
	return newStream(api.Response{ID: id}, "", time.Hour, func() {})
}

// Guards against KV blocks that no sequence owns, a batch above its limit, a
// preempted sequence that ranks above one still running, and generations that
// never end.
func TestBatchEndsEveryGenerationWithinItsMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := DefaultSettings()
		s.SwapResumeDelay = 0
		s.KVCapacityTokens = rapid.IntRange(64, 512).Draw(t, "capacity")
		s.MaxBatch = rapid.IntRange(1, 6).Draw(t, "batch")
		b := newTestBatch(&s)
		n := rapid.IntRange(1, 8).Draw(t, "sequences")
		for i := range n {
			st := newTestStream("resp_" + string(rune('a'+i)))
			b.add(&api.CreateRequest{Priority: rapid.IntRange(0, 2).Draw(t, "priority")}, st)
			b.byID[st.id()].promptTokens = rapid.IntRange(1, 60).Draw(t, "prompt")
			b.byID[st.id()].length = rapid.IntRange(1, 300).Draw(t, "length")
		}
		for steps := 0; len(b.byID) > 0; steps++ {
			if steps > 100_000 {
				t.Fatalf("%d generations have not ended", len(b.byID))
			}
			b.startStep(time.Now())
			checkBatch(t, b)
			before := append(rankedList(nil), b.running...)
			b.finishStep()
			checkPreempted(t, b, before)
		}
		c := b.counters
		if c.Completed+c.Incomplete != int64(n) || b.pool.used != 0 {
			t.Fatalf("counters %+v after %d generations, %d blocks still used", c, n, b.pool.used)
		}
	})
}

func checkBatch(t *rapid.T, b *batch) {
	blocks := 0
	for _, q := range b.running {
		blocks += q.blocks
	}
	if blocks != b.pool.used || len(b.running) > b.settings.MaxBatch {
		t.Fatalf("sequences have %d blocks, pool counts %d, batch size %d", blocks, b.pool.used, len(b.running))
	}
}

func checkPreempted(t *rapid.T, b *batch, before rankedList) {
	preempted := false
	for _, q := range before {
		if b.byID[q.stream.id()] == nil {
			continue
		}
		if preempted && q.blocks > 0 {
			t.Fatalf("a sequence was preempted although one of lower rank still runs")
		}
		preempted = preempted || q.blocks == 0
	}
}

// Guards against resumed reads that skip or repeat events, for any position and
// any progress of the generation.
func TestStreamReadsContinueAtAnyPosition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestStream("resp_1")
		next := int64(0)
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				if s.final == nil {
					s.appendToken()
				}
			},
			"finish": func(t *rapid.T) { s.finish(api.StatusCompleted, "", 1) },
			"resume": func(t *rapid.T) { next = rapid.Int64Range(0, s.lastNumber()+1).Draw(t, "next") },
			"read": func(t *rapid.T) {
				for _, e := range s.read(next) {
					if e.SequenceNumber != next {
						t.Fatalf("read returned event %d at position %d", e.SequenceNumber, next)
					}
					next++
				}
				if next != s.lastNumber()+1 {
					t.Fatalf("read ended before event %d, the latest is %d", next, s.lastNumber())
				}
			},
		})
	})
}

// Guards against a generation that continues without readers after the orphan
// timeout, and against one that ends although a reader reconnected in time.
func TestOrphanTimeoutCountsFromTheLastReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		orphaned := 0
		s := newStream(api.Response{ID: "resp_1"}, "", time.Minute, func() { orphaned++ })
		r := s.register()
		time.Sleep(time.Hour)
		s.unregister(r)
		time.Sleep(50 * time.Second)
		r = s.register()
		time.Sleep(time.Hour)
		synctest.Wait()
		is.Equal(orphaned, 0)
		s.unregister(r)
		time.Sleep(61 * time.Second)
		synctest.Wait()
		is.Equal(orphaned, 1)
	})
}

// Guards against cache events that are published before the lag has passed, and
// against dropped events that leave no gap in the event numbers.
func TestCacheEventsLagAndDrop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newCacheLog(time.Second, 0.5, 1)
		for h := range uint64(100) {
			l.add(h, false)
		}
		is.Equal(len(l.after(0).Events), 0)
		time.Sleep(time.Second)
		got := l.after(0)
		is.True(len(got.Events) > 0 && len(got.Events) < 100)
		for _, e := range got.Events {
			is.Equal(uint64(e.Number), e.PrefixHash+1)
		}
		is.Equal(len(l.after(got.Next).Events), 0)
	})
}

// Guards against a prefix cache that exceeds its size, and against hits that are
// counted after the first miss.
func TestPrefixCacheCountsLeadingHits(t *testing.T) {
	is := is.New(t)
	c, err := newPrefixCache(4, newCacheLog(0, 0, 1))
	is.NoErr(err)
	is.Equal(c.access([]uint64{1, 2}), 0)
	is.Equal(c.access([]uint64{1, 2, 3}), 2)
	is.Equal(c.access([]uint64{9, 2}), 0)
	is.Equal(c.blocks.Len(), 4)
}

// Guards against load reports that are published before the lag has passed.
func TestReportLags(t *testing.T) {
	is := is.New(t)
	l := &reportLog{lag: time.Second}
	start := time.Unix(0, 0)
	for i := range 5 {
		l.add(api.LoadReport{Running: i}, start.Add(time.Duration(i)*time.Second))
	}
	r, ok := l.latest(start.Add(4500 * time.Millisecond))
	is.True(ok)
	is.Equal(r.Running, 3)
}

// Guards against invalid settings that are accepted or reported without their
// key.
func TestSettingsNameTheBadKey(t *testing.T) {
	is := is.New(t)
	s := DefaultSettings()
	s.TimeScale = 0
	err := s.Validate()
	is.True(err != nil)
	is.Equal(err.Error(), "time_scale: 0 is out of range; allowed are 0.0001 to 100\nname: must not be empty")
}
