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

// ErrUnavailable is wrapped by the error of each call for which no reply was received: the peer
// can't be reached or doesn't respond, or the connection broke.
var ErrUnavailable = eris.New("peer unavailable")

// dialTimeout is the maximum duration of dialling and handshake together. Peers are a few
// milliseconds away.
const dialTimeout = time.Second

// idleTimeout is the time without calls after which a connection is closed. With 50 peers, gossip
// calls each of them about every 16 s, so that connections in use stay open.
const idleTimeout = 2 * time.Minute

// Dialer opens a connection, as net.Dialer.DialContext does for TCP.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// DialTCP is the Dialer for TCP.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", address)
}

// DialFrom returns a Dialer for TCP that uses the host of the listen address as source address, so
// that on a machine with several addresses peers see the configured one. If that host is
// unspecified or of another address family than the peer's, the operating system selects the
// source address.
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

// Pool maintains one connection to each peer. It is safe for concurrent use.
type Pool struct {
	secrets *Secrets
	dial    Dialer
	traffic Traffic
	ctx     context.Context // cancelled by Close
	cancel  context.CancelFunc
	wait    sync.WaitGroup

	mu     sync.Mutex
	closed bool
	peers  map[string]*remote
}

// NewPool returns an empty pool whose connections are opened by dial and authenticated with one of the secrets.
func NewPool(secrets *Secrets, dial Dialer) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{secrets: secrets, dial: dial, ctx: ctx, cancel: cancel, peers: map[string]*remote{}}
}

// Traffic returns the pool's byte counters.
func (p *Pool) Traffic() *Traffic { return &p.traffic }

// Call calls a method of the peer at address and waits for the reply or the end of ctx. After an
// error, reply may still be written to, so the caller must not use it again. An error that the
// method returned is an rpc.ServerError; all other errors wrap ErrUnavailable.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	err := p.callOnce(ctx, address, method, args, reply)
	// rpc.ErrShutdown means that the peer closed the connection before this call was sent, so
	// that it is safe to send the call on a new connection.
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
		return unavailableError(err, address, method)
	}
	err = c.call(ctx, method, args, reply)
	if _, answered := errors.AsType[rpc.ServerError](err); err == nil || answered {
		return err
	}
	return unavailableError(err, address, method)
}

// ResetBackoff ends the back-off after a failed dial, so that the next call dials the
// peer immediately. It is called after a sign of life from the peer.
func (p *Pool) ResetBackoff(address string) {
	p.mu.Lock()
	r := p.peers[address]
	p.mu.Unlock()
	if r != nil {
		r.resetBackoff()
	}
}

func unavailableError(cause error, address, method string) error {
	return eris.Wrapf(errors.Join(ErrUnavailable, cause), "call %s at %s", method, address)
}

func (p *Pool) remote(address string) (*remote, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, unavailableError(net.ErrClosed, address, "any method")
	}
	r := p.peers[address]
	if r == nil {
		r = newRemote(p, address)
		p.peers[address] = r
	}
	return r, nil
}

// removeUnused removes a peer that has no connection, unless a dial is in progress or the peer is
// in back-off.
func (p *Pool) removeUnused(r *remote) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers[r.address] == r && r.unused() {
		delete(p.peers, r.address)
	}
}

// Close closes all connections and waits for their goroutines. Calls in progress fail.
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
