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

// blocked is a pipe that nobody reads until it is opened.
type blocked struct {
	mu   sync.Mutex
	open chan struct{}
	out  bytes.Buffer
}

func (b *blocked) Write(line []byte) (int, error) {
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.Write(line)
}

// Guards against requests that wait for a reader of the log which does not read,
// and against dropped lines that nobody hears of.
func TestFullPipeDelaysNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		pipe := &blocked{open: make(chan struct{})}
		a := NewAsync(pipe)
		started := time.Now()
		for range 3 * asyncLines {
			n, err := a.Write([]byte("part=x msg=y\n"))
			is.NoErr(err)
			is.Equal(n, 13)
		}
		is.Equal(time.Since(started), time.Duration(0))
		is.True(a.Dropped() > asyncLines)
		a.Close()
		is.True(time.Since(started) <= flushWait)
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
		is.True(int(out) <= asyncBurst+(seconds+1)*asyncBytesPerSecond) // notes of dropped lines included
		is.True(int(out) >= seconds*asyncBytesPerSecond*9/10)
	})
}

type countingWriter int

func (c *countingWriter) Write(b []byte) (int, error) {
	*c += countingWriter(len(b))
	return len(b), nil
}

// Guards against lines that are lost at a normal end.
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
