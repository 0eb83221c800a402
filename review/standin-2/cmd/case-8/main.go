// Command case-8 shows an answer without a length that looks complete although its gateway was killed halfway.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"reviewtwo/world"
)

const (
	// answerSize is the size of an answer. It is sent in answerPieces, one each pieceTime: 1.2 s in all.
	answerSize   = 300 << 10
	answerPieces = 24
	pieceTime    = 50 * time.Millisecond
	clientCount  = 6
	// killAfter is the time from the first request to the kill.
	killAfter = 700 * time.Millisecond
)

func main() { os.Exit(world.Main(play)) }

func play(s *world.Script) ([]string, error) {
	for i := range 2 {
		app := &world.Server{ID: fmt.Sprint("i-app", i), Service: world.App, Zone: "wa-south-a", Slots: 6, Work: world.Unframed(answerSize, answerPieces, pieceTime)}
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

	var clients sync.WaitGroup
	broken := make([]string, clientCount)
	for i := range clientCount {
		clients.Go(func() { broken[i] = request(s, gateways[0].Front, i) })
	}
	if s.Trouble {
		time.Sleep(killAfter)
		gateways[0].Signal(syscall.SIGKILL)
	}
	clients.Wait()
	var out []string
	for _, b := range broken {
		if b != "" {
			out = append(out, b)
		}
	}
	return out, nil
}

// request sends a booking and returns what is wrong with its answer, or nothing.
func request(s *world.Script, front string, number int) string {
	id := fmt.Sprintf("booking%09d", number)
	c, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		s.Record.Line("client of %s can't connect: %v", id, err)
		return ""
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	s.Record.Sent(id, "POST /booking/")
	_, _ = io.WriteString(c, "POST /booking/2f HTTP/1.1\r\nHost: "+world.Host+"\r\n"+world.HeaderAttempt+": "+id+"\r\n"+
		world.HeaderDeadline+": 3000\r\nAuthorization: Token "+world.Key+"\r\nContent-Length: 2\r\n\r\n{}")
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		s.Record.Line("client of %s: the connection ends: %v", id, err)
		return ""
	}
	// ReadAll returns an error for a reset, and for a body that is shorter than its length or lacks its last chunk.
	body, err := io.ReadAll(resp.Body)
	s.Record.Line("client of %s gets %d, seal %q, length %d, %s, body of %d bytes, end: %v", id, resp.StatusCode, resp.Header.Get(world.HeaderSeal),
		resp.ContentLength, strings.Join(resp.TransferEncoding, ","), len(body), err)
	if err != nil || resp.StatusCode != http.StatusOK || bytes.Equal(body, world.Pattern(answerSize)) {
		return ""
	}
	return fmt.Sprintf("MIXED: the answer to %s is a success that ends like a complete one after %d of %d bytes", id, len(body), answerSize)
}
