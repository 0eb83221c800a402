package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a retry loop that continues after its context has ended, and against one
// that first waits for the rest of its delay.
func TestFor(t *testing.T) {
	for name, c := range map[string]struct{ d, end, took time.Duration }{
		"passes":            {time.Second, time.Minute, time.Second},
		"cut short":         {time.Minute, time.Second, time.Second},
		"nothing to wait":   {0, time.Second, 0},
		"negative":          {-time.Second, time.Second, 0},
		"had ended already": {time.Second, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithTimeout(t.Context(), c.end)
				defer cancel()
				begin := time.Now()
				err := For(ctx, c.d)
				is.Equal(time.Since(begin), c.took)
				is.Equal(err == nil, c.took < c.end)
			})
		})
	}
}
