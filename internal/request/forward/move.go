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
	moveTries = 5
	// movePatience bounds the wait for a destination. An engine ends about 1.5 s
	// after its notice, and the copy takes up to 0.4 s.
	movePatience = 800 * time.Millisecond
	// moveTimeout bounds the copying. Copies queue behind each other on the links.
	moveTimeout = 3 * time.Second
	// switchTimeout bounds the wait for the destination to go on. Meanwhile the
	// source runs, which it must not for longer than 400 ms.
	switchTimeout = 300 * time.Millisecond
	// freeTimeout bounds the call that gives up a copy.
	freeTimeout = time.Second
)

// move is a generation's move to another engine. Its memory is copied while the
// source runs; the destination then reads only what was generated since. The
// source is not asked to stop and copy the rest: that copy would queue on the
// link behind the first copies of the other generations, and pause the stream.
type move struct {
	r       *run
	from    registry.Server
	started time.Time
	cancel  context.CancelFunc

	// copied is closed when the copying has ended. The fields behind it are valid
	// then.
	copied chan struct{}
	ok     bool
	grant  schedule.Grant
	to     registry.Server
	handle string

	// opened gets the destination's stream once it was asked for.
	opened chan opening
	used   bool
}

// opening is the result of asking a destination to go on.
type opening struct {
	src *source
	err *fault.Error
}

// attemptID names one wait for an engine.
func attemptID(id string, runs, try int) string {
	return id + "-" + strconv.Itoa(runs) + "-" + strconv.Itoa(try)
}

// copiedC is closed when the copying has ended and the destination was not asked
// yet. That of no move blocks.
func (m *move) copiedC() <-chan struct{} {
	if m == nil || m.opened != nil {
		return nil
	}
	return m.copied
}

// openedC gets the destination's stream. That of no move blocks.
func (m *move) openedC() <-chan opening {
	if m == nil {
		return nil
	}
	return m.opened
}

// abandon gives up a move whose copy was not used.
func (m *move) abandon() {
	if m == nil || m.used {
		return
	}
	m.cancel()
	go func() {
		<-m.copied
		if m.opened != nil {
			if o := <-m.opened; o.src != nil {
				o.src.close()
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

// startMove copies the generation's memory to another engine while it runs.
func (r *run) startMove(ctx context.Context) *move {
	// The relay may end before the move has.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), moveTimeout)
	m := &move{r: r, from: r.server, cancel: cancel, copied: make(chan struct{}), started: time.Now()}
	request := r.f.schedulingRequest(r.q)
	request.Class = catalogue.Urgent
	request.PromptTokens += r.tokens()
	request.Fingerprint = 0
	request.DataCentre = r.server.DataCentre
	request.Spread = true
	request.Exclude = []string{r.server.Name}
	go func() {
		defer close(m.copied)
		defer cancel()
		m.copy(ctx, request)
	}()
	return m
}

// copy finds a destination and copies.
func (m *move) copy(ctx context.Context, request schedule.Request) {
	f, q := m.r.f, m.r.q
	for try := range moveTries {
		request.ID = attemptID(q.ID, m.r.runs, try) + "-m" + strconv.FormatInt(m.started.UnixMilli(), 36)
		request.Deadline = time.Now().Add(movePatience)
		grant, err := f.o.Scheduler.Acquire(ctx, request)
		if err != nil {
			_ = level.Warn(f.logger(q)).Log("msg", "not moved", "from", m.from.Name, "reason", "no destination", "err", err)
			return
		}
		request.Exclude = append(request.Exclude, grant.Backend)
		to, ok := f.o.Servers.Get(grant.Backend)
		if !ok || f.o.Servers.Leaving(grant.Backend) {
			f.o.Scheduler.Release(grant.ID, schedule.Outcome{NotRun: true})
			continue
		}
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

// open asks the destination to go on behind the newest event.
func (m *move) open(ctx context.Context) {
	m.opened = make(chan opening, 1)
	r := m.r
	memory := &Memory{Address: m.from.Address, Handle: m.handle}
	after, resumes := r.last, r.hasLast
	// A move is an arrival beyond the first, whether or not the budget has room.
	r.f.o.Budget.Allow(time.Now(), r.q.Service, 0)
	go func() {
		src, err := r.open(ctx, m.to, memory, after, resumes, switchTimeout)
		m.opened <- opening{src, err}
	}()
}

// takeOver makes the destination the run's engine.
func (r *run) takeOver(m *move) {
	_ = level.Info(r.f.logger(r.q)).Log("msg", "moved", "from", m.from.Name, "to", m.to.Name, "events", r.events, "took_ms", time.Since(m.started).Milliseconds(), "since_event_ms", time.Since(r.lastEventAt).Milliseconds())
	r.f.o.Metrics.Counter("moves", r.q.Route.Name).Inc(1)
	m.used = true
	r.f.untrack(r.server.Name, r)
	r.f.o.Scheduler.Release(r.grant.ID, schedule.Outcome{Generated: r.tokens()})
	r.grant, r.server = m.grant, m.to
	r.arm()
	r.f.track(r.server.Name, r)
}

// copied asks the destination to go on once the copying has ended, or gives up the
// move if it failed.
func (r *run) copied(ctx context.Context) {
	if r.moving.ok {
		r.moving.open(ctx)
		return
	}
	r.moving.abandon()
	r.moving = nil
}

// opened returns the destination's stream, or gives up the move and returns nil if
// the destination did not go on.
func (r *run) opened(o opening) *source {
	if o.err == nil {
		return o.src
	}
	_ = level.Warn(r.f.logger(r.q)).Log("msg", "not resumed", "from", r.server.Name, "to", r.moving.to.Name, "events", r.events, "err", o.err)
	// abandon takes the result again.
	r.moving.opened <- o
	r.moving.abandon()
	r.moving = nil
	return nil
}

// rescue returns the destination's stream after the source has broken off before
// the switch.
func (r *run) rescue(ctx context.Context, src *source) (*source, *fault.Error) {
	m := r.moving
	if m == nil {
		return nil, fault.Wrap(src.ended, lossCode(ctx), stepStream, r.server.Name, api.Ran)
	}
	<-m.copied
	if !m.ok {
		return nil, fault.New(fault.BackendLost, stepMove, m.from.Name, api.Ran, "engine ended before the generation was copied")
	}
	if m.opened == nil {
		m.open(ctx)
	}
	o := <-m.opened
	if o.err != nil {
		m.opened <- o
		return nil, o.err
	}
	return o.src, nil
}
