package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tmaxmax/go-sse"

	"persimmonwing/internal/request/api"
)

const (
	// loadStreamInterval is the maximum time between two events of a load stream. It is
	// sent to the engine.
	loadStreamInterval = 250 * time.Millisecond
	// maxLoadAge is the maximum age of a streamed report. If the last event is older, the
	// engine is polled, so that a lost engine behind a broken or stalled stream causes
	// failed polls.
	maxLoadAge = 400 * time.Millisecond
	// frequentCallInterval is the interval between two calls of Load below which a stream
	// needs fewer bytes than polls.
	frequentCallInterval = 600 * time.Millisecond
	// loadStreamTimeout is the time after which a stream is closed if no event has arrived
	// or Load has not been called.
	loadStreamTimeout = 2 * time.Second
	// loadStreamRetryDelay is the delay after a stream has ended, or could not be opened,
	// before the next one is requested from that engine.
	loadStreamRetryDelay = 2 * time.Second
	// maxLoadEventBytes is the maximum size of one event.
	maxLoadEventBytes = 16 << 10
)

// Loads provides the load reports of engines. If Load is called frequently for an engine,
// Loads opens a stream of changes (GET /v1/load?every=250ms, server-sent events), which
// needs a quarter of the bytes of polls. Engines that don't support streams are polled.
// Loads is safe for concurrent use.
type Loads struct {
	client *Client
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	engines map[engineKey]*loadStream
}

type engineKey struct{ name, address string }

// loadStream is the state of the load reports of one engine.
type loadStream struct {
	report    api.LoadReport
	lastEvent time.Time // arrival of the last stream event; zero without a stream
	lastCall  time.Time // time of the last call of Load
	retryAt   time.Time
	open      bool
}

// NewLoads returns a Loads that requests reports through c.
func NewLoads(c *Client) *Loads {
	ctx, cancel := context.WithCancel(context.Background())
	return &Loads{client: c, ctx: ctx, cancel: cancel, engines: map[engineKey]*loadStream{}}
}

// Close closes all streams and waits for their goroutines.
func (l *Loads) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.cancel()
	l.wait.Wait()
}

// Load returns the engine's latest load report: the streamed one if its last event is recent,
// otherwise the response to a poll.
func (l *Loads) Load(ctx context.Context, name, address string) (api.LoadReport, error) {
	k := engineKey{name, address}
	r, frequent, ok := l.streamed(k, time.Now())
	if ok {
		return r, nil
	}
	r, err := l.client.Load(ctx, name, address)
	if err == nil && frequent {
		l.openStream(k)
	}
	return r, err
}

// streamed returns the report of the engine's stream, with ok set to false if there is none
// that is younger than maxLoadAge. It also records the call and reports whether calls for this
// engine are frequent enough for a stream.
func (l *Loads) streamed(k engineKey, now time.Time) (r api.LoadReport, frequent, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeUnused(now)
	s := l.engines[k]
	if s == nil {
		s = &loadStream{}
		l.engines[k] = s
	}
	frequent = now.Sub(s.lastCall) < frequentCallInterval
	s.lastCall = now
	if now.Sub(s.lastEvent) >= maxLoadAge {
		return r, frequent, false
	}
	r = s.report
	r.Models = slices.Clone(r.Models)
	return r, frequent, true
}

// removeUnused deletes the engines that have no stream and for which Load has not been called
// for a minute. The caller must hold l.mu.
func (l *Loads) removeUnused(now time.Time) {
	for k, s := range l.engines {
		if !s.open && now.Sub(s.lastCall) > time.Minute {
			delete(l.engines, k)
		}
	}
}

// openStream opens a stream to the engine in the background, unless one is open or the delay
// after the last one has not passed.
func (l *Loads) openStream(k engineKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.engines[k]
	if s == nil || s.open || l.closed || time.Now().Before(s.retryAt) {
		return
	}
	s.open = true
	l.wait.Go(func() {
		l.readStream(k, s)
		l.mu.Lock()
		defer l.mu.Unlock()
		s.open, s.lastEvent, s.retryAt = false, time.Time{}, time.Now().Add(loadStreamRetryDelay)
	})
}

// readStream stores the reports of a stream until it ends, stalls or is no longer used.
func (l *Loads) readStream(k engineKey, s *loadStream) {
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	// A stalled stream is closed. This loses nothing, because Load polls a frozen engine
	// anyway.
	stalled := time.AfterFunc(loadStreamTimeout, cancel)
	defer stalled.Stop()
	query := url.Values{"every": {loadStreamInterval.String()}}
	resp, err := l.client.do(ctx, call{
		step: StepLoad, name: k.name, address: k.address, method: http.MethodGet, path: "/v1/load?" + query.Encode(),
	})
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if !isEventStream(resp) {
		return
	}
	var report api.LoadReport
	for event, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxLoadEventBytes}) {
		if err != nil || merge(&report, event.Data) != nil {
			return
		}
		stalled.Reset(loadStreamTimeout)
		if !l.storeReport(s, report) {
			return
		}
	}
}

var errNoEngineName = eris.New("load report has no engine name")

// merge applies an event, which contains only the changed fields, to the report.
func merge(r *api.LoadReport, event string) error {
	next := *r
	next.Models = slices.Clone(r.Models)
	if err := json.Unmarshal([]byte(event), &next); err != nil {
		return err
	}
	if next.Name == "" {
		return errNoEngineName
	}
	*r = next
	return nil
}

// storeReport stores a streamed report. It returns false if Load has not been called within
// loadStreamTimeout, so that the stream is no longer needed.
func (l *Loads) storeReport(s *loadStream, r api.LoadReport) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	s.report, s.lastEvent = r, now
	return now.Sub(s.lastCall) < loadStreamTimeout
}
