package claim

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/connection/platform/platformtest"
)

const day = 24 * time.Hour

func always() bool { return true }

func newSweeper(t SweepTable) *Sweeper {
	return NewSweeper(t, SweepOptions{Elected: always, Start: func() string { return "" }, Logger: log.NewNopLogger()})
}

func startSweeper(ctx context.Context, t SweepTable) *Sweeper {
	s := newSweeper(t)
	go func() { _ = s.Run(ctx) }()
	return s
}

// put writes a row over whatever is there and returns its revision.
func put(t *testing.T, table *platformtest.Table, key string, value []byte) int64 {
	t.Helper()
	row, _ := table.Get(t.Context(), key)
	results, err := table.Txn(t.Context(), []platform.CondPut{{Key: key, Value: value, IfRevision: row.Revision}})
	if err != nil || !results[0].Applied {
		t.Fatalf("write of %s: %v", key, err)
	}
	return results[0].Row.Revision
}

func exists(t *testing.T, table *platformtest.Table, key string) bool {
	_, err := table.Get(t.Context(), key)
	return err == nil
}

// Guards against rows that are deleted within the retention of their last write
// or kept long after it, whatever their state, and against a sweeper that deletes
// rows of other parts.
func TestRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := &platformtest.Table{}
		startSweeper(t.Context(), table)
		time.Sleep(2 * time.Hour)
		for _, s := range []state{stateClaimed, stateDone, stateNotRun} {
			put(t, table, rowPrefix+string(s), record{State: s}.encode())
		}
		put(t, table, rowPrefix+"rewritten", nil)
		put(t, table, "catalogue/head", nil)
		put(t, table, "claimsx", nil)
		time.Sleep(5 * day)
		put(t, table, rowPrefix+"rewritten", nil)
		time.Sleep(2*day - time.Minute)
		for _, key := range []string{"claimed", "done", "not_run", "rewritten"} {
			is.True(exists(t, table, rowPrefix+key))
		}
		time.Sleep(6 * time.Hour)
		for _, key := range []string{"claimed", "done", "not_run"} {
			is.True(!exists(t, table, rowPrefix+key))
		}
		is.True(exists(t, table, rowPrefix+"rewritten"))
		time.Sleep(5*day + 6*time.Hour)
		is.True(!exists(t, table, rowPrefix+"rewritten"))
		is.True(exists(t, table, "catalogue/head") && exists(t, table, "claimsx"))
	})
}

// Guards against deletion when the age of rows is not known: the marks are
// unreadable, out of order, too few, or of another table.
func TestUnknownAgeIsLeftAlone(t *testing.T) {
	encode := func(marks ...int64) []byte {
		b, _ := json.Marshal(ages{Marks: marks})
		return b
	}
	many := func(first int64) []int64 {
		var out []int64
		for i := range int64(retentionMarks) {
			out = append(out, first+i)
		}
		return out
	}
	for name, c := range map[string]struct {
		value   []byte
		deleted bool
	}{
		"unreadable":       {[]byte("{"), false},
		"too few":          {encode(many(2)[1:]...), false},
		"out of order":     {encode(append(many(2)[1:], 1)...), false},
		"of another table": {encode(many(1 << 40)...), false},
		"old enough":       {encode(many(2)...), true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				table := &platformtest.Table{}
				put(t, table, rowPrefix+"a", nil)
				for range 300 {
					put(t, table, "other", nil)
				}
				put(t, table, agesKey, c.value)
				startSweeper(t.Context(), table)
				time.Sleep(markPeriod - 2*time.Minute)
				is.Equal(exists(t, table, rowPrefix+"a"), !c.deleted)
			})
		})
	}
}

// Guards against a cutoff that outlives the table it was taken from: while rows
// are deleted, the table is replaced by a copy with other revisions.
func TestReplacedTableStopsDeletion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := &platformtest.Table{}
		s := newSweeper(table)
		s.ages.keep = 1
		for i := range 3 * sweepRows {
			put(t, table, rowPrefix+fmt.Sprintf("%04d", i), nil)
		}
		is.NoErr(s.turn(t.Context())) // writes the row of marks
		time.Sleep(markPeriod)
		is.NoErr(s.turn(t.Context()))
		time.Sleep(markPeriod)
		is.NoErr(s.turn(t.Context()))
		is.NoErr(s.turn(t.Context()))
		is.Equal(s.Deleted(), int64(sweepRows))
		put(t, table, agesKey, []byte(`{"marks":[1099511627776]}`))
		for range 5 {
			is.NoErr(s.turn(t.Context()))
		}
		is.Equal(s.Deleted(), int64(sweepRows))
	})
}

