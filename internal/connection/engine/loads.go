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
	// loadEvery is the longest time between two events of a load stream.
	loadEvery = 250 * time.Millisecond
	// loadFreshFor is the age of the last event at which the engine is polled
	// again, so that a broken or stalled stream shows as failed polls.
	loadFreshFor = 400 * time.Millisecond
	// loadOftenWithin is the time between two calls within which a stream pays.
	loadOftenWithin = 600 * time.Millisecond
	// loadUnusedAfter ends a stream whose reports nobody reads.
	loadUnusedAfter = 2 * time.Second
	// loadRetryAfter is the pause before an engine is asked for a stream again.
	loadRetryAfter = 2 * time.Second
	// maxLoadEvent bounds one event in bytes.
	maxLoadEvent = 16 << 10
)

// Loads returns load reports. An engine that is asked often is asked for a
// stream of changes (GET /v1/load?every=250ms, server-sent events), which takes
// a quarter of the bytes of polls. An engine without streams is polled.
type Loads struct {
	client *Client
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	engines map[engineAt]*loadStream
}

type engineAt struct{ name, address string }

// loadStream is what is known of one engine.
type loadStream struct {
	report  api.LoadReport
	at      time.Time // of the last event; zero without a stream
	askedAt time.Time // of the last call of Load
	retryAt time.Time
	open    bool
}

// NewLoads returns a source of load reports over c.
func NewLoads(c *Client) *Loads {
	ctx, cancel := context.WithCancel(context.Background())
	return &Loads{client: c, ctx: ctx, cancel: cancel, engines: map[engineAt]*loadStream{}}
}

// Close ends all streams.
func (l *Loads) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.cancel()
	l.wait.Wait()
}

// Load returns the engine's last load report. It is that of the stream while
// events arrive, else the answer of a poll.
func (l *Loads) Load(ctx context.Context, name, address string) (api.LoadReport, error) {
	k := engineAt{name, address}
	r, often, ok := l.last(k, time.Now())
	if ok {
		return r, nil
	}
	r, err := l.client.Load(ctx, name, address)
	if err == nil && often {
		l.follow(k)
	}
	return r, err
}

// last returns the stream's report if it is fresh, and whether Load is called often.
func (l *Loads) last(k engineAt, now time.Time) (r api.LoadReport, often, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(now)
	s := l.engines[k]
	if s == nil {
		s = &loadStream{}
		l.engines[k] = s
	}
	often = now.Sub(s.askedAt) < loadOftenWithin
	s.askedAt = now
	if now.Sub(s.at) >= loadFreshFor {
		return r, often, false
	}
	r = s.report
	r.Models = slices.Clone(r.Models)
	return r, often, true
}

// forget drops engines that are no longer asked for.
func (l *Loads) forget(now time.Time) {
	for k, s := range l.engines {
		if !s.open && now.Sub(s.askedAt) > time.Minute {
			delete(l.engines, k)
		}
	}
}

// follow opens a stream in the background unless there is one.
func (l *Loads) follow(k engineAt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.engines[k]
	if s == nil || s.open || l.closed || time.Now().Before(s.retryAt) {
		return
	}
	s.open = true
	l.wait.Go(func() {
		l.read(k, s)
		l.mu.Lock()
		defer l.mu.Unlock()
		s.open, s.at, s.retryAt = false, time.Time{}, time.Now().Add(loadRetryAfter)
	})
}

// read takes over events until the stream ends, stalls or is not used.
func (l *Loads) read(k engineAt, s *loadStream) {
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	// A stalled stream is given up, because a frozen engine is polled anyway.
	stalled := time.AfterFunc(loadUnusedAfter, cancel)
	defer stalled.Stop()
	query := url.Values{"every": {loadEvery.String()}}
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
	for event, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxLoadEvent}) {
		if err != nil || merge(&report, event.Data) != nil {
			return
		}
		stalled.Reset(loadUnusedAfter)
		if !l.take(s, report) {
			return
		}
	}
}

var errNameless = eris.New("load report has no engine name")

// merge joins an event, which has the changed fields only, with the report.
func merge(r *api.LoadReport, event string) error {
	next := *r
	next.Models = slices.Clone(r.Models)
	if err := json.Unmarshal([]byte(event), &next); err != nil {
		return err
	}
	if next.Name == "" {
		return errNameless
	}
	*r = next
	return nil
}

// take keeps a report and reports whether somebody still reads them.
func (l *Loads) take(s *loadStream, r api.LoadReport) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	s.report, s.at = r, now
	return now.Sub(s.askedAt) < loadUnusedAfter
}
