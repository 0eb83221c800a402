package peer_test

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"persimmonwing/internal/connection/peer"
	"persimmonwing/internal/connection/peer/peertest"
)

type echo struct{ hold chan struct{} }

func (echo) Echo(in *string, out *string) error { *out = *in; return nil }

func (e echo) Hold(*struct{}, *struct{}) error { <-e.hold; return nil }

func start(t *testing.T, l net.Listener, secret string) (*peer.Server, echo) {
	t.Helper()
	return startWith(t, l, peer.NewSecrets([]byte(secret)))
}

func startWith(t *testing.T, l net.Listener, secrets *peer.Secrets) (*peer.Server, echo) {
	t.Helper()
	s, err := peer.NewServer(secrets, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	e := echo{make(chan struct{})}
	if err := s.Register("Echo", e); err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	return s, e
}

// Guards against a server that accepts calls from a client with another secret, and against a client
// that sends calls to a server with another secret.
func TestWrongSecretIsRefused(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s, _ := start(t, l, "right")
	defer s.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	for secret, want := range map[string]bool{"right": true, "wrong": false} {
		p := peer.NewPool(peer.NewSecrets([]byte(secret)), peer.DialTCP)
		in, out := "hello", ""
		err := p.Call(ctx, l.Addr().String(), "Echo.Echo", &in, &out)
		is.Equal(err == nil, want)
		is.Equal(out == "hello", want)
		p.Close()
	}
	is.True(s.Traffic().In() > 0 && s.Traffic().Out() > 0)
}

// Guards against a frozen peer that blocks callers past their deadline or a long call forever, and
// against a peer that stays unreachable after it responds again.
func TestFrozenPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := peertest.NewNetwork()
		s, e := start(t, n.Listen("b"), "x")
		p := peer.NewPool(peer.NewSecrets([]byte("x")), n.Dialer("a"))
		defer s.Close()
		defer close(e.hold)
		defer p.Close()
		call := func(d time.Duration, method string) (time.Duration, error) {
			ctx, cancel := context.WithTimeout(t.Context(), d)
			defer cancel()
			in, out, begin := "hello", "", time.Now()
			if method == "Echo.Hold" {
				err := p.Call(ctx, "b", method, &struct{}{}, &struct{}{})
				return time.Since(begin), err
			}
			err := p.Call(ctx, "b", method, &in, &out)
			return time.Since(begin), err
		}
		took, err := call(10*time.Second, "Echo.Hold")
		is.True(errors.Is(err, context.DeadlineExceeded)) // a long call to a healthy peer is not ended early
		is.Equal(took, 10*time.Second)
		n.Freeze("b")
		took, err = call(100*time.Millisecond, "Echo.Echo")
		is.True(errors.Is(err, peer.ErrUnavailable))
		is.Equal(took, 100*time.Millisecond)
		took, err = call(time.Minute, "Echo.Hold")
		is.True(errors.Is(err, peer.ErrUnavailable))
		is.True(took <= 3*time.Second) // ping interval, ping timeout, dial timeout
		time.Sleep(10 * time.Millisecond)
		_, _ = call(time.Minute, "Echo.Echo")
		took, err = call(time.Minute, "Echo.Echo")
		is.True(errors.Is(err, peer.ErrUnavailable))
		is.Equal(took, time.Duration(0)) // fails immediately during the back-off
		n.Thaw("b")
		time.Sleep(2 * time.Second)
		_, err = call(time.Second, "Echo.Echo")
		is.NoErr(err)
	})
}

// Guards against a call that fails after a peer has restarted, because it uses the closed connection
// to the previous process.
func TestRestartedPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := peertest.NewNetwork()
		p := peer.NewPool(peer.NewSecrets([]byte("x")), n.Dialer("a"))
		defer p.Close()
		for range 3 {
			s, _ := start(t, n.Listen("b"), "x")
			in, out := "hello", ""
			is.NoErr(p.Call(t.Context(), "b", "Echo.Echo", &in, &out))
			is.Equal(out, "hello")
			s.Close()
			synctest.Wait()
		}
	})
}

// Guards against calls of a wrong method on a connection with several methods, which are identified
// by numbers.
func TestMethodsOfOneConnection(t *testing.T) {
	is := is.New(t)
	n := peertest.NewNetwork()
	s, e := start(t, n.Listen("b"), "x")
	defer s.Close()
	close(e.hold)
	p := peer.NewPool(peer.NewSecrets([]byte("x")), n.Dialer("a"))
	defer p.Close()
	for range 3 {
		in, out := "hello", ""
		is.NoErr(p.Call(t.Context(), "b", "Echo.Echo", &in, &out))
		is.Equal(out, "hello")
		is.NoErr(p.Call(t.Context(), "b", "Echo.Hold", &struct{}{}, &struct{}{}))
		err := p.Call(t.Context(), "b", "Echo.None", &struct{}{}, &struct{}{})
		_, answered := errors.AsType[rpc.ServerError](err)
		is.True(answered) // an unknown method returns an error and the connection stays open
	}
}

// Guards against dialling peers from another source address than the configured one on a machine
// with several addresses, and against a source address from which a peer can't be reached.
func TestDialFromTheConfiguredHost(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	for listen, want := range map[string]string{"127.0.0.5:7": "127.0.0.5", "0.0.0.0:7": "127.0.0.1", "[::1]:7": "127.0.0.1"} {
		c, err := peer.DialFrom(listen)(t.Context(), l.Addr().String())
		is.NoErr(err)
		host, _, err := net.SplitHostPort(c.LocalAddr().String())
		is.NoErr(err)
		is.Equal(host, want)
		is.NoErr(c.Close())
	}
}

// Guards against calls that fail for up to half a second after a peer has restarted, because a dial
// failed while the peer was down and the back-off has not ended.
func TestRetryEndsTheBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := peertest.NewNetwork()
		p := peer.NewPool(peer.NewSecrets([]byte("x")), n.Dialer("a"))
		defer p.Close()
		in, out := "hello", ""
		is.True(p.Call(t.Context(), "b", "Echo.Echo", &in, &out) != nil)
		s, _ := start(t, n.Listen("b"), "x")
		defer s.Close()
		is.True(p.Call(t.Context(), "b", "Echo.Echo", &in, &out) != nil) // in back-off
		p.ResetBackoff("unknown")
		p.ResetBackoff("b")
		is.NoErr(p.Call(t.Context(), "b", "Echo.Echo", &in, &out))
	})
}
