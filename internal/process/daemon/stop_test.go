package daemon_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/process/daemon"
)

// Guards against connections that the kernel establishes between the last accept and the close of a
// listener, and then resets: 24 in 1,200 closes of a listener that still accepts connections.
func TestClosingListenerLosesNoEstablishedConnection(t *testing.T) {
	const stops, atOnce, clients = 400, 20, 12
	var lost, sent atomic.Int64
	var all sync.WaitGroup
	places := make(chan struct{}, atOnce)
	for range stops {
		places <- struct{}{}
		all.Go(func() {
			defer func() { <-places }()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Error(err)
				return
			}
			go func() { _ = echoOnce(l) }()
			var callers sync.WaitGroup
			for range clients {
				callers.Go(func() { callUntilRefused(l.Addr().String(), &sent, &lost) })
			}
			time.Sleep(5 * time.Millisecond)
			if err := daemon.RefuseNewConnections(l); err != nil {
				t.Error(err)
			}
			time.Sleep(100 * time.Millisecond) // the handshakes that have begun end
			if _, err := daemon.CloseListener(echoOnce, l); err != nil {
				t.Error(err)
			}
			callers.Wait()
		})
	}
	all.Wait()
	is := is.New(t)
	is.True(sent.Load() > stops)
	is.Equal(lost.Load(), int64(0))
}

// echoOnce answers one byte on each connection of a listener.
func echoOnce(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go func() {
			_, _ = io.CopyN(c, c, 1)
			_ = c.Close()
		}()
	}
}

func callUntilRefused(address string, sent, lost *atomic.Int64) {
	for {
		c, err := net.DialTimeout("tcp", address, 2*time.Second)
		if err != nil {
			return
		}
		sent.Add(1)
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		_, werr := c.Write([]byte{1})
		if _, rerr := io.ReadFull(c, make([]byte, 1)); werr != nil || rerr != nil {
			lost.Add(1)
		}
		_ = c.Close()
	}
}
