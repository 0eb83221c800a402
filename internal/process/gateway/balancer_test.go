package gateway_test

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// balancer forwards each connection to a gateway that was ready at the last
// look, as the platform's balancer does.
type balancer struct {
	address  string
	listener net.Listener
	done     sync.WaitGroup
	stop     chan struct{}

	mu    sync.Mutex
	ready []string
	turn  int
	open  map[net.Conn]struct{}
}

// lookPeriod is well under the drain delay of the gateways.
const lookPeriod = 20 * time.Millisecond

// startBalancer balances over caller addresses, by admin address.
func startBalancer(t *testing.T, callers map[string]string) *balancer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	b := &balancer{address: l.Addr().String(), listener: l, stop: make(chan struct{}), open: map[net.Conn]struct{}{}}
	b.look(callers)
	b.done.Go(func() {
		for {
			select {
			case <-time.After(lookPeriod):
				b.look(callers)
			case <-b.stop:
				return
			}
		}
	})
	b.done.Go(b.accept)
	t.Cleanup(b.close)
	return b
}

func (b *balancer) look(callers map[string]string) {
	client := &http.Client{Timeout: lookPeriod * 5, Transport: &http.Transport{DisableKeepAlives: true}}
	var ready []string
	for admin, caller := range callers {
		resp, err := client.Get("http://" + admin + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			ready = append(ready, caller)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

func (b *balancer) accept() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.done.Go(func() { b.forward(c) })
	}
}

func (b *balancer) next() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return ""
	}
	b.turn++
	return b.ready[b.turn%len(b.ready)]
}

func (b *balancer) forward(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", b.next())
	if err != nil {
		return
	}
	defer far.Close()
	b.keep(near, far)
	var back sync.WaitGroup
	back.Go(func() {
		_, _ = io.Copy(near, far)
		_ = near.Close()
	})
	_, _ = io.Copy(far, near)
	_ = far.Close()
	back.Wait()
}

func (b *balancer) keep(conns ...net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range conns {
		b.open[c] = struct{}{}
	}
}

func (b *balancer) close() {
	close(b.stop)
	_ = b.listener.Close()
	b.mu.Lock()
	for c := range b.open {
		_ = c.Close()
	}
	b.mu.Unlock()
	b.done.Wait()
}
