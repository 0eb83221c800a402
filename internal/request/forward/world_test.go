package forward

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"persimmonwing/internal/process/balance"
	"persimmonwing/internal/process/daemon"
	"persimmonwing/internal/process/health"
	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/origins"
	"persimmonwing/internal/process/owner"
	"persimmonwing/internal/process/registry"
	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/process/telemetry"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
	"persimmonwing/internal/version/catalogue"
	"persimmonwing/internal/version/routing"
)

// eventGap is the interval between two events of a fake engine.
const eventGap = 10 * time.Millisecond

// fakeFleet is a set of fake backend servers in one data centre. It implements
// Client, Scheduler, Servers and Budget.
type fakeFleet struct {
	mu      sync.Mutex
	servers map[string]*fakeServer
	leaving map[string]bool
	// sent lists the servers to which requests were sent, in order.
	sent  []string
	freed int
	// crashes lists the times at which calls crashed servers, and log holds the log.
	crashes []time.Time
	log     bytes.Buffer
	// noted lists the calls of NoteBroken and NoteAnswered, in order.
	noted []string
	// runs lists all streams in the order in which they began. stops counts the calls of Stop.
	runs  []*stream
	stops int
	// copies lists the servers to which the memory of generations was copied, in order.
	copies []string
	// refusesAfter is the time that Acquire takes to refuse a request that no server may get.
	refusesAfter time.Duration
	// fullUntil is the time until which all servers are full.
	fullUntil time.Time
	// waited is called before Acquire chooses a server, with mu held: the servers may have changed while the request waited.
	waited func()
	// budget is the number of retries left; mayRun is the result of MayRun.
	budget int
	mayRun bool

	f *Forwarder
}

// fakeServer is one backend server.
type fakeServer struct {
	name, version string
	// fail is the error returned by a send; answer is the answer to a request that is
	// not streamed.
	fail   error
	answer *Answer
	// survives is set for a server that goes on although the connection breaks, and endsLate
	// for one that can be reached for a moment after that.
	survives bool
	endsLate time.Duration
	brokeAt  time.Time
	// crashesAfter is the time after which a call crashes the server, whether or not its connection is
	// still open. Until downUntil nothing listens there. starts counts the incarnations.
	crashesAfter time.Duration
	downUntil    time.Time
	starts       int64
	// failsAfter is the time that a send takes until it returns fail or is refused.
	failsAfter time.Duration
	// total is the number of events of a generation. If diesAfter is not 0, a stream
	// breaks after this server has sent that many events.
	total, diesAfter int
	// gap is the interval between two events; 0 means eventGap. The server writes filler
	// every fillerGap in between.
	gap    time.Duration
	filler string
	// slowGap is the interval before slowEvents events after the fifth.
	slowGap    time.Duration
	slowEvents int64
	// copyTime is the time that a copy from this server takes; copyFails is the outcome
	// of copies if it is not Copied.
	copyTime  time.Duration
	copyFails MoveOutcome
	// openTime is the time until a moved stream begins; refuses makes it fail.
	openTime time.Duration
	refuses  bool
	// moved is the answer to a moved stream, if it is not nil.
	moved *Answer
	// running holds the streams in progress by request id; begun lists the first event
	// of each stream started.
	running map[string]*stream
	begun   []int64
	// worksOn is set for a server that goes on with a stream whose connection closes.
	// beginsLate is the time after which it begins a moved stream, whether or not its
	// connection is still open. unreachable is the number of calls of Stop that fail, and
	// noRoom makes it a receiver that Stop can't name.
	worksOn    bool
	beginsLate time.Duration
	// answersLate is the time after which it answers a moved stream, which it begins at once, and endLag the
	// time that it takes to end a stream when it is told to stop.
	answersLate time.Duration
	endLag      time.Duration
	unreachable int
	noRoom      bool
}

// stream is a running generation.
type stream struct {
	server, id   string
	cancel       context.CancelFunc
	began, ended time.Time
}

