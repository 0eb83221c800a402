package storefeed

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/request/pause"
)

const (
	// askWithin is how long after its start a gateway tries to ask another one for rows that the store has lost to older ones.
	// The servers have written new ones by then.
	askWithin = 2 * time.Second
	// askPause is the time between two tries. Gateways know each other some 0.1 s after a start.
	askPause = 50 * time.Millisecond
	// maxAsked bounds the gateways of this data centre that may be asked.
	maxAsked = 3
)

// keepLater returns a response in which the rows that are superseded are replaced by those before them, at the new revisions. A
// gateway that has just started and follows this one can't recognise such rows.
func (c *Copies) keepLater(name string, res result, superseded func(Row) bool) result {
	if c == nil || superseded == nil {
		return res
	}
	rows := make([]Row, 0, len(res.Rows.Rows))
	for _, r := range res.Rows.Rows {
		if !r.Tombstone && superseded(r) {
			c.mu.Lock()
			if old, ok := c.table(name).rows[r.Key]; ok {
				r.Value, r.Tombstone = old.Value, old.Tombstone
			}
			c.mu.Unlock()
		}
		rows = append(rows, r)
	}
	res.Rows.Rows = rows
	return res
}

// askForLater calls Later with the rows of another gateway, which may have read some before they were overwritten by
// older ones.
func (w *Watcher) askForLater(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	for failures := 0; ctx.Err() == nil; _ = pause.For(ctx, askPause) {
		for _, g := range w.Copies.others() {
			rows, err := w.Copies.whole(ctx, g, w.Table)
			if err == nil {
				w.Later(g.Name, rows)
				return
			}
			if failures++; failures == 1 {
				_ = level.Info(w.Logger).Log("msg", "gateway with a copy does not respond", "gateway", g.Name, "table", w.Table, "err", err)
			}
		}
	}
}

// others returns other gateways, those of this data centre first.
func (c *Copies) others() (out []membership.Gateway) {
	self := c.view.Self()
	for _, g := range append(c.view.Ranked(purpose, maxAsked), c.view.FirstRanked(purpose)...) {
		if g.Name != self.Name {
			out = append(out, g)
		}
	}
	return out
}

// whole returns the copy of a table that another gateway has.
func (c *Copies) whole(ctx context.Context, g membership.Gateway, table string) ([]Row, error) {
	ctx, cancel := context.WithTimeout(ctx, copyWait+copyTimeout)
	defer cancel()
	var r Reply
	if err := c.caller.Call(ctx, g.PeerAddress, ServiceName+".Feed", &Args{Table: table, Since: needsList, Packs: true}, &r); err != nil {
		return nil, err
	}
	if len(r.Packed) > 0 {
		return unpackRows(r.Packed)
	}
	return r.Rows, nil
}
