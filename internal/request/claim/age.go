package claim

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"persimmonwing/internal/connection/platform"
)

// agesKey is the row that tells how old revisions of the table are. It is not
// below rowPrefix.
const agesKey = "claim-ages"

const (
	// markPeriod is the least time between two marks.
	markPeriod = time.Hour
	// retentionMarks marks are the 7 days for which a row is kept.
	retentionMarks = 7 * 24
	// agesPeriod is the time between two looks at the marks.
	agesPeriod = time.Minute
)

// ages is the value of the row of marks. Each mark is a revision that the row
// had; a mark is added only by a process that saw the row unchanged for
// markPeriod on its own monotonic clock. A row of the table with a revision up
// to that of mark i is therefore at least as many periods old as there are marks
// from i on. No wall clock is used: one that is wrong, at the writer of a claim or
// at the gateway that deletes, would end the protection of a call too early.
type ages struct {
	Marks []int64 `json:"marks"`
}

// cutoff returns the highest revision that is older than a number of marks, or 0
// if none is known to be.
func (a ages) cutoff(marks int) int64 {
	if len(a.Marks) < marks {
		return 0
	}
	return a.Marks[len(a.Marks)-marks]
}

// plausible reports whether the marks can belong to a row of this revision. They
// do not if the table was set up anew with other revisions.
func (a ages) plausible(revision int64) bool {
	last := int64(0)
	for _, m := range append(a.Marks, revision) {
		if m <= last {
			return false
		}
		last = m
	}
	return true
}

// ager reads the marks and adds to them.
type ager struct {
	table Table
	// keep is the retention in marks.
	keep int
	// seen is the revision of the row at the last look, and since the time of the
	// first look that found it.
	seen  int64
	since time.Time
	known bool
}

// look reads the row, adds a mark when it is time, and returns the cutoff.
func (g *ager) look(ctx context.Context) (int64, error) {
	row, err := g.table.Get(ctx, agesKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return 0, err
	}
	now := time.Now() // after the answer, so that the row is at least this old later
	if !g.known || row.Revision != g.seen {
		g.known, g.seen, g.since = true, row.Revision, now
	}
	var a ages
	if json.Unmarshal(row.Value, &a) != nil || !a.plausible(row.Revision) {
		a = ages{}
	}
	if row.Revision == 0 || now.Sub(g.since) >= markPeriod {
		return a.cutoff(g.keep), g.mark(ctx, a, row.Revision)
	}
	return a.cutoff(g.keep), nil
}

// mark adds the revision that the row has had for markPeriod. A write whose
// answer is lost shows at the next look.
func (g *ager) mark(ctx context.Context, a ages, revision int64) error {
	next := ages{Marks: []int64{}}
	if revision > 0 {
		next.Marks = append(append(next.Marks, a.Marks...), revision)
	}
	next.Marks = next.Marks[max(0, len(next.Marks)-g.keep):]
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	_, err = g.table.Txn(ctx, []platform.CondPut{{Key: agesKey, Value: value, IfRevision: revision}})
	return err
}
