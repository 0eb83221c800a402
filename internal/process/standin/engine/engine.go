package engine

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"persimmonwing/internal/process/logging"
	"persimmonwing/internal/request/api"
)

// exitCrash is the exit code of a process that ends at a crash marker.
const exitCrash = 3

// errStopped is the error of calls to an engine that has stopped or crashed.
var errStopped = eris.New("engine has stopped")

// Engine is one simulated engine. A single goroutine, the loop, owns the batch
// and the orders. Other goroutines access them through commands that the loop
// runs.
type Engine struct {
	// OnCrash is called at a crash marker, after the engine has stopped. It has to
	// abort the engine's connections. The default is os.Exit. Tests may replace it
	// before Start.
	OnCrash func(code int)

	settings    Settings
	logger      log.Logger
	incarnation string
	started     time.Time
	faults      *faultState
	misrouter   *misrouter
	streams     *registry
	cacheLog    *cacheLog
	reports     *reportLog
	commands    chan func()
	stop        context.CancelFunc
	stopped     context.Context
	background  sync.WaitGroup

	// The following fields are owned by the loop goroutine.
	batch    *batch
	orders   *orders
	runs     map[string]int
	stopping bool
	drained  chan struct{}
}

// New validates the settings and returns an engine. The engine runs only after Start.
func New(s Settings, logger log.Logger) (*Engine, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		OnCrash:     os.Exit,
		settings:    s,
		logger:      logging.Part(logger, "engine"),
		incarnation: ulid.Make().String(),
		started:     time.Now(),
		faults:      newFaultState(),
		misrouter:   newMisrouter(),
		streams:     newRegistry(s.scaled(s.EndedRetention), s.EndedLimit),
		cacheLog:    newCacheLog(s.scaled(s.CacheEventLag), s.CacheEventLoss, s.Seed),
		reports:     &reportLog{lag: s.scaled(s.ReportLag)},
		commands:    make(chan func()),
		stop:        cancel,
		stopped:     ctx,
		runs:        map[string]int{},
		drained:     make(chan struct{}),
	}
	prefixes, err := newPrefixCache(s.CacheBlocks, e.cacheLog)
	if err != nil {
		cancel()
		return nil, eris.Wrap(err, "create prefix cache")
	}
	e.batch = &batch{
		settings: &e.settings,
		pool:     newKVPool(s.KVCapacityTokens, s.KVBlockTokens),
		prefixes: prefixes,
		streams:  e.streams,
		byID:     map[string]*sequence{},
	}
	e.orders = newOrders(s.HonourFencing, s.Models)
	return e, nil
}

// Start starts the goroutines that run the batch and publish load reports.
func (e *Engine) Start() {
	e.background.Go(e.loop)
	e.background.Go(e.report)
}

// Close stops the engine at once and aborts all streams.
func (e *Engine) Close() {
	e.stop()
	e.background.Wait()
}

// Drain refuses new generations and waits until all accepted ones have ended.
func (e *Engine) Drain(ctx context.Context) error {
	if err := e.do(ctx, func() { e.stopping = true }); err != nil {
		return err
	}
	select {
	case <-e.drained:
		return nil
	case <-e.stopped.Done():
		return errStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.faults.set(f)
	level.Info(e.logger).Log("msg", "injected faults changed", "faults", logValue(f))
}

// do runs f on the loop goroutine and waits until f has returned. It returns an
// error if the engine has stopped or ctx ends before f starts.
func (e *Engine) do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	command := func() {
		f()
		close(done)
	}
	select {
	case e.commands <- command:
	case <-e.stopped.Done():
		return errStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	<-done
	return nil
}

func (e *Engine) loop() {
	for e.stopped.Err() == nil {
		e.signalDrained()
		end, wake, ok := e.batch.startStep(time.Now())
		if !ok {
			e.waitForWork(wake)
			continue
		}
		if !e.waitForStepEnd(end) {
			return
		}
		if !e.batch.finishStep() {
			level.Error(e.logger).Log("msg", "crash marker reached, exiting")
			e.stop()
			e.OnCrash(exitCrash)
		}
	}
}

func (e *Engine) signalDrained() {
	if !e.stopping || len(e.batch.byID) > 0 {
		return
	}
	select {
	case <-e.drained:
	default:
		close(e.drained)
	}
}

// waitForWork waits for one command and runs it. If wake is not zero, it returns
// at wake at the latest.
func (e *Engine) waitForWork(wake time.Time) {
	var due <-chan time.Time
	if !wake.IsZero() {
		due = time.After(time.Until(wake))
	}
	select {
	case f := <-e.commands:
		f()
	case <-due:
	case <-e.stopped.Done():
	}
}

// waitForStepEnd runs commands until the step ends. While the engine is frozen,
// the step does not end. It returns false when the engine stops.
func (e *Engine) waitForStepEnd(end time.Time) bool {
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	due := timer.C
	for {
		f, changed := e.faults.get()
		if due == nil && !f.Freeze {
			return true
		}
		select {
		case f := <-e.commands:
			f()
		case <-due:
			due = nil
		case <-changed:
		case <-e.stopped.Done():
			return false
		}
	}
}

// Counters returns the engine's counters.
func (e *Engine) Counters(ctx context.Context) (Counters, error) {
	var c Counters
	err := e.do(ctx, func() {
		c = e.batch.counters
		c.MaxBatch = e.settings.MaxBatch
		c.UptimeMS = float64(time.Since(e.started)) / float64(time.Millisecond)
		c.Running = len(e.batch.running)
		c.Waiting = len(e.batch.waiting)
	})
	return c, err
}

// Runs returns how many generations were accepted for each value of the #id=
// marker. A generation counts even if it is never admitted to the batch.
func (e *Engine) Runs(ctx context.Context) (map[string]int, error) {
	runs := map[string]int{}
	err := e.do(ctx, func() {
		for id, n := range e.runs {
			runs[id] = n
		}
	})
	return runs, err
}

// draining reports whether the engine refuses new generations. It must be called
// on the loop goroutine.
func (e *Engine) draining() bool {
	f, _ := e.faults.get()
	return e.stopping || f.Drain || e.orders.goal.Drain
}

// accept queues a generation, or returns the error response if it is refused. It
// must be called on the loop goroutine.
func (e *Engine) accept(r *api.CreateRequest) (*stream, *errorResponse) {
	f, _ := e.faults.get()
	switch {
	case e.draining():
		return nil, unavailable(api.CodeDraining, "engine is draining")
	case !e.orders.serves(r.Model):
		return nil, unavailable(api.CodeModelNotLoaded, "model %q is not loaded", r.Model)
	case f.Refuse || len(e.batch.waiting) >= e.settings.MaxWaiting:
		return nil, unavailable(api.CodeOverloaded, "engine takes no more work")
	case !e.batch.pool.fits(api.EstimateTokens(r.Input) + 1):
		return nil, badRequest("input exceeds the KV capacity of %d tokens", e.settings.KVCapacityTokens)
	}
	id := "resp_" + ulid.Make().String()
	created := api.Response{
		ID:       id,
		Object:   "response",
		Model:    r.Model,
		Status:   api.StatusInProgress,
		Metadata: r.Metadata,
	}
	onOrphaned := func() {
		_ = e.do(e.stopped, func() { e.batch.cancel(id, api.ReasonOrphaned) })
	}
	marker := parseIDMarker(r.Input)
	st := newStream(created, marker, e.settings.scaled(e.settings.OrphanTimeout), onOrphaned)
	e.batch.add(r, st)
	e.runs[marker]++
	return st, nil
}
