package partition

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
)

// testTimeout bounds reads that would otherwise block a test.
const testTimeout = 10 * time.Second

// silencePeriod is the time for which a test checks that a dropped link delivers nothing.
const silencePeriod = 50 * time.Millisecond

// startEcho starts a server that echoes each connection's bytes and returns its address.
func startEcho(t *testing.T) string {
	l := listen(t)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// startForwarder starts a forwarder to an echo server named b, and returns the forwarder
// and the address on which it listens.
func startForwarder(t *testing.T, callers map[string]string) (*Forwarder, string) {
	f := NewForwarder(callers, log.NewNopLogger())
	l := listen(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Serve(Route{To: "b", Target: startEcho(t)}, l)
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
		f.Close()
	})
	return f, l.Addr().String()
}

func dial(t *testing.T, host, address string) net.Conn {
	c, err := tryDial(t, host, address)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func tryDial(t *testing.T, host, address string) (net.Conn, error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
	c, err := d.DialContext(t.Context(), "tcp", address)
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { _ = c.Close() })
	return c, c.SetDeadline(time.Now().Add(testTimeout))
}

// roundTrip sends a byte and returns an error if none comes back within the time.
func roundTrip(c net.Conn, within time.Duration) error {
	_, _ = c.Write([]byte("x"))
	_ = c.SetReadDeadline(time.Now().Add(within))
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

// Guards against a cut that lets bytes through, loses them for good, or applies to the
// links of other callers.
func TestDroppedLinkDeliversAfterHealing(t *testing.T) {
	is := is.New(t)
	f, address := startForwarder(t, map[string]string{"127.0.0.2": "a", "127.0.0.3": "c"})
	a, c := dial(t, "127.0.0.2", address), dial(t, "127.0.0.3", address)
	is.NoErr(roundTrip(a, testTimeout))
	f.Set("one", Cut{Kind: Drop, A: []string{"b"}, B: []string{"a"}})
	late := dial(t, "127.0.0.2", address)
	is.True(roundTrip(a, silencePeriod) != nil)
	is.True(roundTrip(late, silencePeriod) != nil)
	is.NoErr(roundTrip(c, testTimeout))
	f.Set("two", Cut{Kind: Drop, A: []string{"a", "c"}, B: []string{"b"}})
	f.Set("one", Cut{})
	is.True(roundTrip(a, silencePeriod) != nil) // the second cut still covers it
	f.Set("two", Cut{})
	for _, conn := range []net.Conn{a, late} {
		_ = conn.(*net.TCPConn).CloseWrite()
		_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
		body, err := io.ReadAll(conn)
		is.NoErr(err)
		is.True(len(body) >= 1) // what was sent during the cut has been echoed
	}
}

// Guards against a reset link that stays open or accepts new connections, and against
// an unknown caller that bypasses every cut.
func TestResetLinkAndUnknownCaller(t *testing.T) {
	is := is.New(t)
	f, address := startForwarder(t, map[string]string{"127.0.0.2": "a"})
	a := dial(t, "127.0.0.2", address)
	is.NoErr(roundTrip(a, testTimeout))
	f.Set("cut", Cut{Kind: Reset, A: []string{"a"}, B: []string{"b"}})
	_, err := a.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ECONNRESET))
	// The reset may come before or after the dial has returned.
	late, err := tryDial(t, "127.0.0.2", address)
	is.True(err != nil || roundTrip(late, testTimeout) != nil)
	f.Set("cut", Cut{})
	is.NoErr(roundTrip(dial(t, "127.0.0.2", address), testTimeout))
	is.True(roundTrip(dial(t, "127.0.0.4", address), testTimeout) != nil)
}

// Guards against a misspelt kind that is accepted but cuts nothing.
func TestControlRefusesUnknownKinds(t *testing.T) {
	is := is.New(t)
	f := NewForwarder(nil, log.NewNopLogger())
	for body, want := range map[string]int{`{"kind":"drop","a":["x"],"b":["y"]}`: http.StatusOK, `{"kind":"lose"}`: http.StatusBadRequest, `{}`: http.StatusOK} {
		w := httptest.NewRecorder()
		r, err := http.NewRequestWithContext(context.Background(), http.MethodPut, "/cuts/n", strings.NewReader(body))
		is.NoErr(err)
		f.handler().ServeHTTP(w, r)
		is.Equal(w.Code, want)
	}
}

// Guards against a cut in one direction that also holds requests back, or that loses
// the responses sent during the cut.
func TestAnswersAreHeldBack(t *testing.T) {
	is := is.New(t)
	f, address := startForwarder(t, map[string]string{"127.0.0.1": "a"})
	c := dial(t, "127.0.0.1", address)
	f.Set("cut", Cut{Kind: HoldResponses, A: []string{"a"}, B: []string{"b"}})
	_, err := c.Write([]byte("x"))
	is.NoErr(err)
	_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	_, err = c.Read(make([]byte, 1))
	is.True(err != nil)
	f.Set("cut", Cut{})
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	_, err = c.Read(make([]byte, 1))
	is.NoErr(err)
}

// Guards against a delay that breaks the connection or is not applied.
func TestDelay(t *testing.T) {
	is := is.New(t)
	f, address := startForwarder(t, map[string]string{"127.0.0.1": "a"})
	c := dial(t, "127.0.0.1", address)
	f.Set("slow", Cut{Kind: Delay, A: []string{"a"}, B: []string{"b"}})
	began := time.Now()
	_, err := c.Write([]byte("x"))
	is.NoErr(err)
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	_, err = c.Read(make([]byte, 1))
	is.NoErr(err)
	is.True(time.Since(began) >= 2*linkDelay) // there and back
}
