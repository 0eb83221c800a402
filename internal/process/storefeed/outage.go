package storefeed

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"
)

// outageReportPeriod is the time between two log lines about the same outage.
const outageReportPeriod = 5 * time.Second

// Kinds of failures of a watcher, for its log.
const (
	failureOutdated   = "outdated"
	failureReaderLost = "reader_lost"
	failureTimeout    = "timeout"
	failureConnection = "connection"
)

// outdatedError is the failure of a read whose response is older than what this process has read before.
type outdatedError struct{ answered, known Position }

// Error implements error.
func (e *outdatedError) Error() string {
	return fmt.Sprintf("the response of revision %d in era %d is older than revision %d in era %d, which has been read", e.answered.Revision, e.answered.Era, e.known.Revision, e.known.Era)
}

// outage counts the failures of a watcher since its last usable response. The zero value is no outage.
type outage struct {
	failures        int
	began, reported time.Time
	kinds           map[string]int
	last            error
}

// note adds a failure. It reports whether the outage is due for a log line: at its begin, and every outageReportPeriod.
func (o *outage) note(now time.Time, err error) (due bool) {
	if o.failures == 0 {
		o.began, o.kinds = now, map[string]int{}
	}
	o.failures++
	o.kinds[failureKind(err)]++
	o.last = err
	if o.failures > 1 && now.Sub(o.reported) < outageReportPeriod {
		return false
	}
	o.reported = now
	return true
}

// fields describes the outage for a log line: the number of failures, by kind, and the last one.
func (o *outage) fields(now time.Time) []any {
	var kinds []string
	for kind, n := range o.kinds {
		kinds = append(kinds, fmt.Sprintf("%s:%d", kind, n))
	}
	slices.Sort(kinds)
	return []any{"failures", o.failures, "kinds", strings.Join(kinds, ","), "lasted_ms", now.Sub(o.began).Milliseconds(), "err", o.last}
}

// failureKind classifies a failed read. A source may classify its own errors by a method FailureKind.
func failureKind(err error) string {
	var own interface{ FailureKind() string }
	var outdated *outdatedError
	var network net.Error
	switch {
	case errors.As(err, &own):
		return own.FailureKind()
	case errors.As(err, &outdated):
		return failureOutdated
	case errors.Is(err, errReaderLostStore):
		return failureReaderLost
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &network) && network.Timeout():
		return failureTimeout
	}
	return failureConnection
}
