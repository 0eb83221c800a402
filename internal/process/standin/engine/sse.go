package engine

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"persimmonwing/internal/request/api"
)

// writer sends one stream to one connection.
type writer struct {
	engine  *Engine
	stream  *stream
	w       http.ResponseWriter
	foreign chan api.Event
	buffer  bytes.Buffer
	next    int64
	broken  bool
}

// serveStream sends the events from sequence number next on until the terminal
// event, a cut or the end of the connection.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, st *stream, next int64) {
	reader := st.join()
	defer st.leave(reader)
	foreign := e.crossing.join(st.id())
	defer e.crossing.leave(foreign)
	cut := e.faults.cutSignal()
	out := &writer{engine: e, stream: st, w: w, foreign: foreign, next: next}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	out.flush()
	release := e.unblockOnCut(w, cut)
	defer release()
	for {
		f, changed := e.faults.get()
		if !f.Freeze && !f.StallStreams {
			ended := out.send(f)
			if ended {
				return
			}
		}
		select {
		case <-reader.wake:
		case <-changed:
		case event := <-foreign:
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

// unblockOnCut ends a write to a reader that does not read when the streams are
// cut or the engine stops. The returned function must be called before the
// handler returns.
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

// send writes all events that exist and returns true after the terminal one.
func (o *writer) send(f Faults) bool {
	for {
		events := o.stream.read(o.next)
		if len(events) == 0 || o.broken {
			break
		}
		for _, event := range events {
			o.one(f, event)
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
	return o.next > 0 && o.stream.closedBefore(o.next)
}

func (o *writer) one(f Faults, event api.Event) {
	o.encode(event)
	o.next = event.SequenceNumber + 1
	if !selected(event) {
		return
	}
	if f.DuplicateEvents {
		o.encode(event)
	}
	if f.CrossEvents {
		o.engine.crossing.send(o.stream.id(), event)
	}
}

// encode appends an event to the buffer.
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

// flush writes the buffer to the connection in one write. After a failed write
// the handler waits for the end of the request's context or for the cut.
func (o *writer) flush() {
	_, err := o.w.Write(o.buffer.Bytes())
	o.buffer.Reset()
	flushErr := http.NewResponseController(o.w).Flush()
	o.broken = o.broken || err != nil || flushErr != nil
}
