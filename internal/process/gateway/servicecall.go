package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"path"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"
	"github.com/gorilla/mux"

	"persimmonwing/internal/connection/service"
	"persimmonwing/internal/process/balance"
	"persimmonwing/internal/process/crashguard"
	"persimmonwing/internal/process/health"
	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/random"
	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/process/telemetry"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/claim"
	"persimmonwing/internal/request/fault"
	"persimmonwing/internal/version/catalogue"
)

// settleTimeout bounds the time for which the response to a caller is delayed until
// the outcome of the call is recorded. After it, the write is retried in the
// background.
const settleTimeout = time.Second

// maxTrialWait is the maximum time for which a call waits while another call that has crashed a server is
// being tried.
const maxTrialWait = time.Second

// serviceSets tracks the health and the loads of the replicas of each service.
type serviceSets struct {
	mu    sync.Mutex
	sets  map[string]*health.Set
	loads map[string]*balance.Loads
}

// loadsOf returns what is known of the loads of a service's replicas.
func (s *serviceSets) loadsOf(name string) *balance.Loads {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loads == nil {
		s.loads = make(map[string]*balance.Loads)
	}
	l := s.loads[name]
	if l == nil {
		l = balance.NewLoads()
		s.loads[name] = l
	}
	return l
}

func (s *serviceSets) get(name string) *health.Set {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sets == nil {
		s.sets = make(map[string]*health.Set)
	}
	set := s.sets[name]
	if set == nil {
		set = health.NewSet(health.DefaultOptions())
		s.sets[name] = set
	}
	return set
}

// ejected reports whether a replica of a service is ejected.
func (s *serviceSets) ejected(now time.Time, service, replica string) bool {
	s.mu.Lock()
	set := s.sets[service]
	s.mu.Unlock()
	return set != nil && set.IsEjected(now, replica)
}

// serviceCall is the state of one service call across its attempts. exclude lists the
// backend servers that failed.
type serviceCall struct {
	g       *Gateway
	call    *call
	request service.Request
	exclude []string
	// sends counts the sends, and part is what equal calls have in common.
	sends int
	part  uint64
}

// callService serves /v1/services/{entry}[/{rest}].
func (g *Gateway) callService(w http.ResponseWriter, r *http.Request, c *call) *fault.Error {
	if err := c.selectEntry(mux.Vars(r)["entry"], catalogue.Service); err != nil {
		return err
	}
	if !slices.Contains(c.entry.Methods, r.Method) {
		w.Header().Set("Allow", strings.Join(c.entry.Methods, ", "))
		return fault.New(fault.MethodNotAllowed, "entry", "", api.NotRun, "entry %q allows the methods %v", c.entry.Name, c.entry.Methods)
	}
	body, ferr := g.readBody(w, r, 1)
	if ferr != nil {
		return ferr
	}
	deadline, lease, ferr := g.admit(r, c)
	if ferr != nil {
		return ferr
	}
	defer lease.Release()
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	s := &serviceCall{g: g, call: c, request: backendRequest(r, c.entry, mux.Vars(r)["rest"], body)}
	s.part = xxhash.Sum64String(strings.Join([]string{"call", c.entry.Service, c.workspace.Name, s.bodyDigest()}, "\x00"))
	response, ferr := s.run(ctx, r)
	if ferr != nil {
		return ferr
	}
	g.setWriteDeadline(w)
	writeResponse(w, response)
	return nil
}

// callerHeaders are meant for the gateway and are not forwarded to application
// servers.
var callerHeaders = []string{"Authorization", headerRequestTimeout}

// backendRequest returns the request to send to an application server of entry e.
func backendRequest(r *http.Request, e *catalogue.Entry, rest string, body []byte) service.Request {
	header := r.Header.Clone()
	for _, name := range callerHeaders {
		header.Del(name)
	}
	return service.Request{
		Method: r.Method,
		Path:   path.Join("/", e.Path, rest),
		Query:  r.URL.RawQuery,
		Header: header,
		Body:   body,
	}
}

