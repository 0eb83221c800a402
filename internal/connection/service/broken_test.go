package service_test

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"persimmonwing/internal/connection/engine"
	"persimmonwing/internal/connection/responsecheck/responsechecktest"
	"persimmonwing/internal/connection/service"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
)

// upload sends a call with a large body as a gateway does.
func upload(t *testing.T, c *service.Client, address string, bodyBytes int) (service.Response, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	r := post("c")
	r.Body = make([]byte, bodyBytes)
	return c.Do(ctx, "app-1", address, r)
}

// gatewayClient returns a client with the transport that gateways use.
func gatewayClient(t *testing.T) *service.Client {
	transport := engine.NewTransport()
	t.Cleanup(transport.CloseIdleConnections)
	return service.New(&http.Client{Transport: transport})
}

// Guards against a response without a length that is returned as complete although its connection was
// reset while the call was still being written.
func TestResetDuringUpload(t *testing.T) {
	const runs = 24
	for _, bodyBytes := range []int{responsechecktest.UploadBytes / 100, responsechecktest.UploadBytes / 10, responsechecktest.UploadBytes} {
		for _, partBytes := range []int{1, 200 << 10} {
			t.Run(strconv.Itoa(bodyBytes)+"/"+strconv.Itoa(partBytes), func(t *testing.T) {
				t.Parallel()
				answer := responsechecktest.Always("HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", partBytes))
				address := responsechecktest.Serve(t, responsechecktest.Early(answer, responsechecktest.Reset))
				c := gatewayClient(t)
				complete := 0
				for range runs {
					_, err := upload(t, c, address, bodyBytes)
					if err == nil {
						complete++
					} else if fault.From(err).Execution == api.NotRun {
						t.Errorf("a call that was sent counts as not run: %v", err)
					}
				}
				if complete > 0 {
					t.Errorf("%d of %d truncated responses are complete", complete, runs)
				}
			})
		}
	}
}

// Guards against a complete response that is lost because the server has not read the call's body.
func TestCompleteResponsesDuringUpload(t *testing.T) {
	body := strings.Repeat("x", 20<<10)
	unframed := responsechecktest.Always("HTTP/1.1 200 OK\r\n\r\n" + body)
	framed := responsechecktest.Always(responsechecktest.Whole("", body))
	for name, script := range map[string]responsechecktest.Script{
		"length, then an end":          responsechecktest.Early(framed, responsechecktest.HalfClose),
		"no length, ends and reads on": responsechecktest.Early(unframed, responsechecktest.HalfClose),
		"length, after the upload":     responsechecktest.Late(framed),
		"no length, after the upload":  responsechecktest.Once(unframed),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := responsechecktest.Serve(t, script)
			c := gatewayClient(t)
			for range 8 {
				if r, err := upload(t, c, address, responsechecktest.UploadBytes); err != nil || string(r.Body) != body {
					t.Errorf("got %d bytes, %v", len(r.Body), err)
				}
			}
		})
	}
}

// requireBroken sends a call to a server that answers raw, on a new connection and on a kept one, and requires
// an error of a call that may have run.
func requireBroken(t *testing.T, raw string) {
	t.Helper()
	address := responsechecktest.Serve(t, responsechecktest.Late(func(r *http.Request) string {
		if r.URL.Path == "/sound" {
			return responsechecktest.Whole("", "sound")
		}
		return raw
	}))
	c := gatewayClient(t)
	for _, kept := range []bool{false, true} {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if kept {
			r := post("c")
			r.Path = "/sound"
			if _, err := c.Do(ctx, "app-1", address, r); err != nil {
				t.Fatal(err)
			}
		}
		r, err := c.Do(ctx, "app-1", address, post("c"))
		switch {
		case err == nil:
			t.Errorf("kept %v: got status %d, header %q, body %q", kept, r.Status, r.Header, r.Body)
		case fault.From(err).Execution == api.NotRun:
			t.Errorf("kept %v: a call that was sent counts as not run: %v", kept, err)
		}
	}
}

// Guards against a response with an invalid status that is returned.
func TestInvalidStatuses(t *testing.T) {
	for name, raw := range responsechecktest.InvalidStatuses("", responsechecktest.Whole("", "next")) {
		t.Run(name, func(t *testing.T) { requireBroken(t, raw) })
	}
}

// Guards against a response with a broken line in its head that is returned with that line, or with a body that is
// framed in another way than the server meant.
func TestInvalidNames(t *testing.T) {
	for _, status := range []string{"200 OK", "404 Not Found"} {
		for name, raw := range responsechecktest.InvalidNames(status, "Name: value\r\n", "own") {
			t.Run(status+", "+name, func(t *testing.T) {
				t.Parallel()
				requireBroken(t, raw)
			})
		}
	}
}
