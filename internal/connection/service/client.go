// Package service provides the HTTP client for application servers. It sends each call at most once.
// Its errors state whether the call was executed, as far as this is known.
package service

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"syscall"
	"time"

	"persimmonwing/internal/connection/bodies"
	"persimmonwing/internal/connection/responsecheck"
	"persimmonwing/internal/process/coldbound"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
)

// Values of fault.Error.Step in errors of this package.
const (
	stepDispatch = "dispatch"
	stepLoad     = "load"
)

// maxBodyBytes is the maximum size of a response body.
const maxBodyBytes = 8 << 20

// Request is one call. Path begins with a slash and is unescaped.
type Request struct {
	Method string
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// NewConnection requires a connection that has carried no earlier call. Only there is a
	// refusal certainly the response to this call: a faulty server may repeat an earlier one.
	NewConnection bool
}

// Response is the response to a call that was executed.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// UntilClose is set for a body that ended with its connection, so that it may be truncated.
	UntilClose bool
	// Load is the load that the server states, or empty. It is also set with the error of a refusal.
	Load string
}

// Client calls application servers. It is safe for concurrent use.
type Client struct {
	kept, single *http.Client
	bodies       bodies.Reader
	// ObserveCold, if set, is called when a server states in a response how much longer it is cold. sentAt is the
	// time at which the request was sent.
	ObserveCold func(name string, sentAt time.Time, left time.Duration)
}

// New returns a client that uses the transport of c. Redirects are not followed but returned as
// responses, because following one would send the call a second time.
func New(c *http.Client) *Client {
	kept := *c
	kept.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	single := kept
	if t, ok := c.Transport.(*http.Transport); ok {
		t = t.Clone()
		t.DisableKeepAlives = true
		single.Transport = t
	}
	return &Client{kept: &kept, single: &single}
}

// Do sends a call once to the server with the given name and address. Every error is a *fault.Error.
// Its execution is not_run only if the call was certainly not executed.
func (c *Client) Do(ctx context.Context, name, address string, r Request) (Response, error) {
	sent := &sendState{}
	req, err := sent.request(ctx, address, r)
	if err != nil {
		return Response{}, fault.Wrap(withoutURL(err), fault.BadRequest, stepDispatch, name, api.NotRun)
	}
	client := c.kept
	if r.NewConnection {
		client = c.single
	}
	sentAt := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return Response{}, fault.Wrap(withoutURL(err), faultCode(err), stepDispatch, name, sent.execution())
	}
	defer resp.Body.Close()
	if left, ok := coldbound.ParseLeft(resp.Header.Get(api.HeaderServerCold)); ok && c.ObserveCold != nil {
		c.ObserveCold(name, sentAt, left)
	}
	resp.Header.Del(api.HeaderServerCold)
	body, err := c.bodies.ReadAll(resp.Body, maxBodyBytes)
	if err != nil {
		return Response{}, fault.Wrap(err, faultCode(err), stepDispatch, name, bodyExecution(resp.StatusCode))
	}
	if refusal := refusalBeforeExecution(resp, body); refusal != nil {
		return Response{Load: resp.Header.Get(api.HeaderServerLoad)}, fault.New(fault.BackendRefused, stepDispatch, name, sent.refusalExecution(),
			"%s: %s", refusal.Code, refusal.Message).WithRetryAfter(time.Duration(refusal.RetryAfterMS) * time.Millisecond)
	}
	untilClose := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && r.Method != http.MethodHead
	response := Response{Status: resp.StatusCode, Header: endToEnd(resp.Header), Body: body, UntilClose: untilClose, Load: resp.Header.Get(api.HeaderServerLoad)}
	response.Header.Del(api.HeaderServerLoad)
	return response, nil
}

// endedTimeout bounds the check whether a server listens.
const endedTimeout = 300 * time.Millisecond

// Ended reports whether nothing listens at an address any more, which proves that the server's process
// has ended. It sends nothing.
func (c *Client) Ended(ctx context.Context, address string) bool {
	d := net.Dialer{Timeout: endedTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// withoutURL removes the URL from an error of net/http, because errors are logged and the path and
// the query contain the caller's data.
func withoutURL(err error) error {
	var u *url.Error
	if errors.As(err, &u) {
		return u.Err
	}
	return err
}

// Load requests the load report of a server.
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

// sendState records whether the call has obtained a connection, and whether that has carried an
// earlier call. Before that, nothing was sent, independent of the error.
type sendState struct{ connected, reused atomic.Bool }

func (s *sendState) execution() api.Execution {
	if s.connected.Load() {
		return api.Unknown
	}
	return api.NotRun
}

// refusalExecution returns the execution of a call for which a refusal arrived.
func (s *sendState) refusalExecution() api.Execution {
	if s.reused.Load() {
		return api.Unknown
	}
	return api.NotRun
}

func (s *sendState) request(ctx context.Context, address string, r Request) (*http.Request, error) {
	trace := &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) {
		responsecheck.ExpectResponse(c.Conn)
		s.connected.Store(true)
		s.reused.Store(c.Reused)
	}}
	u := url.URL{Scheme: "http", Host: address, Path: r.Path, RawQuery: r.Query}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.Method, u.String(), nil)
	if err != nil {
		return nil, err
	}
	req.Header = endToEnd(r.Header)
	req.Body = nonRewindableBody(r.Body)
	req.ContentLength = int64(len(r.Body))
	return req, nil
}

// nonRewindableBody returns a request body that net/http can't rewind, which prevents the transport
// from repeating the request. If a reused connection breaks, the transport repeats a request on
// another one if its method or an Idempotency-Key header indicates that it is idempotent and its
// body is absent or can be rewound.
func nonRewindableBody(b []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(b)) }

// bodyExecution returns the execution of a call whose response has a status but no complete body. It
// is unknown for status 503, because the body may have stated a refusal.
func bodyExecution(status int) api.Execution {
	if status == http.StatusServiceUnavailable {
		return api.Unknown
	}
	return api.Ran
}

// refusalBeforeExecution returns the error body of a response which states that the server refused
// the call before its execution, or nil for other responses.
func refusalBeforeExecution(resp *http.Response, body []byte) *api.Error {
	if resp.StatusCode != http.StatusServiceUnavailable {
		return nil
	}
	var b api.ErrorBody
	if json.Unmarshal(body, &b) != nil || b.Error.Execution != api.NotRun {
		return nil
	}
	return &b.Error
}

func faultCode(err error) fault.Code {
	switch {
	case errors.Is(err, bodies.ErrTooLarge), errors.Is(err, bodies.ErrNoMemory):
		return fault.BackendRefused
	case errors.Is(err, context.DeadlineExceeded):
		return fault.DeadlineExceeded
	case errors.Is(err, context.Canceled):
		return fault.Cancelled
	default:
		return fault.BackendLost
	}
}
