package loadgen

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/request/api"
	"persimmonwing/internal/version/catalogue"
)

// Guards against a resent request that waits for the first one to end although
// resend_after is set, and against records that lack an exchange or its outcome.
func TestOverlappingResendsAreRecorded(t *testing.T) {
	is := is.New(t)
	// The first request must arrive before the second one. With 50 ms between them,
	// the second one arrived first on a machine of 10 cores with a load average of 50.
	const resendAfter = time.Second
	var mu sync.Mutex
	second := map[string]chan struct{}{}
	target := serve(t, func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(headerCallID)
		mu.Lock()
		arrived, again := second[id]
		if !again {
			arrived = make(chan struct{})
			second[id] = arrived
		}
		mu.Unlock()
		if again {
			close(arrived)
			w.WriteHeader(http.StatusConflict)
			_ = json.NewEncoder(w).Encode(api.ErrorBody{Error: api.Error{Code: "call_in_progress", Execution: api.Unknown}})
			return
		}
		select {
		case <-arrived:
			_ = json.NewEncoder(w).Encode(serviceResponse{Call: id, Runs: 1})
		case <-time.After(5 * time.Second):
			t.Error("the second request did not overlap")
		}
	})
	var records bytes.Buffer
	began := time.Now()
	_, err := Run(t.Context(), Config{
		Workload: &Workload{Streams: []Stream{{
			Name: "s", Workspace: "w", Key: "k", Entry: "e", Kind: catalogue.Service, Class: catalogue.Urgent,
			Method: http.MethodPost, IdempotencyKey: true, Rate: 50, Resend: 1, ResendAfter: resendAfter,
		}}},
		Targets:  []string{target},
		Duration: 200 * time.Millisecond,
		Grace:    10 * time.Second,
		Seed:     1,
		Record:   &records,
	})
	is.NoErr(err)
	lines := json.NewDecoder(&records)
	n := 0
	for ; lines.More(); n++ {
		var r Record
		is.NoErr(lines.Decode(&r))
		is.Equal(r.Code, OutcomeCompleted)
		is.True(r.AtMostOnce)
		is.Equal(len(r.Exchanges), 2)
		is.Equal(r.Exchanges[0].Code, OutcomeCompleted)
		is.Equal(r.Exchanges[1].Code, "call_in_progress")
		for _, x := range r.Exchanges {
			is.Equal(x.Target, target)
			is.True(x.Answered)
			is.True(x.FromMS >= began.UnixMilli() && x.ToMS >= x.FromMS && x.ToMS <= time.Now().UnixMilli())
		}
	}
	is.True(n > 0)
	is.Equal(n, len(second))
}
