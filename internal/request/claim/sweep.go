package claim

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/request/pause"
)

const (
	// sweepInterval is the time between two pages, and therefore the minimum time between
	// two transactions of one sweeper.
	sweepInterval = time.Second
	// sweepRows is the number of rows of a page; one transaction can delete all of them.
	sweepRows = platform.MaxTxnRows
	// sweepTimeout bounds one call of sweepOnce.
	sweepTimeout = 5 * time.Second
)

// SweepTable is the part of the table service that a Sweeper uses.
type SweepTable interface {
	Table
	// Keys returns rows without values in key order: at most limit rows whose keys begin
	// with prefix and sort after the key after.
	Keys(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error)
}

// SweepOptions configures a Sweeper.
type SweepOptions struct {
	// Elected reports whether this process should sweep now. Concurrent sweepers are safe.
	Elected func() bool
	// Start returns the workspace at whose rows the next pass begins, or "" for the first
	// row. Sweepers that begin at different rows share the work.
	Start  func() string
	Logger log.Logger
}

// Sweeper deletes claim rows that were not written within the retention of 7 days,
// regardless of their state. A row of unknown age is kept.
type Sweeper struct {
	table   SweepTable
	options SweepOptions
	ages    ageTracker
	cutoff  int64
	pass    pass
	deleted atomic.Int64
}

// pass is the state of one scan of all claim rows with one cutoff.
type pass struct {
	cutoff int64 // 0 before the first pass
	start  string
	after  string
	// wrapped is set when the scan has reached the last row and continued at the first.
	wrapped bool
	// failed is set if some expired rows may not have been deleted.
	failed bool
	done   bool
}

// NewSweeper returns a Sweeper of the table t.
func NewSweeper(t SweepTable, o SweepOptions) *Sweeper {
	return &Sweeper{table: t, options: o, ages: ageTracker{table: t, retention: retentionMarks}}
}

// Deleted returns the number of rows that this process has deleted.
func (s *Sweeper) Deleted() int64 { return s.deleted.Load() }

// Run sweeps until ctx ends, with at most one page and one transaction per second.
func (s *Sweeper) Run(ctx context.Context) error {
	for pause.For(ctx, s.delay()) == nil {
		if !s.options.Elected() {
			s.pass = pass{}
			s.cutoff = 0
			continue
		}
		if err := s.sweepOnce(ctx); err != nil {
			_ = level.Debug(s.options.Logger).Log("msg", "expired claims not deleted, trying again", "err", err)
		}
	}
	return ctx.Err()
}

// delay returns the time until the next page. After a pass, it is longer, because rows
// expire only when a mark is added.
func (s *Sweeper) delay() time.Duration {
	if s.cutoff > 0 && !s.finished() {
		return sweepInterval
	}
	return agesPollInterval
}

// sweepOnce processes one page. It reads the marks first each time: if the table was
// replaced by one with other revisions, the previous cutoff is not valid any more.
func (s *Sweeper) sweepOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	cutoff, err := s.ages.refresh(ctx)
	if err != nil {
		return err
	}
	s.cutoff = cutoff
	if s.cutoff < s.pass.cutoff {
		s.pass = pass{}
	}
	if s.cutoff == 0 || s.finished() {
		return nil
	}
	if s.pass.done || s.pass.cutoff == 0 {
		s.startPass()
	}
	return s.sweepPage(ctx)
}

// finished reports whether the last pass has deleted all rows older than the cutoff.
func (s *Sweeper) finished() bool { return s.pass.done && s.pass.cutoff == s.cutoff }

// startPass begins a new pass. A cutoff that rises during a pass is used by the next
// one.
func (s *Sweeper) startPass() {
	start := rowPrefix
	if w := s.options.Start(); w != "" {
		start = Key{Workspace: w}.row()
	}
	s.pass = pass{cutoff: s.cutoff, start: start, after: start}
}

// sweepPage reads the next page and deletes its expired rows.
func (s *Sweeper) sweepPage(ctx context.Context) error {
	rows, err := s.table.Keys(ctx, rowPrefix, s.pass.after, sweepRows)
	if err != nil {
		return err
	}
	s.advance(rows)
	var ops []platform.CondPut
	for _, r := range rows {
		if r.Revision > 0 && r.Revision <= s.pass.cutoff {
			ops = append(ops, platform.CondPut{Key: r.Key, IfRevision: r.Revision, Delete: true})
		}
	}
	if len(ops) == 0 {
		return nil
	}
	results, err := s.table.Txn(ctx, ops)
	if err != nil {
		s.pass.failed = true
		return err
	}
	for _, r := range results {
		if r.Applied {
			s.deleted.Add(1)
		}
	}
	return nil
}

// advance moves the pass to the end of the given page and sets done after the last one.
func (s *Sweeper) advance(rows []platform.Row) {
	p := &s.pass
	if len(rows) == sweepRows {
		p.after = rows[len(rows)-1].Key
	} else if !p.wrapped {
		p.wrapped, p.after = true, rowPrefix
	} else {
		p.done = true
	}
	if p.wrapped && p.after >= p.start {
		p.done = true
	}
	if p.done && p.failed {
		// Start another pass with the same cutoff.
		*p = pass{}
	}
}
