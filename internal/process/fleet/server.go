package fleet

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// loopbackAnyPort is a listen address with a port that the operating system chooses.
const loopbackAnyPort = "127.0.0.1:0"

// headerTimeout limits the time for reading request headers at stand-ins.
const headerTimeout = 10 * time.Second

// server is an HTTP server on a loopback port.
type server struct {
	address string
	http    *http.Server
	done    sync.WaitGroup
}

func startServer(h http.Handler) (*server, error) {
	l, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		return nil, err
	}
	s := &server{
		address: l.Addr().String(),
		http:    &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout},
	}
	s.done.Go(func() { _ = s.http.Serve(l) })
	return s, nil
}

// close closes the listener and aborts all connections.
func (s *server) close() {
	_ = s.http.Close()
	s.done.Wait()
}
