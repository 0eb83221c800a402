package peer_test

import (
	"fmt"
	"net"
	"testing"

	"github.com/matryer/is"

	"persimmonwing/internal/connection/peer"
)

// Guards against gateways that can't call each other because the store has lost their secret and those that started since have
// agreed on another one.
func TestPeersWithSeveralSecrets(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s, _ := start(t, l, "old")
	defer s.Close()
	call := func(secrets *peer.Secrets) error {
		p := peer.NewPool(secrets, peer.DialTCP)
		defer p.Close()
		in, out := "hello", ""
		return p.Call(t.Context(), l.Addr().String(), "Echo.Echo", &in, &out)
	}
	both := peer.NewSecrets([]byte("old"))
	is.True(both.Add([]byte("new")))
	is.NoErr(call(both)) // the peer does not know the newest secret
	is.True(call(peer.NewSecrets([]byte("new"))) != nil)
	is.Equal(both.Newest(), []byte("new"))
	is.True(!both.Add([]byte("old")))
	for i := range 10 {
		both.Add(fmt.Append(nil, "later ", i))
	}
	is.True(call(both) != nil) // the oldest secrets are forgotten
}

// Guards against a server that does not accept a peer that knows only the newer secret.
func TestServerWithSeveralSecrets(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	secrets := peer.NewSecrets([]byte("old"))
	s, _ := startWith(t, l, secrets)
	defer s.Close()
	for round, want := range []bool{false, true} {
		p := peer.NewPool(peer.NewSecrets([]byte("new")), peer.DialTCP)
		in, out := "hello", ""
		err := p.Call(t.Context(), l.Addr().String(), "Echo.Echo", &in, &out)
		is.Equal(err == nil, want)
		p.Close()
		is.Equal(secrets.Add([]byte("new")), round == 0)
	}
}
