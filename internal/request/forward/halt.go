package forward

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/registry"
	"persimmonwing/internal/request/pause"
)

const (
	// stopTimeout bounds one call that ends a generation at an engine. The engine stops the
	// generation first and then copies its memory, which can take as long as another move.
	stopTimeout = moveTimeout
	// stopBackoff is the growth of the time between two calls, and maxStopInterval its maximum.
	// A generation may run at two engines for at most 400 ms.
	stopBackoff     = 50 * time.Millisecond
	maxStopInterval = 250 * time.Millisecond
	// maxHaltTime is the time after which an engine that does not stop a generation is given up.
	maxHaltTime = 10 * time.Second
	// lateBeginTime is the time within which an engine may begin a generation although its
	// connection was closed before.
	lateBeginTime = 3 * time.Second
	// haltExitTime is the time that a process which ends waits for its halts.
	haltExitTime = 200 * time.Millisecond
)

// errNotConfirmed is the cause of a stop that was not sent, because another server may have the
// engine's address by now.
var errNotConfirmed = errors.New("engine does not confirm its incarnation")

// halt is the end of a generation at an engine that must not work on it any more, because the
// generation goes on at another one.
type halt struct {
	f  *Forwarder
	id string
	at registry.Server
	// to names the engine at which the generation goes on, or is empty.
	to      string
	service string
}

// halt ends a generation at an engine in the background. To close its connection is not enough: some
// engines work on. mayBegin states that the engine may not have begun the generation yet. to names
// the engine at which the generation goes on, if that is known.
func (f *Forwarder) halt(q *Request, at registry.Server, to string, mayBegin bool) {
	if q.Engine == nil {
		return
	}
	h := &halt{f: f, id: q.ID, at: at, to: to, service: q.Service}
	deadline, logger := q.Deadline, f.logger(q)
	f.background.Go(func() {
		began := time.Now()
		for try := 0; ; try++ {
			if try > 0 && !h.current() {
				return
			}
			running, err := h.stop(try)
			elapsed := time.Since(began)
			switch {
			case running:
				f.o.Metrics.Counter("generations_halted", at.Service).Inc(1)
				_ = level.Info(logger).Log("msg", "generation stopped at an engine that worked on", "backend", at.Name, "took_ms", elapsed.Milliseconds(), "tries", try+1)
				return
			case err == nil && (!mayBegin || elapsed >= lateBeginTime), err != nil && f.hasEnded(context.Background(), at, true):
				return
			case elapsed >= maxHaltTime || !time.Now().Before(deadline):
				_ = level.Warn(logger).Log("msg", "engine may work on a generation that goes on elsewhere", "backend", at.Name, "tries", try+1, "err", err)
				return
			}
			_ = pause.For(context.Background(), min(time.Duration(try+1)*stopBackoff, maxStopInterval))
		}
	})
}

// current reports whether the engine is still listed under the same incarnation.
func (h *halt) current() bool {
	now, ok := h.f.o.Servers.Get(h.at.Name)
	return ok && now.StartedMS == h.at.StartedMS && now.Address == h.at.Address
}

// stop makes one call that ends the generation and reports whether it was running. The first call
// is made while the engine is certainly the same.
func (h *halt) stop(try int) (running bool, err error) {
	if try > 0 {
		ctx, cancel := context.WithTimeout(context.Background(), aliveTimeout)
		defer cancel()
		if !h.f.o.Client.Alive(ctx, h.at) {
			return false, errNotConfirmed
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return h.f.o.Client.Stop(ctx, h.at, h.receiver(try), h.id)
}

// receiver returns the engine that the call names as the receiver of the generation's memory. An
// engine does not stop a generation whose receiver it can't reach or has no room, so that each try
// names another one.
func (h *halt) receiver(try int) registry.Server {
	var names []string
	if h.to != "" {
		names = append(names, h.to)
	}
	for _, b := range h.f.o.Servers.Service(time.Now(), h.service, h.f.o.DataCentre) {
		if b.Accepting && b.Name != h.at.Name && b.Name != h.to {
			names = append(names, b.Name)
		}
	}
	if len(names) == 0 {
		return h.at
	}
	s, _ := h.f.o.Servers.Get(names[try%len(names)])
	return s
}

// Close waits for a short time until generations that go on elsewhere have ended at their former
// engines. No request may be in progress.
func (f *Forwarder) Close() {
	done := make(chan struct{})
	go func() {
		f.background.Wait()
		close(done)
	}()
	limit := time.NewTimer(haltExitTime)
	defer limit.Stop()
	select {
	case <-done:
	case <-limit.C:
	}
}
