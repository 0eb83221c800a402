package owner

import (
	"sync"
	"time"

	"persimmonwing/internal/process/crashguard"
)

// guard is a crash guard for concurrent use.
type guard struct {
	mu    sync.Mutex
	table *crashguard.Guard
}

func newGuard() *guard { return &guard{table: crashguard.New()} }

func (g *guard) check(fingerprint uint64) crashguard.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Check(time.Now(), fingerprint)
}

func (g *guard) lost(engine, incarnation string, fingerprints []uint64) []uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.EngineLost(time.Now(), engine, incarnation, fingerprints)
}

func (g *guard) finished(fingerprint uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Finished(fingerprint)
}

func (g *guard) merge(r crashguard.Report) []uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Merge(time.Now(), r)
}
