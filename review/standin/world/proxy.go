package world

import (
	"io"
	"net"
	"sync"
)

// Proxy stands between one machine and the store. While it is cut, nothing passes: what was open
// before goes on after the cut, and what was opened during it stays silent, as its first packet would
// be sent again too late.
type Proxy struct {
	Address string
	target  string

	mu   sync.Mutex
	cut  bool
	heal chan struct{} // closed at the end of a cut
	sent int           // bytes that the machine has sent to the store
}

// Sent returns the number of bytes that the machine has sent to the store.
func (p *Proxy) Sent() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sent
}

// NewProxy returns a proxy for connections to target.
func (w *World) NewProxy(target string) *Proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.Fail("proxy: %v", err)
	}
	p := &Proxy{Address: l.Addr().String(), target: target, heal: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	w.AtEnd(func() { _ = l.Close() })
	return p
}

// Cut begins or ends a cut.
func (p *Proxy) Cut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut && !cut {
		close(p.heal)
		p.heal = make(chan struct{})
	}
	p.cut = cut
}

// await returns when there is no cut.
func (p *Proxy) await() {
	for {
		p.mu.Lock()
		cut, heal := p.cut, p.heal
		p.mu.Unlock()
		if !cut {
			return
		}
		<-heal
	}
}

func (p *Proxy) serve(c net.Conn) {
	defer c.Close()
	p.mu.Lock()
	cut := p.cut
	p.mu.Unlock()
	if cut {
		_, _ = io.Copy(io.Discard, c)
		return
	}
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer t.Close()
	go p.copy(t, c, true)
	p.copy(c, t, false)
}

// copy passes bytes on until one side closes.
func (p *Proxy) copy(to, from net.Conn, toStore bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.await()
		if n > 0 {
			if toStore {
				p.mu.Lock()
				p.sent += n
				p.mu.Unlock()
			}
			if _, werr := to.Write(buffer[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}
