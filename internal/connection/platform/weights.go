package platform

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Weights is a client for the weight store.
type Weights struct{ caller caller }

// NewWeights returns a client for the service at the base URL. The timeout applies to the complete
// transfer.
func NewWeights(base string, c *http.Client, timeout time.Duration) *Weights {
	return &Weights{caller: newCaller(base, c, timeout)}
}

// Fetch copies size bytes of the named weights to w. If the store refuses the read because of its
// rate limit, RetryAfter of the Error is the delay that the store requests.
func (s *Weights) Fetch(ctx context.Context, w io.Writer, name string, size int64) error {
	ctx, cancel := context.WithTimeout(ctx, s.caller.timeout)
	defer cancel()
	query := url.Values{"bytes": {strconv.FormatInt(size, 10)}}
	k := call{
		step:   "weights.fetch",
		method: http.MethodGet,
		path:   "/weights/" + url.PathEscape(name) + "?" + query.Encode(),
	}
	resp, err := s.caller.send(ctx, k)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.CopyN(w, resp.Body, size); err != nil {
		return NewError(k.step, s.caller.base, ErrNotApplied, err)
	}
	return nil
}
