package loadgen

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/pause"
)

// DefaultResumeFor is the usual value of Config.ResumeFor, the time for which a caller
// tries to resume a broken stream.
const DefaultResumeFor = 5 * time.Second

// Config describes a run.
type Config struct {
	Workload *Workload
	// Targets are the base URLs of gateways.
	Targets []string
	// Readiness, if set, contains the readiness URL of each target, in the order of
	// Targets. A target that reports that it is not ready is tried last.
	Readiness []string
	// Duration is the time in which requests arrive, and Grace the time after it for
	// requests in progress to end. Requests still running then count as unfinished.
	Duration time.Duration
	Grace    time.Duration
	Seed     uint64
	// Windows defaults to one window over the whole run.
	Windows   []Window
	ResumeFor time.Duration
	// Record, if set, receives a Record as a JSON line at the end of each request.
	Record io.Writer
	// Progress, if set, is called about ten times a second with the time since the start
	// and the numbers of ended requests and of tokens in the first window.
	Progress func(elapsed time.Duration, requests, tokens int)
}

// run is the state of one run.
type run struct {
	workload  *Workload
	targets   []string
	readiness *readiness
	http      *http.Client
	recorder  *recorder
	records   *recordWriter
	seed      uint64
	start     time.Time
	duration  time.Duration
	resumeFor time.Duration
	requests  sync.WaitGroup
}

func (r *run) now() time.Duration { return time.Since(r.start) }

// Run sends the workload for c.Duration, waits up to c.Grace for requests in progress
// and returns the result. It ends early when ctx does.
func Run(ctx context.Context, c Config) (*Result, error) {
	if err := c.Workload.Validate(); err != nil {
		return nil, err
	}
	targets, err := ParseTargets(c.Targets)
	if err != nil {
		return nil, err
	}
	if len(c.Windows) == 0 {
		c.Windows = []Window{{Name: "run", To: c.Duration + c.Grace}}
	}
	ready, stopProbing, err := newReadiness(ctx, targets, c.Readiness)
	if err != nil {
		return nil, err
	}
	defer stopProbing()
	r := &run{
		readiness: ready,
		workload:  c.Workload,
		targets:   targets,
		http:      newHTTPClient(),
		recorder:  newRecorder(c.Workload.Streams, c.Windows),
		records:   newRecordWriter(c.Record),
		seed:      c.Seed,
		start:     time.Now(),
		duration:  c.Duration + c.Grace,
		resumeFor: c.ResumeFor,
	}
	defer r.http.CloseIdleConnections()
	sending, stopSending := context.WithTimeout(ctx, c.Duration)
	defer stopSending()
	receiving, stopReceiving := context.WithTimeout(ctx, c.Duration+c.Grace)
	defer stopReceiving()
	go r.reportProgress(receiving, c.Progress)
	r.sendAll(sending, receiving)
	stopReceiving()
	return newResult(r.recorder, c), r.records.close()
}

// sendAll sends the requests of all streams until sending ends, and returns when all
// requests have ended, which the end of receiving forces.
func (r *run) sendAll(sending, receiving context.Context) {
	var streams sync.WaitGroup
	for i := range r.workload.Streams {
		streams.Go(func() { r.sendStream(sending, receiving, i) })
	}
	streams.Wait()
	r.requests.Wait()
}

// sendStream sends the requests of a stream at their intended times, regardless of how
// many are in progress.
func (r *run) sendStream(sending, receiving context.Context, stream int) {
	source := newArrivals(&r.workload.Streams[stream], r.workload.CommonPrefixes, r.seed)
	for {
		a, ok := source.next()
		if !ok || a.at >= r.duration {
			return
		}
		if wait := a.at - r.now(); wait > 0 {
			_ = pause.For(sending, wait)
		}
		if sending.Err() != nil {
			return
		}
		r.requests.Go(func() { r.handle(receiving, stream, a) })
	}
}

// handle sends the request of one arrival, again if it is to be resent, waits for the
// end and records the result. Latencies count from the intended arrival, so that a
// delay in the load tool itself does not hide waiting time.
func (r *run) handle(ctx context.Context, stream int, a arrival) {
	r.recorder.recordLateness(r.now() - a.at)
	id := fmt.Sprintf("%s-%x-%d", r.workload.Streams[stream].Name, r.seed, a.number)
	rr := &requestResult{id: id, arrived: a.at, perWindow: make([]windowStats, len(r.recorder.windows))}
	s := r.newSender(id)
	spec := &r.workload.Streams[stream]
	var again *requestResult
	var overlapping sync.WaitGroup
	if a.resend && spec.ResendAfter > 0 {
		overlapping.Go(func() {
			_ = pause.For(ctx, spec.ResendAfter)
			again = r.sendAgain(ctx, stream, a, id)
		})
	}
	r.send(ctx, stream, a, s, rr)
	rr.ended = r.now()
	overlapping.Wait()
	if a.resend && spec.ResendAfter == 0 && ctx.Err() == nil {
		again = r.sendAgain(ctx, stream, a, id)
	}
	rr.connectionsRefused = s.connectionsRefused
	if again != nil {
		rr.merge(again)
	}
	r.recorder.recordRequest(stream, rr)
	r.records.write(rr.toRecord(r.start, spec))
}

func (r *run) newSender(name string) *sender {
	return &sender{http: r.http, targets: r.targets, readiness: r.readiness, random: rand.New(rand.NewPCG(r.seed, xxhash.Sum64String(name)))}
}

// sendAgain sends a request a second time with the same id.
func (r *run) sendAgain(ctx context.Context, stream int, a arrival, id string) *requestResult {
	again := &requestResult{id: id, arrived: r.now(), perWindow: make([]windowStats, len(r.recorder.windows))}
	s := r.newSender(id + " again")
	r.send(ctx, stream, a, s, again)
	again.connectionsRefused = s.connectionsRefused
	return again
}

// merge adds the result of the second sending of the same request. The first outcome
// counts, but if the first one did not run, the execution of the second one is used:
// the request ran if either sending may have run it.
func (rr *requestResult) merge(again *requestResult) {
	rr.attempts += again.attempts
	rr.resumed += again.resumed
	rr.connectionsRefused += again.connectionsRefused
	rr.exchanges = append(rr.exchanges, again.exchanges...)
	for p, n := range again.violations {
		for range n {
			rr.addViolation(p)
		}
	}
	if rr.execution == api.NotRun && again.execution != api.NotRun {
		rr.execution = again.execution
	}
}

// progressInterval is the time between two calls of Config.Progress.
const progressInterval = 100 * time.Millisecond

func (r *run) reportProgress(ctx context.Context, progress func(time.Duration, int, int)) {
	if progress == nil {
		return
	}
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			requests, tokens := r.recorder.counts()
			progress(r.now(), requests, tokens)
		case <-ctx.Done():
			return
		}
	}
}
