package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/tmaxmax/go-sse"

	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/pause"
)

// resumeDelay is the time between two attempts to resume a stream.
const resumeDelay = 100 * time.Millisecond

// generation reads the stream of one generation request, over several connections
// if it is resumed. lastToken is the time from the start of the run to the latest
// token; terminal is the type of the first terminal event and failure its error.
type generation struct {
	run       *run
	stream    int
	sender    *sender
	verify    *Verifier
	result    *requestResult
	lastToken time.Duration
	failure   *api.Error
	terminal  api.EventType
}

// generate sends a generation request and reads its stream to the end, resuming it
// when a connection breaks.
func (r *run) generate(ctx context.Context, stream int, a arrival, s *sender, rr *requestResult) {
	g := &generation{run: r, stream: stream, sender: s, verify: NewVerifier(rr.id, a.output), result: rr}
	spec := &r.workload.Streams[stream]
	input := prompt(rr.id, a, r.workload.CommonPrefixTokens, spec.PromptText)
	body, err := json.Marshal(api.CreateRequest{Model: spec.Entry, Input: input, Stream: true})
	if err != nil {
		rr.outcome = outcome{OutcomeLinkBroken, api.NotRun}
		return
	}
	rr.attempts++
	from := time.Now()
	resp, err := s.send(func(target string) (*http.Request, error) {
		return newRequest(ctx, http.MethodPost, target+"/v1/responses", spec.Key, body)
	})
	rr.outcome = g.readStream(resp, err)
	rr.addExchange(s, from, err == nil, exchangeCode(ctx, rr.outcome))
	g.resume(ctx, spec.Key)
	if ctx.Err() != nil && g.terminal == "" {
		g.markUnfinished()
	}
	rr.accepted = g.verify.ResponseID() != ""
	rr.violations = g.verify.Violations()
}

// exchangeCode returns the outcome code of one exchange. A link that the end of the run
// broke counts as unfinished, because the target did not cause it.
func exchangeCode(ctx context.Context, o outcome) string {
	if ctx.Err() != nil && o.code == OutcomeLinkBroken {
		return OutcomeUnfinished
	}
	return o.code
}

func newRequest(ctx context.Context, method, url, key string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// readStream reads the events of one connection and returns the outcome so far.
func (g *generation) readStream(resp *http.Response, err error) outcome {
	if err != nil {
		return sendErrorOutcome(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errorResponseOutcome(resp)
	}
	for raw, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		var e api.Event
		if err != nil || json.Unmarshal([]byte(raw.Data), &e) != nil {
			break
		}
		g.handleEvent(e)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxEventBytes))
	return g.streamOutcome()
}

// handleEvent verifies and records one event.
func (g *generation) handleEvent(e api.Event) {
	now := g.run.now()
	g.verify.Event(e)
	if e.Type.Terminal() && g.terminal == "" {
		g.terminal = e.Type
		if e.Response != nil {
			g.failure = e.Response.Error
		}
	}
	if e.Type != api.EventDelta {
		return
	}
	var gap time.Duration
	if g.result.firstToken == 0 {
		g.result.firstToken = max(now-g.result.arrived, 1)
	} else {
		gap = max(now-g.lastToken, 1)
	}
	g.lastToken = now
	g.run.recorder.recordToken(g.stream, now, gap, g.result)
}

// streamOutcome returns the outcome according to the events read so far.
func (g *generation) streamOutcome() outcome {
	switch {
	case g.terminal == api.EventCompleted:
		return outcome{code: OutcomeCompleted}
	case g.terminal == api.EventIncomplete:
		return outcome{code: OutcomeIncomplete}
	case g.terminal == api.EventFailed && g.failure != nil:
		return outcome{g.failure.Code, g.failure.Execution}
	case g.terminal == api.EventFailed:
		return outcome{"failed_without_error", api.Unknown}
	default:
		return outcome{OutcomeLinkBroken, api.Unknown}
	}
}

// resume continues a broken stream at random targets, until a terminal event or an
// error that is final arrives, resumeFor has passed or ctx ends.
func (g *generation) resume(ctx context.Context, key string) {
	end := time.Now().Add(g.run.resumeFor)
	id := g.verify.ResponseID()
	for id != "" && g.terminal == "" && g.resumable() && time.Now().Before(end) && ctx.Err() == nil {
		g.result.resumed++
		from := time.Now()
		after := strconv.FormatInt(g.verify.NextSequence()-1, 10)
		resp, err := g.sender.send(func(target string) (*http.Request, error) {
			return newRequest(ctx, http.MethodGet, target+"/v1/responses/"+id+"?stream=true&starting_after="+after, key, nil)
		})
		g.result.outcome = g.readStream(resp, err)
		g.result.addExchange(g.sender, from, err == nil, exchangeCode(ctx, g.result.outcome))
		if g.terminal == "" {
			_ = pause.For(ctx, resumeDelay)
		}
	}
}

// resumable reports whether the last connection ended without a final typed error.
// The errors of a gateway that is not ready or is shutting down are not final, as
// such a gateway does not know how the stream ends.
func (g *generation) resumable() bool {
	switch g.result.code {
	case OutcomeLinkBroken, OutcomeUnreachable, "not_ready", "shutting_down":
		return true
	default:
		return false
	}
}

// markUnfinished records that the end of the run interrupted the generation. The
// time since the last token counts as a token gap, so that it adds to the stall time.
func (g *generation) markUnfinished() {
	g.result.outcome = outcome{code: OutcomeUnfinished}
	if g.result.firstToken == 0 {
		return
	}
	now := g.run.now()
	g.run.recorder.recordOpenGap(g.stream, min(now, g.run.duration-1), now-g.lastToken, g.result)
}
