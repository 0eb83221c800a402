package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"

	client "persimmonwing/internal/connection/engine"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
)

const (
	testName  = "engine-1"
	testModel = "atlas"
	// endless is an input whose generation does not end within a test.
	endless = "#tokens=100000000"
)

// fixture is a running stand-in with a client.
type fixture struct {
	*is.I
	ctx     context.Context
	engine  *Engine
	client  *client.Client
	address string
	exits   chan int
}

func start(t *testing.T, change func(*Settings)) *fixture {
	t.Helper()
	s := DefaultSettings()
	s.Name = testName
	s.Models = []string{testModel}
	s.TimeScale = 0.001
	s.KVCapacityTokens = maxTokens
	s.OrphanTimeout = time.Hour
	s.EndedRetention = time.Hour
	if change != nil {
		change(&s)
	}
	e, err := New(s, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{I: is.New(t), ctx: t.Context(), engine: e, exits: make(chan int, 1)}
	e.OnCrash = func(code int) { f.exits <- code }
	server := httptest.NewServer(e.Handler())
	e.Start()
	transport := client.NewTransport()
	f.client = client.New(&http.Client{Transport: transport})
	f.address = server.Listener.Addr().String()
	t.Cleanup(func() {
		e.Close()
		transport.CloseIdleConnections()
		server.Close()
	})
	return f
}

func (f *fixture) create(input string) (*client.Stream, error) {
	r := api.CreateRequest{Model: testModel, Input: input, Metadata: map[string]string{api.MetadataAttempt: "a-1"}}
	return f.client.Create(f.ctx, testName, f.address, r)
}

// open starts a generation and returns its stream and its response id.
func (f *fixture) open(input string) (*client.Stream, string) {
	f.Helper()
	s, err := f.create(input)
	f.NoErr(err)
	created, err := s.Next()
	f.NoErr(err)
	return s, created.Response.ID
}

// accept starts generations in one command of the loop, so that they are all
// queued before the next step, and returns their response ids.
func (f *fixture) accept(requests ...api.CreateRequest) []string {
	f.Helper()
	var ids []string
	f.NoErr(f.engine.do(f.ctx, func() {
		for i := range requests {
			requests[i].Model = testModel
			st, failure := f.engine.accept(&requests[i])
			if failure == nil {
				ids = append(ids, st.id())
			}
		}
	}))
	f.Equal(len(ids), len(requests))
	return ids
}

func (f *fixture) resume(id string, after int64) *client.Stream {
	f.Helper()
	s, err := f.client.Resume(f.ctx, testName, f.address, id, after)
	f.NoErr(err)
	return s
}

// readAll reads the events of a stream until its end and closes it.
func (f *fixture) readAll(s *client.Stream) []api.Event {
	f.Helper()
	defer s.Close()
	var events []api.Event
	for {
		e, err := s.Next()
		if errors.Is(err, io.EOF) {
			return events
		}
		f.NoErr(err)
		events = append(events, e)
	}
}

// checkComplete checks the order, the ids and the number of events of a stream
// that was read from start to end.
func (f *fixture) checkComplete(events []api.Event, id, marker string, tokens int) {
	f.Helper()
	f.Equal(len(events), tokens+2)
	f.Equal(events[0].Type, api.EventCreated)
	for i, e := range events {
		f.Equal(e.SequenceNumber, int64(i))
	}
	for i, e := range events[1 : tokens+1] {
		f.Equal(e.ItemID, api.ItemID(id))
		f.Equal(e.Delta, fmt.Sprintf("%s|%s|%d ", id, marker, i))
	}
	f.True(events[tokens+1].Type.Terminal())
	f.Equal(events[tokens+1].Response.Usage.OutputTokens, tokens)
}

// Guards against events out of order, lost metadata and wrong usage.
func TestStreamHasCreatedDeltasAndTerminal(t *testing.T) {
	f := start(t, nil)
	s, err := f.create("#id=x #tokens=40")
	f.NoErr(err)
	events := f.readAll(s)
	f.checkComplete(events, events[0].Response.ID, "x", 40)
	f.Equal(events[0].Response.Metadata[api.MetadataAttempt], "a-1")
	f.Equal(events[41].Type, api.EventCompleted)
}

// Guards against an output longer than max_output_tokens, and against one that
// was cut off but is reported as completed.
func TestMaxOutputTokensEndsIncomplete(t *testing.T) {
	f := start(t, nil)
	ids := f.accept(api.CreateRequest{Input: "#tokens=40", MaxOutputTokens: 7})
	events := f.readAll(f.resume(ids[0], -1))
	f.checkComplete(events, ids[0], "", 7)
	f.Equal(events[8].Type, api.EventIncomplete)
	f.Equal(events[8].Response.IncompleteReason, api.ReasonMaxOutputTokens)
}

// Guards against a resumed stream that repeats or drops events, and against a
// resume after an event that does not exist or of an unknown response.
func TestResumeFromEveryPosition(t *testing.T) {
	f := start(t, nil)
	s, id := f.open("#tokens=30")
	f.readAll(s)
	whole := f.readAll(f.resume(id, -1))
	f.checkComplete(whole, id, "", 30)
	for after := range len(whole) {
		rest := f.readAll(f.resume(id, int64(after)))
		f.Equal(len(rest), len(whole)-after-1)
		f.True(len(rest) == 0 || cmp.Equal(rest, whole[after+1:]))
	}
	_, err := f.client.Resume(f.ctx, testName, f.address, id, int64(len(whole)))
	f.Equal(fault.From(err).Code, fault.SequenceOutOfRange)
	_, err = f.client.Resume(f.ctx, testName, f.address, "resp_other", 0)
	f.Equal(fault.From(err).Code, fault.UnknownResponse)
}

// Guards against a cancelled generation that keeps its batch slot, or whose
// reader receives no terminal event.
func TestCancelEndsTheStream(t *testing.T) {
	f := start(t, nil)
	s, id := f.open(endless)
	f.NoErr(f.client.Cancel(f.ctx, testName, f.address, id))
	events := f.readAll(s)
	f.Equal(events[len(events)-1].Response.Status, api.StatusCancelled)
	f.NoErr(f.client.Cancel(f.ctx, testName, f.address, id))
	c, err := f.engine.Counters(f.ctx)
	f.NoErr(err)
	f.Equal(c.Cancelled, int64(1))
	f.Equal(c.Running+c.Waiting, 0)
}

// Guards against a drain that ends running generations or accepts new ones.
func TestDrainFinishesTheOldAndRefusesTheNew(t *testing.T) {
	f := start(t, nil)
	s, id := f.open("#tokens=300")
	f.engine.SetFaults(Faults{Drain: true})
	_, err := f.create("#id=late")
	f.Equal(fault.From(err).Code, fault.EngineRefused)
	f.Equal(fault.From(err).Execution, api.NotRun)
	var refused *client.Refused
	f.True(errors.As(err, &refused))
	f.Equal(refused.Body.Code, api.CodeDraining)
	f.Equal(len(f.readAll(s)), 301)
	f.NoErr(f.engine.Drain(f.ctx))
	f.checkComplete(f.readAll(f.resume(id, -1)), id, "", 300)
}

// Guards against an order with an old fencing number that is applied although
// fencing numbers are honoured. Where they are ignored, the order has to be
// applied, so that tests can show the effect.
func TestFencing(t *testing.T) {
	for _, honour := range []bool{true, false} {
		t.Run(fmt.Sprint(honour), func(t *testing.T) {
			f := start(t, func(s *Settings) { s.HonourFencing = honour })
			newer := api.Order{Fencing: 7, Goal: api.Goal{Models: []string{testModel}}}
			_, err := f.client.Order(f.ctx, testName, f.address, newer)
			f.NoErr(err)
			_, err = f.client.Order(f.ctx, testName, f.address, api.Order{Fencing: 6, Goal: api.Goal{Models: []string{}}})
			state, stateErr := f.client.OrderState(f.ctx, testName, f.address)
			f.NoErr(stateErr)
			if !honour {
				f.NoErr(err)
				f.Equal(len(state.Loaded), 0)
				f.Equal(state.HighestFencing, int64(0))
				return
			}
			f.Equal(string(fault.From(err).Code), api.CodeStaleFencing)
			f.Equal(fault.From(err).Execution, api.NotRun)
			f.Equal(state.Loaded, []string{testModel})
		})
	}
}

// Guards against tokens that are lost or repeated by a preemption.
func TestPreemptionDeliversEachTokenOnce(t *testing.T) {
	f := start(t, func(s *Settings) { s.KVCapacityTokens = 512 })
	requests := make([]api.CreateRequest, 6)
	for i := range requests {
		requests[i] = api.CreateRequest{Input: fmt.Sprintf("#id=%d #tokens=200", i), Priority: i % 2}
	}
	for i, id := range f.accept(requests...) {
		f.checkComplete(f.readAll(f.resume(id, -1)), id, fmt.Sprint(i), 200)
	}
	c, err := f.engine.Counters(f.ctx)
	f.NoErr(err)
	f.True(c.Preempted > 0)
	f.Equal(c.Completed, int64(6))
	f.Equal(c.Tokens, int64(1200))
}

// Guards against events of another stream that a reader cannot distinguish from
// its own, because their item id was changed.
func TestCrossedEventsCarryTheirOwnItemID(t *testing.T) {
	f := start(t, nil)
	ids := f.accept(api.CreateRequest{Input: endless}, api.CreateRequest{Input: endless})
	f.engine.SetFaults(Faults{MisrouteEvents: true, StallStreams: true})
	victim, source := f.resume(ids[0], -1), f.resume(ids[1], -1)
	go func() {
		for {
			if _, err := source.Next(); err != nil {
				return
			}
		}
	}()
	f.engine.SetFaults(Faults{MisrouteEvents: true})
	for {
		e, err := victim.Next()
		f.NoErr(err)
		if e.ItemID == api.ItemID(ids[1]) {
			break
		}
	}
	f.NoErr(victim.Close())
	f.NoErr(source.Close())
}

// Guards against duplicated events that have a new sequence number.
func TestDuplicatedEventsRepeatTheirNumber(t *testing.T) {
	f := start(t, nil)
	f.engine.SetFaults(Faults{DuplicateEvents: true})
	s, err := f.create("#tokens=25")
	f.NoErr(err)
	events := f.readAll(s)
	f.Equal(len(events), 25+2+2)
	f.Equal(events[10], events[11])
}

// Guards against a client that reports an aborted connection as the end of the
// stream.
func TestCutStreamIsAnErrorAndCanBeResumed(t *testing.T) {
	f := start(t, nil)
	s, id := f.open(endless)
	f.engine.SetFaults(Faults{CutStreams: true})
	last := int64(0)
	for {
		e, err := s.Next()
		if err != nil {
			f.True(!errors.Is(err, io.EOF))
			f.Equal(fault.From(err).Execution, api.Unknown)
			break
		}
		last = e.SequenceNumber
	}
	next, err := f.resume(id, last).Next()
	f.NoErr(err)
	f.Equal(next.SequenceNumber, last+1)
}

// Guards against an engine that continues to serve after a crash marker.
func TestCrashMarkerEndsTheEngineAtTheFirstToken(t *testing.T) {
	f := start(t, nil)
	s, err := f.create("#crash")
	for err == nil {
		_, err = s.Next()
	}
	f.Equal(fault.From(err).Code, fault.EngineLost)
	f.Equal(fault.From(err).Execution, api.Unknown)
	f.Equal(<-f.exits, exitCrash)
	_, err = f.create("after")
	f.Equal(fault.From(err).Execution, api.Unknown)
}

// Guards against an error with execution not_run although the generation was
// accepted.
func TestRunsCounterAgreesWithExecution(t *testing.T) {
	tests := map[string]struct {
		faults    Faults
		model     string
		execution api.Execution
		runs      int
	}{
		"refused":            {Faults{Refuse: true}, testModel, api.NotRun, 0},
		"draining":           {Faults{Drain: true}, testModel, api.NotRun, 0},
		"model not loaded":   {Faults{}, "other", api.NotRun, 0},
		"error after accept": {Faults{ErrorAfterAccept: true}, testModel, api.Unknown, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := start(t, nil)
			f.engine.SetFaults(tt.faults)
			r := api.CreateRequest{Model: tt.model, Input: "#id=k #tokens=3"}
			_, err := f.client.Create(f.ctx, testName, f.address, r)
			f.Equal(fault.From(err).Execution, tt.execution)
			f.Equal(fault.From(err).Peer, testName)
			runs, err := f.engine.Runs(f.ctx)
			f.NoErr(err)
			f.Equal(runs["k"], tt.runs)
		})
	}
}

