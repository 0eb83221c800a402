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
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fakeServer runs a script for each connection and counts connections and requests.
type fakeServer struct {
	net.Listener
	conns, requests atomic.Int64
}

// serve starts a server that runs script for each connection.
func serve(t *testing.T, script func(s *fakeServer, c net.Conn, r *bufio.Reader)) *fakeServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeServer{Listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go func() {
				defer c.Close()
				script(s, c, bufio.NewReader(c))
			}()
		}
	}()
	return s
}

// readRequest reads a request and returns its id, or false at the end of the connection.
func (s *fakeServer) readRequest(r *bufio.Reader) (string, bool) {
	q, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return "", false
	}
	s.requests.Add(1)
	return q.Header.Get("Id"), true
}

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func request(id string) Request {
	return Request{
		Method: "POST", Target: "/a//b?x=%2F", Host: "h", Body: []byte("body"), MaxIdle: time.Second,
		Header: http.Header{"Id": {id}, "Content-Length": {"4"}},
		Accept: func(h http.Header) bool { return h.Get("Id") == id },
	}
}

func send(t *testing.T, p *Pool, s *fakeServer, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	resp, err := p.Send(ctx, s.Addr().String(), request(id))
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

// Guards against a response that is returned for another request, because a faulty server sends
// late or extra responses or surplus bytes on a reused connection.
func TestAnswersBelongToTheirRequests(t *testing.T) {
	for name, script := range map[string]func(s *fakeServer, c net.Conn, r *bufio.Reader){
		"good": func(s *fakeServer, c net.Conn, r *bufio.Reader) {
			for id, ok := s.readRequest(r); ok; id, ok = s.readRequest(r) {
				_, _ = io.WriteString(c, response(id, "for "+id))
			}
		},
		"extra answer at once": func(s *fakeServer, c net.Conn, r *bufio.Reader) {
			for id, ok := s.readRequest(r); ok; id, ok = s.readRequest(r) {
				_, _ = io.WriteString(c, response(id, "for "+id)+response(id, "again"))
			}
		},
		"extra answer before the next": func(s *fakeServer, c net.Conn, r *bufio.Reader) {
			last := ""
			for id, ok := s.readRequest(r); ok; id, ok = s.readRequest(r) {
				if last != "" {
					_, _ = io.WriteString(c, response(last, "late"))
				}
				_, _ = io.WriteString(c, response(id, "for "+id))
				last = id
			}
		},
		"surplus bytes": func(s *fakeServer, c net.Conn, r *bufio.Reader) {
			for id, ok := s.readRequest(r); ok; id, ok = s.readRequest(r) {
				_, _ = io.WriteString(c, response(id, "for "+id)+"HTTP/1.1 200")
			}
		},
		"closes after each": func(s *fakeServer, c net.Conn, r *bufio.Reader) {
			id, _ := s.readRequest(r)
			_, _ = io.WriteString(c, strings.Replace(response(id, "for "+id), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, script)
			p := NewPool(nil)
			defer p.Close()
			for i := range 5 {
				id := "r" + strconv.Itoa(i)
				body, err := send(t, p, s, id)
				if err != nil || body != "for "+id {
					t.Fatalf("request %s got %q, %v", id, body, err)
				}
				// Surplus bytes of a response may arrive a moment later.
				time.Sleep(2 * time.Millisecond)
			}
			if got := s.requests.Load(); got != 5 {
				t.Fatalf("%d requests arrived, 5 were sent", got)
			}
		})
	}
}

// Guards against a hidden repeat of a request after a reused connection broke, and against an
// error that reports a request as not sent although the server may have executed it.
func TestSendsOnce(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(s *fakeServer, c net.Conn, r *bufio.Reader) {
		id, _ := s.readRequest(r)
		_, _ = io.WriteString(c, response(id, "first"))
		_, _ = s.readRequest(r) // the second request gets no response
	})
	p := NewPool(nil)
	defer p.Close()
	_, err := send(t, p, s, "a")
	is.NoErr(err)
	_, err = send(t, p, s, "b")
	var failed *SendError
	is.True(errors.As(err, &failed))
	is.True(failed.Sent)
	is.Equal(s.requests.Load(), int64(2))
	is.Equal(s.conns.Load(), int64(1))
	s.Close()
	_, err = send(t, p, s, "c")
	is.True(errors.As(err, &failed))
	is.True(!failed.Sent)
}

// Guards against a truncated response that is returned as complete.
func TestCutAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		raw      string
		complete bool
	}{
		"length not reached":    {"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nhalf", false},
		"chunks without an end": {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false},
		"chunks, cut end":       {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n", false},
		"unframed":              {"HTTP/1.1 200 OK\r\nId: a\r\n\r\nhalf", true},
		"whole chunks":          {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(s *fakeServer, conn net.Conn, r *bufio.Reader) {
				_, _ = s.readRequest(r)
				_, _ = io.WriteString(conn, c.raw)
			})
			p := NewPool(nil)
			defer p.Close()
			body, err := send(t, p, s, "a")
			if (err == nil) != c.complete {
				t.Fatalf("got %q, %v", body, err)
			}
		})
	}
}

