// Command bodies sends plans with long bodies to one gateway: as many as the zone has clients, and in a
// burst 2.6 times as many.
package main

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"review/world"
)

const (
	clients = 12        // of the zone wa-south-a
	burst   = 31        // 2.6 times as many
	size    = 4_000_000 // bytes of a body; the configuration allows 4,194,304
	events  = 150
	prompt  = 4500 // tokens; the site has up to 6,000
	// spacing is the time between two plans: 100 MB/s, less than the link of 1,000 Mbit/s carries.
	spacing = 40 * time.Millisecond
	// lostAllowed is how many requests the rule allows to be lost.
	lostAllowed = 3
)

type outcome struct {
	id       string
	answered bool // the head of an answer came
	complete bool
	status   int
}

func main() {
	w := world.New()
	w.Store.Put("op", "config", world.Config(7))
	w.AddApps("wa-south-a", "wa-south-b")
	engines := w.AddEngines("wa-south-a", "wa-south-b", "wa-south-a", "wa-south-b", "wa-south-a", "wa-south-b", "wa-south-a", "wa-south-b")
	w.AddGateways("wa-south-a", "wa-south-b")
	w.StartAll()
	g := w.Gateways[0]
	limit := w.LimitMemory(g)

	usual := wave(w, g, clients)
	time.Sleep(3 * time.Second)
	n := clients
	if w.Trouble {
		n = burst
	}
	second := wave(w, g, n)
	time.Sleep(time.Second)

	lost, cut, served := 0, 0, 0
	for _, o := range append(usual, second...) {
		at := ""
		for _, e := range engines {
			if e.Arrived(o.id) {
				at = e.ID
			}
		}
		switch {
		case o.complete && o.status == 200:
			served++
		case !o.answered && at != "":
			lost++
			w.Log("%s was passed on to %s, its connection was closed without an answer", o.id, at)
		case o.answered && !o.complete:
			cut++
			w.Log("%s was passed on to %s, its connection was closed within the answer", o.id, at)
		}
	}
	w.Log("peak of %s: %d kB; kills: %d; served %d, cut within the answer %d, lost without an answer %d", g.Name, limit.PeakKB.Load(), limit.Kills.Load(), served, cut, lost)
	if served < clients {
		w.Fail("only %d plans were served", served)
	}
	if lost > lostAllowed {
		w.End(world.Broken, "LOST broken: %s ended %d times over its %d MB; %d plans of kept connections, passed on to sound engines, ended without an answer, %d within it", g.Name, limit.Kills.Load(), world.MemoryMB, lost, cut)
	}
	w.End(world.Held, "LOST held: %d plans served, %d lost, peak %d kB of %d MB", served, lost, limit.PeakKB.Load(), world.MemoryMB)
}

// wave sends n plans at about the same time, each on a connection that has carried a booking before.
func wave(w *world.World, g *world.Gateway, n int) []outcome {
	var wait sync.WaitGroup
	out := make([]outcome, n)
	begin := make(chan struct{})
	for i := range n {
		c, err := world.Dial(g.Front)
		if err != nil {
			w.Fail("dial: %v", err)
		}
		defer c.Close()
		booking, err := c.Send(world.Request{Method: "POST", Path: world.BookingPath, ID: world.NewID(), DeadlineMS: 3000, Body: "wire"})
		if err != nil {
			w.Fail("booking: %v", err)
		}
		_, _ = io.Copy(io.Discard, booking.Body)
		o := &out[i]
		o.id = world.NewID()
		wait.Go(func() {
			<-begin
			time.Sleep(time.Duration(i) * spacing)
			plan(w, c, o)
		})
	}
	w.Log("%d plans with %d bytes each", n, size)
	close(begin)
	wait.Wait()
	return out
}

func plan(w *world.World, c *world.Client, o *outcome) {
	body := fmt.Sprintf("%-8d%s", events, o.id)
	body += strings.Repeat("x", size-len(body))
	resp, err := c.Send(world.Request{Method: "POST", Path: world.PlanPath, ID: o.id, DeadlineMS: 39000, Body: body, Header: map[string]string{
		"X-Persimmonwing-Model": "m", "X-Persimmonwing-Token-Usage": fmt.Sprintf("%d,%d", prompt, 4*events), "X-Persimmonwing-Prompt-Prefix": fmt.Sprintf("5c1e07a2:79,%s:%d", o.id[8:], prompt-79),
	}})
	if err != nil {
		w.Log("client: %s: %v", o.id, err)
		return
	}
	o.answered, o.status = true, resp.StatusCode
	n := 0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			n++
		}
	}
	o.complete = lines.Err() == nil && (o.status != 200 || n == events)
	w.Log("client: %s answered %d with %d events, end: %v", o.id, o.status, n, lines.Err())
}
