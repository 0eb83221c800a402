package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"

	"persimmonwing/internal/process/adminapi"
)

// gatewayResponse is one gateway's response to an admin request, or the error
// that took its place.
type gatewayResponse[T any] struct {
	address string
	value   T
	err     error
}

// queryAll sends a GET request for path to all admin addresses concurrently and
// returns the decoded responses in the order of the addresses.
func queryAll[T any](ctx context.Context, c *command, addresses []string, path string) []gatewayResponse[T] {
	list := make([]gatewayResponse[T], len(addresses))
	var wg sync.WaitGroup
	for i, a := range addresses {
		wg.Go(func() {
			list[i].address = a
			body, err := c.adminGet(ctx, a, path)
			if err == nil {
				err = json.Unmarshal(body, &list[i].value)
			}
			list[i].err = err
		})
	}
	wg.Wait()
	return list
}

// reportFailures prints the error of each gateway that did not respond and
// returns an error with their number, or nil if all responded.
func reportFailures[T any](c *command, responses []gatewayResponse[T]) error {
	failed := 0
	for _, r := range responses {
		if r.err != nil {
			failed++
			fmt.Fprintf(c.Stderr, "%s: %v\n", r.address, r.err)
		}
	}
	if failed == 0 {
		return nil
	}
	return fmt.Errorf("%d of %d gateways didn't answer; check -gateways and whether they run", failed, len(responses))
}

// backendLine is the merged view that the gateways have of one backend server.
type backendLine struct {
	adminapi.Backend
	// Gateway is the admin address of the gateway that reported Backend.
	Gateway string `json:"gateway"`
	// Differs lists the gateways that report another state, with that state.
	Differs []string `json:"differs,omitempty"`
}

// sourceRanks lists the sources from the least to the most reliable one.
var sourceRanks = []adminapi.Source{adminapi.SourceGossip, adminapi.SourcePoll, adminapi.SourceOwner}

// mergeBackends merges the lists of the gateways that responded, sorted by name.
// For each backend server it keeps the entry with the most reliable source; among
// equal sources, that of the gateway listed first.
func mergeBackends(responses []gatewayResponse[[]adminapi.Backend]) []backendLine {
	merged := map[string]*backendLine{}
	seen := make([]map[string]adminapi.Backend, len(responses))
	for i, r := range responses {
		seen[i] = map[string]adminapi.Backend{}
		for _, b := range r.value {
			seen[i][b.Name] = b
			old := merged[b.Name]
			if old == nil || slices.Index(sourceRanks, b.Source) > slices.Index(sourceRanks, old.Source) {
				merged[b.Name] = &backendLine{Backend: b, Gateway: r.address}
			}
		}
	}
	lines := make([]backendLine, 0, len(merged))
	for _, name := range slices.Sorted(maps.Keys(merged)) {
		l := merged[name]
		for i, r := range responses {
			if r.err != nil {
				continue
			}
			if other, known := seen[i][name]; !known {
				l.Differs = append(l.Differs, r.address+": not known")
			} else if other.Accepting != l.Accepting {
				l.Differs = append(l.Differs, r.address+": "+stateOf(other))
			}
		}
		lines = append(lines, *l)
	}
	return lines
}

func stateOf(b adminapi.Backend) string {
	if b.Accepting {
		return "accepting"
	}
	return string(b.Reason)
}

// showBackends prints the backend servers as the gateways see them.
func (c *command) showBackends(ctx context.Context, addresses []string) error {
	responses := queryAll[[]adminapi.Backend](ctx, c, addresses, "/backends")
	lines := mergeBackends(responses)
	var rows [][]string
	for _, l := range lines {
		load := []string{"-", "-", "-"}
		if l.Load != nil {
			load = loadColumns(*l.Load)
		}
		served := strings.Join(l.Models, ",") + l.Service
		row := []string{l.Name, string(l.Kind), l.DataCentre, served, stateOf(l.Backend)}
		rows = append(rows, slices.Concat(row, load, []string{strings.Join(l.Differs, "; ")}))
	}
	header := []string{"BACKEND", "KIND", "DATA CENTRE", "SERVES", "STATE", "RUNNING", "BOUND", "KV TOKENS", "GATEWAYS THAT DIFFER"}
	if err := c.print(lines, header, rows); err != nil {
		return err
	}
	return reportFailures(c, responses)
}

func loadColumns(l adminapi.Load) []string {
	bound := "none"
	if l.BatchBound > 0 {
		bound = strconv.Itoa(l.BatchBound)
	}
	return []string{strconv.Itoa(l.Running), bound, fmt.Sprintf("%d of %d", l.KVUsedTokens, l.KVCapacityTokens)}
}

// unknownBackendReasons returns a reason to ask for confirmation of a drain if no
// gateway knows the backend server: draining a mistyped name would have no effect.
func (c *command) unknownBackendReasons(ctx context.Context, name string) ([]string, error) {
	addresses, err := c.addresses()
	if err != nil {
		return nil, err
	}
	responses := queryAll[[]adminapi.Backend](ctx, c, addresses, "/backends")
	answered := 0
	for _, r := range responses {
		if r.err == nil {
			answered++
		}
		if slices.ContainsFunc(r.value, func(b adminapi.Backend) bool { return b.Name == name }) {
			return nil, nil
		}
	}
	if answered == 0 {
		return []string{fmt.Sprintf("none of the %d gateways answered, so the name %s was not checked", len(responses), name)}, nil
	}
	return []string{fmt.Sprintf("none of the %d gateways that answered knows a backend server named %s", answered, name)}, nil
}
