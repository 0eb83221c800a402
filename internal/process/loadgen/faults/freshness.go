package faults

import (
	"slices"
	"strings"
)

// editBoundMS is the maximum time in ms from the acceptance of an edit until all
// live gateways apply it (P7).
const editBoundMS = 5000

// maxSampleDurationMS is the maximum duration of a status sample in ms. A gateway
// answered at most this long after the sample began.
const maxSampleDurationMS = 1000

// span is a time interval in Unix milliseconds.
type span struct{ from, to int64 }

// outages returns the intervals in which the platform answered no request.
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

// deadline returns the time by which a gateway must have revision n if it has been
// running since sinceMS. The bound, editBoundMS, starts only when the gateway can reach
// the platform or, possibly through others, a gateway that has the revision.
func (e *Evidence) deadline(name string, n, sinceMS int64) int64 {
	start := sinceMS
	for _, u := range e.cachedUnreachable(name, n) {
		if u.from < start+editBoundMS && u.to > start {
			start = u.to
		}
	}
	return start + editBoundMS
}

// runningSince returns the last time up to atMS at which a gateway was started,
// continued or restarted after SIGTERM.
func (e *Evidence) runningSince(name string, atMS int64) int64 {
	since := int64(0)
	for _, v := range e.Events {
		if v.Target == name && (v.Action == Start || v.Action == Continue) && v.AtMS <= atMS {
			since = max(since, v.AtMS)
		}
	}
	for _, x := range e.Exits {
		if x.Name == name && x.AtMS <= atMS {
			since = max(since, x.AtMS)
		}
	}
	return since
}

// recentlyDisturbed reports whether a gateway was stopped or restarted less than
// editBoundMS before atMS. The bound of such a gateway starts when it runs again.
func (e *Evidence) recentlyDisturbed(name string, atMS int64) bool {
	recent := func(t int64) bool { return t <= atMS+maxSampleDurationMS && t > atMS-editBoundMS }
	for _, v := range e.Events {
		if v.Target == name && recent(v.AtMS) {
			return true
		}
	}
	return slices.ContainsFunc(e.Exits, func(x Exit) bool { return x.Name == name && recent(x.AtMS) })
}

// checkRevisions checks that gateways apply accepted revisions within the bound and
// never revert to an older one.
func (e *Evidence) checkRevisions() *Check {
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
			e.checkGatewayRevision(c, s.FromMS, g)
		}
	}
	return c
}

func (e *Evidence) checkGatewayRevision(c *Check, atMS int64, g GatewayStatus) {
	if e.recentlyDisturbed(g.Name, atMS) {
		return
	}
	for _, edit := range e.Edits {
		n := edit.accepted()
		if n == 0 {
			continue
		}
		if deadline := e.deadline(g.Name, n, max(edit.EndMS, e.runningSince(g.Name, atMS))); atMS >= deadline {
			c.Checks++
			if g.Revision < n {
				c.breach("%s has revision %d, %d ms after the bound of revision %d", g.Name, g.Revision, atMS-deadline, n)
			}
		}
	}
}

// conflictText is a part of the message for an edit whose base revision is no
// longer the current one.
const conflictText = "the edit was not accepted: it is based on revision"

// checkEdits checks that exactly one of two racing edits is accepted and the other
// is rejected with a conflict, and that no two edits got the same revision.
func (e *Evidence) checkEdits() *Check {
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
