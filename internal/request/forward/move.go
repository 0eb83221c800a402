package forward

import (
	"context"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/registry"
	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
	"persimmonwing/internal/version/catalogue"
)

const (
	// moveTries bounds the destinations tried for one generation.
	moveTries = 3
	// movePatience bounds the wait for a destination. An engine ends about 1.5 s
	// after its notice, and the copy takes up to 0.4 s.
	movePatience = 300 * time.Millisecond
	// moveTimeout bounds all copying of a move. Copies queue behind each other.
	moveTimeout = 3 * time.Second
	// freeTimeout bounds the call that gives up a copy.
	freeTimeout = time.Second
)

// move is a generation's move to another engine. A nil move is none.
type move struct {
	r      *run
	cancel context.CancelFunc
	done   chan struct{}

	// The rest is valid once done is closed.

	grant  schedule.Grant
	server registry.Server
	// handle names the copy; stopped is set when the source was told to stop.
	handle  string
	stopped bool
	ok      bool
	used    bool
	started time.Time
}

// attemptID names one wait for an engine.
func attemptID(id string, runs, try int) string {
	return id + "-" + strconv.Itoa(runs) + "-" + strconv.Itoa(try)
}

// result is closed when the move is prepared or has failed.
func (m *move) result() <-chan struct{} {
	if m == nil {
		return nil
	}
	select {
	case <-m.done:
		if m.ok {
			// The source's end is awaited instead.
			return nil
		}
	default:
	}
	return m.done
}

func (m *move) failed() bool { return !m.ok }

// stopping reports whether the source was told to stop, or may have been.
func (m *move) stopping() bool {
	if m == nil {
		return false
	}
	select {
	case <-m.done:
	case <-time.After(moveTimeout):
		return false
	}
	return m.stopped
}

// abandon gives up a move whose copy was not used.
func (m *move) abandon() {
	if m == nil {
		return
	}
	m.cancel()
	go func() {
		<-m.done
		m.release()
	}()
}

func (m *move) release() {
	if m.used {
		return
	}
	if m.grant.ID != "" {
		m.r.f.o.Scheduler.Release(m.grant.ID, schedule.Outcome{NotRun: true})
	}
	if m.handle != "" {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		m.r.f.o.Client.Free(ctx, m.r.server, m.handle)
	}
}

// startMove copies the generation's memory to another engine while it runs, and
// then stops it.
func (r *run) startMove(ctx context.Context) *move {
	// The relay may end before the move has.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), moveTimeout)
	m := &move{r: r, cancel: cancel, done: make(chan struct{}), started: time.Now()}
	from := r.server
	request := r.f.schedulingRequest(r.q)
	request.Class = catalogue.Urgent
	request.PromptTokens += r.tokens()
	request.Fingerprint = 0
	request.Exclude = []string{from.Name}
	go func() {
		defer close(m.done)
		defer cancel()
		m.prepare(ctx, from, request)
	}()
	return m
}

// prepare finds a destination and copies.
func (m *move) prepare(ctx context.Context, from registry.Server, request schedule.Request) {
	r := m.r
	for try := range moveTries {
		request.ID = attemptID(r.q.ID, r.runs, try) + "-m" + strconv.FormatInt(m.started.UnixMilli(), 36)
		request.Deadline = time.Now().Add(movePatience)
		grant, err := r.f.o.Scheduler.Acquire(ctx, request)
		if err != nil {
			_ = level.Warn(r.f.logger(r.q)).Log("msg", "not moved", "from", from.Name, "reason", "no destination", "err", err)
			return
		}
		server, ok := r.f.o.Servers.Get(grant.Backend)
		if !ok || r.f.o.Servers.Leaving(grant.Backend) {
			r.f.o.Scheduler.Release(grant.ID, schedule.Outcome{NotRun: true})
			request.Exclude = append(request.Exclude, grant.Backend)
			continue
		}
		outcome := m.copyTo(ctx, from, server)
		if outcome == Copied {
			m.grant, m.server, m.ok = grant, server, true
			return
		}
		r.f.o.Scheduler.Release(grant.ID, schedule.Outcome{NotRun: true})
		_ = level.Info(r.f.logger(r.q)).Log("msg", "copy failed", "from", from.Name, "to", server.Name, "outcome", outcome, "stopped", m.stopped, "took_ms", time.Since(m.started).Milliseconds())
		request.Exclude = append(request.Exclude, grant.Backend)
		if m.stopped {
			// The source keeps the memory and can go on with it.
			m.server, m.ok = from, true
			return
		}
		if outcome != NoRoom {
			return
		}
	}
}

// copyTo copies ahead, then stops the source and copies the rest.
func (m *move) copyTo(ctx context.Context, from, to registry.Server) MoveOutcome {
	ahead := m.r.f.o.Client.Copy(ctx, from, to, m.r.q.ID, false)
	if ahead.Outcome != Copied {
		return ahead.Outcome
	}
	m.handle = ahead.Handle
	rest := m.r.f.o.Client.Copy(ctx, from, to, m.r.q.ID, true)
	if rest.Handle != "" {
		m.handle = rest.Handle
	}
	m.stopped = rest.Outcome != NoRun
	return rest.Outcome
}

// resume goes on with a moved generation at its destination after the source has
// ended.
func (r *run) resume(ctx context.Context, m *move, old *source) (*source, *fault.Error) {
	<-m.done
	if !m.ok || m.handle == "" {
		return nil, fault.New(fault.BackendLost, stepMove, r.server.Name, api.Ran, "engine ended before the generation was copied")
	}
	if err := r.f.checkSend(r.q); err != nil {
		err.Execution = api.Ran
		return nil, err
	}
	memory := &Memory{Address: r.server.Address, Handle: m.handle}
	// A move is an arrival beyond the first, whether or not the budget has room.
	r.f.o.Budget.Allow(time.Now(), r.q.Service, 0)
	next, err := r.open(ctx, m.server, memory)
	if err != nil {
		_ = level.Warn(r.f.logger(r.q)).Log("msg", "not resumed", "from", r.server.Name, "to", m.server.Name, "events", r.events, "err", err)
		err.Execution = api.Ran
		return nil, err
	}
	old.close()
	_ = level.Info(r.f.logger(r.q)).Log("msg", "moved", "from", r.server.Name, "to", m.server.Name, "events", r.events, "took_ms", time.Since(m.started).Milliseconds(), "pause_ms", time.Since(r.lastEventAt).Milliseconds())
	r.f.o.Metrics.Counter("moves", r.q.Route.Name).Inc(1)
	m.used = true
	r.f.untrack(r.server.Name, r)
	if m.grant.ID != "" {
		r.f.o.Scheduler.Release(r.grant.ID, schedule.Outcome{Generated: r.tokens()})
		r.grant = m.grant
		r.f.o.Scheduler.Progress(r.grant.ID, 0)
	}
	r.server = m.server
	r.arm()
	r.f.track(r.server.Name, r)
	return next, nil
}
