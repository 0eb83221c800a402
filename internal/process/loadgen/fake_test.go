package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"testing"
	"time"

	"persimmonwing/internal/request/api"
	"persimmonwing/internal/version/catalogue"
)

const fakeTokens = 6

var fakeMarker = regexp.MustCompile(`#id=(\S+) #tokens=(\d+)`)

// fakeEvents returns the correct stream of a generation with this id marker.
func fakeEvents(marker string) []api.Event {
	r := &api.Response{ID: "outer", Status: api.StatusInProgress}
	events := []api.Event{{Type: api.EventCreated, Response: r}}
	for i := range fakeTokens {
		events = append(events, api.Event{Type: api.EventDelta, SequenceNumber: int64(i + 1), Delta: fmt.Sprintf("resp_1|%s|%d ", marker, i)})
	}
	return append(events, api.Event{Type: api.EventCompleted, SequenceNumber: fakeTokens + 1, Response: r})
}

func writeEvents(w http.ResponseWriter, events []api.Event) {
	w.Header().Set("Content-Type", "text/event-stream")
	for _, e := range events {
		data, err := json.Marshal(e)
		if err != nil {
			panic(err)
		}
		fmt.Fprintf(w, "event: %s\ndata: %s\n\n", e.Type, data)
	}
	_ = http.NewResponseController(w).Flush()
}

// readMarker returns the id marker of a create request.
func readMarker(r *http.Request) string {
	var body api.CreateRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		panic(err)
	}
	m := fakeMarker.FindStringSubmatch(body.Input)
	if m == nil || m[2] != strconv.Itoa(fakeTokens) {
		panic("the prompt lacks its markers: " + body.Input)
	}
	return m[1]
}

// sendOne sends one request to the targets and returns the result of the run.
func sendOne(t *testing.T, kind catalogue.Kind, targets ...string) *Result {
	t.Helper()
	s := Stream{
		Name: "s", Workspace: "w", Key: "k", Entry: "e", Kind: kind, Class: catalogue.Urgent,
		Method: http.MethodPost, IdempotencyKey: true,
		Targets: Targets{FirstToken: time.Minute, TokenGap: time.Minute},
	}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	r := &run{
		workload:  &Workload{Streams: []Stream{s}},
		targets:   targets,
		http:      newHTTPClient(),
		recorder:  newRecorder([]Stream{s}, []Window{{Name: "run", To: time.Hour}}),
		start:     time.Now(),
		duration:  time.Hour,
		resumeFor: 20 * time.Second,
	}
	defer r.http.CloseIdleConnections()
	r.handle(ctx, 0, arrival{prompt: 30, output: fakeTokens, prefix: -1})
	return newResult(r.recorder, Config{Duration: time.Minute})
}

// serve starts a fake gateway with this handler and returns its base URL.
func serve(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return srv.URL
}
