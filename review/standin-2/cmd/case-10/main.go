// Command case-10 shows answers that a gateway cuts off while it stops, although their servers still send them.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"reviewtwo/world"
)

const (
	// answerSize is the size of an answer. It is sent in answerPieces, one each pieceTime: 1 s in all. The route allows
	// 1.5 s, and the client 3 s.
	answerSize   = 200 << 10
	answerPieces = 20
	pieceTime    = 50 * time.Millisecond
	clientCount  = 6
	// termAfter is the time from the first request to SIGTERM, clientTime that to the last one, and graceTime is
	// grace_s.
	termAfter  = 2 * time.Second
	clientTime = 5 * time.Second
	graceTime  = 8 * time.Second
)

func main() { os.Exit(world.Main(play)) }

// cut is an answer that ended early.
type cut struct {
	id       string
	from, to time.Time
	bytes    int
}

var (
	mu   sync.Mutex
	cuts []cut
)

func play(s *world.Script) ([]string, error) {
	for i := range 2 {
		app := &world.Server{ID: fmt.Sprint("i-app", i), Service: world.App, Zone: "wa-south-a", Slots: 6, Work: world.Pieces(answerSize, answerPieces, pieceTime)}
		if err := app.Start(s.Store, s.Record); err != nil {
			return nil, err
		}
	}
	if err := s.Store.Put("op", "config", world.Config(7)); err != nil {
		return nil, err
	}
	gateways, err := world.NewGateways(s.Binary, s.Directory, s.Store, s.Record, "wa-south-a", "wa-south-b")
	if err != nil {
		return nil, err
	}
	for _, g := range gateways {
		if err := g.Start(); err != nil {
			return nil, err
		}
		defer g.End()
	}
	for _, g := range gateways {
		if err := g.AwaitReady(10 * time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)

	began := time.Now()
	var clients sync.WaitGroup
	for i := range clientCount {
		clients.Go(func() { lookups(s, gateways[0].Front, i, began.Add(clientTime)) })
	}
	var term time.Time
	if s.Trouble {
		time.Sleep(termAfter)
		term = time.Now()
		gateways[0].Signal(syscall.SIGTERM)
	}
	clients.Wait()
	if !s.Trouble {
		s.Record.Line("%d answers were cut off, without planned work", len(cuts))
		return nil, nil
	}
	var broken []string
	for _, c := range cuts {
		if runs := s.Record.Runs(c.id); len(runs) > 0 && c.to.After(term) && c.to.Before(term.Add(graceTime+time.Second)) {
			broken = append(broken, fmt.Sprintf("LOST: the answer to %s, sent by %v, was cut off after %d of %d bytes and %v, %v after SIGTERM",
				c.id, runs, c.bytes, answerSize, c.to.Sub(c.from).Round(time.Millisecond), c.to.Sub(term).Round(time.Millisecond)))
		}
	}
	return broken, nil
}

// lookups sends one lookup after the other, on a kept connection as long as that stays open.
func lookups(s *world.Script, front string, number int, end time.Time) {
	var c net.Conn
	var in *bufio.Reader
	for i := 0; time.Now().Before(end); i++ {
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", front, time.Second); err != nil {
				s.Record.Line("client %d can't connect: %v", number, err)
				return
			}
			in = bufio.NewReader(c)
		}
		if !lookup(s, c, in, fmt.Sprintf("lookup%04d%06d", number, i)) {
			c.Close()
			c = nil
		}
	}
	if c != nil {
		c.Close()
	}
}

// lookup sends a lookup. It returns false if the connection can't be used again.
func lookup(s *world.Script, c net.Conn, in *bufio.Reader, id string) bool {
	sent := time.Now()
	_ = c.SetDeadline(sent.Add(5 * time.Second))
	s.Record.Sent(id, "GET /lookup/")
	if _, err := io.WriteString(c, "GET /lookup/2f HTTP/1.1\r\nHost: "+world.Host+"\r\n"+world.HeaderAttempt+": "+id+"\r\n"+
		world.HeaderDeadline+": 3000\r\nAuthorization: Token "+world.Key+"\r\n\r\n"); err != nil {
		s.Record.Line("client of %s can't send: %v", id, err)
		return false
	}
	resp, err := http.ReadResponse(in, &http.Request{Method: http.MethodGet})
	if err != nil {
		s.Record.Line("client of %s: the connection ends: %v", id, err)
		return false
	}
	n, err := io.Copy(io.Discard, resp.Body)
	s.Record.Line("client of %s gets %d, body of %d bytes of %d, %v", id, resp.StatusCode, n, resp.ContentLength, err)
	if err != nil && resp.StatusCode == http.StatusOK {
		mu.Lock()
		defer mu.Unlock()
		cuts = append(cuts, cut{id, sent, time.Now(), int(n)})
	}
	return err == nil && !resp.Close
}
