// Command grace cuts a gateway off from the store for a few seconds. After the cut a server leaves whose
// entry is removed without a report that it drains.
package main

import (
	"io"
	"time"

	"review/world"
)

const (
	cycles  = 7
	cutTime = 3 * time.Second
	// leaveAfter is the time from the end of the cut to the removal of the entry, and
	// askAfter and askUntil bound the requests that follow.
	leaveAfter = 600 * time.Millisecond
	askAfter   = world.StableMS*time.Millisecond + 100*time.Millisecond
	askUntil   = 4500 * time.Millisecond
	// workTime is what a booking takes at the server that leaves; the site has up to 450 ms. The
	// server ends a little after drain_ms.
	workTime  = 200 * time.Millisecond
	endsAfter = world.DrainMS*time.Millisecond + 550*time.Millisecond
)

func main() {
	w := world.New()
	w.ProxyStore = true
	w.Store.Put("op", "config", world.Config(7))
	apps := w.AddApps("wa-south-a", "wa-south-b", "wa-south-a", "wa-south-b")
	w.AddGateways("wa-south-a", "wa-south-b")
	w.StartAll()
	// The machine that reads the store for all, and the server that it uses first when idle.
	g, leaver := w.Gateways[0], apps[0]
	if w.Gateways[1].StoreProxy.Sent() > g.StoreProxy.Sent() {
		g, leaver = w.Gateways[1], apps[1]
	}
	leaver.Work = workTime
	w.Log("%s reads the store", g.Name)
	late, lost := 0, 0
	for cycle := range cycles {
		c, err := world.Dial(g.Front)
		if err != nil {
			w.Fail("dial: %v", err)
		}
		ask(w, c, "GET", world.LookupPath)
		if w.Trouble {
			g.StoreProxy.Cut(true)
		}
		w.Log("cycle %d: cut=%v", cycle, w.Trouble)
		time.Sleep(cutTime)
		g.StoreProxy.Cut(false)
		ended := time.Now()
		w.Log("end of the cut")
		time.Sleep(time.Until(ended.Add(leaveAfter)))
		acknowledged := leaver.Leave()
		ends := time.AfterFunc(endsAfter, leaver.End)
		time.Sleep(time.Until(ended.Add(askAfter)))
		for time.Since(ended) < askUntil {
			id, status := ask(w, c, "POST", world.BookingPath)
			at, reached := leaver.Arrivals()[id]
			if !reached {
				continue
			}
			after := at.Sub(acknowledged)
			w.Log("%s reached %s %.0f ms after the acknowledgement, %.0f ms after the end of the cut", id, leaver.ID, after.Seconds()*1000, at.Sub(ended).Seconds()*1000)
			if after > world.DrainMS*time.Millisecond {
				late++
				if status != 200 {
					lost++
				}
			}
		}
		c.Close()
		ends.Stop()
		leaver.Return()
		time.Sleep(1500 * time.Millisecond)
	}
	if late > 0 {
		w.End(world.Broken, "DRAIN broken: in %d cycles, %d bookings reached the server later than drain_ms after its removal, from a machine in touch; %d of them were lost with it", cycles, late, lost)
	}
	w.End(world.Held, "DRAIN held in %d cycles", cycles)
}

func ask(w *world.World, c *world.Client, method, path string) (id string, status int) {
	id = world.NewID()
	body := "wire"
	if method == "GET" {
		body = ""
	}
	resp, err := c.Send(world.Request{Method: method, Path: path, ID: id, DeadlineMS: 3000, Body: body})
	if err != nil {
		w.Fail("client: %v", err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	w.Log("client: %s answered %d", id, resp.StatusCode)
	return id, resp.StatusCode
}
