package fleet

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// loopback lets the system choose a free port.
const loopback = "127.0.0.1:0"

// headerTimeout bounds the arrival of a request's headers at stand-ins.
const headerTimeout = 10 * time.Second

// server is an HTTP server on a loopback port.
type server struct {
	address string
	http    *http.Server
	done    sync.WaitGroup
}

func startServer(h http.Handler) (*server, error) {
	l, err := net.Listen("tcp", loopback)
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

// close ends the listener and all connections at once.
func (s *server) close() {
	_ = s.http.Close()
	s.done.Wait()
}
