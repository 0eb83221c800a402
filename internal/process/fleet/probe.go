package fleet

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

// Timeouts of Generate and WaitServing, and the retry interval of WaitServing.
const (
	generateTimeout = 5 * time.Second
	probePeriod     = 100 * time.Millisecond
	servingTimeout  = 20 * time.Second
)

// CodeLinkBroken is the error code of a request without a valid error response.
const CodeLinkBroken = "link_broken"

// Generate sends one generation without streaming and returns its error, or nil
// if the response has status 200. The parameter target is an element of Targets.
func (f *Fleet) Generate(ctx context.Context, target, key, entry, input string) *api.Error {
	ctx, cancel := context.WithTimeout(ctx, generateTimeout)
	defer cancel()
	body, err := json.Marshal(api.CreateRequest{Model: entry, Input: input})
	if err != nil {
		return linkError(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target+"/v1/responses", bytes.NewReader(body))
	if err != nil {
		return linkError(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := f.http.Do(req)
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
	return &api.Error{Code: CodeLinkBroken, Message: err.Error(), Execution: api.Unknown}
}

// WaitServing waits until every gateway has served a generation of this entry.
// It is needed because gateways are ready before they have found all engines.
func (f *Fleet) WaitServing(ctx context.Context, key, entry string) error {
	ctx, cancel := context.WithTimeout(ctx, servingTimeout)
	defer cancel()
	for i, target := range f.Targets() {
		for n := 0; ; n++ {
			failed := f.Generate(ctx, target, key, entry, fmt.Sprintf("#id=probe-%d-%d #tokens=1 ", i, n))
			if failed == nil {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("gateway %s has not served a generation after %v: %s: %s", target, servingTimeout, failed.Code, failed.Message)
			}
			time.Sleep(probePeriod)
		}
	}
	return nil
}
