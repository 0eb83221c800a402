package gateway

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/responseid"
)

// badInput is one request that the gateway has to refuse, and the expected response.
type badInput struct {
	name   string
	method string
	path   string
	key    string
	header [2]string
	body   string
	// before changes the harness for this request, and after restores it.
	before, after func(*harness)
	status        int
	code          string
	step          string
	retryAfter    bool
}

func createBody(entry, more string) string {
	return fmt.Sprintf(`{"model":%q,"input":"#id=bad #tokens=3"%s}`, entry, more)
}

const responses = "/v1/responses"

func createCases() []badInput {
	refuse := func(reason string) func(*harness) {
		return func(w *harness) { w.scheduler.set(&schedule.Refusal{Reason: reason}, false) }
	}
	grant := func(w *harness) { w.scheduler.set(nil, false) }
	return []badInput{
		{name: "malformed JSON", body: `{"model":"plan",`, status: 400, code: "bad_request", step: "read"},
		{name: "two values", body: createBody("plan", "") + "{}", status: 400, code: "bad_request", step: "read"},
		{name: "wrong type", body: `{"model":"plan","input":["x"]}`, status: 400, code: "bad_request", step: "read"},
		{name: "null", body: `null`, status: 400, code: "bad_request", step: "read"},
		{name: "empty body", status: 400, code: "bad_request", step: "read"},
		{name: "no model", body: `{"input":"#id=bad"}`, status: 400, code: "bad_request", step: "read"},
		{name: "no input", body: `{"model":"plan"}`, status: 400, code: "bad_request", step: "read"},
		{name: "negative bound", body: createBody("plan", `,"max_output_tokens":-1`), status: 400, code: "bad_request", step: "read"},
		{name: "unknown entry", body: createBody("invented", ""), status: 404, code: "unknown_entry", step: "entry"},
		{name: "entry of another workspace", body: createBody("private", ""), status: 404, code: "unknown_entry", step: "entry"},
		{name: "service entry", body: createBody("booking", ""), status: 400, code: "wrong_entry_kind", step: "entry"},
		{name: "missing key", key: "-", body: createBody("plan", ""), status: 401, code: "unauthorized", step: "authenticate"},
		{name: "wrong key", key: "wrong", body: createBody("plan", ""), status: 401, code: "unauthorized", step: "authenticate"},
		{name: "other scheme", key: "-", header: [2]string{"Authorization", "Basic " + keyA}, body: createBody("plan", ""), status: 401, code: "unauthorized", step: "authenticate"},
		{name: "large body", body: createBody("plan", `,"x":"`+strings.Repeat("x", 1<<20)+`"`), status: 413, code: "body_too_large", step: "read"},
		{name: "timeout no duration", header: [2]string{headerRequestTimeout, "soon"}, body: createBody("plan", ""), status: 400, code: "bad_request", step: "deadline"},
		{name: "timeout negative", header: [2]string{headerRequestTimeout, "-1s"}, body: createBody("plan", ""), status: 400, code: "bad_request", step: "deadline"},
		{name: "no catalogue", before: func(w *harness) { w.catalogue.set(nil) }, after: func(w *harness) { w.catalogue.set(testCatalogue()) },
			body: createBody("plan", ""), status: 503, code: "not_ready", step: "authenticate", retryAfter: true},
		{name: "queue full", before: refuse(schedule.ReasonQueueFull), after: grant, body: createBody("plan", ""), status: 503, code: "queue_full", step: "acquire", retryAfter: true},
		{name: "no replica", before: refuse(schedule.ReasonNoReplica), after: grant, body: createBody("plan", ""), status: 503, code: "no_capacity", step: "acquire", retryAfter: true},
		{name: "stopping", before: refuse(schedule.ReasonStopping), after: grant, body: createBody("plan", ""), status: 503, code: "shutting_down", step: "acquire", retryAfter: true},
		{name: "crashes servers", before: refuse(schedule.ReasonCrashes), after: grant, body: createBody("plan", ""), status: 422, code: "request_crashes_servers", step: "acquire"},
		{name: "queued too long", before: refuse(schedule.ReasonDeadline), after: grant, body: createBody("plan", ""), status: 503, code: "no_capacity", step: "acquire", retryAfter: true},
		{name: "unknown reason", before: refuse("new_reason"), after: grant, body: createBody("plan", ""), status: 503, code: "no_capacity", step: "acquire", retryAfter: true},
		{name: "unknown path", path: "/v1/unknown", status: 404, code: "unknown_path", step: "route"},
		{name: "method of responses", method: http.MethodDelete, status: 405, code: "method_not_allowed", step: "route"},
	}
}

