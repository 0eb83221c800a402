package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
)

const (
	createdEvent   = "event: response.created\ndata: {\"type\":\"response.created\",\"sequence_number\":0}\n\n"
	completedEvent = "event: response.completed\ndata: {\"type\":\"response.completed\",\"sequence_number\":1}\n\n"
)

// serve starts an HTTP server and returns a client and the server's address.
func serve(t *testing.T, h http.HandlerFunc) (*Client, string) {
	t.Helper()
	server := httptest.NewServer(h)
	transport := NewTransport()
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		server.Close()
	})
	return New(&http.Client{Transport: transport}), server.Listener.Addr().String()
}

func respondWith(status int, contentType, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", contentType)
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	}
}

func errorBody(code, execution string) string {
	return fmt.Sprintf(`{"error":{"code":%q,"message":"m","execution":%q}}`, code, execution)
}

// Guards against an error with execution not_run for a request that was sent, unless the
// engine's error body states it with a trusted status. Otherwise a request could run twice.
func TestCreateErrorsCarryTheExecution(t *testing.T) {
	reset := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	redirect := func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "http://127.0.0.1:1/", http.StatusTemporaryRedirect)
	}
	const json, events = "application/json", "text/event-stream"
	tests := map[string]struct {
		handler   http.HandlerFunc
		code      fault.Code
		execution api.Execution
	}{
		"refusal":            {respondWith(503, json, errorBody("draining", "not_run")), fault.EngineRefused, api.NotRun},
		"conflict":           {respondWith(409, json, errorBody("stale_fencing", "not_run")), "stale_fencing", api.NotRun},
		"refusal after run":  {respondWith(503, json, errorBody("overloaded", "ran")), fault.EngineRefused, api.Unknown},
		"503 without a body": {respondWith(503, json, ""), fault.EngineLost, api.Unknown},
		"503 from a proxy":   {respondWith(503, "text/html", "<html>busy"), fault.EngineLost, api.Unknown},
		"500 without a body": {respondWith(500, json, ""), fault.EngineLost, api.Unknown},
		"500 that claims":    {respondWith(500, json, errorBody("internal", "not_run")), fault.Internal, api.Unknown},
		"not a stream":       {respondWith(200, json, "{}"), fault.EngineProtocol, api.Unknown},
		"empty stream type":  {respondWith(200, "", createdEvent), fault.EngineProtocol, api.Unknown},
		"reset":              {reset, fault.EngineLost, api.Unknown},
		"redirect":           {redirect, fault.EngineProtocol, api.Unknown},
		"wrong status":       {respondWith(204, events, ""), fault.EngineProtocol, api.Unknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, address := serve(t, tt.handler)
			_, err := c.Create(t.Context(), "e1", address, api.CreateRequest{})
			var f *fault.Error
			is.True(errors.As(err, &f))
			is.Equal(f.Code, tt.code)
			is.Equal(f.Execution, tt.execution)
			is.Equal(f.Step, StepDispatch)
			is.Equal(f.Peer, "e1")
		})
	}
}

// Guards against a refused connection reported as unknown execution, which would prevent a
// retry at another engine.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	c := New(&http.Client{Transport: NewTransport()})
	_, err = c.Create(t.Context(), "e1", l.Addr().String(), api.CreateRequest{})
	is.Equal(fault.From(err).Code, fault.EngineLost)
	is.Equal(fault.From(err).Execution, api.NotRun)
}

// Guards against execution not_run for a call that was cancelled after the request was sent.
func TestTimeoutAfterSendingIsUnknown(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	c, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		cancel()
		<-r.Context().Done()
	})
	_, err := c.Create(ctx, "e1", address, api.CreateRequest{})
	is.Equal(fault.From(err).Code, fault.Cancelled)
	is.Equal(fault.From(err).Execution, api.Unknown)
}

// Guards against malformed or oversized events that end the stream as if it were complete.
func TestStreamErrors(t *testing.T) {
	tests := map[string]struct {
		body string
		code fault.Code
	}{
		"malformed JSON":  {"event: response.created\ndata: {\n\n", fault.EngineProtocol},
		"types differ":    {"event: response.failed\ndata: {\"type\":\"response.created\"}\n\n", fault.EngineProtocol},
		"no type":         {"data: {}\n\n", fault.EngineProtocol},
		"oversized event": {"data: " + strings.Repeat("x", maxEventBytes+1) + "\n\n", fault.EngineProtocol},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, address := serve(t, respondWith(200, "text/event-stream", tt.body))
			s, err := c.Create(t.Context(), "e1", address, api.CreateRequest{})
			is.NoErr(err)
			defer s.Close()
			_, err = s.Next()
			is.Equal(fault.From(err).Code, tt.code)
			is.Equal(fault.From(err).Step, StepStream)
			_, again := s.Next()
			is.Equal(again, err)
		})
	}
}

