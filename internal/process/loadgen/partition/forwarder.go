package partition

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// bufferBytes bounds the bytes that each direction of a connection has read and not
	// yet forwarded.
	bufferBytes = 32 << 10
	// dialTimeout bounds dialling the target, which is on the same machine.
	dialTimeout = 2 * time.Second
	// linkDelay is the delay of a Delay cut in each direction, as on a congested path
	// between distant data centres.
	linkDelay = 150 * time.Millisecond
)

// errLinkReset is the error of a connection that is closed because a cut of kind Reset
// applies to its link.
var errLinkReset = errors.New("link was reset by a cut")

// Forwarder forwards TCP connections and applies cuts to them.
type Forwarder struct {
	callers map[string]string
	logger  log.Logger
	wait    sync.WaitGroup

	mu   sync.Mutex
	cuts map[string]Cut
	// cutsChanged is closed and replaced when the cuts change.
	cutsChanged chan struct{}
	conns       map[*proxiedConn]struct{}
	closed      bool
}

// NewForwarder returns a forwarder without routes or cuts; callers is
// Settings.Callers.
func NewForwarder(callers map[string]string, logger log.Logger) *Forwarder {
	return &Forwarder{
		callers:     callers,
		logger:      logger,
		cuts:        map[string]Cut{},
		cutsChanged: make(chan struct{}),
		conns:       map[*proxiedConn]struct{}{},
	}
}

// Set adds or replaces the cut of that name, or heals it if the kind is empty. It resets
// the open connections of links to which a cut of kind Reset applies.
func (f *Forwarder) Set(name string, c Cut) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Kind == "" {
		delete(f.cuts, name)
	} else {
		f.cuts[name] = c
	}
	close(f.cutsChanged)
	f.cutsChanged = make(chan struct{})
	for p := range f.conns {
		if kind := f.kind(p.from, p.to); kind == Reset {
			p.reset()
		}
	}
}

// kind returns the kind of the cut that applies to a link, or an empty one without a
// cut. Reset takes precedence over other kinds. The caller must hold f.mu.
func (f *Forwarder) kind(from, to string) Kind {
	kind := Kind("")
	for _, c := range f.cuts {
		switch {
		case !c.Separates(from, to):
		case c.Kind == Reset:
			return Reset
		default:
			kind = c.Kind
		}
	}
	return kind
}

// awaitLink blocks until the link may forward what one side has sent. It returns an
// error if the link is reset or the forwarder closes.
func (f *Forwarder) awaitLink(p *proxiedConn, fromTarget bool) error {
	for {
		f.mu.Lock()
		kind, cutsChanged, closed := f.kind(p.from, p.to), f.cutsChanged, f.closed
		f.mu.Unlock()
		switch {
		case closed:
			return net.ErrClosed
		case kind == Reset:
			return errLinkReset
		case kind == Delay:
			time.Sleep(linkDelay)
			return nil
		case kind == "", kind == HoldResponses && !fromTarget:
			return nil
		}
		<-cutsChanged
	}
}

// Serve forwards the connections of a route until l is closed.
func (f *Forwarder) Serve(r Route, l net.Listener) error {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		from := r.From
		if from == "" {
			host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
			from = f.callers[host]
		}
		if from == "" {
			// No cut applies to an unknown caller, so forwarding its connection would let
			// the process bypass every cut unnoticed.
			_ = level.Error(f.logger).Log("msg", "refused a connection of an unknown caller; list its address under callers", "address", c.RemoteAddr(), "to", r.To)
			_ = c.Close()
			continue
		}
		f.wait.Go(func() { f.forward(&proxiedConn{from: from, to: r.To, sides: []net.Conn{c}}, r.Target) })
	}
}

// register adds a connection, so that a cut can reset it. It returns false if the
// forwarder is closed.
func (f *Forwarder) register(p *proxiedConn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.closed {
		f.conns[p] = struct{}{}
	}
	return !f.closed
}

func (f *Forwarder) forward(p *proxiedConn, target string) {
	defer p.closeSides()
	if !f.register(p) {
		p.reset()
		return
	}
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.conns, p)
	}()
	if f.awaitLink(p, false) != nil {
		p.reset()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	out, err := new(net.Dialer).DialContext(ctx, "tcp", target)
	if err != nil || !p.addTarget(out) {
		p.reset()
		return
	}
	var wait sync.WaitGroup
	in := p.sides[0]
	wait.Go(func() { f.copy(p, out, in, false) })
	f.copy(p, in, out, true)
	wait.Wait()
}

// copy forwards one direction until its sender closes it, and then closes it towards
// the receiver. Any error resets both sides.
func (f *Forwarder) copy(p *proxiedConn, to, from net.Conn, fromTarget bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if f.awaitLink(p, fromTarget) != nil {
			p.reset()
			return
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				p.reset()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			p.reset()
			return
		}
	}
}

// Close resets all connections and waits until they have ended. The caller must close
// the listeners first.
func (f *Forwarder) Close() {
	f.mu.Lock()
	f.closed = true
	close(f.cutsChanged)
	f.cutsChanged = make(chan struct{})
	for p := range f.conns {
		p.reset()
	}
	f.mu.Unlock()
	f.wait.Wait()
}

// proxiedConn is a forwarded connection: its caller's side and, once it is open, its
// target's side.
type proxiedConn struct {
	from, to string

	mu     sync.Mutex
	closed bool
	sides  []net.Conn
}

// addTarget adds the target's side. If the connection is already closed, it closes c and
// returns false.
func (p *proxiedConn) addTarget(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return false
	}
	p.sides = append(p.sides, c)
	return true
}

// reset closes both sides with a TCP reset, which discards unsent bytes.
func (p *proxiedConn) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.sides {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// closeSides closes both sides once all bytes have been forwarded.
func (p *proxiedConn) closeSides() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.sides {
		_ = c.Close()
	}
}