func serviceCases() []badInput {
	key := [2]string{headerIdempotencyKey, "bad"}
	return []badInput{
		{name: "unknown service", path: "/v1/services/invented", header: key, status: 404, code: "unknown_entry", step: "entry"},
		{name: "generation entry", path: "/v1/services/plan", header: key, status: 400, code: "wrong_entry_kind", step: "entry"},
		{name: "method of service", method: http.MethodGet, path: "/v1/services/booking", header: key, status: 405, code: "method_not_allowed", step: "entry"},
		{name: "no idempotency key", path: "/v1/services/booking", status: 400, code: "idempotency_key_needed", step: "claim"},
		{name: "long idempotency key", path: "/v1/services/booking", header: [2]string{headerIdempotencyKey, strings.Repeat("k", 300)}, status: 400, code: "idempotency_key_needed", step: "claim"},
		{name: "wrong key of service", path: "/v1/services/booking", key: "wrong", header: key, status: 401, code: "unauthorized", step: "authenticate"},
		{name: "large call", path: "/v1/services/booking", header: key, body: strings.Repeat("x", 1<<20+1), status: 413, code: "body_too_large", step: "read"},
	}
}

// Guards against bad input that gets an error without a typed body, that reaches a
// backend server although the error reports not_run, or that keeps a concurrency slot.
func TestBadInput(t *testing.T) {
	w := newHarness(t, nil)
	for _, c := range append(createCases(), serviceCases()...) {
		t.Run(c.name, func(t *testing.T) { c.check(t, w, api.NotRun) })
	}
	if n := w.runs("bad"); n != 0 {
		t.Errorf("%d refused requests ran", n)
	}
	if a := w.send(w.create("plan", "#id=good #tokens=2", false)); a.status != http.StatusOK {
		t.Errorf("good request after bad ones: %d %s", a.status, a.body)
	}
}

func (c badInput) check(t *testing.T, w *harness, execution api.Execution) {
	is := is.New(t)
	if c.before != nil {
		c.before(w)
		defer c.after(w)
	}
	if c.path == "" {
		c.path = responses
	}
	if c.method == "" {
		c.method = http.MethodPost
	}
	r := w.request(c.method, c.path, map[string]string{"": keyA, "-": ""}[c.key], c.body)
	if c.key != "" && c.key != "-" {
		r.Header.Set("Authorization", "Bearer "+c.key)
	}
	if c.header[0] != "" {
		r.Header.Set(c.header[0], c.header[1])
	}
	a := w.send(r)
	is.Equal(a.status, c.status)
	is.Equal(a.err.Code, c.code)
	is.Equal(a.err.Execution, execution)
	is.Equal(a.err.Step, c.step)
	is.Equal(a.header.Get("Content-Type"), "application/json")
	is.True(a.err.RequestID != "")
	is.Equal(a.err.RequestID, a.header.Get(headerRequestID))
	is.Equal(a.header.Get("Retry-After") != "", c.retryAfter)
	is.Equal(a.err.RetryAfterMS > 0, c.retryAfter)
}

// Guards against an error that reports not_run for a generation that ran, and against
// an id of another workspace whose error differs from that of an unknown id.
func TestBadResponseIDs(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, nil)
	a := w.send(w.create("plan", "#id=first #tokens=2", false))
	is.Equal(a.status, http.StatusOK)
	var made api.Response
	is.NoErr(json.Unmarshal(a.body, &made))
	path := responses + "/" + made.ID
	codec, err := responseid.NewCodec(testOptions().ResponseKeys)
	is.NoErr(err)
	expired, err := codec.Encode(responseid.Ref{Workspace: "a", Entry: "plan", Expires: time.Now().Add(-time.Second)})
	is.NoErr(err)
	altered := made.ID[:len(made.ID)-4] + "AAAA"
	unknown := func(name, id, key string) []badInput {
		c := badInput{name: name, path: responses + "/" + id + "?stream=true", method: http.MethodGet, key: key, status: 404, code: "unknown_response", step: "response id"}
		cancel := c
		cancel.name, cancel.path, cancel.method = "cancel of "+name, responses+"/"+id+"/cancel", http.MethodPost
		return []badInput{c, cancel}
	}
	for _, c := range append(append(append(append(unknown("invented id", "resp_k1.AAAA", ""), unknown("altered id", altered, "")...),
		unknown("expired id", expired, "")...), unknown("id of another workspace", made.ID, keyB)...),
		badInput{name: "resume with a wrong key", path: path + "?stream=true", method: http.MethodGet, key: "wrong", status: 401, code: "unauthorized", step: "authenticate"}) {
		t.Run(c.name, func(t *testing.T) { c.check(t, w, api.Unknown) })
	}
	get := badInput{method: http.MethodGet, status: 400, code: "bad_request", step: "resume"}
	for name, query := range map[string]string{"no stream": "", "no number": "?stream=true&starting_after=x", "negative": "?stream=true&starting_after=-2", "too large": "?stream=true&starting_after=99999999999999999999"} {
		c := get
		c.path = path + query
		t.Run(name, func(t *testing.T) { c.check(t, w, api.Ran) })
	}
	past := badInput{method: http.MethodGet, path: path + "?stream=true&starting_after=99", status: 416, code: "sequence_out_of_range", step: "resume"}
	t.Run("past the end", func(t *testing.T) { past.check(t, w, api.Ran) })
	late := badInput{method: http.MethodGet, path: path + "?stream=true", header: [2]string{headerRequestTimeout, "x"}, status: 400, code: "bad_request", step: "deadline"}
	t.Run("bad timeout", func(t *testing.T) { late.check(t, w, api.Ran) })
}

