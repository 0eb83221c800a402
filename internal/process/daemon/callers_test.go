package daemon

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"persimmonwing/internal/process/admission"
)

// startBounded serves requests under a budget and returns the server's address. Handled is called with the path of
// each request whose body is whole.
func startBounded(t *testing.T, l admission.Limits, handled func(path string)) string {
	t.Helper()
	connections := &Connections{Budget: admission.NewBudget(l)}
	s := &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := ReadBody(context.Background(), w, r, BodyBounds{Bytes: 1 << 20, Time: 10 * time.Second, BytesPerSecond: 1, Copies: 1})
		switch {
		case errors.Is(err, admission.ErrFull), errors.Is(err, admission.ErrDisplaced):
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		handled(r.URL.Path)
		time.Sleep(time.Millisecond) // others may need room meanwhile
	})}
	connections.Track(s)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = connections.Serve(s, listener) }()
	t.Cleanup(func() {
		_ = s.Close()
		for range 200 {
			if u := connections.Budget.Usage(); u.Connections == 0 && u.Bytes == 0 && u.Bodies == 0 {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Errorf("not released: %+v", connections.Budget.Usage())
	})
	return listener.Addr().String()
}

// Guards against a request that was read whole and gets no answer because its connection was told to give way while
// the last bytes arrived: idle connections, heads and bodies that pause for about as long as that takes.
func TestWholeRequestsAreAnsweredInACrowd(t *testing.T) {
	const callers, requests = 24, 4
	var mu sync.Mutex
	handled, answered := map[string]bool{}, map[string]int{}
	address := startBounded(t, admission.Limits{Bytes: 600 << 10, Connections: callers / 2}, func(path string) {
		mu.Lock()
		defer mu.Unlock()
		handled[path] = true
	})
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() {
			c, in := net.Conn(nil), (*bufio.Reader)(nil)
			for n := range requests {
				if c == nil {
					var err error
					if c, err = net.Dial("tcp", address); err != nil {
						return
					}
					_ = c.SetDeadline(time.Now().Add(30 * time.Second))
					in = bufio.NewReader(c)
				}
				path := fmt.Sprintf("/%d/%d", i, n)
				text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n%s", path, strings.Repeat("x", 60000))
				cut := []int{0, 20, 30000, len(text) - 1}[(i+n)%4]
				_, _ = io.WriteString(c, text[:cut])
				time.Sleep(time.Duration(240+i) * time.Millisecond)
				_, _ = io.WriteString(c, text[cut:]) // fails on a connection that gave way
				resp, err := http.ReadResponse(in, nil)
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
					mu.Lock()
					answered[path] = resp.StatusCode
					mu.Unlock()
				}
				if err != nil || resp.Close {
					_ = c.Close()
					c = nil
				}
			}
			if c != nil {
				_ = c.Close()
			}
		})
	}
	all.Wait()
	refused := 0
	for path := range handled {
		if answered[path] != http.StatusOK {
			t.Errorf("%s ran and was answered with %d", path, answered[path])
		}
	}
	for path, status := range answered {
		if status != http.StatusOK {
			refused++
		}
		if status == http.StatusOK != handled[path] {
			t.Errorf("%s: status %d, ran: %v", path, status, handled[path])
		}
	}
	t.Logf("%d of %d ran, %d were refused, %d had no answer", len(handled), callers*requests, refused, callers*requests-len(answered))
	if len(handled) == 0 || len(handled) == callers*requests {
		t.Error("the crowd did not need each other's room")
	}
}

// Guards against a new caller that waits while others keep connections open without a use, and against an
// ordinary caller's kept connection that is closed before a half head.
func TestConnectionsGiveWayToNewOnes(t *testing.T) {
	address := startBounded(t, admission.Limits{Bytes: 1 << 20, Connections: 4}, func(string) {})
	dial := func(send string) (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		_, _ = io.WriteString(c, send)
		return c, bufio.NewReader(c)
	}
	serve := func(c net.Conn, in *bufio.Reader) {
		t.Helper()
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("%v, %v", resp, err)
		}
	}
	kept, keptIn := dial("")
	serve(kept, keptIn)
	var halves []*bufio.Reader
	for range 3 {
		_, in := dial("GET / HTTP/1.1\r\nHost: h\r\n")
		halves = append(halves, in)
	}
	for range 3 {
		serve(dial(""))
	}
	for _, in := range halves {
		if _, err := in.ReadByte(); err == nil || strings.Contains(err.Error(), "timeout") {
			t.Errorf("a half head keeps its connection: %v", err)
		}
	}
	serve(kept, keptIn)
}