// Guards against a frozen engine that still responds. The request's context is
// already cancelled, so that the blocked request aborts instead of waiting.
func TestFreezeBlocksResponses(t *testing.T) {
	f := start(t, nil)
	f.engine.SetFaults(Faults{Freeze: true})
	ctx, cancel := context.WithCancel(f.ctx)
	cancel()
	defer func() { f.Equal(recover(), http.ErrAbortHandler) }()
	r := httptest.NewRequestWithContext(ctx, http.MethodGet, "/v1/load", nil)
	f.engine.Handler().ServeHTTP(httptest.NewRecorder(), r)
}

// Guards against an engine that stops loading a model after status 429 of the
// weight store, or reports it as loaded too early.
func TestLoadingRetriesAfterRateLimit(t *testing.T) {
	calls := make(chan struct{}, 2)
	weights := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- struct{}{}
		if len(calls) == 1 {
			w.Header().Set("Retry-After", "0")
			w.WriteHeader(http.StatusTooManyRequests)
		}
	}))
	defer weights.Close()
	f := start(t, func(s *Settings) { s.WeightsURL = weights.URL })
	order := api.Order{Fencing: 1, Goal: api.Goal{Models: []string{testModel, "borealis"}}}
	state, err := f.client.Order(f.ctx, testName, f.address, order)
	for len(state.Loading) > 0 {
		f.NoErr(err)
		state, err = f.client.OrderState(f.ctx, testName, f.address)
	}
	f.Equal(state.Loaded, order.Goal.Models)
	f.Equal(len(calls), 2)
}

