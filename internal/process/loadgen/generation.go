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

// resumePause is the time between two attempts to resume a stream.
const resumePause = 100 * time.Millisecond

// generation is one streamed request of a caller.
type generation struct {
	run     *run
	stream  int
	sender  *sender
	verify  *Verifier
	result  *finished
	last    time.Duration
	failure *api.Error
	final   api.EventType
}

// generate sends a generation and reads it to its end.
func (r *run) generate(ctx context.Context, stream int, a arrival, s *sender, f *finished) {
	g := &generation{run: r, stream: stream, sender: s, verify: NewVerifier(f.id, a.output), result: f}
	spec := &r.workload.Streams[stream]
	input := prompt(f.id, a, r.workload.CommonPrefixTokens, spec.PromptText)
	body, err := json.Marshal(api.CreateRequest{Model: spec.Entry, Input: input, Stream: true})
	if err != nil {
		f.outcome = outcome{OutcomeLinkBroken, api.NotRun}
		return
	}
	f.attempts++
	from := time.Now()
	resp, err := s.send(func(target string) (*http.Request, error) {
		return newRequest(ctx, http.MethodPost, target+"/v1/responses", spec.Key, body)
	})
	f.outcome = g.read(resp, err)
	f.link(s, from, err == nil, linkCode(ctx, f.outcome))
	g.resume(ctx, spec.Key)
	if ctx.Err() != nil && g.final == "" {
		g.cutOff()
	}
	f.accepted = g.verify.ResponseID() != ""
	f.violations = g.verify.Violations()
}

// linkCode is the outcome of one exchange. One that the end of the run cut off
// says nothing about its target.
func linkCode(ctx context.Context, o outcome) string {
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

// read takes the events of one connection and returns the outcome so far.
func (g *generation) read(resp *http.Response, err error) outcome {
	if err != nil {
		return sendFailure(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusal(resp)
	}
	for raw, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		var e api.Event
		if err != nil || json.Unmarshal([]byte(raw.Data), &e) != nil {
			break
		}
		g.event(e)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxEventBytes))
	return g.ending()
}

// event checks and records one event.
func (g *generation) event(e api.Event) {
	now := g.run.now()
	g.verify.Event(e)
	if e.Type.Terminal() && g.final == "" {
		g.final = e.Type
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
		gap = max(now-g.last, 1)
	}
	g.last = now
	g.run.recorder.token(g.stream, now, gap, g.result)
}

// ending returns the outcome after the events that were read.
func (g *generation) ending() outcome {
	switch {
	case g.final == api.EventCompleted:
		return outcome{code: OutcomeCompleted}
	case g.final == api.EventIncomplete:
		return outcome{code: OutcomeIncomplete}
	case g.final == api.EventFailed && g.failure != nil:
		return outcome{g.failure.Code, g.failure.Execution}
	case g.final == api.EventFailed:
		return outcome{"failed_without_error", api.Unknown}
	default:
		return outcome{OutcomeLinkBroken, api.Unknown}
	}
}

// resume reads on at other targets while the stream has no typed end.
func (g *generation) resume(ctx context.Context, key string) {
	end := time.Now().Add(g.run.resumeFor)
	id := g.verify.ResponseID()
	for id != "" && g.final == "" && g.broken() && time.Now().Before(end) && ctx.Err() == nil {
		g.result.resumed++
		from := time.Now()
		after := strconv.FormatInt(g.verify.Next()-1, 10)
		resp, err := g.sender.send(func(target string) (*http.Request, error) {
			return newRequest(ctx, http.MethodGet, target+"/v1/responses/"+id+"?stream=true&starting_after="+after, key, nil)
		})
		g.result.outcome = g.read(resp, err)
		g.result.link(g.sender, from, err == nil, linkCode(ctx, g.result.outcome))
		if g.final == "" {
			_ = pause.For(ctx, resumePause)
		}
	}
}

// broken tells whether the last connection ended without a typed error that is
// final. A gateway that is not ready or stops does not know the stream's end.
func (g *generation) broken() bool {
	switch g.result.code {
	case OutcomeLinkBroken, OutcomeUnreachable, "not_ready", "shutting_down":
		return true
	default:
		return false
	}
}

// cutOff marks a generation that the end of the run interrupted. The gap that
// was open then counts as stall time.
func (g *generation) cutOff() {
	g.result.outcome = outcome{code: OutcomeUnfinished}
	if g.result.firstToken == 0 {
		return
	}
	now := g.run.now()
	g.run.recorder.openGap(g.stream, min(now, g.run.duration-1), now-g.last, g.result)
}
