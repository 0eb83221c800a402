package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"persimmonwing/internal/connection/bodies"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
)

// maxBodyBytes is the maximum size of a JSON response. The largest is the response to a
// cancellation from an engine that includes the output text, which has up to 30,000 tokens.
const maxBodyBytes = 4 << 20

// maxErrorBytes is the maximum size of a typed error body.
const maxErrorBytes = 64 << 10

// Refused is the cause of an error for which the engine returned a typed error body.
type Refused struct {
	Status int
	Body   api.Error
}

// Error implements error.
func (r *Refused) Error() string {
	return "engine answered " + r.Body.Code + ": " + r.Body.Message
}

// transportFault classifies an error for which there is no response. If no connection was
// established, no byte was sent, so the request was not run.
func (c *call) transportFault(ctx context.Context, err error, connected bool) *fault.Error {
	x := api.Unknown
	if !connected || isDialError(err) {
		x = api.NotRun
	}
	return c.fault(err, transportCode(ctx, err), x)
}

// transportCode returns the fault code of a transport error. It distinguishes the caller's
// own deadline or cancellation from a protocol error or a lost engine.
func transportCode(ctx context.Context, err error) fault.Code {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fault.DeadlineExceeded
	case errors.Is(ctx.Err(), context.Canceled):
		return fault.Cancelled
	case isProtocolError(err):
		return fault.EngineProtocol
	default:
		return fault.EngineLost
	}
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func isProtocolError(err error) bool {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	tooLong := errors.Is(err, bufio.ErrTooLong) || errors.Is(err, bodies.ErrTooLarge) || errors.Is(err, bodies.ErrNoMemory)
	return tooLong || errors.As(err, &syntax) || errors.As(err, &kind)
}

// statusFault converts a response with a status other than 200 into an error and closes
// its body. reused states that the connection has carried an earlier request, whose refusal a
// faulty engine may have repeated. Only a generation must not count as not run then; orders may be
// repeated.
func (c *call) statusFault(resp *http.Response, reused bool) *fault.Error {
	defer resp.Body.Close()
	var body api.ErrorBody
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err == nil {
		err = json.Unmarshal(raw, &body)
	}
	if err != nil || body.Error.Code == "" {
		cause := eris.Errorf("engine answered %s without a typed body", resp.Status)
		return c.fault(cause, untypedErrorCode(resp.StatusCode), api.Unknown)
	}
	cause := &Refused{Status: resp.StatusCode, Body: body.Error}
	execution := refusalExecution(cause)
	if reused && c.step == StepDispatch && (c.attempt == "" || body.Error.RequestID != c.attempt) {
		execution = api.Unknown
	}
	f := c.fault(cause, refusalCode(body.Error.Code), execution)
	return f.WithRetryAfter(time.Duration(body.Error.RetryAfterMS) * time.Millisecond)
}

func untypedErrorCode(status int) fault.Code {
	if status >= http.StatusInternalServerError {
		return fault.EngineLost
	}
	return fault.EngineProtocol
}

// refusalCode maps the codes for refused new work to EngineRefused and returns other codes
// unchanged.
func refusalCode(code string) fault.Code {
	switch code {
	case api.CodeDraining, api.CodeModelNotLoaded, api.CodeOverloaded:
		return fault.EngineRefused
	default:
		return fault.Code(code)
	}
}

// refusalExecution returns the execution state of a refused call. It trusts not_run only
// together with the statuses that the protocol defines for refusals before acceptance, 503
// and 409.
func refusalExecution(r *Refused) api.Execution {
	refusal := r.Status == http.StatusServiceUnavailable || r.Status == http.StatusConflict
	if refusal && r.Body.Execution == api.NotRun {
		return api.NotRun
	}
	return api.Unknown
}

// json sends a call and decodes its JSON response into v.
func (c *Client) json(ctx context.Context, k call, v any) error {
	resp, err := c.do(ctx, k)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err := c.bodies.ReadAll(resp.Body, maxBodyBytes)
	if err == nil {
		err = json.Unmarshal(raw, v)
	}
	if err != nil {
		return k.fault(err, transportCode(ctx, err), api.Unknown)
	}
	return nil
}

// isEventStream reports whether the response has the media type of server-sent events.
func isEventStream(resp *http.Response) bool {
	kind, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}
