package engine

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"persimmonwing/internal/request/api"
)

// Guards against KV blocks that leak or are handed out twice.
func TestPoolCountsBlocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newKVPool(rapid.IntRange(16, 4_096).Draw(t, "capacity"), 16)
		var held []int
		sum := 0
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				n := p.blocksFor(rapid.IntRange(1, 2_048).Draw(t, "tokens"))
				if taken := p.take(n); taken != (sum+n <= p.capacity) {
					t.Fatalf("take(%d) = %v with %d of %d used", n, taken, sum, p.capacity)
				} else if taken {
					held = append(held, n)
					sum += n
				}
			},
			"release": func(t *rapid.T) {
				if len(held) == 0 {
					t.Skip("nothing held")
				}
				p.release(held[0])
				sum -= held[0]
				held = held[1:]
			},
			"": func(t *rapid.T) {
				if p.used != sum || p.used > p.capacity {
					t.Fatalf("%d blocks used, %d held, capacity %d", p.used, sum, p.capacity)
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

// Guards against memory held by nobody, a batch above its limit, a preempted
// sequence that ranks above one that stays, and generations that never end.
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
				t.Fatalf("%d generations do not end", len(b.byID))
			}
			b.startStep(time.Now())
			checkBatch(t, b)
			before := append(rankedList(nil), b.running...)
			b.finishStep()
			checkPreempted(t, b, before)
		}
		c := b.counters
		if c.Completed+c.Incomplete != int64(n) || b.pool.used != 0 {
			t.Fatalf("%+v after %d generations, %d blocks used", c, n, b.pool.used)
		}
	})
}

func checkBatch(t *rapid.T, b *batch) {
	blocks := 0
	for _, q := range b.running {
		blocks += q.blocks
	}
	if blocks != b.pool.used || len(b.running) > b.settings.MaxBatch {
		t.Fatalf("%d blocks held, %d used, batch %d", blocks, b.pool.used, len(b.running))
	}
}

func checkPreempted(t *rapid.T, b *batch, before rankedList) {
	preempted := false
	for _, q := range before {
		if b.byID[q.stream.id()] == nil {
			continue
		}
		if preempted && q.blocks > 0 {
			t.Fatalf("a sequence of lower rank than a preempted one stays")
		}
		preempted = preempted || q.blocks == 0
	}
}

// Guards against resumed reads that skip or repeat an event at any position
// and at any progress of the generation.
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
			"resume": func(t *rapid.T) { next = rapid.Int64Range(0, s.last()+1).Draw(t, "next") },
			"read": func(t *rapid.T) {
				for _, e := range s.read(next) {
					if e.SequenceNumber != next {
						t.Fatalf("event %d at position %d", e.SequenceNumber, next)
					}
					next++
				}
				if next != s.last()+1 {
					t.Fatalf("read ends before %d, last is %d", next, s.last())
				}
			},
		})
	})
}

// Guards against a generation that runs on for nobody, and against one that
// ends although its reader came back.
func TestOrphanTimeoutCountsFromTheLastReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		orphaned := 0
		s := newStream(api.Response{ID: "resp_1"}, "", time.Minute, func() { orphaned++ })
		r := s.join()
		time.Sleep(time.Hour)
		s.leave(r)
		time.Sleep(50 * time.Second)
		r = s.join()
		time.Sleep(time.Hour)
		synctest.Wait()
		is.Equal(orphaned, 0)
		s.leave(r)
		time.Sleep(61 * time.Second)
		synctest.Wait()
		is.Equal(orphaned, 1)
	})
}

// Guards against cache events that appear early, and against a loss that
// leaves no gap in the numbers.
func TestCacheEventsAreLateAndGappy(t *testing.T) {
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

// Guards against a prefix cache that grows, or counts a hit behind a miss.
func TestPrefixCacheCountsLeadingHits(t *testing.T) {
	is := is.New(t)
	c, err := newPrefixCache(4, newCacheLog(0, 0, 1))
	is.NoErr(err)
	is.Equal(c.use([]uint64{1, 2}), 0)
	is.Equal(c.use([]uint64{1, 2, 3}), 2)
	is.Equal(c.use([]uint64{9, 2}), 0)
	is.Equal(c.blocks.Len(), 4)
}

// Guards against reports that show the present in spite of the lag.
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

// Guards against bad settings that are accepted or reported without their key.
func TestSettingsNameTheBadKey(t *testing.T) {
	is := is.New(t)
	s := DefaultSettings()
	s.TimeScale = 0
	err := s.Validate()
	is.True(err != nil)
	is.Equal(err.Error(), "time_scale: 0 is out of range; allowed are 0.0001 to 100\nname: must not be empty")
}
