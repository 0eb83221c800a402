package daemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a stop that closes a connection as idle although the server has read the first
// part of a request from it.
func TestDrainServesRequestWhoseHeadHasBegun(t *testing.T) {
	for _, kept := range []bool{true, false} {
		name := map[bool]string{true: "kept connection", false: "new connection"}[kept]
		t.Run(name, func(t *testing.T) {
			var connections Connections
			s := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/first" {
					w.Header().Set("Connection", "close")
				}
			})}
			connections.Track(s)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go func() { _ = connections.Serve(s, l) }()
			defer s.Close()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(5 * time.Second))
			answers := bufio.NewReader(c)
			if kept {
				_, _ = io.WriteString(c, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
				if _, err := http.ReadResponse(answers, nil); err != nil {
					t.Fatal(err)
				}
			}
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nLong: "+strings.Repeat("x", 5000))
			time.Sleep(50 * time.Millisecond) // until the server has read it
			if !kept {
				time.Sleep(newConnectionTimeout - 100*time.Millisecond)
			}
			go connections.Drain(context.Background())
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(c, "\r\n\r\n")
			if _, err := http.ReadResponse(answers, nil); err != nil {
				t.Errorf("no answer: %v", err)
			}
		})
	}
}
