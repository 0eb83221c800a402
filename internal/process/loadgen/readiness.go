package loadgen

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"persimmonwing/internal/request/pause"
)

const (
	// readinessPeriod is the time between two questions to a gateway, so that one that
	// stops gets no new requests well within its drain_delay of 1 s or more.
	readinessPeriod = 200 * time.Millisecond
	// readinessTimeout bounds one question.
	readinessTimeout = 500 * time.Millisecond
)

// readiness knows which targets say that they take no new connections, as a
// balancer does. A target that does not answer stays in use: requests that meet
// killed and frozen gateways are what fault runs are for.
type readiness struct {
	http *http.Client
	// unready holds a flag for each target.
	unready []atomic.Bool
}

// newReadiness watches targets at their readiness URLs, given in the same order,
// until ctx ends. Without URLs all targets stay in use.
func newReadiness(ctx context.Context, targets, urls []string) (*readiness, func(), error) {
	if len(urls) > 0 && len(urls) != len(targets) {
		return nil, nil, fmt.Errorf("readiness: has %d elements; as many as targets are needed, %d", len(urls), len(targets))
	}
	r := &readiness{http: &http.Client{Timeout: readinessTimeout}, unready: make([]atomic.Bool, len(targets))}
	ctx, stop := context.WithCancel(ctx)
	var wait sync.WaitGroup
	for i, url := range urls {
		wait.Go(func() {
			for ctx.Err() == nil {
				r.look(ctx, i, url)
				_ = pause.For(ctx, readinessPeriod)
			}
		})
	}
	return r, func() { stop(); wait.Wait(); r.http.CloseIdleConnections() }, nil
}

// look asks one target. Its silence changes nothing.
func (r *readiness) look(ctx context.Context, i int, url string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return
	}
	resp, err := r.http.Do(req)
	if err != nil {
		r.unready[i].Store(false)
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxRefusedToTell))
	r.unready[i].Store(resp.StatusCode != http.StatusOK)
}

// order puts the targets that say that they are not ready behind the others. The
// order among each is kept. A nil *readiness takes all for ready.
func (r *readiness) order(perm []int) []int {
	if r == nil {
		return perm
	}
	out := make([]int, 0, len(perm))
	var last []int
	for _, i := range perm {
		if r.unready[i].Load() {
			last = append(last, i)
			continue
		}
		out = append(out, i)
	}
	return append(out, last...)
}
