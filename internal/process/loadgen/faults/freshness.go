package faults

import (
	"slices"
	"strings"
)

// editBoundMS is the time within which an accepted edit is in force (P7).
const editBoundMS = 5000

// sampleLengthMS bounds the time that a status sample takes; a gateway answered
// at most this long after the sample began.
const sampleLengthMS = 1000

// span is a time in Unix milliseconds.
type span struct{ from, to int64 }

// outages returns the times in which the platform answered nothing.
func (e *Evidence) outages() []span {
	var list []span
	open := int64(-1)
	for _, v := range e.Events {
		if v.Target != "platform" {
			continue
		}
		if strings.Contains(v.Value, `"outage":true`) && open < 0 {
			open = v.AtMS
		}
		if v.Action == Clear && open >= 0 {
			list = append(list, span{open, v.AtMS})
			open = -1
		}
	}
	return list
}

// deadline is the time by which revision n, accepted at the given time, is in
// force at every gateway that can reach others. When an outage begins within the
// bound, the edit may be known to nobody until it ends or until a gateway has it.
func (e *Evidence) deadline(n, acceptedMS int64) int64 {
	start := acceptedMS
	for _, o := range e.outages() {
		if o.from < acceptedMS+editBoundMS && o.to > acceptedMS {
			start = max(start, min(o.to, e.firstSeen(n)))
		}
	}
	return start + editBoundMS
}

// firstSeen is the latest time at which the first gateway got revision n.
func (e *Evidence) firstSeen(n int64) int64 {
	for _, s := range e.Samples {
		if slices.ContainsFunc(s.Gateways, func(g GatewayStatus) bool { return g.Error == "" && g.Revision >= n }) {
			return s.FromMS + sampleLengthMS
		}
	}
	return 1 << 62
}

// disturbed tells whether a gateway was stopped or restarted within the bound
// before a time. Its own bound counts from when it runs again.
func (e *Evidence) disturbed(name string, atMS int64) bool {
	recent := func(t int64) bool { return t <= atMS+sampleLengthMS && t > atMS-editBoundMS }
	for _, v := range e.Events {
		if v.Target == name && recent(v.AtMS) {
			return true
		}
	}
	return slices.ContainsFunc(e.Exits, func(x Exit) bool { return x.Name == name && recent(x.AtMS) })
}

// freshness checks that gateways have accepted revisions in time and never
// return to an older one.
func (e *Evidence) freshness() *Check {
	c := &Check{Property: "P7", What: "revisions at live gateways: late or reverted"}
	highest := map[string]int64{}
	for _, s := range e.Samples {
		for _, g := range s.Gateways {
			if g.Error != "" {
				continue
			}
			if g.Revision > 0 && g.Revision < highest[g.Name] {
				c.breach("%s went back from revision %d to %d", g.Name, highest[g.Name], g.Revision)
			}
			highest[g.Name] = max(highest[g.Name], g.Revision)
			e.fresh(c, s.FromMS, g)
		}
	}
	return c
}

func (e *Evidence) fresh(c *Check, atMS int64, g GatewayStatus) {
	if e.disturbed(g.Name, atMS) {
		return
	}
	for _, edit := range e.Edits {
		n := edit.accepted()
		if n == 0 {
			continue
		}
		if deadline := e.deadline(n, edit.EndMS); atMS >= deadline {
			c.Checks++
			if g.Revision < n {
				c.breach("%s has revision %d, %d ms after the bound of revision %d", g.Name, g.Revision, atMS-deadline, n)
			}
		}
	}
}

// conflictText is in the message of an edit whose base was no longer current.
const conflictText = "the edit was not accepted: it is based on revision"

// editsDecided checks that of two racing edits exactly one is accepted and the
// other told of the conflict, and that no two edits became the same revision.
func (e *Evidence) editsDecided() *Check {
	c := &Check{Property: "P7 edits", What: "edits: one of two racing ones accepted, each revision once"}
	byLabel := map[string][]EditResult{}
	revisions := map[int64]string{}
	for _, edit := range e.Edits {
		byLabel[edit.Label] = append(byLabel[edit.Label], edit)
		n := edit.accepted()
		if n == 0 {
			continue
		}
		if other, taken := revisions[n]; taken {
			c.breach("edits %s and %s were both accepted as revision %d", other, edit.Label, n)
		}
		revisions[n] = edit.Label
	}
	raced := 0
	for label, edits := range byLabel {
		c.Checks++
		accepted := 0
		for _, edit := range edits {
			if edit.accepted() > 0 {
				accepted++
			} else if len(edits) == 1 || !strings.Contains(edit.Output, conflictText) {
				c.breach("edit %s failed: %s", label, strings.TrimSpace(edit.Output))
			}
		}
		if len(edits) > 1 {
			raced++
		}
		if accepted != 1 {
			c.breach("edit %s: %d accepted, not 1", label, accepted)
		}
	}
	if raced == 0 {
		c.breach("no race of two edits took place")
	}
	return c
}
