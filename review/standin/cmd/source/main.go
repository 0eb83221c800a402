// Command source empties an engine that works on when a connection closes, while it runs plans. With
// DROPS=1 this engine drops such requests, too, as a check of the case itself.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"

	"review/world"
)

const (
	plans  = 16
	events = 234
	// overlap is how long an engine may work on after the request has gone on at another.
	overlap = 400 * time.Millisecond
)

func main() {
	w := world.New()
	w.Store.Put("op", "config", world.Config(7))
	// One of eight engines leaves: 0.125, while the site's days empty up to 0.25 of the replicas.
	engines := w.AddEngines("wa-south-a", "wa-south-b", "wa-south-a", "wa-south-b", "wa-south-a", "wa-south-b", "wa-south-a", "wa-south-b")
	w.AddGateways("wa-south-a", "wa-south-b")
	w.StartAll()

	var wait sync.WaitGroup
	var mu sync.Mutex
	complete := 0
	for i := range plans {
		g := w.Gateways[i%len(w.Gateways)]
		wait.Go(func() {
			id := world.NewID()
			if plan(w, g, id) {
				mu.Lock()
				complete++
				mu.Unlock()
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	busiest := engines[0]
	for _, e := range engines {
		if len(e.Runs()) > len(busiest.Runs()) {
			busiest = e
		}
	}
	// Most replicas drop a request when its connection closes; this one does not.
	busiest.SetKeepsRunning(os.Getenv("DROPS") != "1")
	if w.Trouble {
		busiest.Drain(1500 * time.Millisecond)
	}
	wait.Wait()
	time.Sleep(time.Second)

	var all []world.Run
	for _, e := range engines {
		all = append(all, e.Runs()...)
	}
	moved, twice := 0, 0
	for _, b := range all {
		if !b.Resumed {
			continue
		}
		moved++
		for _, a := range all {
			if a.ID != b.ID || a.Engine == b.Engine || !a.Began.Before(b.Began) || !a.Ended.After(b.Began.Add(overlap)) {
				continue
			}
			twice++
			w.Log("%s went on at %s at %.3f, but %s worked on it until %.3f (%s), %.0f ms longer, from event %d to %d while %s made %d to %d",
				b.ID, b.Engine, w.Since(b.Began), a.Engine, w.Since(a.Ended), a.End, a.Ended.Sub(b.Began).Seconds()*1000, b.First, a.Last, b.Engine, b.First, b.Last)
		}
	}
	if complete == 0 || w.Trouble && moved == 0 {
		w.Fail("%d plans complete, %d went on elsewhere", complete, moved)
	}
	if twice > 0 {
		w.End(world.Broken, "TWICE broken: %d of %d plans that went on elsewhere were still worked on by the first engine 400 ms later", twice, moved)
	}
	w.End(world.Held, "TWICE held: %d of %d plans complete, %d went on elsewhere", complete, plans, moved)
}

// plan requests one plan and reports whether all its events came.
func plan(w *world.World, g *world.Gateway, id string) bool {
	c, err := world.Dial(g.Front)
	if err != nil {
		w.Log("client: %s: %v", id, err)
		return false
	}
	defer c.Close()
	w.Log("client: %s sent to %s", id, g.Name)
	resp, err := c.Send(world.Request{Method: "POST", Path: world.PlanPath, ID: id, DeadlineMS: 39000, Body: fmt.Sprint(events), Header: map[string]string{
		"X-Persimmonwing-Model": "m", "X-Persimmonwing-Token-Usage": fmt.Sprintf("3000,%d", 4*events), "X-Persimmonwing-Prompt-Prefix": "5c1e07a2:79," + id[8:] + ":2921",
	}})
	if err != nil {
		w.Log("client: %s: %v", id, err)
		return false
	}
	n := 0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			n++
		}
	}
	_, err = io.Copy(io.Discard, resp.Body)
	w.Log("client: %s answered %d with %d events, end: %v %v", id, resp.StatusCode, n, lines.Err(), err)
	return resp.StatusCode == 200 && n == events && lines.Err() == nil
}
