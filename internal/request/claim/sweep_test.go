package claim

import (
	"context"
	"encoding/json"
	"fmt"
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

// startSweeper starts a Sweeper whose retention is the given number of marks.
func startSweeper(ctx context.Context, t SweepTable, marks int, elected func() bool, start string) *Sweeper {
	s := NewSweeper(t, SweepOptions{Elected: elected, Start: func() string { return start }, Logger: log.NewNopLogger()})
	s.ages.retention = marks
	go func() { _ = s.Run(ctx) }()
	return s
}

// put writes a row unconditionally.
func put(t *testing.T, table *platformtest.Table, key string, value []byte) {
	t.Helper()
	for {
		row, _ := table.Get(t.Context(), key)
		results, err := table.Txn(t.Context(), []platform.CondPut{{Key: key, Value: value, IfRevision: row.Revision}})
		if err != nil {
			t.Fatalf("write of %s: %v", key, err)
		}
		if results[0].Applied {
			return
		}
	}
}

func exists(t *testing.T, table *platformtest.Table, key string) bool {
	_, err := table.Get(t.Context(), key)
	return err == nil
}

// Guards against rows, in any state, that are deleted before the retention has passed
// since their last write or kept long after it, and against deleting rows that are not
// claims.
func TestRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := &platformtest.Table{}
		startSweeper(t.Context(), table, retentionMarks, always, "")
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

// Guards against deletion of rows of unknown age: the marks are unreadable, out of
// order, too few, or belong to another table.
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
				startSweeper(t.Context(), table, retentionMarks, always, "")
				time.Sleep(markInterval - 2*time.Minute)
				is.Equal(exists(t, table, rowPrefix+"a"), !c.deleted)
			})
		})
	}
}

// Guards against a pass that skips rows before its start or after a page, against more
// than one page per second, against a sweeper that keeps reading pages when nothing can
// have expired, and against using a cutoff after its table was replaced.
func TestPassCoversAllRows(t *testing.T) {
	for _, start := range []string{"", "w3", "zzz"} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			const rows = 5*sweepRows + 7
			var reads atomic.Int64
			table := &platformtest.Table{}
			for i := range rows {
				put(t, table, Key{fmt.Sprint("w", i%7), "e", strconv.Itoa(i)}.row(), nil)
			}
			table.Next = func(write bool) platformtest.Plan {
				if !write {
					reads.Add(1)
				}
				return platformtest.Plan{}
			}
			s := startSweeper(t.Context(), table, 1, always, start)
			time.Sleep(markInterval + 3*time.Minute + 1500*time.Millisecond)
			is.True(s.Deleted() < 3*sweepRows)
			is.True(s.Deleted() > 0)
			marks, err := table.Get(t.Context(), agesKey)
			is.NoErr(err)
			deleted := s.Deleted()
			for _, other := range []string{`{"marks":[1099511627776]}`, `{"marks":[1]}`} { // of tables with other revisions
				put(t, table, agesKey, []byte(other))
				time.Sleep(2 * time.Minute)
				is.True(s.Deleted() <= deleted+1)
			}
			put(t, table, agesKey, marks.Value)
			time.Sleep(2 * time.Minute)
			is.Equal(s.Deleted(), int64(rows))
			time.Sleep(markInterval - 10*time.Minute)
			if reads.Load() > 200 {
				t.Errorf("%d reads in 2 hours", reads.Load())
			}
		})
	}
}

// Guards against a row that is deleted before its age is certain, or that is never
// deleted, while sweepers race and pause, writes are lost, delayed and repeated, and
// rows are rewritten at any time. The retention is 3 marks here.
func TestRetentionUnderFaults(t *testing.T) {
	const marks, minutes = 3, 9 * 60
	rapid.Check(t, func(rt *rapid.T) {
		keyAt := rapid.MapOfN(rapid.IntRange(0, minutes-1), rapid.IntRange(0, 4), 1, 20).Draw(rt, "writes")
		plans := rapid.SliceOfN(rapid.Custom(drawPlan), 0, 60).Draw(rt, "plans")
		paused := rapid.SliceOfN(rapid.Bool(), 2, 20).Draw(rt, "paused")
		var problems []string
		synctest.Test(t, func(t *testing.T) {
			faults := &faultQueue{plans: plans}
			var faultsOff atomic.Bool // set while the test itself uses the table, and at the end
			table := &platformtest.Table{Next: func(write bool) platformtest.Plan {
				if faultsOff.Load() {
					return platformtest.Plan{}
				}
				return faults.next(write)
			}}
			start := time.Now()
			for i := range 2 {
				startSweeper(t.Context(), table, marks, func() bool {
					return faultsOff.Load() || !paused[(int(time.Since(start)/time.Hour)+i)%len(paused)]
				}, "")
			}
			written := map[string]time.Time{}
			for minute := range minutes {
				time.Sleep(time.Minute)
				faultsOff.Store(true)
				if k, ok := keyAt[minute]; ok {
					key := rowPrefix + strconv.Itoa(k)
					put(t, table, key, nil)
					written[key] = time.Now()
				}
				for key, at := range written {
					if time.Since(at) < marks*markInterval && !exists(t, table, key) {
						problems = append(problems, fmt.Sprintf("%s was deleted after %v", key, time.Since(at)))
					}
				}
				faultsOff.Store(false)
			}
			faultsOff.Store(true)
			time.Sleep((marks + 2) * markInterval)
			for key := range written {
				if exists(t, table, key) {
					problems = append(problems, key+" was not deleted")
				}
			}
		})
		if len(problems) > 0 {
			rt.Fatalf("%d problems: %q", len(problems), problems[:min(3, len(problems))])
		}
	})
}

// Guards against dispatching a claim after its row may have been deleted, because the
// host was suspended and its monotonic clock stopped.
func TestSuspendedHostDoesNotDispatch(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := &Claim{deadline: now.Add(time.Hour), wallDeadline: now.Add(time.Hour).Round(0)}
	is.True(c.Dispatchable(now))
	c.wallDeadline = now.Add(-8 * day).Round(0)
	is.True(!c.Dispatchable(now))
}