func newFakeFleet(names ...string) *fakeFleet {
	w := &fakeFleet{servers: map[string]*fakeServer{}, leaving: map[string]bool{}, budget: 10, mayRun: true}
	for _, n := range names {
		w.servers[n] = &fakeServer{name: n, version: firstVersion, total: 20, running: map[string]*stream{}}
	}
	set, loads := health.NewSet(health.DefaultOptions()), balance.NewLoads()
	logger := log.NewSyncLogger(log.NewLogfmtLogger(&w.log))
	w.f = New(Options{
		Client: w, Scheduler: w, CrashGuard: owner.New(owner.Options{View: lonelyView{}, Logger: logger}), Servers: w, Budget: w, Metrics: telemetry.New(), Logger: logger,
		Health: func(string) *health.Set { return set }, Loads: func(string) *balance.Loads { return loads }, Random: func() float64 { return 0 }, MayRun: func(*Request) bool { return w.mayRun }, Grace: daemon.NewGrace(), StopRetryAfter: func() time.Duration { return time.Millisecond },
		Origins: &fakeOrigins{w, map[string]origins.Origin{}}, RouteServices: func(r *routing.Route, _ time.Duration) []string { return []string{r.Split[0].Service} },
	})
	return w
}

// lonelyView is the view of a gateway that knows no other.
type lonelyView struct{ owner.View }

func (lonelyView) Self() membership.Host       { return membership.Host{Name: "g"} }
func (lonelyView) Live() []membership.Gateway  { return nil }
func (lonelyView) Known() []membership.Gateway { return nil }

// leave marks a server as leaving and notifies the Forwarder.
func (w *fakeFleet) leave(name string) {
	w.mu.Lock()
	w.leaving[name] = true
	w.mu.Unlock()
	w.f.ServerLeaving(name)
}

// The following methods implement Scheduler.

func (w *fakeFleet) Acquire(ctx context.Context, r schedule.Request) (schedule.Grant, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waited != nil {
		w.waited()
	}
	if full := w.fullUntil; time.Now().Before(full) {
		if r.Deadline.Before(full) {
			full = r.Deadline
		}
		w.mu.Unlock()
		time.Sleep(time.Until(full))
		w.mu.Lock()
		if full.Equal(r.Deadline) {
			return schedule.Grant{Account: schedule.Account{Lacked: schedule.LackSlots}}, &schedule.Refusal{Reason: schedule.ReasonDeadline}
		}
	}
	for _, n := range w.names() {
		if !w.leaving[n] && !slices.Contains(r.Exclude, n) && suits(r, w.servers[n].version) && time.Now().Before(r.Deadline) {
			return schedule.Grant{ID: r.ID, Backend: n}, nil
		}
	}
	if w.refusesAfter > 0 {
		w.mu.Unlock()
		defer w.mu.Lock()
		select {
		case <-time.After(w.refusesAfter):
		case <-ctx.Done():
		}
	}
	return schedule.Grant{}, &schedule.Refusal{Reason: schedule.ReasonDeadline}
}

