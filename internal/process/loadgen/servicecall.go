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

// serviceAnswer is the part of a service's answer that is verified.
type serviceAnswer struct {
	Call string `json:"call"`
	Runs int    `json:"runs"`
}

// callService sends a service call and checks that the answer is its own.
func (r *run) callService(ctx context.Context, stream int, s *sender, f *finished) {
	spec := &r.workload.Streams[stream]
	f.attempts++
	from := time.Now()
	resp, err := s.send(func(target string) (*http.Request, error) { return serviceRequest(ctx, target, spec, f.id) })
	f.outcome = readService(resp, err, spec, f)
	f.link(s, from, err == nil, linkCode(ctx, f.outcome))
	if ctx.Err() != nil && !f.served() {
		f.outcome = outcome{code: OutcomeUnfinished}
	}
	if f.served() && f.firstToken == 0 {
		f.firstToken = max(r.now()-f.arrived, 1)
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

func readService(resp *http.Response, err error, spec *Stream, f *finished) outcome {
	if err != nil {
		return sendFailure(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusal(resp)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return outcome{OutcomeLinkBroken, api.Unknown}
	}
	var a serviceAnswer
	if json.Unmarshal(raw, &a) != nil || a.Call != f.id {
		f.violate(Foreign)
	}
	if spec.IdempotencyKey && a.Runs > 1 {
		f.violate(RanTwice)
	}
	return outcome{code: OutcomeCompleted}
}

func (f *finished) violate(p Violation) {
	if f.violations == nil {
		f.violations = map[Violation]int{}
	}
	f.violations[p]++
}

// send runs one attempt of an arrival. A request that is sent again keeps its
// id; its outcome is that of the last attempt.
func (r *run) send(ctx context.Context, stream int, a arrival, s *sender, f *finished) {
	if r.workload.Streams[stream].Kind == catalogue.Service {
		r.callService(ctx, stream, s, f)
		return
	}
	r.generate(ctx, stream, a, s, f)
}
