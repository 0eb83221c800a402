package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrUnavailable is in the chain of every error of a call that the peer may
// not have answered: it cannot be reached, is frozen, or the link broke.
var ErrUnavailable = eris.New("peer unavailable")

// dialTimeout bounds dialling and handshake. Peers are a few milliseconds away.
const dialTimeout = time.Second

// idleTimeout closes connections without calls. Gossip reaches each of 50
// peers about every 16 s, so connections in use stay open.
const idleTimeout = 2 * time.Minute

// Dialer opens a connection, as net.Dialer.DialContext does for TCP.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// DialTCP is the Dialer for TCP.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", address)
}

// DialFrom returns a Dialer for TCP that dials from the host of the listen address,
// so that on a machine with several addresses peers see the configured one. It
// leaves the choice to the system if that host is unspecified or of the other
// family than the peer's.
func DialFrom(listen string) Dialer {
	host, _, _ := net.SplitHostPort(listen)
	own := net.ParseIP(host)
	return func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		host, _, _ := net.SplitHostPort(address)
		if remote := net.ParseIP(host); own != nil && remote != nil && !own.IsUnspecified() && (own.To4() == nil) == (remote.To4() == nil) {
			d.LocalAddr = &net.TCPAddr{IP: own}
		}
		return d.DialContext(ctx, "tcp", address)
	}
}

// Pool keeps one connection to each peer.
type Pool struct {
	secret  []byte
	dial    Dialer
	traffic Traffic
	ctx     context.Context // ends with Close
	cancel  context.CancelFunc
	wait    sync.WaitGroup

	mu     sync.Mutex
	closed bool
	peers  map[string]*remote
}

// NewPool returns an empty pool.
func NewPool(secret []byte, dial Dialer) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{secret: secret, dial: dial, ctx: ctx, cancel: cancel, peers: map[string]*remote{}}
}

// Traffic returns the pool's byte counters.
func (p *Pool) Traffic() *Traffic { return &p.traffic }

// Call calls a method of the peer at address and waits until it answers or ctx
// ends. After an error the reply may still be written to, so the caller must
// not use it again. An error that the method returned is an rpc.ServerError; any
// other has ErrUnavailable in its chain.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	err := p.callOnce(ctx, address, method, args, reply)
	// The peer closed the connection before this call was sent, so that it is
	// safe to send it on a new one.
	if errors.Is(err, rpc.ErrShutdown) && ctx.Err() == nil {
		err = p.callOnce(ctx, address, method, args, reply)
	}
	return err
}

func (p *Pool) callOnce(ctx context.Context, address, method string, args, reply any) error {
	r, err := p.remote(address)
	if err != nil {
		return err
	}
	c, err := r.connection(ctx)
	if err != nil {
		return unavailable(err, address, method)
	}
	err = c.call(ctx, method, args, reply)
	if _, answered := errors.AsType[rpc.ServerError](err); err == nil || answered {
		return err
	}
	return unavailable(err, address, method)
}

// Retry lets the next call dial the peer at once although the last dial failed,
// because somebody has heard from the peer since.
func (p *Pool) Retry(address string) {
	p.mu.Lock()
	r := p.peers[address]
	p.mu.Unlock()
	if r != nil {
		r.retry()
	}
}

func unavailable(cause error, address, method string) error {
	return eris.Wrapf(errors.Join(ErrUnavailable, cause), "call %s at %s", method, address)
}

func (p *Pool) remote(address string) (*remote, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, unavailable(net.ErrClosed, address, "any method")
	}
	r := p.peers[address]
	if r == nil {
		r = newRemote(p, address)
		p.peers[address] = r
	}
	return r, nil
}

// forget removes a peer whose connection is idle or failed, unless it is
// backing off.
func (p *Pool) forget(r *remote) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers[r.address] == r && r.unused() {
		delete(p.peers, r.address)
	}
}

// Close closes all connections; calls in progress fail.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	peers := p.peers
	p.peers = map[string]*remote{}
	p.mu.Unlock()
	p.cancel()
	for _, r := range peers {
		r.close()
	}
	p.wait.Wait()
}
