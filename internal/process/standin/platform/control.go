package platform

import (
	"bytes"
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"persimmonwing/internal/process/standin/serve"
	"persimmonwing/internal/request/pause"
)

// Faults are the faults that the platform injects, and the body of PUT
// /control/faults. Each PUT replaces all faults.
type Faults struct {
	// Outage makes all calls fail with status 503.
	Outage bool `json:"outage"`
	// Hang makes calls block, without effect, until the client disconnects.
	Hang bool `json:"hang"`
	// DelayMS is added to the configured delays, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// LoseAnswers is the number of upcoming writes that take effect, but whose
	// connection is then aborted without a response.
	LoseAnswers int `json:"lose_answers"`
	// LateMS is how much later the writes of LoseAnswers take effect than they were sent, in milliseconds. Other
	// writes may take effect in between.
	LateMS int `json:"late_ms"`
	// HostListFrozen keeps the host list as it is when the fault is set. Changes
	// appear after the fault is unset.
	HostListFrozen bool `json:"host_list_frozen"`
}

// Counters is the response body of GET /control/counters. A call refused by a
// rate limit only counts as throttled. A transaction counts as one write.
type Counters struct {
	Reads       int64 `json:"reads"`
	Writes      int64 `json:"writes"`
	WeightReads int64 `json:"weight_reads"`
	Throttled   int64 `json:"throttled"`
	// The highest counts within one second of the wall clock.
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

// burstSeconds is the burst size of the rate limits, in seconds of calls at the
// limit. A burst of a full second would allow twice the rate in the first second
// of a test.
const burstSeconds = 0.1

// middleware injects faults, limits the rate of calls and counts them.
type middleware struct {
	mu       sync.Mutex
	faults   Faults
	limiters [callKinds]*rate.Limiter
	delays   [callKinds]time.Duration
	meters   [callKinds]meter
	refused  int64
}

func newMiddleware(s *Settings) *middleware {
	g := &middleware{}
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

// wrap adds the faults, rate limit, counter and delay of calls of kind k to h.
func (g *middleware) wrap(k callKind, h http.HandlerFunc) http.HandlerFunc {
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
		if k == writeCall && g.loseAnswer() {
			if f.LateMS == 0 {
				h(discardWriter{http.Header{}}, r)
			} else {
				performLate(h, r, time.Duration(f.LateMS)*time.Millisecond)
			}
			serve.Abort()
		}
		h(w, r)
	}
}

// performLate performs a call after a time, without a response. The call outlives its connection.
func performLate(h http.HandlerFunc, r *http.Request, late time.Duration) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	later := r.Clone(context.WithoutCancel(r.Context()))
	later.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(late, func() { h(discardWriter{http.Header{}}, later) })
}

func (g *middleware) current() Faults {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.faults
}

func (g *middleware) set(f Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = f
}

func (g *middleware) loseAnswer() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.faults.LoseAnswers <= 0 {
		return false
	}
	g.faults.LoseAnswers--
	return true
}

// admit counts the call and returns true. If the rate limit does not allow it, it
// returns false and the time after which it does.
func (g *middleware) admit(k callKind) (time.Duration, bool) {
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

func (g *middleware) counters() Counters {
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

// meter counts calls, in total and per second, and stores the highest count
// within one second.
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

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}
