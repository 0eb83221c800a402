package service_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/connection/bodies/bodiestest"
	"persimmonwing/internal/connection/service"
	"persimmonwing/internal/process/standin/app"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
)

func start(t *testing.T) (*app.Server, string) {
	s := app.DefaultSettings()
	s.DrainNotice = 0
	srv := app.New(s)
	h := httptest.NewServer(srv)
	t.Cleanup(h.Close)
	return srv, strings.TrimPrefix(h.URL, "http://")
}

func newClient(t *testing.T) *service.Client {
	tr := &http.Transport{}
	t.Cleanup(tr.CloseIdleConnections)
	return service.New(&http.Client{Transport: tr})
}

func post(call string) service.Request {
	return service.Request{
		Method: http.MethodPost,
		Path:   "/book",
		Header: http.Header{app.HeaderCallID: {call}, "Idempotency-Key": {call}},
		Body:   []byte("seat 4"),
	}
}

// Guards against a wrong execution state: not_run for a call that may have been executed, or unknown
// for a call that was certainly refused.
func TestExecutionOfFaults(t *testing.T) {
	cases := map[string]struct {
		faults    app.Faults
		execution api.Execution
		runs      int
	}{
		"reset before": {app.Faults{ResetBefore: 1}, api.Unknown, 0},
		"reset after":  {app.Faults{ResetAfter: 1}, api.Unknown, 1},
		"refusal":      {app.Faults{ErrorWithBody: 1}, api.NotRun, 0},
		"drain":        {app.Faults{Drain: true}, api.NotRun, 0},
		"timeout":      {app.Faults{DelayMS: 300}, api.Unknown, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			srv, addr := start(t)
			srv.SetFaults(c.faults)
			ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
			defer cancel()
			_, err := newClient(t).Do(ctx, "app-1", addr, post("c"))
			is.True(err != nil)
			f := fault.From(err)
			is.Equal(f.Execution, c.execution)
			is.Equal(f.Peer, "app-1")
			is.Equal(f.Step, "dispatch")
			is.Equal(srv.Runs()["c"], c.runs)
		})
	}
}

// Guards against an error status of the application that is treated as a failed call, which would let
// the call be executed again.
func TestErrorStatusIsAnAnswer(t *testing.T) {
	is := is.New(t)
	srv, addr := start(t)
	srv.SetFaults(app.Faults{ErrorWithoutBody: 1})
	c := newClient(t)
	resp, err := c.Do(t.Context(), "app-1", addr, post("c"))
	is.NoErr(err)
	is.Equal(resp.Status, http.StatusInternalServerError)
	is.Equal(srv.Runs()["c"], 1)
	report, err := c.Load(t.Context(), "app-1", addr)
	is.NoErr(err)
	is.Equal(report.Name, "app-1")
	is.True(report.Incarnation != "")
}

// Guards against unknown execution for a refused connection, which would prevent a safe retry at
// another server.
func TestRefusedDialDidNotRun(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := ln.Addr().String()
	is.NoErr(ln.Close())
	_, err = newClient(t).Do(t.Context(), "app-1", addr, post("c"))
	is.Equal(fault.From(err).Execution, api.NotRun)
}

// Guards against calls that net/http repeats without the client's knowledge. It does so if a reused
// connection breaks, for GET and for any call with an Idempotency-Key.
func TestNoSilentRepeatOnReusedConnection(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		for _, body := range []string{"", "seat 4"} {
			t.Run(method+body, func(t *testing.T) {
				is := is.New(t)
				var seen atomic.Int64
				h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					if r.URL.Path == "/warm" {
						return
					}
					seen.Add(1)
					panic(http.ErrAbortHandler)
				}))
				defer h.Close()
				addr := strings.TrimPrefix(h.URL, "http://")
				c := newClient(t)
				_, err := c.Do(t.Context(), "app-1", addr, service.Request{Method: method, Path: "/warm"})
				is.NoErr(err)
				r := post("c")
				r.Method, r.Body = method, []byte(body)
				_, err = c.Do(t.Context(), "app-1", addr, r)
				is.Equal(fault.From(err).Execution, api.Unknown)
				is.Equal(seen.Load(), int64(1))
			})
		}
	}
}

