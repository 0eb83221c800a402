package storefeed

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"

	"persimmonwing/internal/process/boottime"
	"persimmonwing/internal/request/pause"
)

const (
	// feedWait is how long the store delays its response to a Feed call while there are
	// no changes. Each call costs money. A response confirms the configuration as of the
	// time at which the call was sent, so the age of the last confirmation grows to twice
	// feedWait: with 1.8 s, gateways became unready on days without faults.
	feedWait = 1200 * time.Millisecond
	// followedFeedWait replaces feedWait on a reader with followers. Each of the two levels
	// of followers adds up to twice copyWait to the age of a confirmation, which must stay
	// below 3 s.
	followedFeedWait = 700 * time.Millisecond
	// probeTimeout bounds a call after a failed call. A slow store takes a third of a
	// second to respond.
	probeTimeout = 800 * time.Millisecond
	// retryBase is the minimum wait after a failed call, and maxRetryJitter bounds the
	// random time added to it. The jitter spreads the calls that all gateways send when
	// the store is available again.
	retryBase      = 100 * time.Millisecond
	maxRetryJitter = 500 * time.Millisecond
	// MaxRecoveryDelay is the time within which a gateway that reads the store detects
	// that the store is available again.
	MaxRecoveryDelay = probeTimeout + retryBase + maxRetryJitter
	// changePause is the wait after a response with changes, so that the next response
	// contains several further changes: servers start and stop in groups, and each call
	// costs money. The delay is acceptable because a draining engine also reports this
	// itself.
	changePause = 100 * time.Millisecond
	// probePeriod is the time between two calls to the store by a gateway whose reader
	// cannot read the store. The gateway's own connection to the store may still work.
	probePeriod = 2 * time.Second
)

// Watcher keeps the rest of the process up to date with one table of the store.
type Watcher struct {
	Source Source
	// Copies is nil for a table that is not shared between gateways.
	Copies *Copies
	Table  string
	Logger log.Logger
	// Newest is the highest revision that any watcher of this process has seen. A
	// whole table with a lower revision is out of date.
	Newest *atomic.Int64
	// Sync is called with the whole table, and Change with the changed rows of one response.
	Sync   func(now time.Time, rows []Row)
	Change func(now time.Time, rows []Row)
	// Confirmed is called after each response that confirms the table. The response was
	// current at time at, measured since boot.
	Confirmed func(at time.Duration)
	// Superseded reports whether a row of the last call of Sync or Change must not be passed on, because this process
	// knows a later one of its key. Later is called once after the start, at any time, with the rows of another gateway, the
	// reader, which may be later than those of the store. Both may be nil.
	Superseded func(Row) bool
	Later      func(reader string, rows []Row)
	// Recovered is called with the time at which the store responded again after a
	// failure. It may be called more than once for the same recovery.
	Recovered func(at time.Time)

	// reader is the gateway whose copy the last response was, or "" for the store.
	reader string
	// read is set once the table has been read.
	read bool
	// probedAt is the time of the last call to the store after a failure. following is set
	// if the last response came from a reader.
	probedAt  time.Time
	following bool
}

// needsList is used as the revision of a table that has not been read yet, because 0 is
// the revision of an empty store.
const needsList = -1

var errReaderLostStore = eris.New("the reader cannot read the store")

// result is a response of the store or of a reader.
type result struct {
	Rows
	// whole is set if the rows are the whole table.
	whole bool
	// confirmedAt is the time since boot as of which the response was current, or 0 if
	// the response confirms nothing.
	confirmedAt time.Duration
	// recoveredAt is the time at which the store was available again after an outage, or
	// zero.
	recoveredAt time.Time
	// reader is the gateway whose copy the response is, or "" for the store.
	reader string
}

// Reader returns the gateway from whose copy the rows of the current call of Sync or Change are, or "" if they are
// from the store.
func (w *Watcher) Reader() string { return w.reader }