func (w *fakeFleet) names() []string {
	var out []string
	for n := range w.servers {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

func (w *fakeFleet) Progress(string, int)             {}
func (w *fakeFleet) Release(string, schedule.Outcome) {}

// The following methods implement Servers.

func (w *fakeFleet) Get(name string) (registry.Server, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	started, version := int64(0), ""
	if s := w.servers[name]; s != nil {
		started, version = s.starts, s.version
	}
	return setVersion(registry.Server{Name: name, Address: name, StartedMS: started}, version), true
}

func (w *fakeFleet) Leaving(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving[name]
}

func (w *fakeFleet) Service(time.Time, string, string) []membership.Backend {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []membership.Backend
	for _, n := range w.names() {
		out = append(out, membership.Backend{Name: n, Accepting: !w.leaving[n]})
	}
	return out
}

func (w *fakeFleet) Blocked(_ time.Time, name string) bool { return w.Leaving(name) }

func (w *fakeFleet) AllPaused(time.Time, string) (time.Duration, bool) { return 0, false }
func (w *fakeFleet) AllEvacuated(string) bool                          { return false }
func (w *fakeFleet) ColdWait(time.Time, string) (time.Duration, bool)  { return 0, false }

func (w *fakeFleet) NoteReplaced(registry.Server)      {}
func (w *fakeFleet) NoteUnreachable(time.Time, string) {}

func (w *fakeFleet) NoteBroken(_ time.Time, name string) { w.noted = append(w.noted, "broken "+name) }
func (w *fakeFleet) NoteAnswered(name string)            { w.noted = append(w.noted, "answered "+name) }

// The following methods implement Budget.

func (w *fakeFleet) Request(time.Time, string) {}

func (w *fakeFleet) Allow(time.Time, string, float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.budget--
	return w.budget >= 0
}

// The following methods implement Client.

var errNotRun = fault.New(fault.BackendLost, "send", "x", api.NotRun, "connection refused")
var errUnknown = fault.New(fault.BackendLost, "send", "x", api.Unknown, "connection reset")

func (w *fakeFleet) Send(ctx context.Context, a Attempt) (*Answer, error) {
	w.mu.Lock()
	s := w.servers[a.Server.Name]
	w.sent = append(w.sent, s.name)
	w.mu.Unlock()
	switch {
	case s.crashesAfter > 0:
		return nil, w.crash(ctx, s)
	case s.fail != nil:
		time.Sleep(s.failsAfter)
		s.brokeAt = time.Now()
		return nil, s.fail
	case a.Request.Route.Kind != routing.Streaming:
		answer := *s.answer
		answer.Close = func() {}
		return &answer, nil
	case a.KVCopy != nil && s.refuses:
		time.Sleep(s.failsAfter)
		return nil, fault.New(fault.BackendRefused, "send", s.name, api.NotRun, "no copy")
	}
	if a.KVCopy != nil && s.moved != nil {
		s.moved.Close = func() {}
		return s.moved, nil
	}
	if a.KVCopy != nil && s.beginsLate > 0 {
		time.AfterFunc(s.beginsLate, func() { w.stream(ctx, s, a).Close() })
		<-ctx.Done()
		return nil, fault.Wrap(ctx.Err(), fault.BackendLost, "send", s.name, api.Unknown)
	}
	if a.KVCopy != nil && s.answersLate > 0 {
		answer := w.stream(ctx, s, a)
		select {
		case <-time.After(s.answersLate):
			return answer, nil
		case <-ctx.Done():
			answer.Close()
			return nil, fault.Wrap(ctx.Err(), fault.BackendLost, "send", s.name, api.Unknown)
		}
	}
	if a.KVCopy != nil {
		select {
		case <-time.After(s.openTime):
		case <-ctx.Done():
			return nil, fault.Wrap(ctx.Err(), fault.BackendLost, "send", s.name, api.Unknown)
		}
	}
	return w.stream(ctx, s, a), nil
}

// downTime is the time for which a fake server that has crashed is down.
const downTime = 3 * time.Second

// crash runs a call that crashes the server, and returns the error of the send.
func (w *fakeFleet) crash(ctx context.Context, s *fakeServer) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().Before(s.downUntil) {
		return errNotRun
	}
	began, crashed := s.starts, make(chan struct{})
	time.AfterFunc(s.crashesAfter, func() {
		defer close(crashed)
		w.mu.Lock()
		defer w.mu.Unlock()
		if s.starts == began { // another call may have crashed it before
			s.downUntil, s.starts = time.Now().Add(downTime), s.starts+1
			w.crashes = append(w.crashes, time.Now())
		}
	})
	w.mu.Unlock()
	defer w.mu.Lock()
	select {
	case <-crashed:
		return errUnknown
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), linkErrorCode(ctx), "send", s.name, api.Unknown)
	}
}