// Guards against hop-by-hop headers that are forwarded to the other side, and against a followed
// redirect, which would send the call twice.
func TestHopByHopHeadersAndRedirects(t *testing.T) {
	is := is.New(t)
	var got http.Header
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r.Header
		w.Header().Set("Keep-Alive", "timeout=5")
		w.Header().Set("X-Kept", "1")
		http.Redirect(w, r, "/again", http.StatusTemporaryRedirect)
	}))
	defer h.Close()
	r := post("c")
	r.Header.Set("Connection", "X-Private, close")
	r.Header.Set("X-Private", "1")
	r.Header.Set("Te", "trailers")
	resp, err := newClient(t).Do(t.Context(), "app-1", strings.TrimPrefix(h.URL, "http://"), r)
	is.NoErr(err)
	is.Equal(resp.Status, http.StatusTemporaryRedirect)
	is.Equal(got.Get("X-Private")+got.Get("Te")+resp.Header.Get("Keep-Alive"), "")
	is.Equal(resp.Header.Get("X-Kept")+got.Get("Idempotency-Key"), "1c")
}

// answerOnce starts a server that answers the first request on each connection with raw
// bytes and closes the connection. It returns its address.
func answerOnce(t *testing.T, raw func() string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, raw())
			}
			_ = c.Close()
		}
	}()
	return ln.Addr().String()
}

// Guards against a response whose head or body is cut at any byte and that is returned as
// whole.
func TestCutResponses(t *testing.T) {
	for _, whole := range []string{
		"HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 12\r\n\r\ntwelve bytes",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		is := is.New(t)
		var sent atomic.Int64
		addr := answerOnce(t, func() string { return whole[:sent.Load()] })
		c := newClient(t)
		for n := range len(whole) {
			sent.Store(int64(n))
			_, err := c.Do(t.Context(), "app-1", addr, post("c"))
			if err == nil {
				t.Errorf("a response cut to %q is whole", whole[:n])
				continue
			}
			is.True(fault.From(err).Execution != api.NotRun)
		}
		sent.Store(int64(len(whole)))
		_, err := c.Do(t.Context(), "app-1", addr, post("c"))
		is.NoErr(err)
	}
}

// Guards against a refusal that a faulty server writes once more on a kept connection and that
// is taken as the response to the next call, which the server runs.
func TestRepeatedRefusalIsNotTrusted(t *testing.T) {
	const refusal = `{"error":{"code":"draining","message":"m","execution":"not_run"}}`
	is := is.New(t)
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, rw, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		for n := 0; err == nil; n++ {
			if n > 0 {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Draining\r\nContent-Length: %d\r\n\r\n%s", len(refusal), refusal)
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown")
			if r, err = http.ReadRequest(rw.Reader); err == nil {
				_, err = io.Copy(io.Discard, r.Body)
			}
		}
	}))
	defer h.Close()
	c, addr := newClient(t), strings.TrimPrefix(h.URL, "http://")
	_, err := c.Do(t.Context(), "app-1", addr, post("a"))
	is.NoErr(err)
	_, err = c.Do(t.Context(), "app-1", addr, post("b"))
	is.Equal(fault.From(err).Execution, api.Unknown)
	for range 2 {
		r := post("c")
		r.NewConnection = true
		resp, err := c.Do(t.Context(), "app-1", addr, r)
		is.NoErr(err)
		is.Equal(string(resp.Body), "own")
	}
}

// Guards against responses without end, many at once, that fill the memory of the gateway and end the calls to other servers.
func TestMemoryOfResponsesWithoutEnd(t *testing.T) {
	const calls, limit = 100, 64 << 20
	is := is.New(t)
	chunk := make([]byte, 64<<10)
	endless := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	}))
	t.Cleanup(endless.Close)
	_, sound := start(t)
	c := newClient(t)
	var failed atomic.Int64
	grown := bodiestest.PeakHeap(func() {
		var work sync.WaitGroup
		for range calls {
			work.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				_, err := c.Do(ctx, "endless", strings.TrimPrefix(endless.URL, "http://"), post("endless"))
				if f := fault.From(err); err != nil && f.Execution == api.Ran && ctx.Err() == nil {
					failed.Add(1)
				}
			})
		}
		work.Wait()
	})
	t.Logf("%.1f MB more on the heap", float64(grown)/1e6)
	is.True(grown < limit)
	is.Equal(failed.Load(), int64(calls))
	response, err := c.Do(t.Context(), "app", sound, post("sound"))
	is.NoErr(err)
	is.Equal(response.Status, http.StatusOK)
}
