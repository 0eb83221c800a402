package backend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/connection/responsecheck/responsechecktest"
)

// sendUpload sends a request with a large body and reads the response to its end.
func sendUpload(t *testing.T, p *Pool, address string, bodyBytes int) (string, error) {
	t.Helper()
	r := request("a")
	r.Body = make([]byte, bodyBytes)
	r.Header.Set("Content-Length", strconv.Itoa(bodyBytes))
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

// unframedHead is the head of a response whose body ends with its connection.
const unframedHead = "HTTP/1.1 200 OK\r\nId: a\r\n\r\n"

// Guards against a response without a length that is returned as complete although its connection was
// reset while the request was still being written.
func TestResetDuringUpload(t *testing.T) {
	const runs = 24
	for _, bodyBytes := range []int{responsechecktest.UploadBytes / 100, responsechecktest.UploadBytes / 10, responsechecktest.UploadBytes} {
		for _, partBytes := range []int{1, 20 << 10, 200 << 10} {
			t.Run(strconv.Itoa(bodyBytes)+"/"+strconv.Itoa(partBytes), func(t *testing.T) {
				t.Parallel()
				answer := responsechecktest.Always(unframedHead + strings.Repeat("x", partBytes))
				address := responsechecktest.Serve(t, responsechecktest.Early(answer, responsechecktest.Reset))
				p := NewPool(nil)
				defer p.Close()
				complete := 0
				for range runs {
					if _, err := sendUpload(t, p, address, bodyBytes); err == nil {
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
	framed := responsechecktest.Always(response("a", body))
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
				if got, err := sendUpload(t, p, address, responsechecktest.UploadBytes); err != nil || got != body {
					t.Errorf("got %d bytes, %v", len(got), err)
				}
			}
		})
	}
}

// requireBroken sends a request to a server that answers raw, and requires an error of a request that may
// have run.
func requireBroken(t *testing.T, raw string) {
	t.Helper()
	address := responsechecktest.Serve(t, responsechecktest.Once(responsechecktest.Always(raw)))
	p := NewPool(nil)
	defer p.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	r := request("a")
	r.Accept = nil // a header that is not read does not hide the response
	resp, err := p.Send(ctx, address, r)
	if err == nil {
		body, err := io.ReadAll(resp)
		t.Errorf("got status %d, header %q, body %q, %v", resp.Status, resp.Header, body, err)
		resp.Close()
		return
	}
	if failed := new(SendError); !errors.As(err, &failed) || !failed.Sent {
		t.Errorf("a request with a broken response counts as not sent: %v", err)
	}
}

// Guards against a response with an invalid status that is returned, or skipped so that bytes after it are
// returned as the response.
func TestInvalidStatuses(t *testing.T) {
	for name, raw := range responsechecktest.InvalidStatuses("Id: a\r\n", response("a", "next")) {
		t.Run(name, func(t *testing.T) { requireBroken(t, raw) })
	}
}

// Guards against an invalid status after a skipped response to another request.
func TestInvalidStatusAfterAStrayResponse(t *testing.T) {
	for name, raw := range responsechecktest.InvalidStatuses("Id: a\r\n", response("a", "next")) {
		t.Run(name, func(t *testing.T) {
			address := responsechecktest.Serve(t, responsechecktest.Once(responsechecktest.Always(response("other", "stray")+raw)))
			p := NewPool(nil)
			defer p.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			if resp, err := p.Send(ctx, address, request("a")); err == nil {
				t.Errorf("got status %d, header %q", resp.Status, resp.Header)
				resp.Close()
			}
		})
	}
}

// Guards against statuses that count as invalid because few servers send them.
func TestRareStatuses(t *testing.T) {
	for _, status := range []int{200, 204, 299, 304, 399, 451, 499, 599, 600, 999} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			is := is.New(t)
			raw := "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nId: a\r\n\r\nHTTP/1.1 " + strconv.Itoa(status) + "\r\nId: a\r\nContent-Length: 0\r\n\r\n"
			address := responsechecktest.Serve(t, responsechecktest.Late(responsechecktest.Always(raw)))
			p := NewPool(nil)
			defer p.Close()
			for range 3 {
				resp, err := p.Send(t.Context(), address, request("a"))
				is.NoErr(err)
				is.Equal(resp.Status, status)
				_, err = io.Copy(io.Discard, resp)
				is.NoErr(err)
				resp.Close()
			}
		})
	}
}

// Guards against a response with a broken line in its head that is returned with that line, or with a body that is
// framed in another way than the server meant.
func TestInvalidNames(t *testing.T) {
	for _, status := range []string{"200 OK", "404 Not Found"} {
		for name, raw := range responsechecktest.InvalidNames(status, "Id: a\r\n", "own") {
			t.Run(status+", "+name, func(t *testing.T) { requireBroken(t, raw) })
		}
	}
}

// Guards against an invalid line that arrives in a part of its own. net/http ignores the error of a read that looks for the
// continuation of the line before it, so that the head would go on without the invalid one.
func TestInvalidNameInItsOwnPart(t *testing.T) {
	const partPause = 50 * time.Millisecond // long enough for the client to read one part after the other
	for name, parts := range map[string][]string{
		"after a line":    {"HTTP/1.1 200 OK\r\nId: a\r\n", "Na me: x\r\n", "Content-Length: 3\r\n\r\nown"},
		"in a folded one": {"HTTP/1.1 200 OK\r\nId: a\r\nLink: x\r\n ", ": y\r\n", "Content-Length: 3\r\n\r\nown"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := responsechecktest.Serve(t, func(c *net.TCPConn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				for _, part := range parts {
					_, _ = io.WriteString(c, part)
					time.Sleep(partPause)
				}
			})
			p := NewPool(nil)
			defer p.Close()
			_, err := p.Send(t.Context(), address, request("a"))
			is.True(err != nil)
		})
	}
}
