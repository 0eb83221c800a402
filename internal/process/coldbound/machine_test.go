package coldbound

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// world is a store's row, gateways with clocks of their own, and calls that are on their way.
type world struct {
	t        *rapid.T
	now      time.Duration
	revision int64
	row      Row
	gateways []*node
	// late are writes whose answer is lost and that the store may still perform.
	late []write
	// sends are the times of the requests that reached the server.
	sends []time.Duration
}

type write struct {
	expect int64
	row    Row
}

type node struct {
	name   string
	offset time.Duration // of its clock
	tenure *Tenure
	ledger Ledger
	parts  Parts
	starts int
	// asked are the calls to issuers without an answer yet.
	asked []call
}

type call struct {
	sent time.Duration
	n    int
}

const testRights = 5

const testServer = "s"

func (w *world) clock(n *node) time.Duration { return w.now + n.offset }

func (w *world) node(label string) *node {
	return w.gateways[rapid.IntRange(0, len(w.gateways)-1).Draw(w.t, label)]
}

func (w *world) perform(p write) bool {
	if p.expect != w.revision {
		return false
	}
	w.revision++
	w.row = p.row
	return true
}

// replace makes a write of a node, whose answer may be lost before or after it is performed.
func (w *world) replace(n *node, p write) (answered, done bool) {
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "lost", "late", "failed"}).Draw(w.t, "write") {
	case "ok":
		return true, w.perform(p)
	case "lost":
		w.perform(p)
	case "late":
		w.late = append(w.late, p)
	}
	return false, false
}

func (w *world) claim(n *node) {
	if !n.tenure.Seen() {
		n.tenure.Observe(w.clock(n), w.revision, w.row)
	}
	expect, ok := n.tenure.MayClaim(w.clock(n))
	if !ok {
		n.tenure.Observe(w.clock(n), w.revision, w.row)
		return
	}
	sent := w.clock(n)
	row := Row{Holder: fmt.Sprint(n.name, n.starts), PeerAddress: n.name}
	answered, done := w.replace(n, write{expect, row})
	// The answer may come late, and another gateway may see the row before.
	if m := w.node("watches"); m != n {
		m.tenure.Observe(w.clock(m), w.revision, w.row)
	}
	w.advance(rapid.SampledFrom([]int{0, 5, 400, 3000}).Draw(w.t, "answer takes"))
	switch {
	case done:
		n.tenure.Claimed(w.clock(n), sent, expect+1, row)
	case answered:
		n.tenure.Observe(w.clock(n), w.revision, w.row)
	}
}

func (w *world) release(n *node) {
	if !n.tenure.MayRelease(w.clock(n), n.ledger.LastIssued()) {
		return
	}
	n.tenure.Release()
	expect, _ := n.tenure.MayClaim(w.clock(n))
	if answered, done := w.replace(n, write{expect, Row{}}); done {
		n.tenure.Observe(w.clock(n), expect+1, Row{})
	} else if answered {
		n.tenure.Observe(w.clock(n), w.revision, w.row)
	}
}

// ask lets one node ask another, whichever it takes for the issuer.
func (w *world) ask(n, issuer *node) {
	sent := w.clock(n)
	if !issuer.tenure.MayIssue(w.clock(issuer)) {
		return
	}
	// The asker may not have learnt of a restart.
	incarnation := Incarnation{Server: testServer, StartedMS: rapid.Int64Range(1, 2).Draw(w.t, "started")}
	issued, _ := issuer.ledger.Issue(w.clock(issuer), incarnation, testRights, rapid.IntRange(1, 3).Draw(w.t, "want"))
	n.asked = append(n.asked, call{sent, issued})
}

func (w *world) answer(n *node) {
	for _, c := range n.asked {
		n.parts.Add(c.sent, testServer, c.n)
	}
	n.asked = nil
}

func (w *world) send(n *node) {
	if _, ok := n.parts.Take(w.clock(n), testServer); ok {
		w.sends = append(w.sends, w.now)
	}
}

// burst lets all gateways ask the same one and send, so that rights run out.
func (w *world) burst(issuer *node) {
	for _, n := range w.gateways {
		w.ask(n, issuer)
		w.answer(n)
		w.send(n)
	}
}

func (w *world) advance(ms int) { w.now += time.Duration(ms) * time.Millisecond }

func (w *world) restart(n *node) {
	n.starts++
	n.tenure, n.ledger, n.parts, n.asked = NewTenure(fmt.Sprint(n.name, n.starts)), Ledger{}, Parts{}, nil
}

func (w *world) check(t *rapid.T) {
	for len(w.sends) > 0 && w.now-w.sends[0] > 2*Window {
		w.sends = w.sends[1:]
	}
	for i := range w.sends {
		if j := i + testRights; j < len(w.sends) && w.sends[j]-w.sends[i] < Window {
			t.Fatalf("%d requests within %s, want at most %d: %v", testRights+1, w.sends[j]-w.sends[i], testRights, w.sends[i:j+1])
		}
	}
}

// run plays actions of gateways that are cut off from the store or from each other whenever they don't act,
// frozen while time advances, and restarted. Their views of who is the issuer are arbitrary.
func run(t *rapid.T) {
	w := &world{t: t}
	for i := range rapid.IntRange(2, 5).Draw(t, "gateways") {
		n := &node{name: string(rune('a' + i)), offset: time.Duration(1+i) * time.Hour}
		w.gateways = append(w.gateways, n)
		w.restart(n)
	}
	t.Repeat(map[string]func(*rapid.T){
		"claim":   func(*rapid.T) { w.claim(w.node("claims")) },
		"release": func(*rapid.T) { w.release(w.node("releases")) },
		"restart": func(*rapid.T) { w.restart(w.node("restarts")) },
		"ask":     func(*rapid.T) { w.ask(w.node("asks"), w.node("issuer")) },
		"burst":   func(*rapid.T) { w.burst(w.node("issuer")) },
		"handover": func(t *rapid.T) {
			// An issuer is cut off from the store when its tenure is about to end.
			issuer, next := w.node("issuer"), w.node("next")
			w.claim(issuer)
			w.burst(issuer)
			next.tenure.Observe(w.clock(next), w.revision, w.row)
			w.advance(rapid.IntRange(1000, 2200).Draw(t, "until the end"))
			w.burst(issuer)
			w.advance(rapid.IntRange(0, 300).Draw(t, "after the end"))
			w.claim(next)
			w.burst(next)
		},
		"answer": func(*rapid.T) { w.answer(w.node("hears")) },
		"send":   func(*rapid.T) { w.send(w.node("sends")) },
		"late write": func(*rapid.T) {
			if len(w.late) > 0 {
				w.perform(w.late[0])
				w.late = w.late[1:]
			}
		},
		"short":  func(t *rapid.T) { w.advance(rapid.IntRange(1, 300).Draw(t, "ms")) },
		"freeze": func(t *rapid.T) { w.advance(rapid.IntRange(300, 4000).Draw(t, "ms")) },
		"":       w.check,
	})
}

// Guards against more requests to a cold server than it may get, summed over all gateways, when views differ,
// gateways are cut off, frozen and restarted, and answers of the store are lost.
func TestSumOverAllGateways(t *testing.T) { rapid.Check(t, run) }
