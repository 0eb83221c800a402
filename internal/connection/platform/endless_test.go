package platform

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/connection/bodies/bodiestest"
)

// Guards against a faulty store whose responses have no end: each is bounded by maxResponseBytes, but several at a time
// fill the memory of the process.
func TestMemoryOfResponsesWithoutEnd(t *testing.T) {
	const calls, limit = 8, maxResponseBytes + 32<<20
	is := is.New(t)
	chunk := make([]byte, 64<<10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/sound") {
			for range 20 << 20 / len(chunk) {
				_, _ = w.Write(chunk)
			}
			return
		}
		for {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	}))
	t.Cleanup(server.Close)
	objects := NewObjects(server.URL, server.Client(), 10*time.Second)
	grown := bodiestest.PeakHeap(func() {
		var work sync.WaitGroup
		for range calls {
			work.Go(func() {
				if _, err := objects.Get(t.Context(), "b", "endless"); err == nil {
					t.Error("a response without end was read")
				}
			})
		}
		work.Wait()
	})
	t.Logf("%.1f MB more on the heap", float64(grown)/1e6)
	is.True(grown < limit)
	body, err := objects.Get(t.Context(), "b", "sound") // larger than what several may take together
	is.NoErr(err)
	is.Equal(len(body), 20<<20)
}
