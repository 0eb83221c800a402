// Package service holds the HTTP client of application servers. It sends each
// call at most once and tells what is known about its execution.
package service

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
)

// Steps in errors.
const (
	stepDispatch = "dispatch"
	stepLoad     = "load"
)

// maxBody bounds the body of an answer, in bytes.
const maxBody = 8 << 20

// Request is one call. Path begins with a slash and is not escaped.
type Request struct {
	Method string
	Path   string
	Query  string
	Header http.Header
	Body   []byte
}

// Response is the answer of a call that ran.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client calls application servers. It is safe for concurrent use.
type Client struct{ http *http.Client }

// New returns a client with c's transport. Redirects are returned as answers,
// because following one would send the call a second time.
func New(c *http.Client) *Client {
	own := *c
	own.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{http: &own}
}

// Do sends the call once to the server with this name and address. Any error
// is a *fault.Error whose execution is not_run only if the call certainly did
// not run.
func (c *Client) Do(ctx context.Context, name, address string, r Request) (Response, error) {
	sent := &sendState{}
	req, err := sent.request(ctx, address, r)
	if err != nil {
		return Response{}, fault.Wrap(withoutURL(err), fault.BadRequest, stepDispatch, name, api.NotRun)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Response{}, fault.Wrap(withoutURL(err), code(err), stepDispatch, name, sent.execution())
	}
	defer resp.Body.Close()
	body, err := readBody(resp.Body)
	if err != nil {
		return Response{}, fault.Wrap(err, code(err), stepDispatch, name, bodyExecution(resp.StatusCode))
	}
	if refusal := notRun(resp, body); refusal != nil {
		return Response{}, fault.New(fault.BackendRefused, stepDispatch, name, api.NotRun,
			"%s: %s", refusal.Code, refusal.Message).WithRetryAfter(time.Duration(refusal.RetryAfterMS) * time.Millisecond)
	}
	return Response{Status: resp.StatusCode, Header: endToEnd(resp.Header), Body: body}, nil
}

// withoutURL drops the URL from an error of net/http, because errors are logged
// and path and query are the caller's.
func withoutURL(err error) error {
	var u *url.Error
	if errors.As(err, &u) {
		return u.Err
	}
	return err
}

// Load returns the load report of a server.
func (c *Client) Load(ctx context.Context, name, address string) (api.LoadReport, error) {
	resp, err := c.Do(ctx, name, address, Request{Method: http.MethodGet, Path: "/v1/load"})
	if err != nil {
		f := *fault.From(err)
		f.Step = stepLoad
		return api.LoadReport{}, &f
	}
	var report api.LoadReport
	if resp.Status != http.StatusOK {
		return report, fault.New(fault.BackendRefused, stepLoad, name, api.Ran, "status %d", resp.Status)
	}
	if err := json.Unmarshal(resp.Body, &report); err != nil {
		return report, fault.Wrap(err, fault.BackendRefused, stepLoad, name, api.Ran)
	}
	return report, nil
}

// sendState records whether a connection was ever in use for the call. Before
// that nothing was sent, whatever the error is.
type sendState struct{ connected atomic.Bool }

func (s *sendState) execution() api.Execution {
	if s.connected.Load() {
		return api.Unknown
	}
	return api.NotRun
}

func (s *sendState) request(ctx context.Context, address string, r Request) (*http.Request, error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { s.connected.Store(true) }}
	u := url.URL{Scheme: "http", Host: address, Path: r.Path, RawQuery: r.Query}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.Method, u.String(), nil)
	if err != nil {
		return nil, err
	}
	req.Header = endToEnd(r.Header)
	req.Body = onceBody(r.Body)
	req.ContentLength = int64(len(r.Body))
	return req, nil
}

// onceBody returns a body that net/http cannot rewind. The transport repeats a
// request on another connection when a reused one breaks if the method or an
// Idempotency-Key header makes it look repeatable, unless its body is neither
// absent nor rewindable.
func onceBody(b []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(b)) }

var errTooLarge = fmt.Errorf("answer is larger than %d bytes", maxBody)

func readBody(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxBody+1))
	if err == nil && len(body) > maxBody {
		return nil, errTooLarge
	}
	return body, err
}

// bodyExecution is the execution of a call whose answer has a status but no
// complete body. A 503 may have been a refusal.
func bodyExecution(status int) api.Execution {
	if status == http.StatusServiceUnavailable {
		return api.Unknown
	}
	return api.Ran
}

// notRun returns the error of a refusal before execution, or nil.
func notRun(resp *http.Response, body []byte) *api.Error {
	if resp.StatusCode != http.StatusServiceUnavailable {
		return nil
	}
	var b api.ErrorBody
	if json.Unmarshal(body, &b) != nil || b.Error.Execution != api.NotRun {
		return nil
	}
	return &b.Error
}

func code(err error) fault.Code {
	switch {
	case errors.Is(err, errTooLarge):
		return fault.BackendRefused
	case errors.Is(err, context.DeadlineExceeded):
		return fault.DeadlineExceeded
	case errors.Is(err, context.Canceled):
		return fault.Cancelled
	default:
		return fault.BackendLost
	}
}
