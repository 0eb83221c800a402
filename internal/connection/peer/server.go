// Package peer provides net/rpc calls between gateways over TCP. Before the first call on a
// connection, both ends prove in a handshake that they know a shared secret.
package peer

import (
	"net"
	"net/rpc"
	"slices"
	"sync"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"
)

// maxHandshakes is the maximum number of connections whose handshake is in progress.
const maxHandshakes = 64

// Server serves RPC calls from peers to registered receivers.
type Server struct {
	secrets    *Secrets
	logger     log.Logger
	rpc        *rpc.Server
	traffic    Traffic
	handshakes chan struct{}

	mu       sync.Mutex
	closed   bool
	listener net.Listener
	conns    map[net.Conn]struct{}
	wait     sync.WaitGroup
}

// NewServer returns a server that accepts peers that know one of the secrets. None of them may be empty.
func NewServer(secrets *Secrets, logger log.Logger) (*Server, error) {
	if slices.ContainsFunc(secrets.list(), func(s []byte) bool { return len(s) == 0 }) {
		return nil, eris.New("peer secret is empty")
	}
	s := &Server{
		secrets:    secrets,
		logger:     logger,
		rpc:        rpc.NewServer(),
		handshakes: make(chan struct{}, maxHandshakes),
		conns:      map[net.Conn]struct{}{},
	}
	return s, s.Register(pingServiceName, pingService{})
}

// Register publishes the methods of receiver under the names name.Method.
func (s *Server) Register(name string, receiver any) error {
	return eris.Wrapf(s.rpc.RegisterName(name, receiver), "register %s", name)
}

// Traffic returns the server's byte counters.
func (s *Server) Traffic() *Traffic { return &s.traffic }

// Serve accepts connections on l until Close is called, and then returns nil.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return l.Close()
	}
	s.listener = l
	s.mu.Unlock()
	for {
		c, err := l.Accept()
		if s.isClosed() {
			if err == nil {
				_ = c.Close()
			}
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "accept peer")
		}
		s.admit(countedConn{c, &s.traffic})
	}
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// admit starts to serve a connection. It closes the connection if maxHandshakes others are still in
// their handshake.
func (s *Server) admit(c net.Conn) {
	select {
	case s.handshakes <- struct{}{}:
	default:
		_ = c.Close()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = c.Close()
		return
	}
	s.conns[c] = struct{}{}
	s.wait.Add(1)
	go s.serve(c)
}

func (s *Server) serve(c net.Conn) {
	defer s.wait.Done()
	defer s.closeConn(c)
	err := acceptHandshake(c, s.secrets.list())
	<-s.handshakes
	if err != nil {
		level.Warn(s.logger).Log("msg", "refused a peer connection", "remote", c.RemoteAddr(), "err", err)
		return
	}
	s.rpc.ServeCodec(NewServerCodec(c))
}

func (s *Server) closeConn(c net.Conn) {
	_ = c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Close stops accepting connections, closes the open ones and waits until the calls in progress
// have ended. Their replies are lost. Receivers must end their long calls before Close.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.wait.Wait()
}
