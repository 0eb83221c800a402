package loadgen

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests to a gateway that has reported that it is shutting down: a
// load balancer would send none, and a new connection may reach a closing listener.
func TestUnreadyTargetsComeLast(t *testing.T) {
	is := is.New(t)
	var stopping atomic.Bool
	admin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if stopping.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer admin.Close()
	silent := httptest.NewServer(http.NotFoundHandler())
	silent.Close()
	urls := []string{admin.URL, silent.URL, admin.URL}
	r, stop, err := newReadiness(context.Background(), []string{"a", "b", "c"}, urls[:1])
	is.True(err != nil) // one URL for each target
	is.True(r == nil && stop == nil)
	r, stop, err = newReadiness(context.Background(), []string{"a", "b", "c"}, []string{admin.URL, silent.URL, silent.URL})
	is.NoErr(err)
	defer stop()
	time.Sleep(2 * readinessPeriod)
	is.Equal(r.readyFirst([]int{0, 1, 2}), []int{0, 1, 2}) // targets that do not respond count as ready
	stopping.Store(true)
	time.Sleep(3 * readinessPeriod)
	is.Equal(r.readyFirst([]int{0, 1, 2}), []int{1, 2, 0})
	is.Equal(r.readyFirst([]int{2, 0, 1}), []int{2, 1, 0})
	stopping.Store(false)
	time.Sleep(3 * readinessPeriod)
	is.Equal(r.readyFirst([]int{0, 1, 2}), []int{0, 1, 2})
}
