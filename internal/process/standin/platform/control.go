package platform

import (
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"persimmonwing/internal/process/standin/serve"
	"persimmonwing/internal/request/pause"
)

// Faults is the body of PUT /control/faults; each put replaces all faults.
type Faults struct {
	// Outage makes all calls fail with 503.
	Outage bool `json:"outage"`
	// Hang makes calls wait, without effect, until the client gives up.
	Hang bool `json:"hang"`
	// DelayMS is added to the delays of the settings.
	DelayMS int `json:"delay_ms"`
	// LoseAnswers is the number of next writes that take effect and whose
	// connection is then closed without an answer.
	LoseAnswers int `json:"lose_answers"`
	// HostListFrozen stops changes from showing in the host list.
	HostListFrozen bool `json:"host_list_frozen"`
}

// Counters is the answer of GET /control/counters. A call that is refused for
// its rate counts as throttled only. A transaction is one write.
type Counters struct {
	Reads       int64 `json:"reads"`
	Writes      int64 `json:"writes"`
	WeightReads int64 `json:"weight_reads"`
	Throttled   int64 `json:"throttled"`
	// The highest counts within one second of the clock.
	MaxReadsPerSecond       int64 `json:"max_reads_per_second"`
	MaxWritesPerSecond      int64 `json:"max_writes_per_second"`
	MaxWeightReadsPerSecond int64 `json:"max_weight_reads_per_second"`
}

type callKind int

const (
	readCall callKind = iota
	writeCall
	weightCall
	callKinds
)

// burstSeconds is the burst of the rate limits: calls of this long may come
// at once. A full second would let a test run twice the rate in its first
// second.
const burstSeconds = 0.1

// gate counts and limits calls and holds the faults.
type gate struct {
	mu       sync.Mutex
	faults   Faults
	limiters [callKinds]*rate.Limiter
	delays   [callKinds]time.Duration
	meters   [callKinds]meter
	refused  int64
}

func newGate(s *Settings) *gate {
	g := &gate{}
	g.limiters[readCall] = newLimiter(s.ReadsPerSecond)
	g.limiters[writeCall] = newLimiter(s.WritesPerSecond)
	g.limiters[weightCall] = newLimiter(s.WeightsPerSecond)
	g.delays[readCall] = s.ReadDelay
	g.delays[writeCall] = s.WriteDelay
	return g
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSeconds)))
}

// wrap applies faults, rate limit, count and delay of a kind of call to h.
func (g *gate) wrap(k callKind, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := g.current()
		if f.Hang {
			serve.Hang(r)
			serve.Abort()
		}
		if f.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if wait, ok := g.admit(k); !ok {
			w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
			http.Error(w, "too many requests", http.StatusTooManyRequests)
			return
		}
		delay := g.delays[k] + time.Duration(f.DelayMS)*time.Millisecond
		if pause.For(r.Context(), delay) != nil {
			serve.Abort()
		}
		if k == writeCall && g.takeLostAnswer() {
			h(discard{http.Header{}}, r)
			serve.Abort()
		}
		h(w, r)
	}
}

func (g *gate) current() Faults {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.faults
}

func (g *gate) set(f Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = f
}

func (g *gate) takeLostAnswer() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.faults.LoseAnswers <= 0 {
		return false
	}
	g.faults.LoseAnswers--
	return true
}

// admit counts the call, or returns the time after which the rate allows it.
func (g *gate) admit(k callKind) (time.Duration, bool) {
	now := time.Now()
	res := g.limiters[k].ReserveN(now, 1)
	wait := res.DelayFrom(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	if wait > 0 {
		res.CancelAt(now)
		g.refused++
		return wait, false
	}
	g.meters[k].add(now)
	return 0, true
}

func (g *gate) counters() Counters {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Counters{
		Reads:                   g.meters[readCall].total,
		Writes:                  g.meters[writeCall].total,
		WeightReads:             g.meters[weightCall].total,
		Throttled:               g.refused,
		MaxReadsPerSecond:       g.meters[readCall].highest,
		MaxWritesPerSecond:      g.meters[writeCall].highest,
		MaxWeightReadsPerSecond: g.meters[weightCall].highest,
	}
}

// meter counts calls and the highest count within one second.
type meter struct {
	total, highest, inSecond, second int64
}

func (m *meter) add(now time.Time) {
	if s := now.Unix(); s != m.second {
		m.second, m.inSecond = s, 0
	}
	m.total++
	m.inSecond++
	m.highest = max(m.highest, m.inSecond)
}

// discard drops an answer.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}
