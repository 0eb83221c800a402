package daemon

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"persimmonwing/internal/process/admission"
)

// BodyBounds bound a body of a request.
type BodyBounds struct {
	// Bytes is the largest size.
	Bytes int64
	// Time is what a body of any size may take, and BytesPerSecond the slowest pace of what takes longer.
	Time           time.Duration
	BytesPerSecond int64
	// Until is the latest end, or zero.
	Until time.Time
	// Copies is how often the body is held in memory.
	Copies int64
}

// ReadBody reads the body of a request until ctx ends. Its errors are *http.MaxBytesError, admission.ErrFull,
// admission.ErrDisplaced, os.ErrDeadlineExceeded, the cause of ctx, or those of the connection.
func ReadBody(ctx context.Context, w http.ResponseWriter, r *http.Request, b BodyBounds) ([]byte, error) {
	if r.ContentLength > b.Bytes {
		return nil, &http.MaxBytesError{Limit: b.Bytes}
	}
	control := http.NewResponseController(w)
	held := ConnectionOf(r.Context()).Held()
	began := time.Now()
	setDeadline := func(size int64) {
		end := began.Add(admission.BodyTime(b.Time, size, b.BytesPerSecond))
		if !b.Until.IsZero() && b.Until.Before(end) {
			end = b.Until
		}
		_ = control.SetReadDeadline(end)
		if ctx.Err() != nil || held.Displaced() { // the deadline had been expired
			_ = control.SetReadDeadline(expiredDeadline)
		}
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, eris.Wrap(err, "set deadline")
	}
	setDeadline(max(0, r.ContentLength))
	keepReading := context.AfterFunc(ctx, func() { _ = control.SetReadDeadline(expiredDeadline) })
	body, err := held.ReadBody(http.MaxBytesReader(w, r.Body, b.Bytes), r.ContentLength, b.Copies, setDeadline)
	switch {
	case !keepReading():
		return nil, context.Cause(ctx)
	case err != nil && held.Displaced():
		return nil, admission.ErrDisplaced
	case err != nil:
		return nil, err
	}
	// The read deadline must not close the connection while waiting for the response.
	return body, control.SetReadDeadline(time.Time{})
}

// DiscardBody reads the rest of the body of a request that has been refused, at most limit bytes within a time:
// a caller that still sends it must get the response and not a reset. The connection is kept only if the body ends
// within these bounds.
func DiscardBody(w http.ResponseWriter, r *http.Request, limit int64, within time.Duration) {
	control := http.NewResponseController(w)
	if control.SetReadDeadline(time.Now().Add(within)) != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, r.Body, limit); errors.Is(err, io.EOF) {
		_ = control.SetReadDeadline(time.Time{})
	}
}
