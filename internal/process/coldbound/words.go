package coldbound

import (
	"strconv"
	"strings"
	"time"
)

// maxCold bounds the time for which a server can state that it is cold.
const maxCold = time.Hour

// ParseLeft returns the time for which a server is still cold as a response states in milliseconds.
func ParseLeft(value string) (time.Duration, bool) {
	ms, err := strconv.ParseUint(strings.TrimSpace(value), 10, 63)
	if err != nil {
		return 0, false
	}
	return Left(int64(ms)), true
}

// Left returns a stated time in milliseconds, within bounds.
func Left(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxCold.Milliseconds())) * time.Millisecond
}

// Words is what a server has said of how long it is cold. An answer to a request of this gateway replaces reports that were
// received before the request was sent, and nothing replaces an answer but a later one: a report may be as old as the server's reports lag, or
// have been passed on. Otherwise the longer time holds, since a server may become cold again.
type Words struct {
	// answered is the end by the answer to the request that was sent last, at answeredSent.
	answered, answeredSent time.Time
	// reported is the end by the newest report, which was received at reportedAt.
	reported, reportedAt time.Time
}

// Answer records an answer to a request that was sent at the time sent.
func (w *Words) Answer(now, sent time.Time, left time.Duration) {
	if !sent.Before(w.answeredSent) {
		w.answered, w.answeredSent = now.Add(left), sent
	}
}

// Report records the newest report, which was received at the time at by this gateway or from another one.
func (w *Words) Report(at time.Time, left time.Duration) { w.reported, w.reportedAt = at.Add(left), at }

// Left returns how much longer the server is cold.
func (w *Words) Left(now time.Time) time.Duration {
	until := w.answered
	if !w.answeredSent.After(w.reportedAt) && w.reported.After(until) {
		until = w.reported
	}
	return max(0, until.Sub(now))
}
