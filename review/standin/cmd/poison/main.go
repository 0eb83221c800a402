// Command poison sends a lookup that crashes each application server that begins to run it, again and
// again, beside bookings of other clients.
package main

import (
	"io"
	"sync"
	"time"

	"review/world"
)

const (
	deadly  = "/puxa403/deadly"
	repeats = 10
	// pause is the time between two of its retries; by then the servers are back.
	pause   = 4500 * time.Millisecond
	bookers = 24
	// crashesFirst is the number of crashes after which only retriesAllowed retries may reach servers.
	crashesFirst, retriesAllowed = 3, 3
)

type booking struct {
	id     string
	sent   time.Time
	status int
}

func main() {
	w := world.New()
	w.Store.Put("op", "config", world.Config(7))
	apps := w.AddApps("wa-south-a", "wa-south-b", "wa-south-a", "wa-south-b")
	if w.Trouble {
		for _, a := range apps {
			a.Deadly = deadly
		}
	}
	w.AddGateways("wa-south-a", "wa-south-b")
	w.StartAll()

	stop := make(chan struct{})
	var wait sync.WaitGroup
	var mu sync.Mutex
	var bookings []booking
	for i := range bookers {
		g := w.Gateways[i%2]
		wait.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				b := booking{id: world.NewID(), sent: time.Now()}
				b.status = ask(w, g, "POST", world.BookingPath, b.id)
				mu.Lock()
				bookings = append(bookings, b)
				mu.Unlock()
			}
		})
	}
	var retries []string
	for i := range repeats {
		id := world.NewID()
		retries = append(retries, id)
		status := ask(w, w.Gateways[i%2], "GET", deadly, id)
		w.Log("client: deadly lookup, attempt %d, %s answered %d", i+1, id, status)
		time.Sleep(pause)
	}
	close(stop)
	wait.Wait()

	var crashes []time.Time
	for _, a := range apps {
		crashes = append(crashes, a.Crashes()...)
	}
	third := nth(crashes, crashesFirst)
	late, lost, served := 0, 0, 0
	for _, id := range retries {
		for _, a := range apps {
			at, reached := a.Arrivals()[id]
			if reached && !third.IsZero() && at.After(third.Add(world.StableMS*time.Millisecond)) {
				late++
				w.Log("%s reached %s %.1f s after the third crash", id, a.ID, at.Sub(third).Seconds())
				break
			}
		}
	}
	for _, b := range bookings {
		ran := 0
		for _, a := range apps {
			ran += a.Ran(b.id)
		}
		switch {
		case b.status == 200:
			served++
		case ran > 0 && !third.IsZero() && b.sent.After(third.Add(world.StableMS*time.Millisecond)):
			lost++
			w.Log("booking %s ran and ended with %d", b.id, b.status)
		}
	}
	w.Log("%d crashes, %d late retries, %d bookings served, %d lost later", len(crashes), late, served, lost)
	if served < 100 {
		w.Fail("only %d bookings were served", served)
	}
	if late > retriesAllowed {
		w.End(world.Broken, "BUDGET broken: %d retries reached servers later than stable_ms after the third crash, %d crashes in all; %d bookings of others that had begun were lost in them", late, len(crashes), lost)
	}
	w.End(world.Held, "BUDGET held: %d late retries, %d crashes, %d bookings served", late, len(crashes), served)
}

// nth returns the n-th earliest time, or zero.
func nth(times []time.Time, n int) time.Time {
	for _, t := range times {
		earlier := 0
		for _, u := range times {
			if u.Before(t) {
				earlier++
			}
		}
		if earlier == n-1 {
			return t
		}
	}
	return time.Time{}
}

func ask(w *world.World, g *world.Gateway, method, path, id string) int {
	c, err := world.Dial(g.Front)
	if err != nil {
		w.Log("client: %s: %v", id, err)
		return 0
	}
	defer c.Close()
	resp, err := c.Send(world.Request{Method: method, Path: path, ID: id, DeadlineMS: 3000, Body: bodyOf(method)})
	if err != nil {
		w.Log("client: %s: %v", id, err)
		return 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

func bodyOf(method string) string {
	if method == "GET" {
		return ""
	}
	return "wire"
}