// Guards against a hidden load report that clients read as an empty one.
func TestLoadReportCanBeHidden(t *testing.T) {
	f := start(t, nil)
	f.engine.SetFaults(Faults{HideReports: true})
	_, err := f.client.Load(f.ctx, testName, f.address)
	f.Equal(fault.From(err).Step, client.StepLoad)
}

// Guards against a shutdown that waits for open streams of load reports, and
// against readers that are not notified that the engine drains.
func TestLoadStreamEndsWithTheEngine(t *testing.T) {
	f := start(t, nil)
	for { // the first report is published shortly after the start
		if _, err := f.client.Load(f.ctx, testName, f.address); err == nil {
			break
		}
	}
	r, err := http.NewRequestWithContext(f.ctx, http.MethodGet, "http://"+f.address+"/v1/load?every=250ms", nil)
	f.NoErr(err)
	resp, err := http.DefaultClient.Do(r)
	f.NoErr(err)
	defer resp.Body.Close()
	f.NoErr(f.engine.Drain(f.ctx))
	text, err := io.ReadAll(resp.Body)
	f.NoErr(err)
	events := strings.Split(strings.TrimSpace(string(text)), "\n\n")
	f.True(strings.Contains(events[0], `"name":"`+testName+`"`))
	f.True(strings.Contains(events[len(events)-1], `"draining":true`))
	if len(events) > 1 {
		f.True(!strings.Contains(events[len(events)-1], "name")) // only changed fields
	}
}
