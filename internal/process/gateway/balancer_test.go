package gateway_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
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

// firstLooks bounds the looks until the first gateway is ready.
const firstLooks = 100

// startBalancer balances over caller addresses, by admin address.
func startBalancer(t *testing.T, callers map[string]string) *balancer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	b := &balancer{address: l.Addr().String(), listener: l, stop: make(chan struct{}), open: map[net.Conn]struct{}{}}
	for range firstLooks {
		if b.look(callers); b.next() != "" {
			break
		}
	}
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

// look asks all gateways for their readiness. One that does not answer in time keeps
// its last state: on a busy machine both answers can be late, and a balancer without
// any gateway would itself break the requests. One that refuses is not ready.
func (b *balancer) look(callers map[string]string) {
	client := &http.Client{Timeout: lookPeriod * 5, Transport: &http.Transport{DisableKeepAlives: true}}
	var looks sync.WaitGroup
	for admin, caller := range callers {
		looks.Go(func() {
			ready := false
			resp, err := client.Get("http://" + admin + "/readyz")
			if timeout, ok := errors.AsType[net.Error](err); ok && timeout.Timeout() {
				return
			}
			if err == nil {
				_ = resp.Body.Close()
				ready = resp.StatusCode == http.StatusOK
			}
			b.set(caller, ready)
		})
	}
	looks.Wait()
}

func (b *balancer) set(caller string, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = slices.DeleteFunc(b.ready, func(c string) bool { return c == caller })
	if ready {
		b.ready = append(b.ready, caller)
	}
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
