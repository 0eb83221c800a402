package backend

import (
	"net"
	"testing"
)

// Guards against a server that has ended and counts as alive while the connections that it has not closed yet are open.
func TestServerThatIsClosingItsConnectionsHasEnded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan net.Conn, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			accepted <- c
		}
	}()
	p := NewPool(nil)
	defer p.Close()
	address := l.Addr().String()
	if p.Refuses(t.Context(), address, true) {
		t.Error("the server has ended, says the check before its end")
	}
	defer (<-accepted).Close()
	_ = l.Close()
	if !p.Refuses(t.Context(), address, true) {
		t.Error("the server is alive, says the check after its end")
	}
}
