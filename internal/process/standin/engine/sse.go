package engine

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"persimmonwing/internal/request/api"
)

// writer sends the events of one stream on one connection. next is the
// sequence number of the next event to send.
type writer struct {
	engine    *Engine
	stream    *stream
	w         http.ResponseWriter
	misrouted chan api.Event
	buffer    bytes.Buffer
	next      int64
	broken    bool
}

// serveStream sends the events from sequence number next on. It returns after the
// terminal event or when the client disconnects, and aborts the connection when
// the streams are cut or the engine stops.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, st *stream, next int64) {
	reader := st.register()
	defer st.unregister(reader)
	misrouted := e.misrouter.register(st.id())
	defer e.misrouter.unregister(misrouted)
	cut := e.faults.cutSignal()
	out := &writer{engine: e, stream: st, w: w, misrouted: misrouted, next: next}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	out.flush()
	release := e.unblockOnCut(w, cut)
	defer release()
	for {
		f, changed := e.faults.get()
		if !f.Freeze && !f.StallStreams {
			ended := out.sendPending(f)
			if ended {
				return
			}
		}
		select {
		case <-reader.wake:
		case <-changed:
		case event := <-misrouted:
			out.encode(event)
		case <-cut:
			abort()
		case <-e.stopped.Done():
			abort()
		case <-r.Context().Done():
			return
		}
	}
}

// unblockOnCut sets a write deadline in the past when the streams are cut or the
// engine stops, so that a write to a client that does not read returns. The
// returned function must be called before the handler returns.
func (e *Engine) unblockOnCut(w http.ResponseWriter, cut <-chan struct{}) (release func()) {
	var watcher sync.WaitGroup
	done := make(chan struct{})
	watcher.Go(func() {
		select {
		case <-cut:
		case <-e.stopped.Done():
		case <-done:
			return
		}
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now())
	})
	return func() {
		close(done)
		watcher.Wait()
	}
}

// sendPending writes all events not sent yet. It returns true once the terminal
// event was sent.
func (o *writer) sendPending(f Faults) bool {
	for {
		events := o.stream.read(o.next)
		if len(events) == 0 || o.broken {
			break
		}
		for _, event := range events {
			o.writeEvent(f, event)
			if event.Type.Terminal() {
				o.flush()
				return true
			}
		}
		o.flush()
	}
	if o.buffer.Len() > 0 {
		o.flush()
	}
	return o.next > 0 && o.stream.endedBefore(o.next)
}

func (o *writer) writeEvent(f Faults, event api.Event) {
	o.encode(event)
	o.next = event.SequenceNumber + 1
	if !selected(event) {
		return
	}
	if f.DuplicateEvents {
		o.encode(event)
	}
	if f.MisrouteEvents {
		o.engine.misrouter.misroute(o.stream.id(), event)
	}
}

// encode appends event to the buffer as a server-sent event.
func (o *writer) encode(event api.Event) {
	data, err := json.Marshal(event)
	if err != nil {
		abort()
	}
	o.buffer.WriteString("event: ")
	o.buffer.WriteString(string(event.Type))
	o.buffer.WriteString("\ndata: ")
	o.buffer.Write(data)
	o.buffer.WriteString("\n\n")
}

// flush writes the buffer to the connection in one write. A failed write sets
// broken. The handler then sends no more events and waits until the request's
// context ends, the streams are cut or the engine stops.
func (o *writer) flush() {
	_, err := o.w.Write(o.buffer.Bytes())
	o.buffer.Reset()
	flushErr := http.NewResponseController(o.w).Flush()
	o.broken = o.broken || err != nil || flushErr != nil
}
