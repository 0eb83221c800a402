package gateway

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"persimmonwing/internal/request/api"
)

// response is an HTTP response that was read completely.
type response struct {
	status int
	header http.Header
	body   []byte
	err    api.Error
}

// send sends a request and reads the whole response.
func (w *harness) send(r *http.Request) response {
	w.t.Helper()
	resp, err := w.client.Do(r)
	w.noErr(err)
	defer resp.Body.Close()
	a := response{status: resp.StatusCode, header: resp.Header}
	a.body, err = io.ReadAll(resp.Body)
	w.noErr(err)
	var body api.ErrorBody
	if json.Unmarshal(a.body, &body) == nil {
		a.err = body.Error
	}
	return a
}

// request builds a request; key "" sends no Authorization header.
func (w *harness) request(method, path, key, body string) *http.Request {
	w.t.Helper()
	r, err := http.NewRequest(method, w.base+path, strings.NewReader(body))
	w.noErr(err)
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	return r
}

// create builds a create request of workspace a.
func (w *harness) create(entry, input string, stream bool) *http.Request {
	w.t.Helper()
	body, err := json.Marshal(api.CreateRequest{Model: entry, Input: input, Stream: stream})
	w.noErr(err)
	return w.request(http.MethodPost, "/v1/responses", keyA, string(body))
}

// service builds a call of an entry with the idempotency key id, under which the
// application servers also count the call.
func (w *harness) service(method, entry, id string) *http.Request {
	r := w.request(method, "/v1/services/"+entry, keyA, "body")
	r.Header.Set(headerIdempotencyKey, id)
	return r
}

// dial opens a plain connection to the gateway.
func (w *harness) dial() net.Conn {
	w.t.Helper()
	c, err := net.Dial("tcp", w.address)
	w.noErr(err)
	w.t.Cleanup(func() { _ = c.Close() })
	w.noErr(c.SetDeadline(time.Now().Add(3 * time.Second)))
	return c
}

// eventReader reads the events of a stream one by one.
type eventReader struct {
	resp  *http.Response
	lines *bufio.Scanner
}

// open sends a request whose response is an event stream.
func (w *harness) open(r *http.Request) *eventReader {
	w.t.Helper()
	resp, err := w.client.Do(r)
	w.noErr(err)
	if resp.StatusCode != http.StatusOK {
		w.t.Fatalf("status %d instead of a stream", resp.StatusCode)
	}
	w.t.Cleanup(func() { _ = resp.Body.Close() })
	return &eventReader{resp: resp, lines: bufio.NewScanner(resp.Body)}
}

// next returns the next event, or false at the end of the stream.
func (e *eventReader) next() (api.Event, bool) {
	for e.lines.Scan() {
		if data, ok := strings.CutPrefix(e.lines.Text(), "data: "); ok {
			var event api.Event
			return event, json.Unmarshal([]byte(data), &event) == nil
		}
	}
	return api.Event{}, false
}

// rest reads the stream to its end.
func (e *eventReader) rest() []api.Event {
	var events []api.Event
	for event, ok := e.next(); ok; event, ok = e.next() {
		events = append(events, event)
	}
	_ = e.resp.Body.Close()
	return events
}

// tokens joins the deltas of events and counts them.
func tokens(events []api.Event) (text string, count int) {
	var b strings.Builder
	for _, e := range events {
		if e.Type == api.EventDelta {
			b.WriteString(e.Delta)
			count++
		}
	}
	return b.String(), count
}