// stream starts a generation, or resumes it after the attempt's last event.
func (w *fakeFleet) stream(ctx context.Context, s *fakeServer, a Attempt) *Answer {
	r, pipe := io.Pipe()
	if s.worksOn {
		request := ctx
		context.AfterFunc(request, func() { _ = r.CloseWithError(context.Cause(request)) })
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	run := &stream{server: s.name, id: a.Request.ID, cancel: cancel, began: time.Now()}
	next := int64(0)
	if a.Resumes {
		next = a.After + 1
	}
	w.mu.Lock()
	s.running[a.Request.ID] = run
	w.runs = append(w.runs, run)
	s.begun = append(s.begun, next)
	mark := versionMark(s.version)
	w.mu.Unlock()
	go func() {
		err := s.write(ctx, pipe, next, mark)
		w.mu.Lock()
		delete(s.running, a.Request.ID)
		run.ended = time.Now()
		w.mu.Unlock()
		_ = pipe.CloseWithError(err)
	}()
	return &Answer{Status: http.StatusOK, Header: http.Header{"Seal": {s.name}, "Content-Type": {"text/event-stream"}}, Length: -1, Framed: true, Sealed: true, Body: r, Close: func() {
		if !s.worksOn {
			cancel()
		}
		_ = r.Close()
	}}
}

var errBroken = errors.New("connection reset by peer")

// write writes events that end with mark until the generation ends, the server dies or the
// connection is closed.
func (s *fakeServer) write(ctx context.Context, w io.Writer, next int64, mark string) error {
	for n := 0; next < int64(s.total); n++ {
		if s.diesAfter > 0 && n == s.diesAfter {
			if !s.worksOn {
				return errBroken
			}
			_ = w.(*io.PipeWriter).CloseWithError(errBroken) // only the connection breaks
		}
		if err := s.pause(ctx, w, next); err != nil {
			return err
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d%s\n\n", next, next, mark); err != nil && !s.worksOn {
			return err
		}
		next++
	}
	return io.EOF
}

// fillerGap is the interval at which a server writes its filler.
const fillerGap = time.Second

// pause waits until the next event is due.
func (s *fakeServer) pause(ctx context.Context, w io.Writer, next int64) error {
	gap := cmp.Or(s.gap, eventGap)
	if next >= 5 && next < 5+s.slowEvents {
		gap = s.slowGap
	}
	for due := time.Now().Add(gap); time.Now().Before(due); {
		wait := time.Until(due)
		if s.filler != "" {
			wait = min(wait, fillerGap)
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return ctx.Err()
		}
		if s.filler != "" {
			if _, err := io.WriteString(w, s.filler); err != nil {
				return err
			}
		}
	}
	return nil
}

func (w *fakeFleet) Copy(ctx context.Context, from, to registry.Server, id string) Copy {
	w.mu.Lock()
	s := w.servers[from.Name]
	_, runs := s.running[id]
	w.copies = append(w.copies, to.Name)
	w.mu.Unlock()
	switch {
	case s.copyFails != Copied:
		return Copy{Outcome: s.copyFails}
	case !runs:
		return Copy{Outcome: NoRun}
	}
	select {
	case <-time.After(s.copyTime):
	case <-ctx.Done():
		return Copy{Outcome: MoveFailed}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, runs := s.running[id]; !runs {
		return Copy{Outcome: MoveFailed}
	}
	return Copy{Outcome: Copied, Handle: "h-" + to.Name}
}

func (w *fakeFleet) Free(context.Context, registry.Server, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.freed++
}

var errNotReached = errors.New("not reached")

func (w *fakeFleet) Stop(_ context.Context, at, receiver registry.Server, id string) (bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stops++
	s := w.servers[at.Name]
	run := s.running[id]
	switch {
	case s.unreachable > 0:
		s.unreachable--
		return false, errNotReached
	case run == nil:
		return false, nil
	case receiver.Name == at.Name || w.servers[receiver.Name].noRoom:
		return false, errNotReached
	}
	time.AfterFunc(s.endLag, run.cancel)
	return true, nil
}

// overlap returns the longest time for which an engine worked on a request after another one had
// begun to go on with it.
func (w *fakeFleet) overlap() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	var longest time.Duration
	for i, later := range w.runs {
		for _, earlier := range w.runs[:i] {
			if earlier.id != later.id || earlier.server == later.server {
				continue
			}
			end := earlier.ended
			if later.ended.Before(end) {
				end = later.ended
			}
			longest = max(longest, end.Sub(later.began))
		}
	}
	return longest
}

func (w *fakeFleet) Alive(context.Context, registry.Server) bool { return true }

// Ended reports whether the server has crashed, which breaks all its connections.
func (w *fakeFleet) Ended(_ context.Context, s registry.Server, _ bool) bool {
	server := w.servers[s.Name]
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().Before(server.downUntil) {
		return true
	}
	return errors.Is(server.fail, errUnknown) && !server.survives && time.Since(server.brokeAt) >= server.endsLate
}

// watchTime is the time after which no server is watched for the end that a call may have caused.
const watchTime = 5 * time.Second

// settle returns when no goroutine works for a request that has ended.
func (w *fakeFleet) settle() {
	synctest.Wait()
	w.f.background.Wait()
	time.Sleep(watchTime)
	synctest.Wait()
}

// running counts the streams in progress on all servers.
func (w *fakeFleet) running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, s := range w.servers {
		n += len(s.running)
	}
	return n
}

