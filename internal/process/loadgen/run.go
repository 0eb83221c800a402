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

// DefaultResumeFor is the time for which a caller tries to resume a broken stream.
const DefaultResumeFor = 5 * time.Second

// Config describes a run.
type Config struct {
	Workload *Workload
	// Targets are base URLs of gateways.
	Targets []string
	// Readiness, if set, are the URLs at which the targets say whether they take new
	// connections, in the order of Targets.
	Readiness []string
	// Duration is the time in which requests arrive; Grace is the time for those
	// in progress to end. Requests that then still run count as unfinished.
	Duration time.Duration
	Grace    time.Duration
	Seed     uint64
	// Windows defaults to one that covers the run.
	Windows   []Window
	ResumeFor time.Duration
	// Record, if set, gets a Record as a JSON line at the end of each request.
	Record io.Writer
	// Progress, if set, is called about ten times a second.
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

// Run sends the workload until the duration has passed or ctx ends.
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
	ready, stopLooking, err := newReadiness(ctx, targets, c.Readiness)
	if err != nil {
		return nil, err
	}
	defer stopLooking()
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
	go r.report(receiving, c.Progress)
	r.sendAll(sending, receiving)
	stopReceiving()
	return newResult(r.recorder, c), r.records.close()
}

// sendAll starts all streams and returns when every request has ended.
func (r *run) sendAll(sending, receiving context.Context) {
	var streams sync.WaitGroup
	for i := range r.workload.Streams {
		streams.Go(func() { r.sendStream(sending, receiving, i) })
	}
	streams.Wait()
	r.requests.Wait()
}

// sendStream sends the requests of a stream at their times, however many are
// in progress.
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

// handle runs one arrival to its end and records it. Times count from the
// intended arrival, so that delays of the load tool itself do not hide waits.
func (r *run) handle(ctx context.Context, stream int, a arrival) {
	r.recorder.late(r.now() - a.at)
	id := fmt.Sprintf("%s-%x-%d", r.workload.Streams[stream].Name, r.seed, a.number)
	f := &finished{id: id, arrived: a.at, parts: make([]part, len(r.recorder.windows))}
	s := r.newSender(id)
	spec := &r.workload.Streams[stream]
	var again *finished
	var overlapping sync.WaitGroup
	if a.resend && spec.ResendAfter > 0 {
		overlapping.Go(func() {
			_ = pause.For(ctx, spec.ResendAfter)
			again = r.sendAgain(ctx, stream, a, id)
		})
	}
	r.send(ctx, stream, a, s, f)
	f.ended = r.now()
	overlapping.Wait()
	if a.resend && spec.ResendAfter == 0 && ctx.Err() == nil {
		again = r.sendAgain(ctx, stream, a, id)
	}
	f.skipped = s.skipped
	if again != nil {
		f.merge(again)
	}
	r.recorder.finish(stream, f)
	r.records.write(f.record(r.start, spec))
}

func (r *run) newSender(name string) *sender {
	return &sender{http: r.http, targets: r.targets, readiness: r.readiness, random: rand.New(rand.NewPCG(r.seed, xxhash.Sum64String(name)))}
}

// sendAgain sends a request a second time with the same id.
func (r *run) sendAgain(ctx context.Context, stream int, a arrival, id string) *finished {
	again := &finished{id: id, arrived: r.now(), parts: make([]part, len(r.recorder.windows))}
	s := r.newSender(id + " again")
	r.send(ctx, stream, a, s, again)
	again.skipped = s.skipped
	return again
}

// merge adds a second sending. The first answer is the one that counts, except
// that a request ran if either sending may have run it.
func (f *finished) merge(again *finished) {
	f.attempts += again.attempts
	f.resumed += again.resumed
	f.skipped += again.skipped
	f.links = append(f.links, again.links...)
	for p, n := range again.violations {
		for range n {
			f.violate(p)
		}
	}
	if f.execution == api.NotRun && again.execution != api.NotRun {
		f.execution = again.execution
	}
}

// progressInterval is the time between two calls of Config.Progress.
const progressInterval = 100 * time.Millisecond

func (r *run) report(ctx context.Context, progress func(time.Duration, int, int)) {
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
