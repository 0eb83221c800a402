package claim

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"persimmonwing/internal/connection/platform"
)

// agesKey is the key of the row that maps table revisions to ages. It does not
// begin with rowPrefix.
const agesKey = "claim-ages"

const (
	// markInterval is the minimum time between two marks.
	markInterval = time.Hour
	// retentionMarks is the retention of a row, 7 days, in marks.
	retentionMarks = 7 * 24
	// agesPollInterval is the interval at which the marks are read.
	agesPollInterval = time.Minute
)

// ages is the value of the row agesKey. Each mark is a former revision of that row. A
// process adds a mark only after it has seen the row unchanged for markInterval on
// its own monotonic clock. A table row with a revision up to that of mark i is
// therefore at least n intervals old, where n is the number of marks from i to the
// end of the list. Wall clocks are not used: a wrong clock, at the gateway that
// writes a claim or at the one that deletes it, would end the protection of a call
// too early.
type ages struct {
	Marks []int64 `json:"marks"`
}

// cutoff returns the highest revision that is known to be at least the given number
// of marks old, or 0 if there is none.
func (a ages) cutoff(marks int) int64 {
	if len(a.Marks) < marks {
		return 0
	}
	return a.Marks[len(a.Marks)-marks]
}

// plausible reports whether the marks can belong to a row with this revision. They
// cannot if the table was recreated and its revision numbers restarted.
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

// ageTracker reads the marks and adds new ones.
type ageTracker struct {
	table Table
	// retention is the retention of rows in marks.
	retention int
	// lastRevision is the revision of the row at the last refresh, and unchangedSince the
	// time of the first refresh that found it. Both are valid if observed is set.
	lastRevision   int64
	unchangedSince time.Time
	observed       bool
}

// refresh reads the row, adds a mark if one is due, and returns the cutoff.
func (g *ageTracker) refresh(ctx context.Context) (int64, error) {
	row, err := g.table.Get(ctx, agesKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return 0, err
	}
	now := time.Now() // taken after the read, so that the row's age is never overestimated
	if !g.observed || row.Revision != g.lastRevision {
		g.observed, g.lastRevision, g.unchangedSince = true, row.Revision, now
	}
	var a ages
	if json.Unmarshal(row.Value, &a) != nil || !a.plausible(row.Revision) {
		a = ages{}
	}
	if row.Revision == 0 || now.Sub(g.unchangedSince) >= markInterval {
		return a.cutoff(g.retention), g.addMark(ctx, a, row.Revision)
	}
	return a.cutoff(g.retention), nil
}

// addMark adds the revision that the row has had for markInterval. If the answer to
// the write is lost, the next refresh shows whether it was applied.
func (g *ageTracker) addMark(ctx context.Context, a ages, revision int64) error {
	next := ages{Marks: []int64{}}
	if revision > 0 {
		next.Marks = append(append(next.Marks, a.Marks...), revision)
	}
	next.Marks = next.Marks[max(0, len(next.Marks)-g.retention):]
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	_, err = g.table.Txn(ctx, []platform.CondPut{{Key: agesKey, Value: value, IfRevision: revision}})
	return err
}
