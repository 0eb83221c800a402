// Package peer carries net/rpc calls between gateways over TCP. Both ends
// prove that they know a shared secret before the first call.
package peer

import (
	"net"
	"net/rpc"
	"sync"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"
)

// maxHandshakes bounds the connections that have not proved the secret yet.
const maxHandshakes = 64

// Server serves registered receivers to peers.
type Server struct {
	secret     []byte
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

// NewServer returns a server that admits peers that know the secret.
func NewServer(secret []byte, logger log.Logger) (*Server, error) {
	if len(secret) == 0 {
		return nil, eris.New("peer secret is empty")
	}
	s := &Server{
		secret:     secret,
		logger:     logger,
		rpc:        rpc.NewServer(),
		handshakes: make(chan struct{}, maxHandshakes),
		conns:      map[net.Conn]struct{}{},
	}
	return s, s.Register(pingName, pingService{})
}

// Register makes the methods of receiver callable as name.Method.
func (s *Server) Register(name string, receiver any) error {
	return eris.Wrapf(s.rpc.RegisterName(name, receiver), "register %s", name)
}

// Traffic returns the server's byte counters.
func (s *Server) Traffic() *Traffic { return &s.traffic }

// Serve accepts connections until Close, after which it returns nil.
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

// admit starts to serve a connection, or closes it when too many others have
// not proved the secret yet.
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
	defer s.drop(c)
	err := acceptHandshake(c, s.secret)
	<-s.handshakes
	if err != nil {
		level.Warn(s.logger).Log("msg", "refused a peer connection", "remote", c.RemoteAddr(), "err", err)
		return
	}
	s.rpc.ServeCodec(NewServerCodec(c))
}

func (s *Server) drop(c net.Conn) {
	_ = c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Close stops accepting and closes all connections. Calls in progress run to
// their end, but their answers are lost; receivers stop their long calls
// themselves before Close.
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
