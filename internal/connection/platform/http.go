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
)

// maxAnswer bounds an answer that is held in memory, in bytes.
const maxAnswer = 64 << 20

// maxErrorText bounds the part of an error answer that errors quote, in bytes.
const maxErrorText = 512

// caller does the HTTP calls of one client.
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
	// write tells that the call may change the platform's state.
	write bool
	// accept lists statuses besides 200 that are answers, not errors.
	accept []int
}

// do returns the status and the whole body.
func (c caller) do(ctx context.Context, k call) (int, []byte, error) {
	status, _, body, err := c.exchange(ctx, k)
	return status, body, err
}

// exchange is do with the headers of the answer.
func (c caller) exchange(ctx context.Context, k call) (int, http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.send(ctx, k)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = fmt.Errorf("answer is larger than %d bytes", maxAnswer)
	}
	if err != nil {
		return 0, nil, nil, NewError(k.step, c.base, k.outcome(true), err)
	}
	return resp.StatusCode, resp.Header, body, nil
}

// send returns an answer with an accepted status; the caller closes its body.
func (c caller) send(ctx context.Context, k call) (*http.Response, error) {
	// Without a connection nothing was sent, so the call had no effect. The
	// error alone does not tell: a timeout while dialling looks like any other.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
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
	return nil, c.refused(k, resp)
}

// refused turns an answer that is not accepted into an error.
func (c caller) refused(k call, resp *http.Response) *Error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorText))
	e := NewError(k.step, c.base, k.outcome(!declined(resp.StatusCode)), fmt.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text)))
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		e.RetryAfter = time.Duration(s) * time.Second
	}
	return e
}

// declined reports whether a status comes from a check before any effect.
// Others, such as 408 for a cancelled call and 5xx, prove nothing.
func declined(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound,
		http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge, http.StatusTooManyRequests:
		return true
	default:
		return false
	}
}

// outcome is ErrUnknownOutcome for a write that may have reached the platform.
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

// doJSON sends in as JSON and decodes the answer into out.
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
