// Package peertest provides an in-memory network for tests with several gateways in one process,
// also under testing/synctest. Tests can partition the network and freeze addresses.
package peertest

import (
	"context"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// Network is an in-memory network that connects dialers to listeners by address.
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

// Listen returns a listener at address. It replaces an earlier listener at that address.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{network: n, address: address, queue: make(chan net.Conn, 1024), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Dialer returns a dial function for the node with the address from.
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

// reachable returns the listener at address to, or nil if the two addresses can't communicate, so
// that a dial must block. If nothing listens there, the returned listener refuses connections.
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

// blocked reports whether data between two addresses is delayed by a cut or a freeze. The caller
// must hold n.mu.
func (n *Network) blocked(a, b string) bool {
	return n.cut[[2]string{a, b}] || n.cut[[2]string{b, a}] || n.frozen[a] || n.frozen[b]
}

// Cut blocks all data between each address in one and each address in other until Heal. The data is
// delayed, not lost.
func (n *Network) Cut(one, other []string) { n.setCut(one, other, true) }

// Heal ends Cut and delivers the delayed data.
func (n *Network) Heal(one, other []string) { n.setCut(one, other, false) }

func (n *Network) setCut(one, other []string, cut bool) {
	n.mu.Lock()
	for _, a := range one {
		for _, b := range other {
			n.cut[[2]string{a, b}] = cut
		}
	}
	n.mu.Unlock()
	n.wakeReaders()
}

// Freeze delays all data from and to an address until Thaw.
func (n *Network) Freeze(address string) {
	n.mu.Lock()
	n.frozen[address] = true
	n.mu.Unlock()
}

// Thaw ends Freeze and delivers the delayed data.
func (n *Network) Thaw(address string) {
	n.mu.Lock()
	n.frozen[address] = false
	n.mu.Unlock()
	n.wakeReaders()
}

func (n *Network) wakeReaders() {
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
	a, b := newConnPair(l.network, from, l.address)
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

// Close implements net.Listener. It closes the connections that have not been accepted.
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