// Guards against a reused idempotency key that runs a second call with another body.
func TestReusedIdempotencyKey(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, nil)
	is.Equal(w.send(w.service("POST", "booking", "once")).status, http.StatusOK)
	r := w.request("POST", "/v1/services/booking", keyA, "another body")
	r.Header.Set(headerIdempotencyKey, "once")
	a := w.send(r)
	is.Equal(a.status, http.StatusUnprocessableEntity)
	is.Equal(a.err.Code, "idempotency_key_reused")
	is.Equal(w.send(w.service("POST", "booking", "once")).status, http.StatusOK) // the recorded answer
	is.Equal(w.runs("once"), 1)
}

// Guards against clients that occupy a connection and a goroutine forever by never
// completing their headers or body, also for requests that are refused before the body
// is read.
func TestSlowClients(t *testing.T) {
	w := newHarness(t, func(o *Options) { o.HTTP.HeaderTimeout = 150 * time.Millisecond })
	post := "POST /v1/responses HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{"
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"body":                  {fmt.Sprintf(post, keyA), http.StatusRequestTimeout},
		"body with a wrong key": {fmt.Sprintf(post, "wrong"), http.StatusUnauthorized},
		"body of unknown path":  {"POST /unknown HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{", http.StatusNotFound},
		"headers":               {"POST /v1/responses HTTP/1.1\r\nHost: x\r\n", 0},
		"large headers":         {"POST /v1/responses HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			conn := w.dial()
			_, err := conn.Write([]byte(c.text))
			is.NoErr(err)
			in := bufio.NewReader(conn)
			resp, err := http.ReadResponse(in, nil)
			if c.status == 0 {
				is.True(err != nil) // closed without a response
				return
			}
			is.NoErr(err)
			is.Equal(resp.StatusCode, c.status)
			_, err = in.ReadByte()
			for ; err == nil; _, err = in.ReadByte() {
			}
			is.True(!strings.Contains(err.Error(), "timeout")) // the gateway closed the connection
		})
	}
}

// Guards against a design page that is wrong about the requests that net/http itself
// refuses: their status, their plain text body, and that they cause no work.
func TestRefusedByNetHTTP(t *testing.T) {
	w := newHarness(t, nil)
	post := "POST /v1/responses HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + keyA + "\r\n"
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"large headers":             {post + "X: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"no request line":           {"{}\r\n\r\n", http.StatusBadRequest},
		"no host":                   {"POST /v1/responses HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		"malformed header":          {post + "no colon\r\n\r\n", http.StatusBadRequest},
		"two lengths":               {post + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}", http.StatusBadRequest},
		"unknown transfer encoding": {post + "Transfer-Encoding: gzip\r\n\r\n", http.StatusNotImplemented},
		"other HTTP version":        {"POST /v1/responses HTTP/3.0\r\nHost: x\r\n\r\n", http.StatusHTTPVersionNotSupported},
		"unknown expectation":       {post + "Expect: x\r\nContent-Length: 2\r\n\r\n{}", http.StatusExpectationFailed},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn := w.dial()
			_, err := conn.Write([]byte(c.text))
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, c.status)
			is.True(resp.Header.Get("Content-Type") != "application/json")
			is.Equal(resp.Header.Get(headerRequestID), "")
		})
	}
	is.New(t).Equal(w.scheduler.grantedCount(), 0)
}
