package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"persimmonwing/internal/connection/bodies"
	"persimmonwing/internal/connection/responsecheck"
)

// maxResponseBytes is the maximum size of a response body that is read into memory.
const maxResponseBytes = 64 << 20

// responses bounds the memory of the responses that the clients of this process are reading.
var responses bodies.Reader

// maxErrorTextBytes is the maximum length of the part of an error response that is included in the
// error.
const maxErrorTextBytes = 512

// caller performs the HTTP calls of one client.
type caller struct {
	base    string
	client  *http.Client
	timeout time.Duration
}

func newCaller(base string, c *http.Client, timeout time.Duration) caller {
	return caller{base: strings.TrimSuffix(base, "/"), client: c, timeout: timeout}
}

// call is one HTTP call.
type call struct {
	step   string
	method string
	path   string
	header http.Header
	body   []byte
	// write is true if the call may change the platform's state.
	write bool
	// accept lists the statuses other than 200 that are not errors.
	accept []int
}

// do sends a call and returns the status and the body of the response.
func (c caller) do(ctx context.Context, k call) (int, []byte, error) {
	status, _, body, err := c.exchange(ctx, k)
	return status, body, err
}

// exchange sends a call and returns the status, the headers and the body of the response.
func (c caller) exchange(ctx context.Context, k call) (int, http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.send(ctx, k)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	body, err := responses.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		return 0, nil, nil, NewError(k.step, c.base, k.outcome(true), err)
	}
	return resp.StatusCode, resp.Header, body, nil
}

// send sends a call and returns the response if its status is accepted. The caller must close the
// response body.
func (c caller) send(ctx context.Context, k call) (*http.Response, error) {
	// Record whether a connection was established. Without one, nothing was sent, so the call
	// had no effect. The error doesn't contain this information: a timeout while dialling looks
	// like any other timeout.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) {
		responsecheck.ExpectResponse(c.Conn)
		connected.Store(true)
	}}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), k.method, c.base+k.path, bytes.NewReader(k.body))
	if err != nil {
		return nil, NewError(k.step, c.base, ErrNotApplied, err)
	}
	for name, values := range k.header {
		req.Header[name] = values
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, NewError(k.step, c.base, k.outcome(connected.Load()), err)
	}
	if k.accepts(resp.StatusCode) {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, c.statusError(k, resp)
}

// statusError returns the error for a response whose status is not accepted.
func (c caller) statusError(k call, resp *http.Response) *Error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorTextBytes))
	e := NewError(k.step, c.base, k.outcome(!rejectedBeforeEffect(resp.StatusCode)), fmt.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text)))
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		e.RetryAfter = time.Duration(s) * time.Second
	}
	return e
}

// rejectedBeforeEffect reports whether a status proves that the platform rejected the call before it
// had any effect. Other statuses, such as 408 for a cancelled call and 5xx, don't prove this.
func rejectedBeforeEffect(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound,
		http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge, http.StatusTooManyRequests:
		return true
	default:
		return false
	}
}

// outcome returns ErrUnknownOutcome for a write that may have reached the platform, and
// ErrNotApplied otherwise.
func (k call) outcome(reached bool) error {
	if k.write && reached {
		return ErrUnknownOutcome
	}
	return ErrNotApplied
}

func (k call) accepts(status int) bool {
	if status == http.StatusOK {
		return true
	}
	for _, s := range k.accept {
		if s == status {
			return true
		}
	}
	return false
}

// doJSON sends in as JSON in a POST request and decodes the response into out.
func (c caller) doJSON(ctx context.Context, k call, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return NewError(k.step, c.base, ErrNotApplied, err)
	}
	k.method = http.MethodPost
	k.body = body
	k.header = http.Header{"Content-Type": {"application/json"}}
	_, answer, err := c.do(ctx, k)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return NewError(k.step, c.base, k.outcome(true), err)
	}
	return nil
}
