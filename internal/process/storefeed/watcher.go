package storefeed

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
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
	// shortProbeTimeout replaces probeTimeout while the copy of a substitute is read, which ages during the call.
	shortProbeTimeout = 300 * time.Millisecond
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
	// itself. After a whole table it bounds the calls to a store that has no history.
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
	// Newest is shared by the watchers of this process. What precedes it is out of date.
	Newest *Newest
	// Sync is called with the whole table, and Change with the changed rows of one response.
	Sync   func(now time.Time, rows []Row)
	Change func(now time.Time, rows []Row)
	// Confirmed is called after each response that confirms the table. The response was
	// current at time at, measured since boot.
	Confirmed func(at time.Duration)
	// Superseded reports whether a row of the last call of Sync or Change must not be passed on, because this process
	// knows a later one of its key. Later is called after the start, at any time, with the rows of other gateways, which may be
	// later than those of the store, and returns those that are. Both may be nil.
	Superseded func(Row) bool
	Later      func(gateway string, rows []Row) (later []Row)
	// AskFirst is set for a table that is confirmed only after other gateways were asked for later rows: after the start, and each time
	// that the store has come back from an older copy.
	AskFirst bool
	// Returned is called when the store has come back from an older copy, before Sync is called with the table of the new era.
	// What this process has read or written there may be lost. It may be nil.
	Returned func(now time.Time, before, after Position)
	// Recovered is called with the time at which the store responded again after a
	// failure. It may be called more than once for the same recovery.
	Recovered func(at time.Time)

	// StartedAt is a position of the store that this process has seen before the first read of the table, or zero.
	StartedAt Position

	// reader is the gateway whose copy the last response was, or "" for the store.
	reader string
	// at is the position of the last response, and read is set once the table has been read. needsWhole is set while the
	// changes since then are not known.
	at               Position
	read, needsWhole bool
	// confirmedAt is the time since boot as of which the last response was current.
	confirmedAt time.Duration
	// substitute is set if the last response was that of a substitute.
	substitute bool
	// probedAt is the time of the last call to the store after a failure. following is set
	// if the last response came from a reader.
	probedAt  time.Time
	following bool
}

// needsList is used as the revision in a request for a whole table, because 0 is the revision of an empty store.
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
	// substitute is set if that gateway is not one that this gateway follows.
	substitute bool
}

// Reader returns the gateway from whose copy the rows of the current call of Sync or Change are, or "" if they are
// from the store.
func (w *Watcher) Reader() string { return w.reader }

// Run reads the table and its changes until ctx ends. It always returns nil.
func (w *Watcher) Run(ctx context.Context) error {
	var asking sync.WaitGroup
	defer asking.Wait()
	var lost outage
	w.at = Position{Era: w.StartedAt.Era}
	for ctx.Err() == nil {
		known := w.Newest.Load()
		whole := w.needsWhole || !w.read || w.at.Era < known.Era
		res, err := w.fetch(ctx, whole, lost.failures > 0)
		if errors.Is(err, ErrHistoryGone) {
			_ = level.Info(w.Logger).Log("msg", "history is gone, reading the whole table", "table", w.Table, "since", w.at.Revision, "era", w.at.Era)
			w.needsWhole, w.probedAt = true, time.Time{} // the store has answered
			continue
		}
		if err == nil && !res.whole && res.Era != w.at.Era {
			// The response has the changes after a revision that this era may have given out again.
			w.needsWhole, w.probedAt = true, time.Time{}
			continue
		}
		if err == nil && (res.whole && res.Position().Before(known) || res.Era < known.Era) {
			err = &outdatedError{answered: res.Position(), known: known}
		}
		if err != nil {
			if ctx.Err() != nil {
				break
			}
			if now := time.Now(); lost.note(now, err) {
				_ = level.Warn(w.Logger).Log(append([]any{"msg", "store lost", "table", w.Table, "since", w.at.Revision, "era", w.at.Era}, lost.fields(now)...)...)
			}
			if lost.failures == 1 {
				w.Copies.markLost(w.Table)
			}
			if !w.substitute {
				_ = pause.For(ctx, BackOff(lost.failures))
			}
			w.substitute = false
			continue
		}
		now := time.Now()
		res.recoveredAt = w.recoveredAt(now, &res, whole, lost.failures > 0)
		if lost.failures > 0 && !res.substitute {
			_ = level.Info(w.Logger).Log(append([]any{"msg", "store regained", "table", w.Table, "revision", res.Revision, "era", res.Era, "reader", res.reader}, lost.fields(now)...)...)
			lost = outage{}
		}
		asks := w.asks(&res)
		w.use(now, res)
		if asks {
			answered := make(chan struct{})
			asking.Go(func() { w.askForLater(ctx, sync.OnceFunc(func() { close(answered) })) })
			if w.AskFirst {
				w.awaitLater(ctx, answered)
			}
		}
		w.confirm(res)
		w.read, w.needsWhole, w.substitute = true, false, res.substitute
		if len(res.Rows.Rows) > 0 || res.whole {
			_ = pause.For(ctx, changePause)
		}
	}
	return nil
}

