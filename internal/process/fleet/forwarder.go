package fleet

import (
	"io"
	"net"
	"sync"
)

// forwarder copies TCP connections to a server until it is killed. Killing it
// looks to callers as if the server's process had died.
type forwarder struct {
	address  string
	to       string
	listener net.Listener
	done     sync.WaitGroup

	mu     sync.Mutex
	killed bool
	open   map[net.Conn]struct{}
}

func startForwarder(to string) (*forwarder, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	f := &forwarder{address: l.Addr().String(), to: to, listener: l, open: map[net.Conn]struct{}{}}
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

func (f *forwarder) forward(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", f.to)
	if err != nil {
		return
	}
	defer far.Close()
	if !f.keep(near, far) {
		return
	}
	defer f.forget(near, far)
	var back sync.WaitGroup
	back.Go(func() {
		_, _ = io.Copy(near, far)
		_ = near.Close()
	})
	_, _ = io.Copy(far, near)
	_ = far.Close()
	back.Wait()
}

// keep returns false if the forwarder was killed in the meantime.
func (f *forwarder) keep(conns ...net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range conns {
		f.open[c] = struct{}{}
	}
	return !f.killed
}

func (f *forwarder) forget(conns ...net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range conns {
		delete(f.open, c)
	}
}

// kill resets all connections and refuses new ones.
func (f *forwarder) kill() {
	_ = f.listener.Close()
	f.mu.Lock()
	f.killed = true
	for c := range f.open {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	f.mu.Unlock()
	f.done.Wait()
}