// Guards against a call of Next that stays blocked after another goroutine has closed the
// stream.
func TestCloseEndsABlockedNext(t *testing.T) {
	is := is.New(t)
	c, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		respondWith(200, "text/event-stream", createdEvent)(w, r)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	s, err := c.Create(t.Context(), "e1", address, api.CreateRequest{})
	is.NoErr(err)
	_, err = s.Next()
	is.NoErr(err)
	failed := make(chan error)
	go func() {
		_, err := s.Next()
		failed <- err
	}()
	is.NoErr(s.Close())
	is.Equal(fault.From(<-failed).Code, fault.Cancelled)
}

// Guards against events of an abandoned stream that are read as part of the next response on
// the same connection. The bytes may not have been sent yet, or may have been sent but not
// read.
func TestConnectionOfAnUnreadStreamIsNotReused(t *testing.T) {
	const delta = "event: response.output_text.delta\ndata: {\"type\":\"response.output_text.delta\"}\n\n"
	tests := map[string]func(w http.ResponseWriter, r *http.Request){
		"events to come": func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		},
		"events unread": func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprint(w, strings.Repeat(delta, 1<<20/len(delta))+completedEvent)
		},
	}
	for name, rest := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var mu sync.Mutex
			addresses := map[string]int{}
			c, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				addresses[r.RemoteAddr]++
				mu.Unlock()
				respondWith(200, "text/event-stream", createdEvent)(w, r)
				rest(w, r)
			})
			for range 4 {
				s, err := c.Create(t.Context(), "e1", address, api.CreateRequest{})
				is.NoErr(err)
				_, err = s.Next()
				is.NoErr(err)
				is.NoErr(s.Close())
			}
			mu.Lock()
			defer mu.Unlock()
			is.Equal(len(addresses), 4)
		})
	}
}

// Guards against a new connection for each stream although the previous one was read to its
// end.
func TestConnectionOfAReadStreamIsReused(t *testing.T) {
	is := is.New(t)
	addresses := map[string]int{}
	c, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		addresses[r.RemoteAddr]++
		respondWith(200, "text/event-stream", createdEvent+completedEvent)(w, r)
	})
	for range 4 {
		s, err := c.Create(t.Context(), "e1", address, api.CreateRequest{})
		is.NoErr(err)
		for err == nil {
			_, err = s.Next()
		}
		is.Equal(err, io.EOF)
		s.drain() // Close runs it in the background
	}
	is.Equal(len(addresses), 1)
}

// Guards against a response whose head or stream is cut at any byte and that has a terminal
// event, or is taken as one that states that nothing was run.
func TestCutResponses(t *testing.T) {
	const (
		head   = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
		events = createdEvent + completedEvent
		chunks = "Transfer-Encoding: chunked\r\n\r\n"
	)
	for name, whole := range map[string]string{
		"chunks":   fmt.Sprintf("%s%s%x\r\n%s", head, chunks, len(events), events),
		"unframed": head + "\r\n" + events,
		"interim":  "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "\r\n" + events,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var sent atomic.Int64
			c, address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, whole[:sent.Load()])
				_ = conn.Close()
			})
			for n := range len(whole) + 1 {
				sent.Store(int64(n))
				s, err := c.Create(t.Context(), "e1", address, api.CreateRequest{})
				if err != nil {
					is.True(fault.From(err).Execution != api.NotRun)
					continue
				}
				is.True(n >= strings.LastIndex(whole, createdEvent)-len("00\r\n")) // the head is whole
				terminal := false
				for err == nil {
					var e api.Event
					e, err = s.Next()
					terminal = terminal || e.Type.Terminal()
				}
				is.Equal(terminal, n == len(whole))
				is.NoErr(s.Close())
			}
		})
	}
}

// Guards against a refusal that a faulty engine writes once more on a kept connection and that is
// taken as the response to the next request, which the engine runs.
func TestRepeatedRefusalIsNotTrusted(t *testing.T) {
	for name, tt := range map[string]struct {
		attempt   string
		execution api.Execution
	}{
		"no attempt":      {"", api.Unknown},
		"earlier attempt": {"a1", api.Unknown},
		"own attempt":     {"a2", api.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := 0
			c, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
				if n++; n > 1 {
					body := fmt.Sprintf(`{"error":{"code":"draining","execution":"not_run","request_id":%q}}`, tt.attempt)
					respondWith(503, "application/json", body)(w, r)
					return
				}
				respondWith(200, "text/event-stream", createdEvent+completedEvent)(w, r)
			})
			s, err := c.Create(t.Context(), "e1", address, api.CreateRequest{})
			is.NoErr(err)
			for err == nil {
				_, err = s.Next()
			}
			s.drain() // so that its connection is kept
			_, err = c.Create(t.Context(), "e1", address, api.CreateRequest{Metadata: map[string]string{api.MetadataAttempt: "a2"}})
			is.Equal(fault.From(err).Code, fault.EngineRefused)
			is.Equal(fault.From(err).Execution, tt.execution)
		})
	}
}
