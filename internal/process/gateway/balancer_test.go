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

// balancer forwards each connection to a gateway that was ready at the latest probe,
// like the platform's load balancer.
type balancer struct {
	address  string
	listener net.Listener
	done     sync.WaitGroup
	stop     chan struct{}

	mu        sync.Mutex
	ready     []string
	nextIndex int
	open      map[net.Conn]struct{}
}

// probeInterval is the time between two readiness probes. It is well below the drain
// delay of the gateways.
const probeInterval = 20 * time.Millisecond

// maxInitialProbes bounds the probes until the first gateway is ready.
const maxInitialProbes = 100

// startBalancer starts a balancer over callers, which maps admin addresses to caller
// addresses.
func startBalancer(t *testing.T, callers map[string]string) *balancer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	b := &balancer{address: l.Addr().String(), listener: l, stop: make(chan struct{}), open: map[net.Conn]struct{}{}}
	for range maxInitialProbes {
		if b.probe(callers); b.next() != "" {
			break
		}
	}
	b.done.Go(func() {
		for {
			select {
			case <-time.After(probeInterval):
				b.probe(callers)
			case <-b.stop:
				return
			}
		}
	})
	b.done.Go(b.accept)
	t.Cleanup(b.close)
	return b
}

// probe requests the readiness of all gateways. A gateway that does not respond in time
// keeps its latest state: on a busy machine both responses can be late, and a balancer
// without any ready gateway would itself break requests. A gateway that refuses the
// request or the connection is not ready.
func (b *balancer) probe(callers map[string]string) {
	client := &http.Client{Timeout: probeInterval * 5, Transport: &http.Transport{DisableKeepAlives: true}}
	var probes sync.WaitGroup
	for admin, caller := range callers {
		probes.Go(func() {
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
	probes.Wait()
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
	b.nextIndex++
	return b.ready[b.nextIndex%len(b.ready)]
}

func (b *balancer) forward(client net.Conn) {
	defer client.Close()
	upstream, err := net.Dial("tcp", b.next())
	if err != nil {
		return
	}
	defer upstream.Close()
	b.track(client, upstream)
	var back sync.WaitGroup
	back.Go(func() {
		_, _ = io.Copy(client, upstream)
		_ = client.Close()
	})
	_, _ = io.Copy(upstream, client)
	_ = upstream.Close()
	back.Wait()
}

func (b *balancer) track(conns ...net.Conn) {
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
