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
)

// Guards against a stream without a length that ends as if the engine had closed it cleanly although its
// connection was reset while the prompt was still being written.
func TestResetDuringUpload(t *testing.T) {
	const runs = 24
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	for _, size := range []int{60 << 10, 600 << 10, 6 << 20} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			t.Parallel()
			answer := responsechecktest.Always(head + createdEvent)
			address := responsechecktest.Serve(t, responsechecktest.Early(answer, responsechecktest.Reset))
			transport := NewTransport()
			defer transport.CloseIdleConnections()
			c := New(&http.Client{Transport: transport})
			complete := 0
			for range runs {
				if streamEnds(t, c, address, strings.Repeat("x", size)) {
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
