package logging

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// blockedWriter is a writer whose Write blocks until open is closed.
type blockedWriter struct {
	mu   sync.Mutex
	open chan struct{}
	out  bytes.Buffer
}

func (b *blockedWriter) Write(line []byte) (int, error) {
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.Write(line)
}

// Guards against requests that wait because the reader of the log doesn't read, and
// against dropped lines that are not reported.
func TestFullPipeDelaysNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		pipe := &blockedWriter{open: make(chan struct{})}
		a := NewAsync(pipe)
		started := time.Now()
		for range 3 * asyncQueueLines {
			n, err := a.Write([]byte("part=x msg=y\n"))
			is.NoErr(err)
			is.Equal(n, 13)
		}
		is.Equal(time.Since(started), time.Duration(0))
		is.True(a.Dropped() > asyncQueueLines)
		a.Close()
		is.True(time.Since(started) <= closeTimeout)
		close(pipe.open)
		synctest.Wait()
		is.True(strings.Contains(pipe.out.String(), "lines dropped"))
	})
}

// Guards against a log whose volume grows with the load.
func TestVolumeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out countingWriter
		a := NewAsync(&out)
		line := []byte(strings.Repeat("x", 199) + "\n")
		const seconds = 60
		for range seconds * 100 {
			for range 10 {
				_, _ = a.Write(line)
			}
			time.Sleep(10 * time.Millisecond)
		}
		a.Close()
		synctest.Wait()
		is.True(int(out) <= asyncBurstBytes+(seconds+1)*asyncBytesPerSecond) // reports of dropped lines included
		is.True(int(out) >= seconds*asyncBytesPerSecond*9/10)
	})
}

type countingWriter int

func (c *countingWriter) Write(b []byte) (int, error) {
	*c += countingWriter(len(b))
	return len(b), nil
}

// Guards against losing queued lines when the process ends normally.
func TestCloseWritesWhatIsQueued(t *testing.T) {
	is := is.New(t)
	r, w := io.Pipe()
	got := make(chan string)
	go func() {
		b, _ := io.ReadAll(r)
		got <- string(b)
	}()
	a := NewAsync(w)
	_, _ = a.Write([]byte("last\n"))
	a.Close()
	_ = w.Close()
	is.Equal(<-got, "last\n")
}
