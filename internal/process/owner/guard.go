package owner

import (
	"sync"
	"time"

	"persimmonwing/internal/process/crashguard"
)

// guard makes a crashguard.Guard safe for concurrent use.
type guard struct {
	// broadcast sends a report to the other gateways without waiting.
	broadcast func(crashguard.Report)
	mu        sync.Mutex
	table     *crashguard.Guard
}

func newGuard(broadcast func(crashguard.Report)) *guard {
	return &guard{broadcast: broadcast, table: crashguard.New()}
}

// check returns the verdict on a request that is about to wait or run, and
// broadcasts a refusal of which the other gateways have to be notified.
func (g *guard) check(fingerprint uint64) crashguard.Verdict {
	g.mu.Lock()
	verdict := g.table.Check(time.Now(), fingerprint)
	rebroadcast := verdict == crashguard.Refuse && g.table.Refused(time.Now(), fingerprint)
	g.mu.Unlock()
	if rebroadcast {
		g.broadcast(crashguard.Report{Refused: []uint64{fingerprint}})
	}
	return verdict
}

func (g *guard) noteEngineLost(engine, incarnation string, fingerprints []uint64) []uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.EngineLost(time.Now(), engine, incarnation, fingerprints)
}

func (g *guard) noteEngineSurvived(engine, incarnation string) []uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.EngineSurvived(engine, incarnation)
}

func (g *guard) finished(fingerprint uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Finished(fingerprint)
}

func (g *guard) reports() []crashguard.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Reports(time.Now())
}

func (g *guard) merge(r crashguard.Report) []uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Merge(time.Now(), r)
}
