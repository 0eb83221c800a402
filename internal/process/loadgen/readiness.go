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
	// readinessPeriod is the time between two probes of a gateway. It is well below
	// the drain_delay of 1 s or more, so that a gateway that shuts down gets no new
	// requests before it closes its listener.
	readinessPeriod = 200 * time.Millisecond
	// readinessTimeout bounds one probe.
	readinessTimeout = 500 * time.Millisecond
)

// readiness tracks which targets report that they accept no new connections, as a
// load balancer does. A target that does not respond stays in use, because fault
// runs have to send requests to killed and frozen gateways.
type readiness struct {
	http *http.Client
	// unready contains a flag for each target.
	unready []atomic.Bool
}

// newReadiness probes the readiness URLs of the targets, given in the same order,
// until ctx ends or the returned function is called. Without URLs all targets count
// as ready.
func newReadiness(ctx context.Context, targets, urls []string) (*readiness, func(), error) {
	if len(urls) > 0 && len(urls) != len(targets) {
		return nil, nil, fmt.Errorf("readiness: has %d elements; use one URL for each of the %d targets", len(urls), len(targets))
	}
	r := &readiness{http: &http.Client{Timeout: readinessTimeout}, unready: make([]atomic.Bool, len(targets))}
	ctx, stop := context.WithCancel(ctx)
	var wait sync.WaitGroup
	for i, url := range urls {
		wait.Go(func() {
			for ctx.Err() == nil {
				r.probe(ctx, i, url)
				_ = pause.For(ctx, readinessPeriod)
			}
		})
	}
	return r, func() { stop(); wait.Wait(); r.http.CloseIdleConnections() }, nil
}

// probe requests the readiness of one target. A target that does not respond counts
// as ready.
func (r *readiness) probe(ctx context.Context, i int, url string) {
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
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, defaultLimit))
	r.unready[i].Store(resp.StatusCode != http.StatusOK)
}

// readyFirst moves the targets that report that they are not ready behind the others
// and otherwise keeps their order. With a nil *readiness all targets count as ready.
func (r *readiness) readyFirst(perm []int) []int {
	if r == nil {
		return perm
	}
	out := make([]int, 0, len(perm))
	var notReady []int
	for _, i := range perm {
		if r.unready[i].Load() {
			notReady = append(notReady, i)
			continue
		}
		out = append(out, i)
	}
	return append(out, notReady...)
}
