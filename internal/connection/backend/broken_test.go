package backend

import (
	"context"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"persimmonwing/internal/connection/responsecheck/responsechecktest"
)

// sendUpload sends a request with a large body and reads the response to its end.
func sendUpload(t *testing.T, p *Pool, address string, size int) (string, error) {
	t.Helper()
	r := request("a")
	r.Body = make([]byte, size)
	r.Header.Set("Content-Length", strconv.Itoa(size))
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	resp, err := p.Send(ctx, address, r)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

const unframedHead = "HTTP/1.1 200 OK\r\nId: a\r\n\r\n"

// Guards against a response without a length that is returned as complete although its connection was
// reset while the request was still being written.
func TestResetDuringUpload(t *testing.T) {
	const runs = 24
	for _, size := range []int{60 << 10, 600 << 10, 6 << 20} {
		for _, part := range []int{1, 20 << 10, 200 << 10} {
			t.Run(strconv.Itoa(size)+"/"+strconv.Itoa(part), func(t *testing.T) {
				t.Parallel()
				answer := responsechecktest.Always(unframedHead + strings.Repeat("x", part))
				address := responsechecktest.Serve(t, responsechecktest.Early(answer, responsechecktest.Reset))
				p := NewPool(nil)
				defer p.Close()
				complete := 0
				for range runs {
					if _, err := sendUpload(t, p, address, size); err == nil {
						complete++
					}
				}
				if complete > 0 {
					t.Errorf("%d of %d truncated responses are complete", complete, runs)
				}
			})
		}
	}
}

// Guards against a complete response that is lost because the server has not read the request's body.
func TestCompleteResponsesDuringUpload(t *testing.T) {
	body := strings.Repeat("x", 20<<10)
	unframed := responsechecktest.Always(unframedHead + body)
	framed := responsechecktest.Always("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
	for name, script := range map[string]responsechecktest.Script{
		"length, then a reset":              responsechecktest.Early(framed, responsechecktest.Reset),
		"length, then an end":               responsechecktest.Early(framed, responsechecktest.HalfClose),
		"no length, ends and reads on":      responsechecktest.Early(unframed, responsechecktest.HalfClose),
		"no length, ends and stops reading": responsechecktest.Early(unframed, responsechecktest.Stop),
		"length, after the upload":          responsechecktest.Late(framed),
		"no length, after the upload":       responsechecktest.Once(unframed),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := responsechecktest.Serve(t, script)
			p := NewPool(nil)
			defer p.Close()
			for range 8 {
				if got, err := sendUpload(t, p, address, 6<<20); err != nil || got != body {
					t.Errorf("got %d bytes, %v", len(got), err)
				}
			}
		})
	}
}
