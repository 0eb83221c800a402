package fleet

import (
	"io"
	"net"
	"sync"
)

// forwarder is a TCP proxy to target. To clients, killing it looks like a crash
// of the server's process.
type forwarder struct {
	address  string
	target   string
	listener net.Listener
	done     sync.WaitGroup

	mu        sync.Mutex
	killed    bool
	openConns map[net.Conn]struct{}
}

func startForwarder(target string) (*forwarder, error) {
	l, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		return nil, err
	}
	f := &forwarder{address: l.Addr().String(), target: target, listener: l, openConns: map[net.Conn]struct{}{}}
	f.done.Go(f.accept)
	return f, nil
}

func (f *forwarder) accept() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.done.Go(func() { f.forward(c) })
	}
}

func (f *forwarder) forward(client net.Conn) {
	defer client.Close()
	backend, err := net.Dial("tcp", f.target)
	if err != nil {
		return
	}
	defer backend.Close()
	if !f.track(client, backend) {
		return
	}
	defer f.untrack(client, backend)
	var responses sync.WaitGroup
	responses.Go(func() {
		_, _ = io.Copy(client, backend)
		_ = client.Close()
	})
	_, _ = io.Copy(backend, client)
	_ = backend.Close()
	responses.Wait()
}

// track stores connections that kill has to close. It returns false if the
// forwarder was already killed.
func (f *forwarder) track(conns ...net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range conns {
		f.openConns[c] = struct{}{}
	}
	return !f.killed
}

func (f *forwarder) untrack(conns ...net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range conns {
		delete(f.openConns, c)
	}
}

// kill closes the listener and resets all connections.
func (f *forwarder) kill() {
	_ = f.listener.Close()
	f.mu.Lock()
	f.killed = true
	for c := range f.openConns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	f.mu.Unlock()
	f.done.Wait()
}