// writeResponse forwards a response to the caller. It keeps the request id of this
// call, which neither a recorded answer nor an application server may override.
func writeResponse(w http.ResponseWriter, a service.Response) {
	for name, values := range a.Header {
		if name == headerRequestID {
			continue
		}
		w.Header()[name] = values
	}
	if a.UntilClose {
		// A length or chunks would state that the body is whole. The header is not sent.
		w.Header().Set("Transfer-Encoding", "identity")
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

func (s *serviceCall) run(ctx context.Context, r *http.Request) (service.Response, *fault.Error) {
	if s.call.entry.Idempotent {
		return s.runIdempotent(ctx)
	}
	key := r.Header.Get(headerIdempotencyKey)
	if key == "" {
		return service.Response{}, fault.New(fault.IdempotencyKeyNeeded, "claim", "", api.NotRun,
			"entry %q is not idempotent; an %s header is needed", s.call.entry.Name, headerIdempotencyKey)
	}
	s.request.NewConnection = true
	return s.runAtMostOnce(ctx, claim.Key{Workspace: s.call.workspace.Name, Entry: s.call.entry.Name, IdempotencyKey: key})
}

// runIdempotent sends the call and retries a failed attempt on other replicas, within
// the attempt limit and the retry budget.
func (s *serviceCall) runIdempotent(ctx context.Context) (service.Response, *fault.Error) {
	execution := api.NotRun
	for attempt := 1; ; attempt++ {
		response, backend, err := s.dispatch(ctx)
		if err == nil {
			return response, nil
		}
		execution = strongest(execution, err.Execution)
		err.Execution = execution
		if backend == "" || ctx.Err() != nil || !s.mayRetry(attempt, backend) {
			return response, err
		}
	}
}

// runAtMostOnce sends a non-idempotent call under a claim. It retries on another
// replica, under a new claim, only if the failed replica certainly did not run it.
func (s *serviceCall) runAtMostOnce(ctx context.Context, key claim.Key) (service.Response, *fault.Error) {
	for attempt := 1; ; attempt++ {
		held, recorded, err := s.g.claims.Begin(ctx, key, s.bodyDigest())
		if err != nil {
			return service.Response{}, fault.From(err)
		}
		if recorded != nil {
			return s.replay(recorded)
		}
		response, backend, ferr := s.dispatchClaimed(ctx, held)
		if ferr == nil {
			return response, nil
		}
		retry := ferr.Execution == api.NotRun && backend != "" && ctx.Err() == nil
		if !retry || !s.mayRetry(attempt, backend) {
			return response, ferr
		}
	}
}

// dispatchClaimed sends a claimed call and settles its claim. If the outcome is
// unknown, the claim stays in place, so that the call never runs again.
func (s *serviceCall) dispatchClaimed(ctx context.Context, held *claim.Claim) (service.Response, string, *fault.Error) {
	if !held.Dispatchable(time.Now()) {
		s.settle(ctx, held.ReleaseNotRun)
		return service.Response{}, "", fault.New(fault.DeadlineExceeded, "dispatch", "", api.NotRun, "the deadline passed before the call was sent")
	}
	response, backend, ferr := s.dispatch(ctx)
	switch {
	case ferr == nil:
		s.settle(ctx, func(ctx context.Context) error {
			return held.Finish(ctx, claim.Answer{Status: response.Status, Header: response.Header, Body: response.Body})
		})
	case ferr.Execution == api.NotRun:
		s.settle(ctx, held.ReleaseNotRun)
	}
	return response, backend, ferr
}

// settle records the outcome of a claimed call. settleTimeout starts here and not at
// the start of the call, which may itself run for longer.
func (s *serviceCall) settle(ctx context.Context, write func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	if err := write(ctx); err != nil {
		_ = level.Warn(s.call.logger).Log("msg", "outcome not recorded yet, trying again in the background", "err", err)
	}
}

// bodyDigest returns a digest of method, path, query and body. It binds an idempotency
// key to the request that was sent with it.
func (s *serviceCall) bodyDigest() string {
	return catalogue.Digest([]byte(strings.Join([]string{s.request.Method, s.request.Path, s.request.Query, string(s.request.Body)}, "\n")))
}

// replay returns the recorded answer of an earlier attempt to a repeated call.
func (s *serviceCall) replay(a *claim.Answer) (service.Response, *fault.Error) {
	s.call.record.Step("replayed", "", "the answer of an earlier attempt")
	s.g.metrics.Counter("calls_replayed").Inc(1)
	if a.TooLarge {
		return service.Response{}, fault.New(fault.CallInProgress, "replay", "", api.Ran,
			"the call ran with status %d; its answer was too large to record", a.Status)
	}
	return service.Response{Status: a.Status, Header: a.Header, Body: a.Body}, nil
}

// dispatch sends the call once to a healthy replica, unless it crashes servers. It returns the response and the
// name of the replica, or "" if no replica is available.
func (s *serviceCall) dispatch(ctx context.Context) (service.Response, string, *fault.Error) {
	s.sends++
	admitted := crashguard.Call{ID: s.call.id + "-" + strconv.Itoa(s.sends), Service: s.call.entry.Service, Part: s.part}
	trial, err := s.admit(ctx, admitted)
	if err != nil {
		return service.Response{}, "", err
	}
	var end callEnd
	defer func() {
		switch {
		case s.g.crashGuard == nil:
		case end.ended != nil:
			s.g.crashGuard.GiveUpCall(admitted, trial, end.broken, end.outcome.Loss, end.ended)
		default:
			s.g.crashGuard.EndCall(admitted, trial, end.outcome)
		}
	}()
	return s.send(ctx, &end)
}

// callEnd is the end of a send for the crash guard. ended is set if the replica may still be running the call: it
// reports whether the replica has ended since. broken is set if the replica closed the connection.
type callEnd struct {
	outcome crashguard.CallOutcome
	ended   func(context.Context) bool
	broken  bool
}

// note records a failed send to a replica.
func (e *callEnd) note(ctx context.Context, services Services, b membership.Backend, failed *fault.Error) {
	e.outcome.Loss = crashguard.Loss{Engine: b.Name}
	e.broken = failed.Code == fault.BackendLost && ctx.Err() == nil
	switch {
	case failed.Execution == api.NotRun:
		e.outcome.NotListening = errors.Is(failed, syscall.ECONNREFUSED)
	case failed.Code == fault.BackendRefused: // the replica has answered
	case e.broken && services.Ended(ctx, b.Address):
		e.outcome.Lost = true
	default:
		e.ended = func(ctx context.Context) bool { return services.Ended(ctx, b.Address) }
	}
}

// admit waits until the crash guard admits a send.
func (s *serviceCall) admit(ctx context.Context, c crashguard.Call) (trial []uint64, failed *fault.Error) {
	if s.g.crashGuard == nil {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, maxTrialWait)
	defer cancel()
	trial, err := s.g.crashGuard.AdmitCall(ctx, c)
	var refusal *schedule.Refusal
	switch {
	case err == nil:
		return trial, nil
	case errors.As(err, &refusal) && refusal.Reason == schedule.ReasonCrashes:
		return nil, fault.New(fault.RequestCrashes, "admit", "", api.NotRun, "the call has crashed backend servers")
	case errors.Is(ctx.Err(), context.Canceled):
		return nil, fault.Wrap(err, fault.Cancelled, "admit", "", api.NotRun)
	}
	return nil, fault.New(fault.NoCapacity, "admit", "", api.NotRun, "an equal call has crashed a server and is being tried").WithRetryAfter(minRetryAfter)
}

// send sends an admitted call once to a healthy replica. Replicas that are cold and get no more requests now are passed over:
// each of them accepts nothing from then on, so that the loop ends.
func (s *serviceCall) send(ctx context.Context, end *callEnd) (service.Response, string, *fault.Error) {
	for {
		response, backend, denied, err := s.sendOnce(ctx, end)
		if denied == nil || ctx.Err() != nil {
			return response, backend, err
		}
	}
}

// sendOnce is like send for one replica. denied is set if the replica is cold and the call was not sent.
func (s *serviceCall) sendOnce(ctx context.Context, end *callEnd) (_ service.Response, backend string, denied, failed *fault.Error) {
	now := time.Now()
	loads := s.g.serviceSets.loadsOf(s.call.entry.Service)
	candidates := s.candidates(len(loads.Stated(now)) > 0)
	var choice balance.Choice
	b, done, ok := s.g.serviceSets.get(s.call.entry.Service).Pick(now, candidates, s.exclude, func(eligible []health.Eligible) int {
		var known bool
		choice, known = loads.Choose(now, s.loadCandidates(eligible), s.need(ctx, now), random.Shared.Float64())
		if !known {
			return -1
		}
		return choice.Index
	})
	if !ok {
		if wait, cold := coldWait(candidates); cold {
			return service.Response{}, "", nil, fault.New(fault.NoCapacity, "pick", s.call.entry.Service, api.NotRun,
				"all backend servers of the service are cold and get as many requests as they may").WithRetryAfter(wait)
		}
		return service.Response{}, "", nil, fault.New(fault.NoBackend, "pick", s.call.entry.Service, api.NotRun,
			"none of %d backend servers of the service takes new work", len(candidates)).WithRetryAfter(minRetryAfter)
	}
	if choice.Hopeless {
		done(now, health.Abandoned)
		s.g.metrics.Counter("choices_hopeless", s.call.entry.Service).Inc(1)
		return service.Response{}, "", nil, fault.New(fault.NoCapacity, "pick", s.call.entry.Service, api.NotRun,
			"all backend servers of the service have stated queues that outlast the deadline").WithRetryAfter(minRetryAfter)
	}
	s.call.record.Step("dispatch", b.Name, s.noteChoice(choice))
	ended := loads.Sent(now, b.Name, noIncarnation)
	var response service.Response
	release, denied, err := s.g.sendCold(ctx, s.call.entry.Service, b.Name, func(ctx context.Context) (err error) {
		response, err = s.g.services.Do(ctx, b.Name, b.Address, s.request)
		return err
	})
	release()
	if denied != nil {
		ended(0)
		done(time.Now(), health.Abandoned)
		s.call.record.Step("not sent", b.Name, "cold")
		return service.Response{}, b.Name, denied, denied
	}
	s.noteLoad(loads, b.Name, response.Load)
	if err == nil {
		ended(time.Since(now))
		end.outcome.Answered = true
		done(time.Now(), health.Success)
		s.g.retryBudget.Success(b.Name)
		return response, b.Name, nil, nil
	}
	ferr := fault.From(err)
	end.note(ctx, s.g.services, b, ferr)
	if ferr.Execution == api.NotRun {
		ended(0)
	} else {
		ended(time.Since(now)) // it would have taken longer
	}
	if ctx.Err() != nil {
		done(time.Now(), health.Abandoned)
	} else {
		done(time.Now(), health.Failure)
	}
	s.exclude = append(s.exclude, b.Name)
	s.call.record.Step("failed", b.Name, string(ferr.Code)+" "+string(ferr.Execution))
	return response, b.Name, nil, ferr
}

// noIncarnation is used for replicas, whose host list doesn't tell one start from another.
const noIncarnation = 0

// need returns what the call needs of its replica.
func (s *serviceCall) need(ctx context.Context, now time.Time) balance.Need {
	var need balance.Need
	if deadline, ok := ctx.Deadline(); ok {
		need.Left = deadline.Sub(now)
	}
	return need
}

func (s *serviceCall) loadCandidates(eligible []health.Eligible) []balance.Candidate {
	out := make([]balance.Candidate, len(eligible))
	for i, e := range eligible {
		out[i] = balance.Candidate{Name: e.Name, Incarnation: noIncarnation, Home: e.DataCentre == s.g.opts.DataCentre, Share: e.Share}
	}
	return out
}

// noteChoice counts what was known at a choice and returns it for the call's record.
func (s *serviceCall) noteChoice(c balance.Choice) string {
	if c.AllFull {
		s.g.metrics.Counter("choices_all_full", s.call.entry.Service).Inc(1)
	}
	if !c.Known {
		return ""
	}
	s.g.metrics.Observe(telemetry.LoadAge, s.call.entry.Service, "call", c.Age)
	return fmt.Sprintf("%.0f of %d slots expected in use, stated %d ms ago", c.Busy, c.Slots, c.Age.Milliseconds())
}

// noteLoad records the load that a replica states in a response, if it states any.
func (s *serviceCall) noteLoad(loads *balance.Loads, name, value string) {
	if value == "" {
		return
	}
	outcome := balance.Ignored
	if st, ok := balance.Parse(value); ok && loads.Learn(time.Now(), name, noIncarnation, st) {
		outcome = balance.Used
	}
	s.g.metrics.Counter("load_statements", outcome).Inc(1)
}

// candidates returns the replicas to choose from: those of this data centre that
// accept new work and have not failed, or all replicas of the service if there are
// none, or if statements of load tell where there is room.
func (s *serviceCall) candidates(stated bool) []membership.Backend {
	all := s.g.backends.Services(s.call.entry.Service)
	var local []membership.Backend
	for _, b := range all {
		if b.DataCentre == s.g.opts.DataCentre && b.Accepting && !slices.Contains(s.exclude, b.Name) {
			local = append(local, b)
		}
	}
	if len(local) > 0 && !stated {
		return local
	}
	return all
}

func (s *serviceCall) mayRetry(attempt int, backend string) bool {
	if attempt >= s.g.opts.MaxAttempts || s.g.opts.disabled("retries") || !s.g.retryBudget.Allow(backend) {
		return false
	}
	s.g.metrics.Counter("retries", s.call.entry.Name).Inc(1)
	return true
}

// strongest returns the execution state of two attempts together: ran outranks
// unknown, which outranks not_run.
func strongest(a, b api.Execution) api.Execution {
	switch {
	case a == api.Ran || b == api.Ran:
		return api.Ran
	case a == api.Unknown || b == api.Unknown:
		return api.Unknown
	default:
		return api.NotRun
	}
}
