package storefeed

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
)

type statusError int

func (e statusError) Error() string       { return fmt.Sprint("status ", int(e)) }
func (e statusError) FailureKind() string { return fmt.Sprint("status_", int(e)) }

// Guards against an outage whose log does not tell a store that is away from one that rejects this gateway, and from
// responses that were not believed: a line for the first failure only names that one.
func TestOutageTellsKindsOfFailures(t *testing.T) {
	is := is.New(t)
	var o outage
	now := time.Unix(1000, 0)
	is.True(o.note(now, eris.Wrap(statusError(503), "store feed")))
	is.True(!o.note(now.Add(time.Second), &outdatedError{answered: Position{2, 7}, known: Position{2, 9}}))
	is.True(!o.note(now.Add(2*time.Second), errReaderLostStore))
	is.True(!o.note(now.Add(3*time.Second), context.DeadlineExceeded))
	is.True(!o.note(now.Add(4*time.Second), errors.New("reset")))
	is.True(o.note(now.Add(outageReportPeriod), &outdatedError{answered: Position{1, 8}, known: Position{2, 9}}))
	is.Equal(fmt.Sprint(o.fields(now.Add(6*time.Second))...), fmt.Sprint("failures", 6,
		"kinds", "connection:1,outdated:2,reader_lost:1,status_503:1,timeout:1", "lasted_ms", 6000,
		"err", "the response of revision 8 in era 1 is older than revision 9 in era 2, which has been read"))
}
