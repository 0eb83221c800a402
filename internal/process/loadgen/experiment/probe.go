package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"persimmonwing/internal/request/api"
)

// Bounds of requests that an experiment sends beside the load.
const (
	probeTimeout  = 5 * time.Second
	probePeriod   = 100 * time.Millisecond
	servingWithin = 20 * time.Second
)

// probe sends one short generation and returns the error that it ends with.
func probe(ctx context.Context, target, input string) *api.Error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	body, err := json.Marshal(api.CreateRequest{Model: entryUrgent, Input: input})
	if err != nil {
		return linkError(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target+"/v1/responses", bytes.NewReader(body))
	if err != nil {
		return linkError(err)
	}
	req.Header.Set("Authorization", "Bearer "+workspaceKey(workspaces-1))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return linkError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return nil
	}
	var answer api.ErrorBody
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return linkError(err)
	}
	return &answer.Error
}

func linkError(err error) *api.Error {
	return &api.Error{Code: "link_broken", Message: err.Error(), Execution: api.Unknown}
}

// waitServing returns when every gateway has served a generation, so that the
// load does not meet a fleet that is still discovering its engines.
func (t *trial) waitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, servingWithin)
	defer cancel()
	for i, target := range t.fleet.Targets() {
		for n := 0; ; n++ {
			failed := probe(ctx, target, fmt.Sprintf("#id=probe-%d-%d #tokens=1 ", i, n))
			if failed == nil {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("gateway %s does not serve after %v: %s: %s", target, servingWithin, failed.Code, failed.Message)
			}
			time.Sleep(probePeriod)
		}
	}
	return nil
}
