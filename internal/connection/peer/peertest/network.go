// Package peertest is an in-memory network for tests of several gateways in one
// process, also under testing/synctest. Links can be cut and addresses frozen.
package peertest

import (
	"context"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// Network connects listeners and dialers by address.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cut       map[[2]string]bool
	frozen    map[string]bool
	links     []*link
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network {
	return &Network{listeners: map[string]*listener{}, cut: map[[2]string]bool{}, frozen: map[string]bool{}}
}

// Listen returns a listener at address.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{network: n, address: address, queue: make(chan net.Conn, 1024), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Dialer returns the dial function of the node whose own address is from.
func (n *Network) Dialer(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		l := n.reachable(from, to)
		if l == nil {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return l.connect(from)
	}
}

// reachable returns the listener at to, or nil if packets get no answer.
func (n *Network) reachable(from, to string) *listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.blocked(from, to) {
		return nil
	}
	if l := n.listeners[to]; l != nil {
		return l
	}
	return &listener{}
}

// blocked reports whether data between two addresses is held back.
func (n *Network) blocked(a, b string) bool {
	return n.cut[[2]string{a, b}] || n.cut[[2]string{b, a}] || n.frozen[a] || n.frozen[b]
}

// Cut holds back all data between every address of one side and every one of
// the other; Heal releases it.
func (n *Network) Cut(one, other []string) { n.set(one, other, true) }

// Heal undoes Cut.
func (n *Network) Heal(one, other []string) { n.set(one, other, false) }

func (n *Network) set(one, other []string, cut bool) {
	n.mu.Lock()
	for _, a := range one {
		for _, b := range other {
			n.cut[[2]string{a, b}] = cut
		}
	}
	n.mu.Unlock()
	n.flush()
}

// Freeze holds back all data from and to an address until Thaw.
func (n *Network) Freeze(address string) {
	n.mu.Lock()
	n.frozen[address] = true
	n.mu.Unlock()
}

// Thaw undoes Freeze.
func (n *Network) Thaw(address string) {
	n.mu.Lock()
	n.frozen[address] = false
	n.mu.Unlock()
	n.flush()
}

func (n *Network) flush() {
	n.mu.Lock()
	links := append([]*link(nil), n.links...)
	n.mu.Unlock()
	for _, l := range links {
		l.wake()
	}
}

type listener struct {
	network *Network
	address string
	queue   chan net.Conn
	closed  chan struct{}

	mu   sync.Mutex
	down bool
}

func (l *listener) connect(from string) (net.Conn, error) {
	if l.network == nil {
		return nil, eris.New("connection refused")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, eris.New("connection refused")
	}
	a, b := newLink(l.network, from, l.address)
	l.queue <- b
	return a, nil
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Connections that nobody accepted are closed.
func (l *listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.down {
		l.down = true
		close(l.closed)
	}
	for {
		select {
		case c := <-l.queue:
			_ = c.Close()
		default:
			return nil
		}
	}
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return addr(l.address) }

type addr string

// Network implements net.Addr.
func (addr) Network() string { return "memory" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }
