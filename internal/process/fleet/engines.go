package fleet

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/go-kit/log"

	"persimmonwing/internal/process/standin/engine"
)

// engineHost is an engine stand-in with its HTTP server.
type engineHost struct {
	name   string
	engine *engine.Engine
	server *server

	mu   sync.Mutex
	lost bool
	// lastCounters are the last counters read before the engine was lost. runs are
	// the runs at kill, or nil if kill was not called.
	lastCounters engine.Counters
	runs         map[string]int
}

func (o *Options) engineSettings(i int) engine.Settings {
	s := engine.DefaultSettings()
	s.Name = fmt.Sprintf("engine-%d", i+1)
	s.Models = o.Models
	s.KVCapacityTokens = o.KVCapacityTokens
	s.MaxBatch = o.MaxBatch
	s.MaxWaiting = o.EngineQueue
	s.StepBase = o.StepBase
	s.StepPerSequence = o.StepPerSequence
	s.PrefillTokensPerSecond = o.PrefillTokensPerSecond
	s.ReportLag = o.ReportLag
	s.TimeScale = o.TimeScale
	s.Seed = o.Seed + uint64(i)
	return s
}

func (f *Fleet) startEngine(i int) error {
	s := f.opts.engineSettings(i)
	e, err := engine.New(s, log.NewNopLogger())
	if err != nil {
		return err
	}
	h := &engineHost{name: s.Name, engine: e}
	// A crash must end only this engine, not the process. The server is closed on
	// another goroutine, because Exit is called on the engine's loop goroutine.
	e.OnCrash = func(int) { f.background.Go(h.crashed) }
	if h.server, err = startServer(e.Handler()); err != nil {
		return err
	}
	e.Start()
	f.engines = append(f.engines, h)
	return nil
}

func (h *engineHost) crashed() {
	h.mu.Lock()
	h.lost = true
	h.mu.Unlock()
	h.server.close()
}

// kill stops the engine, aborts its connections and closes its listener.
func (h *engineHost) kill(ctx context.Context) {
	h.sample(ctx)
	runs, err := h.engine.Runs(ctx)
	h.mu.Lock()
	if err == nil {
		h.runs = runs
	}
	h.lost = true
	h.mu.Unlock()
	h.engine.Close()
	h.server.close()
}

// sample stores the current counters, so that they are known after the engine is
// lost.
func (h *engineHost) sample(ctx context.Context) {
	c, err := h.engine.Counters(ctx)
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastCounters = c
}

// samplePeriod is the interval of sampleEngines. It limits the age of the last
// counters of an engine that crashed.
const samplePeriod = 100 * time.Millisecond

func (f *Fleet) sampleEngines(ctx context.Context) {
	tick := time.NewTicker(samplePeriod)
	defer tick.Stop()
	for {
		for _, h := range f.engines {
			h.sample(ctx)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// Counters are the totals of a fleet at the time At.
type Counters struct {
	At time.Time
	// Engines counts the engines that are not lost.
	Engines int
	// Accepted, Preempted and Tokens are sums over all engines, lost ones included.
	Accepted  int64
	Preempted int64
	Tokens    int64
	// ByEngine is the counters of each engine by its name.
	ByEngine map[string]engine.Counters
}

// Counters returns the sum of the counters of all engines. For lost engines it
// uses the last values read.
func (f *Fleet) Counters(ctx context.Context) Counters {
	sum := Counters{At: time.Now(), ByEngine: map[string]engine.Counters{}}
	for _, h := range f.engines {
		h.sample(ctx)
		h.mu.Lock()
		c := h.lastCounters
		if !h.lost {
			sum.Engines++
		}
		h.mu.Unlock()
		sum.ByEngine[h.name] = c
		sum.Accepted += c.Accepted
		sum.Preempted += c.Preempted
		sum.Tokens += c.Tokens
	}
	return sum
}

// Utilisation returns the fraction of the batch slots that were in use between
// two calls of Counters. Only the slots of engines not lost at the later one
// count as available.
func Utilisation(from, to Counters) float64 {
	used, slots := 0.0, 0
	for name, after := range to.ByEngine {
		before := from.ByEngine[name]
		slots = max(slots, after.MaxBatch)
		if steps := after.BusySteps - before.BusySteps; steps > 0 {
			meanStepMS := (after.BusyMS - before.BusyMS) / float64(steps)
			used += float64(after.BatchSum-before.BatchSum) * meanStepMS
		}
	}
	available := float64(slots*to.Engines) * float64(to.At.Sub(from.At).Milliseconds())
	if available <= 0 {
		return 0
	}
	return used / available
}

// Runs returns how often each generation was run, summed over all engines. The
// runs of an engine that crashed at a crash marker are not included.
func (f *Fleet) Runs(ctx context.Context) map[string]int {
	sum := map[string]int{}
	for _, h := range f.engines {
		h.mu.Lock()
		runs := maps.Clone(h.runs)
		h.mu.Unlock()
		if live, err := h.engine.Runs(ctx); err == nil {
			runs = live
		}
		for id, n := range runs {
			sum[id] += n
		}
	}
	return sum
}

// RunsIn returns the number of generations and service calls that the backend servers of a data centre
// have run.
func (f *Fleet) RunsIn(ctx context.Context, dataCentre string) (total int, err error) {
	for i, h := range f.engines {
		if f.opts.dataCentre(i) != dataCentre {
			continue
		}
		runs, err := h.engine.Runs(ctx)
		if err != nil {
			return 0, err
		}
		for _, n := range runs {
			total += n
		}
	}
	for i, a := range f.apps {
		if f.opts.dataCentre(i) == dataCentre {
			for _, n := range a.Runs() {
				total += n
			}
		}
	}
	return total, nil
}
