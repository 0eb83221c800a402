package forward

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/registry"
	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
)

const (
	// maxMoveDestinations is the maximum number of destinations tried for one generation.
	maxMoveDestinations = 5
	// destinationTimeout bounds the wait for a destination. An engine stops about 1.5 s
	// after it announces that it leaves, and the copy takes up to 0.4 s.
	destinationTimeout = 800 * time.Millisecond
	// moveTimeout bounds the copying. Copies queue behind each other on the network
	// links.
	moveTimeout = 3 * time.Second
	// switchTimeout is how long the source runs on after the destination was asked to resume the stream, if
	// that does not answer. Both may run for 400 ms at most, and an engine takes up to 250 ms to end a
	// generation whose connection was closed.
	switchTimeout = 150 * time.Millisecond
	// noReturnTime is the time since the notice after which the source is ended then, and before which the
	// destination is given up: the source stops 1.5 s after its notice, which is too soon for another copy.
	noReturnTime = 700 * time.Millisecond
	// resumeTimeout bounds the wait for a destination whose source has ended. Callers wait as long for an event.
	resumeTimeout = minSilence
	// freeTimeout bounds the call that releases a copy.
	freeTimeout = time.Second
)

// move is a generation's move to another engine. The KV cache is copied while the
// source runs; the destination then recomputes only the tokens generated since. The
// source is not stopped to copy the remainder: that second copy would queue on the
// network link behind the first copies of other generations, and pause the stream.
type move struct {
	r      *run
	from   registry.Server
	reason string
	// closeSource closes the connection on which the source sends its stream.
	closeSource context.CancelFunc
	// endSource ends the generation at the source, once.
	endSource func()
	started   time.Time
	cancel    context.CancelFunc

	// sourceBroken is set once the source's stream has ended before the switch.
	sourceBroken atomic.Bool
	// copying is set once an engine has been asked to copy.
	copying atomic.Bool
	// copied is closed when the copying has ended. The fields ok, grant, to and handle
	// are valid after that.
	copied chan struct{}
	ok     bool
	grant  schedule.Grant
	to     registry.Server
	handle string

	// opened receives the destination's stream. It is nil until the request to resume
	// is sent to the destination. used is set when the run has switched to the
	// destination.
	opened chan openResult
	used   bool
}

// openResult is the result of a request to a destination to resume a generation.
type openResult struct {
	src *engineStream
	err *fault.Error
}

// attemptID returns the scheduler's request id for one wait for an engine.
func attemptID(id string, runs, try int) string {
	return id + "-" + strconv.Itoa(runs) + "-" + strconv.Itoa(try)
}

// copiedC returns a channel that is closed when the copying has ended. It returns
// nil, which blocks forever, if there is no move or the request to resume was already
// sent to the destination.
func (m *move) copiedC() <-chan struct{} {
	if m == nil || m.opened != nil {
		return nil
	}
	return m.copied
}

// openedC returns the channel that receives the destination's stream, or nil, which
// blocks forever, if there is no move.
func (m *move) openedC() <-chan openResult {
	if m == nil {
		return nil
	}
	return m.opened
}

// abandon cancels a move whose copy was not used, ends the run at the destination, and releases
// the move's grant and copy in the background. It does nothing if there is no move.
func (m *move) abandon() {
	if m == nil || m.used {
		return
	}
	m.cancel()
	if m.opened != nil {
		// The run at this engine is being ended, so that the request must not run there again.
		m.r.exclude = append(m.r.exclude, m.to.Name)
	}
	go func() {
		<-m.copied
		if m.opened != nil {
			o := <-m.opened
			if o.src != nil {
				o.src.close()
			}
			if o.err == nil || o.err.Execution != api.NotRun {
				m.r.f.halt(m.r.q, m.to, m.from.Name, true)
			}
		}
		if m.grant.ID != "" {
			m.r.f.o.Scheduler.Release(m.grant.ID, schedule.Outcome{NotRun: true})
		}
		if m.handle != "" {
			ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
			defer cancel()
			m.r.f.o.Client.Free(ctx, m.from, m.handle)
		}
	}()
}

