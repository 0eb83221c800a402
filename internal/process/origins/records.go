package origins

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/request/pause"
)

const (
	// dropPeriod is the time between two deletions of records whose streams have ended.
	dropPeriod = 5 * time.Second
	// servedPeriod is the time between two comparisons of the versions that serve with those in the store.
	servedPeriod = 500 * time.Millisecond
)

// writeRecords writes the queued records until ctx ends. Those that are queued during a call go together in the next one.
func (k *Keeper) writeRecords(ctx context.Context) {
	drop := time.NewTicker(dropPeriod)
	defer drop.Stop()
	always := make(chan struct{})
	close(always)
	for more := false; ; {
		var next <-chan struct{}
		if more {
			next = always // in turn with writes, which streams wait for
		}
		select {
		case <-ctx.Done():
			return
		case <-drop.C:
			more = k.dropRecords(ctx)
		case <-next:
			more = k.dropRecords(ctx)
		case w := <-k.writes:
			k.writeBatch(ctx, k.batch(w))
		}
	}
}

// batch returns first and the records queued behind it, up to maxBatch.
func (k *Keeper) batch(first *write) []*write {
	out := []*write{first}
	for len(out) < maxBatch {
		select {
		case w := <-k.writes:
			out = append(out, w)
		default:
			return out
		}
	}
	return out
}

func (k *Keeper) writeBatch(ctx context.Context, batch []*write) {
	var records []Record
	for _, w := range batch {
		records = append(records, Record{Key: recordKey(w.id), Origin: w.o})
	}
	call, cancel := context.WithTimeout(ctx, writeTimeout)
	err := k.o.Store.PutRecords(call, records)
	cancel()
	outcome := "ok"
	if err != nil {
		outcome = "failed"
		_ = level.Info(k.o.Logger).Log("msg", "cannot record where streams began", "streams", len(batch), "err", err)
	}
	k.o.Metrics.Counter("stream_records", outcome).Inc(int64(len(batch)))
	k.mu.Lock()
	for _, w := range batch {
		// A write without an answer may have been done.
		k.expiring = append(k.expiring, expiry{recordKey(w.id), w.until})
		if s := k.streams.streams[w.id]; s != nil && err != nil {
			s.recorded = false
		}
	}
	k.mu.Unlock()
	for _, w := range batch {
		close(w.done)
	}
	if err != nil {
		_ = pause.For(ctx, observePeriod)
	}
}

// dropRecords deletes up to maxBatch records of this gateway whose streams have ended, and reports whether more are left.
func (k *Keeper) dropRecords(ctx context.Context) (more bool) {
	k.mu.Lock()
	now := k.o.Now()
	var keys []string
	var kept []expiry
	for _, e := range k.expiring {
		switch {
		case e.at >= now:
			kept = append(kept, e)
		case len(keys) < maxBatch:
			keys = append(keys, e.key)
		default:
			kept, more = append(kept, e), true
		}
	}
	k.mu.Unlock()
	if len(keys) == 0 {
		return false
	}
	call, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := k.o.Store.DropRecords(call, keys); err != nil {
		_ = level.Debug(k.o.Logger).Log("msg", "cannot delete records of streams that have ended", "streams", len(keys), "err", err)
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	// Only this goroutine adds records.
	k.expiring = kept
	return more
}

// sweep deletes the records of gateways that have ended, at the gateway that is first in rank.
func (k *Keeper) sweep(ctx context.Context) {
	before := map[string]bool{}
	for pause.For(ctx, sweepPeriod) == nil {
		if k.rank() != 0 {
			clear(before)
			continue
		}
		call, cancel := context.WithTimeout(ctx, writeTimeout)
		keys, err := k.o.Store.RecordKeys(call)
		cancel()
		if err != nil {
			continue
		}
		found, left := map[string]bool{}, []string(nil)
		for _, key := range keys {
			found[key] = true
			if before[key] {
				left = append(left, key)
			}
		}
		before = found
		for batch := range slices.Chunk(left, maxBatch) {
			call, cancel := context.WithTimeout(ctx, writeTimeout)
			_ = k.o.Store.DropRecords(call, batch) // they are found again
			cancel()
		}
	}
}

// rank returns the place of this gateway among those that keep what the store has, or -1.
func (k *Keeper) rank() int {
	self := k.o.View.Self().Name
	for i, g := range k.o.View.FirstRanked(ServiceName) {
		if g.Name == self {
			return i
		}
	}
	return -1
}

// keepServed reads which versions served before the start or during a gap, and keeps what the store has of them up to date.
func (k *Keeper) keepServed(ctx context.Context) {
	for read := true; ; {
		if read || !k.hasRestored() {
			_ = k.readServed(ctx) // a failed read is made up for before the next write
		}
		if k.hasRestored() {
			k.updateServed(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-k.readAgain:
			read = true
		case <-time.After(servedPeriod):
			read = false
		}
	}
}

func (k *Keeper) hasRestored() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.isRestored
}

// readServed reads what the store has of all services.
func (k *Keeper) readServed(ctx context.Context) error {
	k.mu.Lock()
	gaps := k.gaps
	k.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	rows, clock, err := k.o.Store.ReadServed(call)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.o.Now()
	k.served, k.servedReadAt, k.clock = rows, now, clock
	if !k.isRestored && k.gaps == gaps {
		for service, row := range rows {
			k.history.Restore(now, clock, service, row.Served)
		}
		k.isRestored = true
		close(k.restored)
	}
	return nil
}

// updateServed writes the versions of services that differ from what the store has. The first in rank does it at once, the others
// if it has not been done for a while.
func (k *Keeper) updateServed(ctx context.Context) {
	rank := k.rank()
	list := k.readList()
	if rank < 0 || rank >= servedWriters || !list.fresh(k.o.Now()) {
		return
	}
	for service, present := range list.versions {
		k.mu.Lock()
		now := k.o.Now()
		_, differs := k.history.Update(now, k.clock+now-k.servedReadAt, service, k.served[service].Served, present)
		since, known := k.differsSince[service]
		switch {
		case !differs:
			delete(k.differsSince, service)
		case !known:
			k.differsSince[service] = now
			since = now
		}
		due := differs && now-since >= time.Duration(rank)*servedDelay
		k.mu.Unlock()
		if due {
			k.writeServed(ctx, service, present)
		}
	}
}

// writeServed reads what the store has of a service and replaces it if it differs from the versions that serve.
func (k *Keeper) writeServed(ctx context.Context, service string, present []string) {
	if k.readServed(ctx) != nil {
		return
	}
	k.mu.Lock()
	row := k.served[service]
	next, differs := k.history.Update(k.servedReadAt, k.clock, service, row.Served, present)
	k.mu.Unlock()
	if !differs {
		return
	}
	call, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	written, err := k.o.Store.WriteServed(call, service, ServedRow{Served: next, Revision: row.Revision})
	if err != nil {
		_ = level.Info(k.o.Logger).Log("msg", "cannot record which software versions serve", "service", service, "err", err)
		return
	}
	if written {
		_ = level.Info(k.o.Logger).Log("msg", "software versions that serve recorded", "service", service, "versions", len(next.Versions))
	}
	_ = k.readServed(ctx)
}
