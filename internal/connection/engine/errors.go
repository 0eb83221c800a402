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

	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
)

// maxBodyBytes bounds JSON answers. The largest is a cancel's answer of an
// engine that includes the output text, of up to 30,000 tokens.
const maxBodyBytes = 4 << 20

// Refused is the cause of an error that the engine answered with a typed body.
type Refused struct {
	Status int
	Body   api.Error
}

// Error implements error.
func (r *Refused) Error() string {
	return "engine answered " + r.Body.Code + ": " + r.Body.Message
}

// transportFault classifies an error without an answer. Without a connection
// no byte was sent, so the request was not run.
func (c *call) transportFault(ctx context.Context, err error, connected bool) *fault.Error {
	x := api.Unknown
	if !connected || isDialError(err) {
		x = api.NotRun
	}
	return c.fault(err, linkCode(ctx, err), x)
}

// linkCode tells the caller's own deadline or cancellation from a lost engine.
func linkCode(ctx context.Context, err error) fault.Code {
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
	tooLong := errors.Is(err, bufio.ErrTooLong)
	return tooLong || errors.As(err, &syntax) || errors.As(err, &kind)
}

// statusFault reads the error body of an answer and closes it.
func (c *call) statusFault(resp *http.Response) *fault.Error {
	defer resp.Body.Close()
	var body api.ErrorBody
	err := decode(resp, &body)
	if err != nil || body.Error.Code == "" {
		cause := eris.Errorf("engine answered %s without a typed body", resp.Status)
		return c.fault(cause, untypedCode(resp.StatusCode), api.Unknown)
	}
	cause := &Refused{Status: resp.StatusCode, Body: body.Error}
	f := c.fault(cause, refusalCode(body.Error.Code), refusalExecution(cause))
	return f.WithRetryAfter(time.Duration(body.Error.RetryAfterMS) * time.Millisecond)
}

func untypedCode(status int) fault.Code {
	if status >= http.StatusInternalServerError {
		return fault.EngineLost
	}
	return fault.EngineProtocol
}

// refusalCode maps refusals of new work to EngineRefused and keeps the rest.
func refusalCode(code string) fault.Code {
	switch code {
	case api.CodeDraining, api.CodeModelNotLoaded, api.CodeOverloaded:
		return fault.EngineRefused
	default:
		return fault.Code(code)
	}
}

// refusalExecution trusts not_run only with the statuses that the protocol
// defines for refusals before acceptance.
func refusalExecution(r *Refused) api.Execution {
	refusal := r.Status == http.StatusServiceUnavailable || r.Status == http.StatusConflict
	if refusal && r.Body.Execution == api.NotRun {
		return api.NotRun
	}
	return api.Unknown
}

// json sends a call and decodes its JSON answer into v.
func (c *Client) json(ctx context.Context, k call, v any) error {
	resp, err := c.do(ctx, k)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := decode(resp, v); err != nil {
		return k.fault(err, linkCode(ctx, err), api.Unknown)
	}
	return nil
}

func decode(resp *http.Response, v any) error {
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, v)
}

// isEventStream reports whether the answer has the media type of server-sent
// events.
func isEventStream(resp *http.Response) bool {
	kind, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}