// Guards against a request that is sent with a changed target or body or with additional
// headers.
func TestRequestBytes(t *testing.T) {
	is := is.New(t)
	got := make(chan *http.Request, 1)
	s := serve(t, func(_ *fakeServer, c net.Conn, r *bufio.Reader) {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(q.Body)
		q.Body = io.NopCloser(strings.NewReader(string(body)))
		got <- q
		_, _ = io.WriteString(c, response("a", ""))
	})
	p := NewPool(nil)
	defer p.Close()
	_, err := send(t, p, s, "a")
	is.NoErr(err)
	q := <-got
	is.Equal(q.RequestURI, "/a//b?x=%2F")
	is.Equal(q.Host, "h")
	body, _ := io.ReadAll(q.Body)
	is.Equal(string(body), "body")
	is.Equal(len(q.Header["User-Agent"])+len(q.Header["Accept-Encoding"]), 0)
}

// Guards against reuse of a connection whose request the server did not read to its end. The
// server would read the next request as the rest of the body.
func TestEarlyAnswer(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(_ *fakeServer, c net.Conn, r *bufio.Reader) {
		if _, err := r.ReadString('\n'); err != nil {
			return
		}
		_, _ = io.WriteString(c, response("a", "early"))
		time.Sleep(50 * time.Millisecond)
		_, _ = io.Copy(io.Discard, r)
	})
	p := NewPool(nil)
	defer p.Close()
	for range 2 {
		r := request("a")
		r.Body = make([]byte, 8<<20)
		r.Header.Set("Content-Length", strconv.Itoa(len(r.Body)))
		resp, err := p.Send(context.Background(), s.Addr().String(), r)
		is.NoErr(err)
		body, err := io.ReadAll(resp)
		is.NoErr(err)
		is.Equal(string(body), "early")
		resp.Close()
	}
	is.Equal(s.conns.Load(), int64(2))
}

// Guards against a connection that stays open after the caller's context has ended, so that the
// server continues its work.
func TestContextEndsTheLink(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	s := serve(t, func(s *fakeServer, _ net.Conn, r *bufio.Reader) {
		_, _ = s.readRequest(r)
		_, _ = r.ReadByte()
		close(closed)
	})
	p := NewPool(nil)
	defer p.Close()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := p.Send(ctx, s.Addr().String(), request("a"))
	is.True(err != nil)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the connection stays open")
	}
}

// Guards against a second response to a request that is taken as the response to a later
// request with the same id.
func TestSameIDNeedsANewConnection(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(s *fakeServer, c net.Conn, r *bufio.Reader) {
		for n := 0; ; n++ {
			id, ok := s.readRequest(r)
			if !ok {
				return
			}
			body := "first answer"
			if n > 0 {
				body = "first answer again"
			}
			_, _ = io.WriteString(c, response(id, body))
		}
	})
	p := NewPool(nil)
	defer p.Close()
	for range 2 {
		r := request("a")
		r.ID = "a"
		resp, err := p.Send(t.Context(), s.Addr().String(), r)
		is.NoErr(err)
		body, err := io.ReadAll(resp)
		is.NoErr(err)
		is.Equal(string(body), "first answer")
		resp.Close()
	}
}

// Guards against a head that is cut at any byte and taken as whole, with a body that then
// looks complete.
func TestCutHeads(t *testing.T) {
	for name, head := range map[string]string{
		"length":       "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 12\r\n\r\n",
		"chunks":       "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n",
		"unframed":     "HTTP/1.1 200 OK\r\nId: a\r\nContent-Type: text/event-stream\r\n\r\n",
		"length first": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: a\r\n\r\n",
		"bare feeds":   "HTTP/1.1 200 OK\nId: a\nContent-Length: 0\n\n",
		"interim":      "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n",
		"folded":       "HTTP/1.1 200 OK\r\nId: a\r\nLink: x\r\n  y\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			cut := atomic.Int64{}
			s := serve(t, func(s *fakeServer, c net.Conn, r *bufio.Reader) {
				_, _ = s.readRequest(r)
				_, _ = io.WriteString(c, head[:cut.Load()])
			})
			p := NewPool(nil)
			defer p.Close()
			for n := range len(head) {
				cut.Store(int64(n))
				q := request("a")
				q.Accept = nil // a cut id does not hide the cut
				resp, err := p.Send(t.Context(), s.Addr().String(), q)
				if err == nil {
					resp.Close()
					t.Errorf("a head cut to %q is an answer", head[:n])
				}
				var failed *SendError
				if err != nil && (!errors.As(err, &failed) || !failed.Sent) {
					t.Errorf("a request with an answer cut to %q counts as not sent", head[:n])
				}
			}
		})
	}
}