// startMove starts copying the generation's KV cache to another engine while the
// generation runs. src is the stream of the present engine.
func (r *run) startMove(ctx context.Context, src *engineStream, reason string) *move {
	// The relay may end before the move does.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), moveTimeout)
	m := &move{r: r, from: r.server, reason: reason, closeSource: src.stop, cancel: cancel, copied: make(chan struct{}), started: time.Now()}
	m.endSource = sync.OnceFunc(m.haltSource)
	request := r.f.schedulingRequest(r.q)
	request.Moving, request.Generated = true, r.generatedTokens()
	request.Fingerprint, request.PartHashes = 0, nil // a generation with events has cleared both
	request.DataCentre = r.server.DataCentre
	request.Spread = true
	version := r.server.Version
	others, left := r.f.serversOf(r.q.Service, version, append([]string{r.server.Name}, r.exclude...))
	request.Exclude = slices.Concat([]string{r.server.Name}, r.exclude, others)
	if reason == moveSlow {
		request.SlowFrom = r.server.Name
	}
	go func() {
		if reason == moveSlow {
			defer r.f.movingSlow.Store(false)
		}
		defer close(m.copied)
		defer cancel()
		if !left {
			_ = level.Info(r.f.logger(r.q)).Log("msg", "not moved", "from", m.from.Name, "reason", "no other engine of its software version", "version", version)
			return
		}
		m.copy(ctx, request)
	}()
	return m
}

// copy acquires a destination and copies the KV cache to it.
func (m *move) copy(ctx context.Context, request schedule.Request) {
	f, q := m.r.f, m.r.q
	for try := range maxMoveDestinations {
		request.ID = attemptID(q.ID, m.r.runs, try) + "-m" + strconv.FormatInt(m.started.UnixMilli(), 36)
		request.Deadline = time.Now().Add(destinationTimeout)
		if m.reason == moveSlow {
			request.Deadline = time.Now().Add(slowDestinationTimeout)
		}
		grant, err := f.o.Scheduler.Acquire(ctx, request)
		if err != nil && m.reason == moveSlow {
			return
		}
		if err != nil {
			_ = level.Warn(f.logger(q)).Log("msg", "not moved", "from", m.from.Name, "reason", "no destination", "err", err)
			return
		}
		request.Exclude = append(request.Exclude, grant.Backend)
		to, ok := f.o.Servers.Get(grant.Backend)
		if !ok || to.Version != m.from.Version || f.o.Servers.Blocked(time.Now(), grant.Backend) {
			f.o.Scheduler.Release(grant.ID, schedule.Outcome{NotRun: true})
			continue
		}
		if m.reason == moveSlow && !f.o.Budget.Allow(time.Now(), q.Service, retryReserve) {
			f.o.Scheduler.Release(grant.ID, schedule.Outcome{NotRun: true})
			return
		}
		m.copying.Store(true)
		c := f.o.Client.Copy(ctx, m.from, to, q.ID)
		if c.Outcome == Copied {
			m.grant, m.to, m.handle, m.ok = grant, to, c.Handle, true
			return
		}
		f.o.Scheduler.Release(grant.ID, schedule.Outcome{NotRun: true})
		_ = level.Info(f.logger(q)).Log("msg", "copy failed", "from", m.from.Name, "to", to.Name, "outcome", c.Outcome, "took_ms", time.Since(m.started).Milliseconds(), "err", c.Err)
		if c.Outcome != NoRoom {
			return
		}
	}
}

// open starts the stream at the destination, after the last event sent to the caller.
func (m *move) open(ctx context.Context) {
	m.opened = make(chan openResult, 1)
	r := m.r
	kvCopy := &KVCopy{Address: m.from.Address, Handle: m.handle}
	after, resumes := r.last, r.hasLast
	// A move is an additional request to the service. It is counted in the retry budget. One off a leaving
	// engine takes place even if the budget is used up.
	if m.reason != moveSlow {
		r.f.o.Budget.Allow(time.Now(), r.q.Service, 0)
	}
	ctx, giveUp := context.WithCancel(ctx)
	late := time.AfterFunc(switchTimeout, func() {
		switch {
		case m.sourceBroken.Load():
		case m.reason == moveLeaving && time.Since(m.started) >= noReturnTime:
			m.endSource()
		default:
			giveUp()
		}
	})
	go func() {
		src, err := r.open(ctx, m.to, kvCopy, after, resumes, resumeTimeout)
		late.Stop()
		if err == nil {
			m.endSource()
		}
		m.opened <- openResult{src, err}
	}()
}

