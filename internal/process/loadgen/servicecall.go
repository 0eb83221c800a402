package loadgen

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"persimmonwing/internal/request/api"
	"persimmonwing/internal/version/catalogue"
)

// Headers of service calls.
const (
	headerCallID         = "X-Call-Id"
	headerIdempotencyKey = "Idempotency-Key"
)

// serviceResponse contains the verified fields of a service's response: the id of the
// call and how often the service has run it.
type serviceResponse struct {
	Call string `json:"call"`
	Runs int    `json:"runs"`
}

// callService sends a service call, verifies the response and records the outcome.
func (r *run) callService(ctx context.Context, stream int, s *sender, rr *requestResult) {
	spec := &r.workload.Streams[stream]
	rr.attempts++
	from := time.Now()
	resp, err := s.send(func(target string) (*http.Request, error) { return serviceRequest(ctx, target, spec, rr.id) })
	rr.outcome = readServiceResponse(resp, err, spec, rr)
	rr.addExchange(s, from, err == nil, exchangeCode(ctx, rr.outcome))
	if ctx.Err() != nil && !rr.served() {
		rr.outcome = outcome{code: OutcomeUnfinished}
	}
	if rr.served() && rr.firstToken == 0 {
		rr.firstToken = max(r.now()-rr.arrived, 1)
	}
}

func serviceRequest(ctx context.Context, target string, spec *Stream, id string) (*http.Request, error) {
	address := target + "/v1/services/" + url.PathEscape(spec.Entry)
	if spec.Path != "" {
		address += "/" + spec.Path
	}
	var body []byte
	if spec.Method != http.MethodGet {
		body = []byte(`{"call":"` + id + `"}`)
	}
	req, err := newRequest(ctx, spec.Method, address, spec.Key, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set(headerCallID, id)
	if spec.IdempotencyKey {
		req.Header.Set(headerIdempotencyKey, id)
	}
	return req, nil
}

func readServiceResponse(resp *http.Response, err error, spec *Stream, rr *requestResult) outcome {
	if err != nil {
		return sendErrorOutcome(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errorResponseOutcome(resp)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return outcome{OutcomeLinkBroken, api.Unknown}
	}
	var a serviceResponse
	if json.Unmarshal(raw, &a) != nil || a.Call != rr.id {
		rr.addViolation(Foreign)
	}
	if spec.IdempotencyKey && a.Runs > 1 {
		rr.addViolation(RanTwice)
	}
	return outcome{code: OutcomeCompleted}
}

func (rr *requestResult) addViolation(p Violation) {
	if rr.violations == nil {
		rr.violations = map[Violation]int{}
	}
	rr.violations[p]++
}

// send sends the request of an arrival once and stores the result in rr. The outcome of
// a stream that was resumed is that of the last attempt. A request that is sent a second
// time keeps its id.
func (r *run) send(ctx context.Context, stream int, a arrival, s *sender, rr *requestResult) {
	if r.workload.Streams[stream].Kind == catalogue.Service {
		r.callService(ctx, stream, s, rr)
		return
	}
	r.generate(ctx, stream, a, s, rr)
}
