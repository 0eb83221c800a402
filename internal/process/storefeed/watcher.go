package storefeed

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"

	"persimmonwing/internal/process/boottime"
	"persimmonwing/internal/request/pause"
)

const (
	// feedWait is how long the store holds a call without changes. Each answer costs
	// a call and confirms the configuration as of its question, so that the age of
	// the last confirmation grows to twice this time: with 1.8 s, gateways left the
	// rotation on calm days.
	feedWait = 1200 * time.Millisecond
	// followedFeedWait is feedWait of a reader with followers, whose confirmations
	// are older than its own by up to twice copyWait.
	followedFeedWait = time.Second
	// probeTimeout bounds a call after a failure. A slow store needs a third of a
	// second for an answer.
	probeTimeout = 800 * time.Millisecond
	// retryFirst and retryMost bound the wait after a failed call. All gateways ask
	// at once when the store returns.
	retryFirst = 100 * time.Millisecond
	retryMost  = 500 * time.Millisecond
	// ReturnBound is the time within which a gateway that reads the store notices
	// its return.
	ReturnBound = probeTimeout + retryFirst + retryMost
	// newsPause is the wait after an answer with changes. Servers come and go in
	// groups, and each answer has a price. Engines state their leaving themselves.
	newsPause = 100 * time.Millisecond
	// probePeriod is the time between two questions to the store of a gateway whose
	// reader has lost it. The gateway's own way to the store may still be open.
	probePeriod = 2 * time.Second
)

// Watcher follows one table.
type Watcher struct {
	Source Source
	// Copies is nil for a table that other gateways do not follow.
	Copies *Copies
	Table  string
	Logger log.Logger
	// Newest is the highest revision that any watcher of this process has seen. An
	// answer from before a revision that this process knows is out of date.
	Newest *atomic.Int64
	// Sync takes the whole table and Change one changed row.
	Sync   func(now time.Time, rows []Row)
	Change func(now time.Time, r Row)
	// Confirmed is called after each answer with the time for which it holds.
	Confirmed func(at time.Duration)
	// Returned is called with the time at which the store answered again after a
	// failure, for some returns more than once.
	Returned func(at time.Time)

	// probedAt is the time of the last question to the store after a failure.
	probedAt time.Time
}

// needsList stands for the revision of a table that has not been read yet; 0 is
// that of an empty store.
const needsList = -1

var (
	errOutdated   = eris.New("answer is older than an earlier one")
	errReaderLost = eris.New("the reader of the store has lost it")
)

// answer is what the store or a reader says.
type answer struct {
	Rows
	// whole is set where the rows are the whole table.
	whole bool
	// confirmedAt is the time for which the answer holds, 0 if it confirms nothing.
	confirmedAt time.Duration
	// returnedAt is the time at which a reader regained the store, if it lost it.
	returnedAt time.Time
}

// Run follows the table until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	since := int64(needsList)
	failures := 0
	for ctx.Err() == nil {
		a, err := w.ask(ctx, since, failures > 0)
		if err == nil && a.Revision < w.Newest.Load() && since == needsList {
			err = errOutdated
		}
		if errors.Is(err, ErrHistoryGone) {
			_ = level.Info(w.Logger).Log("msg", "history is gone, reading the whole table", "table", w.Table, "since", since)
			since = needsList
			continue
		}
		if err != nil {
			if ctx.Err() != nil {
				break
			}
			failures++
			if failures == 1 {
				_ = level.Warn(w.Logger).Log("msg", "store lost", "table", w.Table, "err", err)
				w.Copies.lost(w.Table)
			}
			_ = pause.For(ctx, BackOff(failures))
			continue
		}
		now := time.Now()
		if failures > 0 {
			_ = level.Info(w.Logger).Log("msg", "store regained", "table", w.Table, "failures", failures)
			failures = 0
			a.returnedAt = now
		}
		if !a.returnedAt.IsZero() {
			w.Returned(a.returnedAt)
		}
		w.apply(now, a)
		since = max(since, a.Revision)
		raise(w.Newest, a.Revision)
		if a.confirmedAt > 0 {
			w.Confirmed(a.confirmedAt)
		}
		w.Copies.take(w.Table, a)
		if len(a.Rows.Rows) > 0 {
			_ = pause.For(ctx, newsPause)
		}
	}
	return nil
}

// ask reads what is new, from a reader's copy if that is fresh and else from the
// store.
func (w *Watcher) ask(ctx context.Context, since int64, failed bool) (answer, error) {
	least := since
	if since == needsList {
		least = w.Newest.Load()
	}
	a, outcome := w.Copies.ask(ctx, w.Table, since, least)
	switch {
	case outcome == copyFresh:
		return a, nil
	case outcome == copyLost && failed && time.Since(w.probedAt) < probePeriod:
		return answer{}, errReaderLost
	}
	if failed {
		w.probedAt = time.Now()
	}
	return w.askStore(ctx, since, failed)
}

// askStore reads what is new from the store. After a failure it does not let the
// store hold the call, and waits less for the answer: a call that was lost must not
// delay the return.
func (w *Watcher) askStore(ctx context.Context, since int64, failed bool) (answer, error) {
	wait := feedWait
	if w.Copies.followed() {
		wait = followedFeedWait
	}
	if failed {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		wait = 0
	}
	a := answer{whole: since == needsList, confirmedAt: boottime.Now()}
	var err error
	if a.whole {
		a.Rows, err = w.Source.List(ctx, w.Table)
	} else {
		a.Rows, err = w.Source.Feed(ctx, w.Table, since, wait)
	}
	return a, err
}

func (w *Watcher) apply(now time.Time, a answer) {
	if a.whole {
		w.Sync(now, a.Rows.Rows)
		return
	}
	for _, r := range a.Rows.Rows {
		w.Change(now, r)
	}
}

func raise(v *atomic.Int64, to int64) {
	for old := v.Load(); to > old; old = v.Load() {
		if v.CompareAndSwap(old, to) {
			return
		}
	}
}

// BackOff returns a random wait that grows with the failures in a row.
func BackOff(failures int) time.Duration {
	most := min(retryMost, retryFirst<<min(failures, 8))
	return retryFirst + time.Duration(rand.Int64N(int64(most)))
}
