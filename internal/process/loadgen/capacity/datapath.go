package capacity

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"

	"persimmonwing/internal/process/gateway"
	"persimmonwing/internal/process/limits"
	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/process/telemetry"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/pause"
	"persimmonwing/internal/request/relay"
	"persimmonwing/internal/request/responseid"
	"persimmonwing/internal/version/catalogue"
)

// instantScheduler grants every request immediately.
type instantScheduler struct{}

func (instantScheduler) Acquire(_ context.Context, r schedule.Request) (schedule.Grant, error) {
	return schedule.Grant{ID: r.ID, Backend: "engine-1", Address: "127.0.0.1:1", Group: schedule.GroupKey{DataCentre: "centre", Model: r.Model}}, nil
}
func (instantScheduler) Progress(string, int)             {}
func (instantScheduler) Release(string, schedule.Outcome) {}
func (instantScheduler) ReportLost(string)                {}
func (instantScheduler) GiveUpGeneration(string, func(context.Context) bool) {
}

type fixedCatalogue struct{ s *catalogue.Snapshot }

func (c fixedCatalogue) Current() *catalogue.Snapshot { return c.s }

// memoryEngines are in-memory engines that answer each request with a fixed number
// of tokens.
type memoryEngines struct {
	gateway.Engines
	tokens int
	// release, if set, is received from before the last event of each stream. Closing
	// it lets all streams end.
	release <-chan struct{}
}

func (e memoryEngines) Create(_ context.Context, _, _ string, r api.CreateRequest) (relay.Source, error) {
	return &memorySource{engines: e, id: "resp_" + r.Metadata[api.MetadataAttempt], metadata: r.Metadata}, nil
}

type memorySource struct {
	engines  memoryEngines
	id       string
	metadata map[string]string
	next     int
}

// Next implements relay.Source.
func (s *memorySource) Next() (api.Event, error) {
	e := api.Event{SequenceNumber: int64(s.next)}
	response := &api.Response{ID: s.id, Object: "response", Metadata: s.metadata}
	switch {
	case s.next == 0:
		e.Type, e.Response = api.EventCreated, response
		response.Status = api.StatusInProgress
	case s.next <= s.engines.tokens:
		e.Type, e.ItemID, e.Delta = api.EventDelta, api.ItemID(s.id), " token"
	case s.next == s.engines.tokens+1:
		if s.engines.release != nil {
			<-s.engines.release
		}
		e.Type, e.Response = api.EventCompleted, response
		response.Status = api.StatusCompleted
	default:
		return e, io.EOF
	}
	s.next++
	return e, nil
}

func (s *memorySource) Close() error { return nil }

// discardWriter is an http.ResponseWriter that discards the body.
type discardWriter struct {
	header http.Header
	status int
}

func (d *discardWriter) Header() http.Header              { return d.header }
func (d *discardWriter) Write(b []byte) (int, error)      { return len(b), nil }
func (d *discardWriter) WriteHeader(status int)           { d.status = status }
func (d *discardWriter) Flush()                           {}
func (d *discardWriter) SetWriteDeadline(time.Time) error { return nil }
func (d *discardWriter) SetReadDeadline(time.Time) error  { return nil }

// newMemoryGateway returns the caller handler of a gateway whose scheduler, catalogue
// and engines are in memory.
func newMemoryGateway(engines gateway.Engines) (http.Handler, error) {
	o := gateway.DefaultOptions()
	o.Name, o.DataCentre = "gateway-1", "centre"
	o.ResponseKeys = []responseid.Key{{ID: "capacity", Secret: strings.Repeat("capacity ", 8)}}
	g, err := gateway.New(o, gateway.Deps{
		Scheduler: instantScheduler{}, Catalogue: fixedCatalogue{catalogue.NewSnapshot(1, "", catalogueOf(10))},
		Engines: engines, Limits: limits.New(), Metrics: telemetry.New(), Logger: log.NewNopLogger(),
	})
	if err != nil {
		return nil, err
	}
	return g.CallerHandler(), nil
}

// sendRequest sends one streaming request and returns the status code.
func sendRequest(ctx context.Context, h http.Handler) int {
	body := fmt.Sprintf(`{"model":"entry-1","stream":true,"input":%q}`, strings.Repeat("prompt ", 140))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "/v1/responses", strings.NewReader(body))
	if err != nil {
		return 0
	}
	r.Header.Set("Authorization", "Bearer "+workspaceKey)
	w := &discardWriter{header: http.Header{}}
	h.ServeHTTP(w, r)
	return w.status
}

func measureDataPath(ctx context.Context, r *report) error {
	var perRequest []point
	for _, tokens := range []int{24, targetTokensPerRequest, 960} {
		h, err := newMemoryGateway(memoryEngines{tokens: tokens})
		if err != nil {
			return err
		}
		requests := 96_000 / tokens
		used := cpuTime()
		for range requests {
			if status := sendRequest(ctx, h); status != http.StatusOK {
				return fmt.Errorf("data path: request answered with status %d, want 200", status)
			}
		}
		perRequest = append(perRequest, point{float64(tokens), float64((cpuTime() - used).Microseconds()) / float64(requests)})
	}
	const note = "CPU by getrusage of authentication, limits, relay, events and metrics; sockets, HTTP and the engine client are not in it"
	r.add(line{name: "request CPU", size: "tokens of a request", unit: "us", points: perRequest, target: targetTokensPerRequest, note: note})
	var core []point
	for _, rate := range []float64{1, 4, targetRequests} {
		core = append(core, point{rate, rate * r.targetValue("request CPU") / 1e4})
	}
	r.add(line{name: "data path CPU", size: "requests/s of 240 tokens", unit: "% core", points: core, target: targetRequests,
		note: "multiples of the line above; not control, so no budget applies"})
	return measureStreams(ctx, r)
}

// measureStreams measures the memory of streams in progress. Their last event is
// blocked until the measurement is over.
func measureStreams(ctx context.Context, r *report) error {
	var points []point
	for _, n := range []int{10, targetStreams, 500} {
		release := make(chan struct{})
		h, err := newMemoryGateway(memoryEngines{tokens: targetTokensPerRequest, release: release})
		if err != nil {
			return err
		}
		before := heapBytes()
		var wait sync.WaitGroup
		for range n {
			wait.Go(func() { sendRequest(ctx, h) })
		}
		_ = pause.For(ctx, 500*time.Millisecond)
		points = append(points, point{float64(n), heapBytes() - before})
		close(release)
		wait.Wait()
	}
	r.add(line{name: "stream memory", size: "streams in progress", unit: "B", points: points, target: targetStreams,
		note: "heap and stacks; two sockets with their buffers, about 20 KB a stream, are not in it"})
	return nil
}
