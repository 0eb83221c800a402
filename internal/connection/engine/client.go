// Package engine provides an HTTP client for inference engines. Every error is a
// *fault.Error that contains the step and the engine's name.
//
// The execution state of an error describes the failed call only. If a Resume or Cancel
// was not run, the generation itself may still be running or finished.
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

	"persimmonwing/internal/connection/bodies"
	"persimmonwing/internal/connection/responsecheck"
	"persimmonwing/internal/connection/sendcheck"
	"persimmonwing/internal/process/coldbound"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
)

// Values of fault.Error.Step in errors of this package.
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

// Limits of the transport that NewTransport returns. responseHeaderTimeout bounds the
// wait for the engine to accept the request, not the wait for the first token.
const (
	dialTimeout           = time.Second
	keepAlive             = 15 * time.Second
	responseHeaderTimeout = 10 * time.Second
	idleConnTimeout       = 60 * time.Second
	idleConnsPerHost      = 64
	maxHeaderBytes        = 64 << 10
)

// NewTransport returns an HTTP transport for engines. It uses no proxy and no compression,
// and keeps enough idle connections per host for the streams of one replica.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	return &http.Transport{
		DialContext:           sendcheck.Wrap(responsecheck.Wrap(dialer.DialContext)),
		MaxIdleConnsPerHost:   idleConnsPerHost,
		IdleConnTimeout:       idleConnTimeout,
		ResponseHeaderTimeout: responseHeaderTimeout,
		DisableCompression:    true,
		// The default of 10 MB for each connection would let a few faulty engines fill a
		// gateway's memory.
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Client calls engines. It is safe for concurrent use.
type Client struct {
	http   http.Client
	bodies bodies.Reader
	// ObserveCold, if set, is called when an engine states in a response how much longer it is cold. sent is the
	// time at which the request was sent.
	ObserveCold func(name string, sent time.Time, left time.Duration)
}

// New returns a client that sends its requests through c. It doesn't follow redirects,
// because the redirect target would be dialled after the engine had received the request.
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
	// body is sent as JSON. If it is nil, the request has no body.
	body any
	// attempt is the attempt id in the body, which a refusal echoes as its request id.
	attempt string
}

func (c *call) fault(cause error, code fault.Code, x api.Execution) *fault.Error {
	return fault.Wrap(cause, code, c.step, c.name, x)
}

// do sends the request and returns the response if its status is 200. The caller must
// close the response body.
func (c *Client) do(ctx context.Context, k call) (*http.Response, error) {
	var connected, reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) {
		responsecheck.ExpectResponse(c.Conn)
		connected.Store(true)
		reused.Store(c.Reused)
	}}
	req, err := k.request(httptrace.WithClientTrace(ctx, trace))
	if err != nil {
		return nil, k.fault(err, fault.BadRequest, api.NotRun)
	}
	sent := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, k.transportFault(ctx, err, connected.Load())
	}
	if left, ok := coldbound.ParseLeft(resp.Header.Get(api.HeaderServerCold)); ok && c.ObserveCold != nil {
		c.ObserveCold(k.name, sent, left)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, k.statusFault(resp, reused.Load())
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
	// An empty value omits the header, which would be a ninth of the bytes of a poll.
	req.Header.Set("User-Agent", "")
	if c.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// Create starts a generation and returns its event stream. It sets r.Stream.
func (c *Client) Create(ctx context.Context, name, address string, r api.CreateRequest) (*Stream, error) {
	r.Stream = true
	return c.open(ctx, call{
		step:    StepDispatch,
		name:    name,
		address: address,
		method:  http.MethodPost,
		path:    "/v1/responses",
		body:    r,
		attempt: r.Metadata[api.MetadataAttempt],
	})
}

// Resume returns the event stream of an existing generation, starting with the event that
// follows sequence number after. If after is -1, the stream starts with the first event.
func (c *Client) Resume(ctx context.Context, name, address, id string, after int64) (*Stream, error) {
	return c.open(ctx, call{
		step:    StepResume,
		name:    name,
		address: address,
		method:  http.MethodGet,
		path:    responsePath(id) + "?stream=true&starting_after=" + strconv.FormatInt(after, 10),
	})
}

// Cancel stops a generation. Cancelling a generation that has already ended is not an
// error.
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

// Load requests the engine's latest load report.
func (c *Client) Load(ctx context.Context, name, address string) (api.LoadReport, error) {
	var r api.LoadReport
	k := call{step: StepLoad, name: name, address: address, method: http.MethodGet, path: "/v1/load"}
	err := c.json(ctx, k, &r)
	return r, err
}

// CacheEvents returns the cache events whose numbers are greater than after.
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

// Order sends the engine a new goal. If the engine refuses the order's fencing number, the
// error has the code api.CodeStaleFencing.
func (c *Client) Order(ctx context.Context, name, address string, o api.Order) (api.OrderState, error) {
	var r api.OrderState
	k := call{step: StepOrder, name: name, address: address, method: http.MethodPost, path: "/v1/orders", body: o}
	err := c.json(ctx, k, &r)
	return r, err
}

// OrderState returns the engine's current goal and its progress.
func (c *Client) OrderState(ctx context.Context, name, address string) (api.OrderState, error) {
	var r api.OrderState
	k := call{step: StepOrderState, name: name, address: address, method: http.MethodGet, path: "/v1/orders"}
	err := c.json(ctx, k, &r)
	return r, err
}

func responsePath(id string) string { return "/v1/responses/" + url.PathEscape(id) }