// Run reads the table and its changes until ctx ends. It always returns nil.
func (w *Watcher) Run(ctx context.Context) error {
	var asking sync.WaitGroup
	defer asking.Wait()
	since := int64(needsList)
	var lost outage
	confirmedAt := time.Duration(0)
	for ctx.Err() == nil {
		res, err := w.fetch(ctx, since, lost.failures > 0)
		if known := w.Newest.Load(); err == nil && res.Revision < known && since == needsList {
			err = &outdatedError{answered: res.Revision, known: known}
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
			if now := time.Now(); lost.note(now, err) {
				_ = log.With(level.Warn(w.Logger), lost.fields(now)...).Log("msg", "store lost", "table", w.Table, "since", since)
			}
			if lost.failures == 1 {
				w.Copies.markLost(w.Table)
			}
			_ = pause.For(ctx, BackOff(lost.failures))
			continue
		}
		now := time.Now()
		if lost.failures == 0 && since != needsList && boottime.Now()-confirmedAt < maxCopyAge {
			// Only the reader had lost the store: this gateway has read it all the time, so
			// no entry can have expired during an outage.
			res.recoveredAt = time.Time{}
		}
		if lost.failures > 0 {
			_ = log.With(level.Info(w.Logger), lost.fields(now)...).Log("msg", "store regained", "table", w.Table, "revision", res.Revision, "reader", res.reader)
			lost = outage{}
			res.recoveredAt = now
		}
		if !res.recoveredAt.IsZero() {
			w.Recovered(res.recoveredAt)
		}
		w.apply(now, res)
		since = max(since, res.Revision)
		raise(w.Newest, res.Revision)
		if res.confirmedAt > 0 {
			confirmedAt = max(confirmedAt, res.confirmedAt)
			w.Confirmed(res.confirmedAt)
		}
		w.Copies.update(w.Table, w.Copies.keepLater(w.Table, res, w.Superseded))
		if !w.read && res.reader == "" && w.Later != nil && w.Copies != nil {
			asking.Go(func() { w.askForLater(ctx) })
		}
		w.read = true
		if len(res.Rows.Rows) > 0 {
			_ = pause.For(ctx, changePause)
		}
	}
	return nil
}

// fetch returns the changes after revision since, or the whole table if since is
// needsList. It uses the copy of a reader if one is fresh, and otherwise the store.
func (w *Watcher) fetch(ctx context.Context, since int64, failed bool) (result, error) {
	minRevision := since
	if since == needsList {
		minRevision = w.Newest.Load()
	}
	res, outcome := w.Copies.fetch(ctx, w.Table, since, minRevision)
	lostReader := w.following && outcome != copyFresh
	w.following = outcome == copyFresh
	switch {
	case outcome == copyFresh:
		return res, nil
	case outcome == copyLost && failed && time.Since(w.probedAt) < probePeriod:
		return result{}, errReaderLostStore
	}
	if failed {
		w.probedAt = time.Now()
	}
	// The last copy may be old, so the first call after it does not wait for changes.
	return w.fetchFromStore(ctx, since, failed, lostReader)
}

// fetchFromStore is like fetch but always calls the store. After a failure it requests an
// immediate response and uses the shorter probeTimeout, so that a lost call does not delay
// the recovery. immediate requests an immediate response without a failure.
func (w *Watcher) fetchFromStore(ctx context.Context, since int64, failed, immediate bool) (result, error) {
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
	if immediate {
		wait = 0
	}
	res := result{whole: since == needsList, confirmedAt: boottime.Now()}
	var err error
	if res.whole {
		res.Rows, err = w.Source.List(ctx, w.Table)
	} else {
		res.Rows, err = w.Source.Feed(ctx, w.Table, since, wait)
	}
	return res, err
}

func (w *Watcher) apply(now time.Time, res result) {
	w.reader = res.reader
	if res.whole {
		w.Sync(now, res.Rows.Rows)
		return
	}
	if len(res.Rows.Rows) > 0 {
		w.Change(now, res.Rows.Rows)
	}
}

func raise(v *atomic.Int64, to int64) {
	for old := v.Load(); to > old; old = v.Load() {
		if v.CompareAndSwap(old, to) {
			return
		}
	}
}

// BackOff returns a random wait that grows with the number of consecutive failures. It is
// between retryBase and retryBase + maxRetryJitter.
func BackOff(failures int) time.Duration {
	jitter := min(maxRetryJitter, retryBase<<min(failures, 8))
	return retryBase + time.Duration(rand.Int64N(int64(jitter)))
}
