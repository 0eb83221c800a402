package backend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"persimmonwing/internal/connection/bodies/bodiestest"
)

// endlessHeads are the beginnings of responses whose head has no end, and what follows
// them without end.
var endlessHeads = map[string]struct{ begin, rest string }{
	"bytes that are no response":  {"", strings.Repeat("x", 512)},
	"status line":                 {"HTTP/1.1 200 ", strings.Repeat("O", 512)},
	"header lines":                {"HTTP/1.1 200 OK\r\n", "A: " + strings.Repeat("b", 500) + "\r\n"},
	"header value":                {"HTTP/1.1 200 OK\r\nA: ", strings.Repeat("b", 512)},
	"continued header line":       {"HTTP/1.1 200 OK\r\nA: b\r\n", " " + strings.Repeat("b", 500) + "\r\n"},
	"interim responses":           {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	"responses of other requests": {"", response("other", strings.Repeat("b", 400))},
}

// serveEndless starts a server that answers each request with begin and then with rest
// until the connection is closed. It counts the bytes that it wrote.
func serveEndless(t *testing.T, begin, rest string) (address string, written func() int) {
	var mu sync.Mutex
	total := 0
	s := serve(t, func(s *fakeServer, c net.Conn, r *bufio.Reader) {
		if _, ok := s.readRequest(r); !ok {
			return
		}
		// The bytes are allocated once, so that the server's garbage does not count in tests
		// that measure memory.
		first, next := []byte(begin), []byte(rest)
		for part := first; ; part = next {
			n, err := c.Write(part)
			mu.Lock()
			total += n
			mu.Unlock()
			if err != nil {
				return
			}
		}
	})
	return s.Addr().String(), func() int {
		mu.Lock()
		defer mu.Unlock()
		return total
	}
}

// Guards against a response head without end, which is read until the process has no
// memory left: one such server filled 300 to 540 MB in 3 s for a single request.
func TestHeadsWithoutEnd(t *testing.T) {
	for name, c := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			address, _ := serveEndless(t, c.begin, c.rest)
			p := NewPool(nil)
			defer p.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			started := time.Now()
			_, err := p.Send(ctx, address, request("a"))
			var failed *SendError
			if !errors.As(err, &failed) || !failed.Sent {
				t.Fatalf("got %v, want the error of a request that may have run", err)
			}
			if ctx.Err() != nil {
				t.Fatalf("the response was read for %v", time.Since(started))
			}
		})
	}
}

// Guards against servers that together fill the memory of a gateway with heads without
// end: 200 such responses at once may take 8 MB.
func TestMemoryOfHeadsWithoutEnd(t *testing.T) {
	const connections, limit = 200, 8 << 20
	var addresses []string
	for _, c := range endlessHeads {
		address, _ := serveEndless(t, c.begin, c.rest)
		addresses = append(addresses, address)
	}
	p := NewPool(nil)
	defer p.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	grown := bodiestest.PeakHeap(func() {
		var wait sync.WaitGroup
		for i := range connections {
			wait.Go(func() {
				if _, err := p.Send(ctx, addresses[i%len(addresses)], request("a")); err == nil {
					t.Error("a head without end was accepted")
				}
			})
		}
		wait.Wait()
	})
	if grown > limit {
		t.Errorf("%d connections took %.1f MB", connections, float64(grown)/1e6)
	}
	if ctx.Err() != nil {
		t.Error("a head was read until the caller's deadline")
	}
}

// Guards against a late copy of a response to a control call, which has no id, as the
// response to a request on the same connection.
func TestControlCallsHaveTheirOwnConnections(t *testing.T) {
	s := serve(t, func(s *fakeServer, c net.Conn, r *bufio.Reader) {
		late := ""
		for id, ok := s.readRequest(r); ok; id, ok = s.readRequest(r) {
			if id == "" { // a control call; its response comes again before the next one
				_, _ = io.WriteString(c, late+response("", "report"))
				late = response("", "report")
				continue
			}
			_, _ = io.WriteString(c, late+response(id, "for "+id))
		}
	})
	p := NewPool(nil)
	defer p.Close()
	for i := range 4 {
		control := Request{Method: "GET", Target: "/report", Host: "h", Header: map[string][]string{}, MaxIdle: time.Second, Control: true}
		a, err := p.Send(context.Background(), s.Addr().String(), control)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, a)
		a.Close()
		r := request("r")
		r.Accept = nil
		b, err := p.Send(context.Background(), s.Addr().String(), r)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(b)
		b.Close()
		if err != nil || string(body) != "for r" {
			t.Fatalf("request %d got %q, %v", i, body, err)
		}
	}
}