// recordingCaller is a caller that records what it receives.
type recordingCaller struct {
	status int
	header http.Header
	body   strings.Builder
	// after is called after each write with the number of writes so far.
	after  func(int)
	writes int
	last   time.Time
	gap    time.Duration
}

func (r *recordingCaller) Begin(status int, header http.Header, _ int64) error {
	r.status, r.header = status, header
	return nil
}

func (r *recordingCaller) Write(b []byte) error {
	if now := time.Now(); !r.last.IsZero() {
		r.gap = max(r.gap, now.Sub(r.last))
	}
	r.last = time.Now()
	r.body.Write(b)
	r.writes++
	if r.after != nil {
		r.after(r.writes)
	}
	return nil
}

// events returns the stream of the events from (inclusive) to (exclusive) of servers of firstVersion.
func events(from, to int) string { return eventsOf(firstVersion, from, to) }

func newRequest(route routing.Route) *Request {
	now := time.Now()
	route.Split = []routing.Share{{Service: "s", Weight: 1}}
	return &Request{
		ID: "r", Route: &route, Service: "s", Engine: &routing.EngineSpec{Moves: true, Stride: 4}, Class: catalogue.Background,
		Arrived: now, Deadline: now.Add(30 * time.Second),
	}
}

// plan returns a request for a long stream that no other run may resume.
func plan() *Request {
	return newRequest(routing.Route{Name: "plan", Kind: routing.Streaming, Attempts: 1, Target: 4 * time.Second, GapTarget: 180 * time.Millisecond})
}

// check returns a request for a short stream that another run may resume.
func check() *Request {
	q := newRequest(routing.Route{Name: "check", Kind: routing.Streaming, Attempts: 2, Resumable: true, Target: time.Second})
	q.Class = catalogue.Urgent
	return q
}

func call(kind routing.Kind, attempts int) *Request {
	return newRequest(routing.Route{Name: "call", Kind: kind, Attempts: attempts, Target: 300 * time.Millisecond})
}

func ok(body string) *Answer {
	return &Answer{Status: http.StatusOK, Header: http.Header{}, Length: int64(len(body)), Framed: true, Sealed: true, Body: strings.NewReader(body)}
}

func status(code int) *Answer {
	a := ok("error")
	a.Status = code
	return a
}