// use applies a response and passes it on to the followers.
func (w *Watcher) use(now time.Time, res result) {
	if w.returned(&res) {
		_ = level.Warn(w.Logger).Log("msg", "store has come back from an older copy", "table", w.Table, "revision", res.Revision, "era", res.Era, "revision_before", w.at.Revision, "era_before", w.at.Era, "reader", res.reader)
		if w.Returned != nil {
			w.Returned(now, w.at, res.Position())
		}
	}
	if !res.recoveredAt.IsZero() {
		w.Recovered(res.recoveredAt)
	}
	w.apply(now, res)
	if res.whole || w.at.Before(res.Position()) {
		w.at = res.Position()
	}
	w.Newest.Raise(res.Position())
	w.Copies.update(w.Table, w.Copies.keepLater(w.Table, res, w.Superseded))
}

// asks reports whether other gateways may have rows that are later than those of a response.
func (w *Watcher) asks(res *result) bool {
	if w.Later == nil || w.Copies == nil {
		return false
	}
	if w.AskFirst {
		return !w.read || w.returned(res)
	}
	return !w.read && res.reader == ""
}

// confirm passes on that the table was current when a response was requested.
func (w *Watcher) confirm(res result) {
	if res.confirmedAt > 0 {
		w.confirmedAt = max(w.confirmedAt, res.confirmedAt)
		w.Confirmed(res.confirmedAt)
	}
}

// returned reports whether a response shows that the store has come back from an older copy since the last one.
func (w *Watcher) returned(res *result) bool {
	return (w.read || w.StartedAt.Era > 0) && w.at.Era < res.Era
}

// recoveredAt returns the time at which the store was available again if entries may have expired in an outage before a
// response, or are missing in the older copy that the store has come back from, and otherwise the zero time.
func (w *Watcher) recoveredAt(now time.Time, res *result, whole, failed bool) time.Time {
	switch {
	case w.returned(res):
		return now
	case !whole && (!failed || w.substitute) && boottime.Now()-w.confirmedAt < maxCopyAge:
		// Only the reader, or this gateway, had lost the store: the table has been read all the time.
		return time.Time{}
	case failed && !res.substitute:
		return now
	}
	return res.recoveredAt
}

// fetch returns the changes since the last response, or the whole table. It uses the copy of a reader if one is fresh, and
// otherwise the store. While it can read neither, it uses the copy of any other gateway that can.
func (w *Watcher) fetch(ctx context.Context, whole, failed bool) (result, error) {
	since, oldest := w.at, w.at
	if whole {
		since, oldest = Position{Revision: needsList}, w.Newest.Load()
	}
	res, outcome := w.Copies.fetch(ctx, w.Table, since, oldest)
	lostReader := w.following && outcome != copyFresh
	w.following = outcome == copyFresh
	if outcome == copyFresh {
		return res, nil
	}
	probeDue := time.Since(w.probedAt) >= probePeriod
	if failed && !(probeDue && w.substitute) {
		if res, ok := w.Copies.fetchSubstitute(ctx, w.Table, since, oldest); ok {
			return res, nil
		}
		if outcome == copyLost && !probeDue {
			return result{}, errReaderLostStore
		}
	}
	if failed {
		w.probedAt = time.Now()
	}
	// The last copy may be old, so the first call after it does not wait for changes.
	return w.fetchFromStore(ctx, whole, failed, lostReader)
}

// fetchFromStore is like fetch but always calls the store. After a failure it requests an
// immediate response and uses the shorter probeTimeout, so that a lost call does not delay
// the recovery. immediate requests an immediate response without a failure.
func (w *Watcher) fetchFromStore(ctx context.Context, whole, failed, immediate bool) (result, error) {
	wait := feedWait
	if w.Copies.followed() {
		wait = followedFeedWait
	}
	if failed {
		timeout := probeTimeout
		if w.substitute {
			timeout = shortProbeTimeout
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
		wait = 0
	}
	if immediate {
		wait = 0
	}
	res := result{whole: whole, confirmedAt: boottime.Now()}
	var err error
	if res.whole {
		res.Rows, err = w.Source.List(ctx, w.Table)
	} else {
		res.Rows, err = w.Source.Feed(ctx, w.Table, w.at.Revision, wait)
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

// BackOff returns a random wait that grows with the number of consecutive failures. It is
// between retryBase and retryBase + maxRetryJitter.
func BackOff(failures int) time.Duration {
	jitter := min(maxRetryJitter, retryBase<<min(failures, 8))
	return retryBase + time.Duration(rand.Int64N(int64(jitter)))
}
