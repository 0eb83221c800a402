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
	// bufferBytes bounds the bytes that a connection has read and not yet forwarded.
	bufferBytes = 32 << 10
	// dialTimeout bounds a connection to the target, which is on the same machine.
	dialTimeout = 2 * time.Second
	// linkDelay is that of a congested path between distant data centres.
	linkDelay = 150 * time.Millisecond
)

// errReset ends a connection whose link was reset.
var errReset = errors.New("link was reset")

// Forwarder forwards connections and applies cuts.
type Forwarder struct {
	callers map[string]string
	logger  log.Logger
	wait    sync.WaitGroup

	mu   sync.Mutex
	cuts map[string]Cut
	// changed is closed and replaced when the cuts change.
	changed chan struct{}
	pairs   map[*pair]struct{}
	closed  bool
}

// NewForwarder returns a forwarder without routes; callers names processes by host.
func NewForwarder(callers map[string]string, logger log.Logger) *Forwarder {
	return &Forwarder{
		callers: callers,
		logger:  logger,
		cuts:    map[string]Cut{},
		changed: make(chan struct{}),
		pairs:   map[*pair]struct{}{},
	}
}

// Set begins, changes or, with an empty kind, heals the cut of that name.
func (f *Forwarder) Set(name string, c Cut) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Kind == "" {
		delete(f.cuts, name)
	} else {
		f.cuts[name] = c
	}
	close(f.changed)
	f.changed = make(chan struct{})
	for p := range f.pairs {
		if kind := f.kind(p.from, p.to); kind == Reset {
			p.reset()
		}
	}
}

// kind returns the state of a link, which is empty without a cut. The caller
// holds f.mu.
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

// pass waits until the link passes what one side has sent. It fails when the link
// is reset or the forwarder closes.
func (f *Forwarder) pass(p *pair, fromTarget bool) error {
	for {
		f.mu.Lock()
		kind, changed, closed := f.kind(p.from, p.to), f.changed, f.closed
		f.mu.Unlock()
		switch {
		case closed:
			return net.ErrClosed
		case kind == Reset:
			return errReset
		case kind == Delay:
			time.Sleep(linkDelay)
			return nil
		case kind == "", kind == Answers && !fromTarget:
			return nil
		}
		<-changed
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
			// Forwarding it would let a process pass every cut unnoticed.
			_ = level.Error(f.logger).Log("msg", "caller is not known", "address", c.RemoteAddr(), "to", r.To)
			_ = c.Close()
			continue
		}
		f.wait.Go(func() { f.forward(&pair{from: from, to: r.To, ends: []net.Conn{c}}, r.Target) })
	}
}

// add registers a pair, so that a cut can reset it.
func (f *Forwarder) add(p *pair) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.closed {
		f.pairs[p] = struct{}{}
	}
	return !f.closed
}

func (f *Forwarder) forward(p *pair, target string) {
	defer p.end()
	if !f.add(p) {
		p.reset()
		return
	}
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.pairs, p)
	}()
	if f.pass(p, false) != nil {
		p.reset()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	out, err := new(net.Dialer).DialContext(ctx, "tcp", target)
	if err != nil || !p.join(out) {
		p.reset()
		return
	}
	var wait sync.WaitGroup
	in := p.ends[0]
	wait.Go(func() { f.copy(p, out, in, false) })
	f.copy(p, in, out, true)
	wait.Wait()
}

// copy forwards one direction. An end of the stream is forwarded as well, and any
// error resets both sides.
func (f *Forwarder) copy(p *pair, to, from net.Conn, fromTarget bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if f.pass(p, fromTarget) != nil {
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

// Close resets all connections and waits for their ends. The caller closes the
// listeners first.
func (f *Forwarder) Close() {
	f.mu.Lock()
	f.closed = true
	close(f.changed)
	f.changed = make(chan struct{})
	for p := range f.pairs {
		p.reset()
	}
	f.mu.Unlock()
	f.wait.Wait()
}

// pair is a forwarded connection: its caller's side and, once it is open, its
// target's side.
type pair struct {
	from, to string

	mu    sync.Mutex
	ended bool
	ends  []net.Conn
}

// join adds the target's side, or closes it if the pair has ended.
func (p *pair) join(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		_ = c.Close()
		return false
	}
	p.ends = append(p.ends, c)
	return true
}

// reset closes both sides at once and drops unsent bytes.
func (p *pair) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	for _, c := range p.ends {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// end closes both sides after all bytes were forwarded.
func (p *pair) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	for _, c := range p.ends {
		_ = c.Close()
	}
}