// haltSource ends the generation at the source, because the destination has begun or will. The relay may be
// writing to a caller that reads slowly, so this does not wait for it. What the source had sent and the
// relay has not read is sent again by the destination.
func (m *move) haltSource() {
	// Most engines drop a generation whose connection closes.
	m.closeSource()
	m.r.f.halt(m.r.q, m.from, m.to.Name, false)
}

// switchTo makes the destination of the move the run's engine.
func (r *run) switchTo(m *move) {
	_ = level.Info(r.f.logger(r.q)).Log("msg", "moved", "reason", m.reason, "from", m.from.Name, "to", m.to.Name, "events", r.events, "took_ms", time.Since(m.started).Milliseconds(), "since_event_ms", time.Since(r.lastEventAt).Milliseconds())
	r.f.o.Metrics.Counter("moves", r.q.Route.Name).Inc(1)
	if m.reason == moveSlow {
		r.f.o.Metrics.Counter("moves_slow", r.q.Route.Name).Inc(1)
	}
	m.used = true
	r.slow = slowness{}
	r.f.untrack(r.server.Name, r)
	r.f.o.Scheduler.Release(r.grant.ID, schedule.Outcome{Generated: r.generatedTokens()})
	r.grant, r.server = m.grant, m.to
	r.resetLeaving()
	r.f.track(r.server.Name, r)
}

// copied handles the end of the copying: it starts the stream at the destination, or
// abandons the move if the copying failed. If the destination accepts no requests any more, it starts
// another move.
func (r *run) copied(ctx context.Context, src *engineStream) {
	m := r.moving
	// The destination may have begun to leave, or asked for a pause, while the memory was copied.
	blocked := m.ok && r.f.o.Servers.Blocked(time.Now(), m.to.Name)
	if m.ok && !blocked {
		m.open(ctx)
		return
	}
	m.abandon()
	r.moving = nil
	if blocked && m.reason == moveLeaving {
		r.moving = r.startMove(ctx, src, moveLeaving)
	}
}

// opened returns the destination's stream. If the destination did not resume, it
// abandons the move and returns nil.
func (r *run) opened(o openResult) *engineStream {
	if o.err == nil {
		return o.src
	}
	_ = level.Warn(r.f.logger(r.q)).Log("msg", "not resumed", "from", r.server.Name, "to", r.moving.to.Name, "events", r.events, "err", o.err)
	// abandon receives the result again.
	r.moving.opened <- o
	r.moving.abandon()
	r.moving = nil
	return nil
}

// awaitDestination waits for the destination's stream after the source's stream broke
// before the switch.
func (r *run) awaitDestination(ctx context.Context, src *engineStream) (*engineStream, *fault.Error) {
	m := r.moving
	if m == nil {
		return nil, fault.Wrap(src.readErr, linkErrorCode(ctx), stepStream, r.server.Name, api.Ran)
	}
	m.sourceBroken.Store(true)
	if !m.copying.Load() {
		// There is nothing to copy any more.
		m.cancel()
	}
	select {
	case <-m.copied:
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), linkErrorCode(ctx), stepMove, r.server.Name, api.Ran)
	}
	if !m.ok {
		return nil, fault.New(fault.BackendLost, stepMove, m.from.Name, api.Ran, "engine stopped before the generation was copied")
	}
	if m.opened == nil {
		m.open(ctx)
	}
	var o openResult
	select {
	case o = <-m.opened:
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), linkErrorCode(ctx), stepMove, r.server.Name, api.Ran)
	}
	if o.err != nil {
		m.opened <- o
		// The source has run the generation, whatever the destination states.
		return nil, fault.Wrap(o.err, linkErrorCode(ctx), stepMove, r.server.Name, api.Ran)
	}
	return o.src, nil
}
