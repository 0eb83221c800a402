// Package engine is the HTTP client of an inference engine. Every error is a
// *fault.Error with the step and the engine's name.
//
// The execution state of an error describes the failed call only: a Resume or
// Cancel that was not run says nothing about the generation itself.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
)

// The steps named in errors.
const (
	StepDispatch    = "dispatch"
	StepResume      = "resume"
	StepStream      = "stream"
	StepCancel      = "cancel"
	StepLoad        = "load"
	StepCacheEvents = "cache_events"
	StepOrder       = "order"
	StepOrderState  = "order_state"
)

// Bounds of the default transport. The header timeout covers the wait for the
// engine's acceptance, not for the first token.
const (
	dialTimeout           = time.Second
	keepAlive             = 15 * time.Second
	responseHeaderTimeout = 10 * time.Second
	idleConnTimeout       = 60 * time.Second
	idleConnsPerHost      = 64
)

// NewTransport returns a transport for engines: no proxy, no compression, and
// enough idle connections for the streams of one replica.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	return &http.Transport{
		DialContext:           dialer.DialContext,
		MaxIdleConnsPerHost:   idleConnsPerHost,
		IdleConnTimeout:       idleConnTimeout,
		ResponseHeaderTimeout: responseHeaderTimeout,
		DisableCompression:    true,
	}
}

// Client calls engines. It is safe for concurrent use.
type Client struct{ http http.Client }

// New returns a client over c. Redirects are not followed, because the target
// of a redirect would be dialled after the engine received the request.
func New(c *http.Client) *Client {
	n := &Client{http: *c}
	n.http.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return n
}

// call is one request to one engine.
type call struct {
	step    string
	name    string
	address string
	method  string
	path    string
	// body is sent as JSON unless it is nil.
	body any
}

func (c *call) fault(cause error, code fault.Code, x api.Execution) *fault.Error {
	return fault.Wrap(cause, code, c.step, c.name, x)
}

// do sends the request. The answer has status 200; the caller closes its body.
func (c *Client) do(ctx context.Context, k call) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := k.request(httptrace.WithClientTrace(ctx, trace))
	if err != nil {
		return nil, k.fault(err, fault.BadRequest, api.NotRun)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, k.transportFault(ctx, err, connected.Load())
	}
	if resp.StatusCode != http.StatusOK {
		return nil, k.statusFault(resp)
	}
	return resp, nil
}

func (c *call) request(ctx context.Context) (*http.Request, error) {
	var body bytes.Buffer
	if c.body != nil {
		if err := json.NewEncoder(&body).Encode(c.body); err != nil {
			return nil, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.address+c.path, &body)
	if err != nil {
		return nil, err
	}
	// An empty value omits the header: it is a ninth of the bytes of a poll.
	req.Header.Set("User-Agent", "")
	if c.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// Create starts a streamed generation; r.Stream is set by this method.
func (c *Client) Create(ctx context.Context, name, address string, r api.CreateRequest) (*Stream, error) {
	r.Stream = true
	return c.open(ctx, call{
		step:    StepDispatch,
		name:    name,
		address: address,
		method:  http.MethodPost,
		path:    "/v1/responses",
		body:    r,
	})
}

// Resume reads the stream of a generation from the event behind after on; -1
// reads it from the start.
func (c *Client) Resume(ctx context.Context, name, address, id string, after int64) (*Stream, error) {
	return c.open(ctx, call{
		step:    StepResume,
		name:    name,
		address: address,
		method:  http.MethodGet,
		path:    responsePath(id) + "?stream=true&starting_after=" + strconv.FormatInt(after, 10),
	})
}

// Cancel ends a generation. Cancelling one that has ended is not an error.
func (c *Client) Cancel(ctx context.Context, name, address, id string) error {
	var r api.Response
	return c.json(ctx, call{
		step:    StepCancel,
		name:    name,
		address: address,
		method:  http.MethodPost,
		path:    responsePath(id) + "/cancel",
	}, &r)
}

// Load returns the engine's last load report.
func (c *Client) Load(ctx context.Context, name, address string) (api.LoadReport, error) {
	var r api.LoadReport
	k := call{step: StepLoad, name: name, address: address, method: http.MethodGet, path: "/v1/load"}
	err := c.json(ctx, k, &r)
	return r, err
}

// CacheEvents returns the cache events published behind number after.
func (c *Client) CacheEvents(ctx context.Context, name, address string, after int64) (api.CacheEvents, error) {
	var r api.CacheEvents
	err := c.json(ctx, call{
		step:    StepCacheEvents,
		name:    name,
		address: address,
		method:  http.MethodGet,
		path:    "/v1/cache_events?after=" + strconv.FormatInt(after, 10),
	}, &r)
	return r, err
}

// Order states a goal. A fencing number that the engine refuses gives an error
// whose code is api.CodeStaleFencing.
func (c *Client) Order(ctx context.Context, name, address string, o api.Order) (api.OrderState, error) {
	var r api.OrderState
	k := call{step: StepOrder, name: name, address: address, method: http.MethodPost, path: "/v1/orders", body: o}
	err := c.json(ctx, k, &r)
	return r, err
}

// OrderState returns the goal in force at the engine.
func (c *Client) OrderState(ctx context.Context, name, address string) (api.OrderState, error) {
	var r api.OrderState
	k := call{step: StepOrderState, name: name, address: address, method: http.MethodGet, path: "/v1/orders"}
	err := c.json(ctx, k, &r)
	return r, err
}

func responsePath(id string) string { return "/v1/responses/" + url.PathEscape(id) }
