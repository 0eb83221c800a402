// Command case-9 shows requests that reach a server long after it has reported that it leaves, because an older write of
// its entry took effect late.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"reviewtwo/world"
)

const (
	// appCount is the number of application servers at a time. In each round, leavers of them leave.
	appCount, leavers, rounds = 8, 2, 4
	// Times in a round. lostTime is the length of the disruption of the store. At lateAt the servers that will leave
	// write their entries, which takes effect lateBy later. They report draining at drainAt and end at endAt.
	lostTime = 4500 * time.Millisecond
	lateAt   = lostTime - 100*time.Millisecond
	lateBy   = 5600 * time.Millisecond
	drainAt  = lostTime + 3050*time.Millisecond
	endAt    = drainAt + 4*time.Second
	restTime = 1500 * time.Millisecond
	// drainTime is drain_ms.
	drainTime = 2 * time.Second
	// callTime is the time between two bookings at each of the gateways.
	callTime = 150 * time.Millisecond
)

func main() { os.Exit(world.Main(play)) }

// arrivals holds the times at which bookings reach a server, by server.
var arrivals = struct {
	sync.Mutex
	at map[string][]arrival
}{at: map[string][]arrival{}}

type arrival struct {
	id string
	at time.Time
}

func startApp(s *world.Script, number int) (*world.Server, error) {
	app := &world.Server{ID: fmt.Sprintf("i-app%02d", number), Service: world.App, Zone: "wa-south-a", Slots: 6}
	whole := world.Whole(60*time.Millisecond, 800)
	app.Work = func(w http.ResponseWriter, r *http.Request, body []byte) {
		arrivals.Lock()
		arrivals.at[app.ID] = append(arrivals.at[app.ID], arrival{r.Header.Get(world.HeaderAttempt), time.Now()})
		arrivals.Unlock()
		whole(w, r, body)
	}
	return app, app.Start(s.Store, s.Record)
}

func play(s *world.Script) ([]string, error) {
	var apps []*world.Server
	started := 0
	add := func() error {
		app, err := startApp(s, started)
		started++
		apps = append(apps, app)
		return err
	}
	for range appCount {
		if err := add(); err != nil {
			return nil, err
		}
	}
	if err := s.Store.Put("op", "config", world.Config(7)); err != nil {
		return nil, err
	}
	gateways, err := world.NewGateways(s.Binary, s.Directory, s.Store, s.Record, "wa-south-a", "wa-south-b", "wa-south-c")
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
	ended := make(chan struct{})
	var clients sync.WaitGroup
	for i, g := range gateways {
		clients.Go(func() { calls(s, g.Front, i, ended) })
	}
	time.Sleep(3 * time.Second)

	var broken []string
	for range rounds {
		began := time.Now()
		until := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
		leaving := apps[:leavers]
		apps = apps[leavers:]
		if s.Trouble {
			s.Record.Line("the store loses answers of writes, some take effect late, for %v", lostTime)
		}
		until(lateAt)
		for _, app := range leaving {
			if !s.Trouble {
				continue
			}
			if err := app.WriteLate(lateBy); err != nil {
				return nil, err
			}
		}
		until(lostTime)
		s.Record.Line("the store is undisturbed again")
		until(drainAt)
		drained := time.Now()
		for _, app := range leaving {
			if err := app.Leave(); err != nil {
				return nil, err
			}
			s.Record.Line("the store accepts that %s is draining", app.ID)
		}
		for range leavers {
			if err := add(); err != nil {
				return nil, err
			}
		}
		until(endAt)
		for _, app := range leaving {
			app.End()
			arrivals.Lock()
			for _, a := range arrivals.at[app.ID] {
				if late := a.at.Sub(drained); late > drainTime {
					broken = append(broken, fmt.Sprintf("DRAIN: %s reached %s %v after the store had accepted that it is draining", a.id, app.ID, late.Round(time.Millisecond)))
				}
			}
			arrivals.Unlock()
		}
		until(endAt + restTime)
	}
	close(ended)
	clients.Wait()
	return broken, nil
}

// calls sends one booking after the other on a kept connection, until ended is closed.
func calls(s *world.Script, front string, number int, ended chan struct{}) {
	var c net.Conn
	var in *bufio.Reader
	for i := 0; ; i++ {
		select {
		case <-ended:
			if c != nil {
				c.Close()
			}
			return
		case <-time.After(callTime):
		}
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", front, time.Second); err != nil {
				s.Record.Line("client %d can't connect: %v", number, err)
				c = nil
				continue
			}
			in = bufio.NewReader(c)
		}
		if !call(s, c, in, fmt.Sprintf("call%04d%08d", number, i)) {
			c.Close()
			c = nil
		}
	}
}

// call sends a booking. It returns false if the connection can't be used again.
func call(s *world.Script, c net.Conn, in *bufio.Reader, id string) bool {
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	s.Record.Sent(id, "POST /booking/")
	_, _ = io.WriteString(c, "POST /booking/2f HTTP/1.1\r\nHost: "+world.Host+"\r\n"+world.HeaderAttempt+": "+id+"\r\n"+
		world.HeaderDeadline+": 3000\r\nAuthorization: Token "+world.Key+"\r\nContent-Length: 2\r\n\r\n{}")
	resp, err := http.ReadResponse(in, &http.Request{Method: http.MethodPost})
	if err != nil {
		s.Record.Line("client of %s: the connection ends: %v", id, err)
		return false
	}
	n, err := io.Copy(io.Discard, resp.Body)
	s.Record.Line("client of %s gets %d, body of %d bytes, %v", id, resp.StatusCode, n, err)
	return err == nil && !resp.Close
}
