package storefeed

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"

	"persimmonwing/internal/process/boottime"
	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/request/pause"
)

const (
	// askWithin is how long a gateway asks others for rows that the store has lost to older ones. The servers have written new ones by
	// then, and the gateways that it can reach are known.
	askWithin = 2 * time.Second
	// confirmationWait bounds the wait for the answers of other gateways before a table is confirmed. They answer in a few milliseconds,
	// and gateways know each other some 0.1 s after a start.
	confirmationWait = 300 * time.Millisecond
	// confirmationWaitAfterCut replaces confirmationWait at a gateway that has read neither the store nor a copy for some time. It may
	// have been cut off from the other gateways too, and finds them again in about half a second.
	confirmationWaitAfterCut = time.Second
	// askPause is the time between two tries. Gateways know each other some 0.1 s after a start.
	askPause = 50 * time.Millisecond
	// maxAsked bounds the gateways that are asked, of this data centre and of all.
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

// askForLater calls Later with the rows of other gateways, which may have read some that the store has lost since, and passes on those
// that are later. Each gateway that is known in the next time, askWithin, is asked until it has answered once. answered is called when
// all that were asked at a time have answered or failed, and one of them has answered.
func (w *Watcher) askForLater(ctx context.Context, answered func()) {
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	done := map[string]bool{}
	for failures := 0; ctx.Err() == nil; _ = pause.For(ctx, askPause) {
		var asked []membership.Gateway
		for _, g := range w.Copies.others() {
			if !done[g.Name] {
				asked = append(asked, g)
			}
		}
		replies := make(chan laterReply, len(asked))
		for _, g := range asked {
			go func() {
				rows, err := w.Copies.whole(ctx, g, w.Table)
				replies <- laterReply{g.Name, rows, err}
			}()
		}
		for range asked {
			r := <-replies
			if r.err == nil {
				done[r.gateway] = true
				w.Copies.learn(w.Table, w.Later(r.gateway, r.rows))
				continue
			}
			if failures++; failures == 1 && ctx.Err() == nil {
				_ = level.Info(w.Logger).Log("msg", "gateway with a copy does not respond", "gateway", r.gateway, "table", w.Table, "err", r.err)
			}
		}
		if len(done) > 0 {
			answered()
		}
	}
}

// awaitLater waits until other gateways have answered, or for some time.
func (w *Watcher) awaitLater(ctx context.Context, answered <-chan struct{}) {
	within := confirmationWait
	if w.read && boottime.Now()-w.confirmedAt >= maxCopyAge {
		within = confirmationWaitAfterCut
	}
	timeout := time.NewTimer(within)
	defer timeout.Stop()
	select {
	case <-answered:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// laterReply is the answer of a gateway that was asked.
type laterReply struct {
	gateway string
	rows    []Row
	err     error
}

// errUnread is the error of a gateway that cannot read the table and has no row of it: its own read comes later.
var errUnread = eris.New("the gateway has not read the table yet")

// learn replaces rows of the copy of a table by later ones of another gateway, for gateways that read the whole copy. Revisions stay, as
// the rows are not newer in the store.
func (c *Copies) learn(name string, later []Row) {
	if c == nil || len(later) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.table(name)
	for _, r := range later {
		old, ok := t.rows[r.Key]
		if r.Revision = t.at.Revision; ok {
			r.Revision = old.Revision
		}
		t.rows[r.Key] = r
	}
	t.packed = packedReply{}
}

// others returns other gateways: some of this data centre, and the first in rank of each one, of which the first maxAsked count.
func (c *Copies) others() (out []membership.Gateway) {
	self := c.view.Self()
	first := c.view.FirstRanked(purpose)
	for _, g := range append(c.view.Ranked(purpose, maxAsked), first[:min(maxAsked, len(first))]...) {
		if g.Name != self.Name && !slices.ContainsFunc(out, func(o membership.Gateway) bool { return o.Name == g.Name }) {
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
	if r.Lost && len(r.Rows) == 0 && len(r.Packed) == 0 {
		return nil, errUnread
	}
	if len(r.Packed) > 0 {
		return unpackRows(r.Packed)
	}
	return r.Rows, nil
}
