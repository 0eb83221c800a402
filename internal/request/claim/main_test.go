package claim

import (
	"context"
	"flag"
	"os"
	"sync"
	"testing"
	"time"

	"persimmonwing/internal/connection/platform/platformtest"
)

// TestMain sets a fixed seed, so that every run gives the same result. The flag
// -rapid.seed still overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "150", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// faultQueue returns one fault plan for each request to the table, then no faults.
type faultQueue struct {
	mu    sync.Mutex
	plans []platformtest.Plan
}

func (q *faultQueue) next(bool) platformtest.Plan {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.plans) == 0 {
		return platformtest.Plan{}
	}
	p := q.plans[0]
	q.plans = q.plans[1:]
	return p
}

func (q *faultQueue) clear() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.plans = nil
}

// startStore starts a Store that runs until ctx ends.
func startStore(ctx context.Context, t Table) *Store {
	s := NewStore(t, DefaultOptions())
	go func() { _ = s.Run(ctx) }()
	return s
}

func within(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}
