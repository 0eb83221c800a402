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
	// sweepPeriod is the time between two pages, and so between two transactions
	// of one sweeper.
	sweepPeriod = time.Second
	// sweepRows is the number of rows of a page: a transaction has room for all.
	sweepRows = platform.MaxTxnRows
	// sweepTimeout bounds one turn.
	sweepTimeout = 5 * time.Second
)

// SweepTable is the part of the table service that a Sweeper needs.
type SweepTable interface {
	Table
	// Keys returns rows without values, in key order: at most limit of those that
	// begin with prefix and come after the key after.
	Keys(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error)
}

// SweepOptions configures a Sweeper.
type SweepOptions struct {
	// Elected reports whether this process sweeps now. Two that do harm nothing.
	Elected func() bool
	// Start returns the workspace at whose rows the next pass begins, or "". Passes
	// that begin at different places share the work.
	Start  func() string
	Logger log.Logger
}

// Sweeper deletes claim rows that were not written for the retention of 7 days,
// whatever their state. A row whose age is not known stays.
type Sweeper struct {
	table   SweepTable
	options SweepOptions
	ages    ager
	cutoff  int64
	pass    pass
	deleted atomic.Int64
}

// pass is one walk through all claim rows with one cutoff.
type pass struct {
	cutoff int64 // 0 before the first pass
	start  string
	after  string
	// wrapped is set when the walk has reached the end and goes on at the front.
	wrapped bool
	// failed tells that some rows of the walk may be left.
	failed bool
	done   bool
}

// NewSweeper returns a Sweeper over a table.
func NewSweeper(t SweepTable, o SweepOptions) *Sweeper {
	return &Sweeper{table: t, options: o, ages: ager{table: t, keep: retentionMarks}}
}

// Deleted returns the number of rows that this process has deleted.
func (s *Sweeper) Deleted() int64 { return s.deleted.Load() }

// Run sweeps until ctx ends: at most one page and one transaction a second.
func (s *Sweeper) Run(ctx context.Context) error {
	for pause.For(ctx, s.delay()) == nil {
		if !s.options.Elected() {
			s.pass = pass{}
			s.cutoff = 0
			continue
		}
		if err := s.turn(ctx); err != nil {
			_ = level.Debug(s.options.Logger).Log("msg", "expired claims not deleted, trying again", "err", err)
		}
	}
	return ctx.Err()
}

// delay is the time until the next turn. Rows expire only with a new mark.
func (s *Sweeper) delay() time.Duration {
	if s.cutoff > 0 && !s.finished() {
		return sweepPeriod
	}
	return agesPeriod
}

// turn reads the marks before each page: if the table was replaced by one with
// other revisions, the last cutoff no longer holds.
func (s *Sweeper) turn(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	cutoff, err := s.ages.look(ctx)
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
		s.begin()
	}
	return s.page(ctx)
}

// finished reports whether no row can be left that is older than the cutoff.
func (s *Sweeper) finished() bool { return s.pass.done && s.pass.cutoff == s.cutoff }

// begin starts a pass. A cutoff that rises during a pass counts for the next one.
func (s *Sweeper) begin() {
	start := rowPrefix
	if w := s.options.Start(); w != "" {
		start = Key{Workspace: w}.row()
	}
	s.pass = pass{cutoff: s.cutoff, start: start, after: start}
}

// page deletes the expired rows of the next page.
func (s *Sweeper) page(ctx context.Context) error {
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

// advance moves behind the rows of a page and notes the end of the pass.
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
		// Another pass with the same cutoff.
		*p = pass{}
	}
}
