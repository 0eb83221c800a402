package gateway

import (
	"context"
	"net/http"
	"path"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/gorilla/mux"

	"persimmonwing/internal/connection/service"
	"persimmonwing/internal/process/health"
	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/claim"
	"persimmonwing/internal/request/fault"
	"persimmonwing/internal/version/catalogue"
)

// settleTimeout bounds the write of a call's outcome before the caller is
// answered; after it, the write goes on in the background.
const settleTimeout = time.Second

// serviceSets holds the health of each service's replicas.
type serviceSets struct {
	mu   sync.Mutex
	sets map[string]*health.Set
}

func (s *serviceSets) of(name string) *health.Set {
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

// serviceCall is one call of a plain service on its way.
type serviceCall struct {
	g       *Gateway
	call    *call
	request service.Request
	exclude []string
}

// callService serves /v1/services/{entry}[/{rest}].
func (g *Gateway) callService(w http.ResponseWriter, r *http.Request, c *call) *fault.Error {
	if err := c.useEntry(mux.Vars(r)["entry"], catalogue.Service); err != nil {
		return err
	}
	if !slices.Contains(c.entry.Methods, r.Method) {
		w.Header().Set("Allow", strings.Join(c.entry.Methods, ", "))
		return fault.New(fault.MethodNotAllowed, "entry", "", api.NotRun, "entry %q allows the methods %v", c.entry.Name, c.entry.Methods)
	}
	body, ferr := g.readBody(w, r)
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
	s := &serviceCall{g: g, call: c, request: outgoing(r, c.entry, mux.Vars(r)["rest"], body)}
	answer, ferr := s.run(ctx, r)
	if ferr != nil {
		return ferr
	}
	g.boundWrite(w)
	writeAnswer(w, answer)
	return nil
}

// callerHeaders are for the gateway only and do not reach application servers.
var callerHeaders = []string{"Authorization", headerRequestTimeout}

// outgoing is the request as the application server gets it.
func outgoing(r *http.Request, e *catalogue.Entry, rest string, body []byte) service.Request {
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

// writeAnswer passes an answer on under the request id of this call, which a
// recorded answer or the application server must not replace.
func writeAnswer(w http.ResponseWriter, a service.Response) {
	for name, values := range a.Header {
		if name == headerRequestID {
			continue
		}
		w.Header()[name] = values
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
	return s.runOnce(ctx, claim.Key{Workspace: s.call.workspace.Name, Entry: s.call.entry.Name, IdempotencyKey: key})
}

// runIdempotent repeats a failed call at other replicas within the budgets.
func (s *serviceCall) runIdempotent(ctx context.Context) (service.Response, *fault.Error) {
	execution := api.NotRun
	for attempt := 1; ; attempt++ {
		answer, backend, err := s.dispatch(ctx)
		if err == nil {
			return answer, nil
		}
		execution = strongest(execution, err.Execution)
		err.Execution = execution
		if backend == "" || ctx.Err() != nil || !s.mayRetry(attempt, backend) {
			return answer, err
		}
	}
}

// runOnce dispatches a call that may not be repeated. A replica that provably
// did not run it is replaced by another one under a new claim.
func (s *serviceCall) runOnce(ctx context.Context, key claim.Key) (service.Response, *fault.Error) {
	for attempt := 1; ; attempt++ {
		held, recorded, err := s.g.claims.Begin(ctx, key, s.bodyDigest())
		if err != nil {
			return service.Response{}, fault.From(err)
		}
		if recorded != nil {
			return s.replay(recorded)
		}
		answer, backend, ferr := s.dispatchClaimed(ctx, held)
		if ferr == nil {
			return answer, nil
		}
		retry := ferr.Execution == api.NotRun && backend != "" && ctx.Err() == nil
		if !retry || !s.mayRetry(attempt, backend) {
			return answer, ferr
		}
	}
}

// dispatchClaimed sends a claimed call and settles its claim. A call whose
// outcome is unknown keeps its claim, so that it never runs again.
func (s *serviceCall) dispatchClaimed(ctx context.Context, held *claim.Claim) (service.Response, string, *fault.Error) {
	if !held.Dispatchable(time.Now()) {
		s.settle(ctx, held.ReleaseNotRun)
		return service.Response{}, "", fault.New(fault.DeadlineExceeded, "dispatch", "", api.NotRun, "the deadline passed before the call was sent")
	}
	answer, backend, ferr := s.dispatch(ctx)
	switch {
	case ferr == nil:
		s.settle(ctx, func(ctx context.Context) error {
			return held.Finish(ctx, claim.Answer{Status: answer.Status, Header: answer.Header, Body: answer.Body})
		})
	case ferr.Execution == api.NotRun:
		s.settle(ctx, held.ReleaseNotRun)
	}
	return answer, backend, ferr
}

// settle records the outcome of a claimed call. Its time begins here and not with
// the call, which may run for longer.
func (s *serviceCall) settle(ctx context.Context, write func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	if err := write(ctx); err != nil {
		_ = level.Warn(s.call.logger).Log("msg", "outcome not recorded yet, trying again in the background", "err", err)
	}
}

// bodyDigest binds an idempotency key to what was sent with it.
func (s *serviceCall) bodyDigest() string {
	return catalogue.Digest([]byte(strings.Join([]string{s.request.Method, s.request.Path, s.request.Query, string(s.request.Body)}, "\n")))
}

// replay answers a resend with the recorded answer.
func (s *serviceCall) replay(a *claim.Answer) (service.Response, *fault.Error) {
	s.call.record.Step("replayed", "", "the answer of an earlier attempt")
	s.g.metrics.Counter("calls_replayed").Inc(1)
	if a.TooLarge {
		return service.Response{}, fault.New(fault.CallInProgress, "replay", "", api.Ran,
			"the call ran with status %d; its answer was too large to record", a.Status)
	}
	return service.Response{Status: a.Status, Header: a.Header, Body: a.Body}, nil
}

// dispatch sends the call once to a healthy replica. It returns the replica's
// name, or "" if there is none.
func (s *serviceCall) dispatch(ctx context.Context) (service.Response, string, *fault.Error) {
	candidates := s.candidates()
	b, done, ok := s.g.serviceSets.of(s.call.entry.Service).Pick(time.Now(), candidates, s.exclude)
	if !ok {
		return service.Response{}, "", fault.New(fault.NoBackend, "pick", s.call.entry.Service, api.NotRun,
			"none of %d backend servers of the service takes new work", len(candidates)).WithRetryAfter(minRetryAfter)
	}
	s.call.record.Step("dispatch", b.Name, "")
	answer, err := s.g.services.Do(ctx, b.Name, b.Address, s.request)
	if err == nil {
		done(time.Now(), health.Success)
		s.g.retryBudget.Success(b.Name)
		return answer, b.Name, nil
	}
	ferr := fault.From(err)
	if ctx.Err() != nil {
		done(time.Now(), health.Abandoned)
	} else {
		done(time.Now(), health.Failure)
	}
	s.exclude = append(s.exclude, b.Name)
	s.call.record.Step("failed", b.Name, string(ferr.Code)+" "+string(ferr.Execution))
	return answer, b.Name, ferr
}

// candidates lists the replicas of the service, those of this data centre only
// while any of them takes new work.
func (s *serviceCall) candidates() []membership.Backend {
	all := s.g.backends.Services(s.call.entry.Service)
	var local []membership.Backend
	for _, b := range all {
		if b.DataCentre == s.g.opts.DataCentre && b.Accepting && !slices.Contains(s.exclude, b.Name) {
			local = append(local, b)
		}
	}
	if len(local) > 0 {
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

// strongest returns the execution state of two attempts together.
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
