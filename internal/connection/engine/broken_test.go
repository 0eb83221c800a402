package engine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"persimmonwing/internal/connection/responsecheck/responsechecktest"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
)

// Guards against a stream without a length that ends as if the engine had closed it cleanly although its
// connection was reset while the prompt was still being written.
func TestResetDuringUpload(t *testing.T) {
	const runs = 24
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	for _, bodyBytes := range []int{responsechecktest.UploadBytes / 100, responsechecktest.UploadBytes / 10, responsechecktest.UploadBytes} {
		t.Run(strconv.Itoa(bodyBytes), func(t *testing.T) {
			t.Parallel()
			answer := responsechecktest.Always(head + createdEvent)
			address := responsechecktest.Serve(t, responsechecktest.Early(answer, responsechecktest.Reset))
			transport := NewTransport()
			defer transport.CloseIdleConnections()
			c := New(&http.Client{Transport: transport})
			complete := 0
			for range runs {
				if streamEnds(t, c, address, strings.Repeat("x", bodyBytes)) {
					complete++
				}
			}
			if complete > 0 {
				t.Errorf("%d of %d truncated streams ended cleanly", complete, runs)
			}
		})
	}
}

// streamEnds sends a prompt and reports whether its stream ends cleanly after at least one event.
func streamEnds(t *testing.T, c *Client, address, prompt string) bool {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	s, err := c.Create(ctx, "e1", address, api.CreateRequest{Input: prompt})
	if err != nil {
		return false
	}
	defer s.Close()
	for events := 0; ; events++ {
		if _, err := s.Next(); err != nil {
			return events > 0 && errors.Is(err, io.EOF)
		}
	}
}

// requireBroken requires an error for a stream, a control call and a report of load that are answered raw.
func requireBroken(t *testing.T, raw string) {
	t.Helper()
	address := responsechecktest.Serve(t, responsechecktest.Once(responsechecktest.Always(raw)))
	transport := NewTransport()
	defer transport.CloseIdleConnections()
	c := New(&http.Client{Transport: transport})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	s, err := c.Create(ctx, "e1", address, api.CreateRequest{})
	if err == nil {
		_, err = s.Next()
		s.Close()
		t.Errorf("a stream was returned, whose first event has the error %v", err)
	} else if fault.From(err).Execution == api.NotRun {
		t.Errorf("a generation that was sent counts as not run: %v", err)
	}
	if err := c.Cancel(ctx, "e1", address, "id"); err == nil {
		t.Error("a control call was answered")
	}
	if report, err := c.Load(ctx, "e1", address); err == nil {
		t.Errorf("a report of load was returned: %+v", report)
	}
	if s, err := c.Resume(ctx, "e1", address, "id", -1); err == nil {
		s.Close()
		t.Error("a resumed stream was returned")
	}
}

// eventStreamHeader is the header of a stream in a response.
const eventStreamHeader = "Content-Type: text/event-stream\r\n"

// Guards against a response with an invalid status that counts as a stream or as an answer to a control call.
func TestInvalidStatuses(t *testing.T) {
	for name, raw := range responsechecktest.InvalidStatuses(eventStreamHeader, responsechecktest.Whole(eventStreamHeader, completedEvent)) {
		t.Run(name, func(t *testing.T) { requireBroken(t, raw) })
	}
}

// Guards against a response with a broken line in its head that counts as a stream or as an answer to a control call.
func TestInvalidNames(t *testing.T) {
	for _, body := range []string{completedEvent, `{"name":"e1"}`} {
		header := ""
		if body == completedEvent {
			header = eventStreamHeader
		}
		for name, raw := range responsechecktest.InvalidNames("200 OK", header, body) {
			t.Run(name, func(t *testing.T) { requireBroken(t, raw) })
		}
	}
}
