package serve

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
)

// Guards against a shutdown of a stand-in that closes a kept connection as idle although it has
// just read a request from it: the gateway can't tell whether the request ran.
func TestStandInAnswersKeptConnectionsDuringShutdown(t *testing.T) {
	const rounds, callers = 10, 100
	var sent, cut atomic.Int64
	for range rounds {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		reads := &readListener{Listener: listener}
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan error, 1)
		h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
		go func() { done <- Serve(ctx, log.NewNopLogger(), reads, h, func() {}) }()
		var wait sync.WaitGroup
		for range callers {
			c, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			wait.Go(func() {
				defer c.Close()
				answers := bufio.NewReader(c)
				for {
					before := reads.from(c)
					_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
					sent.Add(1)
					resp, err := http.ReadResponse(answers, nil)
					if err == nil {
						_, err = io.Copy(io.Discard, resp.Body)
					}
					if err == nil && !resp.Close {
						continue
					}
					time.Sleep(10 * time.Millisecond) // the counter may lag behind the close
					if err != nil && reads.from(c) > before {
						cut.Add(1)
					}
					return
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
		stop()
		wait.Wait()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	if n := cut.Load(); n > 0 {
		t.Errorf("%d of %d requests on kept connections were read and had no answer", n, sent.Load())
	}
}

// readListener counts the bytes that are read from each connection.
type readListener struct {
	net.Listener
	conns sync.Map // of *readConn, by the caller's address
}

type readConn struct {
	net.Conn
	read atomic.Int64
}

func (l *readListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	counted := &readConn{Conn: c}
	l.conns.Store(c.RemoteAddr().String(), counted)
	return counted, nil
}

func (c *readConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

func (l *readListener) from(c net.Conn) int64 {
	if counted, ok := l.conns.Load(c.LocalAddr().String()); ok {
		return counted.(*readConn).read.Load()
	}
	return 0
}