// Guards against a pass that leaves out rows before its start or behind a page,
// against more than one transaction a second, and a sweeper that goes on reading
// pages when nothing can have expired.
func TestPassCoversAllRows(t *testing.T) {
	for _, start := range []string{"", "w3", "zzz"} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			const rows = 5*sweepRows + 7
			table := &platformtest.Table{}
			for i := range rows {
				put(t, table, Key{fmt.Sprint("w", i%7), "e", strconv.Itoa(i)}.row(), nil)
			}
			reads := 0
			table.Next = func(write bool) platformtest.Plan {
				if !write {
					reads++
				}
				return platformtest.Plan{}
			}
			s := NewSweeper(table, SweepOptions{Elected: always, Start: func() string { return start }, Logger: log.NewNopLogger()})
			s.ages.keep = 1
			began, _ := table.Counts()
			go func() { _ = s.Run(t.Context()) }()
			time.Sleep(markPeriod + 5*time.Minute)
			is.Equal(s.Deleted(), int64(rows))
			txns, _ := table.Counts()
			is.True(txns-began <= 6+3) // pages, and the writes of the marks
			time.Sleep(markPeriod - 10*time.Minute)
			if reads > 200 {
				t.Errorf("%d reads in 2 hours", reads)
			}
		})
	}
}

// Guards against a row that is deleted before its age is certain, or that stays,
// while sweepers race, pause and lose, delay and repeat writes, and rows are
// rewritten at any moment. The retention is 4 marks here.
func TestRetentionUnderFaults(t *testing.T) {
	const marks, horizon = 4, 16 * time.Hour
	type event struct {
		Key int
		At  time.Duration
	}
	drawEvent := func(t *rapid.T) event {
		return event{rapid.IntRange(0, 4).Draw(t, "key"), time.Duration(rapid.IntRange(0, int(horizon/time.Minute)).Draw(t, "at")) * time.Minute}
	}
	rapid.Check(t, func(rt *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(drawEvent), 1, 20).Draw(rt, "writes")
		plans := rapid.SliceOfN(rapid.Custom(drawPlan), 0, 60).Draw(rt, "plans")
		gaps := rapid.SliceOfN(rapid.IntRange(0, 90), 2, 40).Draw(rt, "elected")
		var problems []string
		problem := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
		synctest.Test(t, func(t *testing.T) {
			faults := &faultQueue{plans: plans}
			table := &platformtest.Table{Next: faults.next}
			start := time.Now()
			var calm atomic.Bool
			for i := range 2 {
				elected := func() bool { return calm.Load() || gaps[(int(time.Since(start)/time.Hour)+i)%len(gaps)] < 60 }
				s := NewSweeper(table, SweepOptions{Elected: elected, Start: func() string { return "" }, Logger: log.NewNopLogger()})
				s.ages.keep = marks
				go func() { _ = s.Run(t.Context()) }()
			}
			written := map[int]time.Time{}
			for minute := range int(horizon / time.Minute) {
				time.Sleep(time.Minute)
				for _, e := range events {
					if int(e.At/time.Minute) == minute {
						forceWrite(t, table, rowPrefix+strconv.Itoa(e.Key))
						written[e.Key] = time.Now()
					}
				}
				for k, at := range maps.All(written) {
					if time.Since(at) < marks*markPeriod && !holds(t, table, rowPrefix+strconv.Itoa(k)) {
						problem("row %d was deleted after %v", k, time.Since(at))
					}
				}
			}
			faults.clear()
			calm.Store(true)
			time.Sleep((marks + 2) * markPeriod)
			for k := range maps.Keys(written) {
				if holds(t, table, rowPrefix+strconv.Itoa(k)) {
					problem("row %d was not deleted", k)
				}
			}
		})
		if len(problems) > 0 {
			rt.Fatalf("%d problems: %q", len(problems), problems[:min(3, len(problems))])
		}
	})
}

// forceWrite writes a row through faults.
func forceWrite(t *testing.T, table *platformtest.Table, key string) {
	for {
		row, err := table.Get(t.Context(), key)
		if err != nil && err != platform.ErrNotFound {
			continue
		}
		results, err := table.Txn(t.Context(), []platform.CondPut{{Key: key, IfRevision: row.Revision}})
		if err == nil && results[0].Applied {
			return
		}
	}
}

// holds reads a row through faults.
func holds(t *testing.T, table *platformtest.Table, key string) bool {
	for {
		switch _, err := table.Get(t.Context(), key); err {
		case nil:
			return true
		case platform.ErrNotFound:
			return false
		}
	}
}

// Guards against a claim that is dispatched after its row may have been deleted,
// because the host was suspended and its monotonic clock stood still.
func TestSuspendedHostDoesNotDispatch(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := &Claim{deadline: now.Add(time.Hour), wallDeadline: now.Add(time.Hour).Round(0)}
	is.True(c.Dispatchable(now))
	c.wallDeadline = now.Add(-8 * day).Round(0)
	is.True(!c.Dispatchable(now))
}
