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

// answer is what one gateway answered to a question.
type answer[T any] struct {
	address string
	value   T
	err     error
}

// askAll asks all gateways the same at once.
func askAll[T any](ctx context.Context, c *command, addresses []string, path string) []answer[T] {
	list := make([]answer[T], len(addresses))
	var wg sync.WaitGroup
	for i, a := range addresses {
		wg.Go(func() {
			list[i].address = a
			body, err := c.ask(ctx, a, path)
			if err == nil {
				err = json.Unmarshal(body, &list[i].value)
			}
			list[i].err = err
		})
	}
	wg.Wait()
	return list
}

// unanswered reports the gateways that did not answer, or nil.
func unanswered[T any](c *command, answers []answer[T]) error {
	failed := 0
	for _, a := range answers {
		if a.err != nil {
			failed++
			fmt.Fprintf(c.Stderr, "%s: %v\n", a.address, a.err)
		}
	}
	if failed == 0 {
		return nil
	}
	return fmt.Errorf("%d of %d gateways didn't answer; check -gateways and whether they run", failed, len(answers))
}

// backendLine is one backend server as the gateways see it together.
type backendLine struct {
	adminapi.Backend
	// Gateway is the address of the gateway whose answer this is.
	Gateway string `json:"gateway"`
	// Differs lists the gateways that see it differently, with what they see.
	Differs []string `json:"differs,omitempty"`
}

// sources ranks how well a gateway knows a server.
var sources = []adminapi.Source{adminapi.SourceGossip, adminapi.SourcePoll, adminapi.SourceOwner}

// mergeBackends joins the answers of the gateways that answered. The best
// source wins, and of equal ones the gateway named first.
func mergeBackends(answers []answer[[]adminapi.Backend]) []backendLine {
	merged := map[string]*backendLine{}
	seen := make([]map[string]adminapi.Backend, len(answers))
	for i, a := range answers {
		seen[i] = map[string]adminapi.Backend{}
		for _, b := range a.value {
			seen[i][b.Name] = b
			old := merged[b.Name]
			if old == nil || slices.Index(sources, b.Source) > slices.Index(sources, old.Source) {
				merged[b.Name] = &backendLine{Backend: b, Gateway: a.address}
			}
		}
	}
	lines := make([]backendLine, 0, len(merged))
	for _, name := range slices.Sorted(maps.Keys(merged)) {
		l := merged[name]
		for i, a := range answers {
			if a.err != nil {
				continue
			}
			if other, known := seen[i][name]; !known {
				l.Differs = append(l.Differs, a.address+": not known")
			} else if other.Accepting != l.Accepting {
				l.Differs = append(l.Differs, a.address+": "+stateOf(other))
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
	answers := askAll[[]adminapi.Backend](ctx, c, addresses, "/backends")
	lines := mergeBackends(answers)
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
	return unanswered(c, answers)
}

func loadColumns(l adminapi.Load) []string {
	bound := "none"
	if l.BatchBound > 0 {
		bound = strconv.Itoa(l.BatchBound)
	}
	return []string{strconv.Itoa(l.Running), bound, fmt.Sprintf("%d of %d", l.KVUsedTokens, l.KVCapacityTokens)}
}

// checkKnown returns a reason to ask before a drain if no gateway knows the
// backend server: a mistyped name would drain nothing.
func (c *command) checkKnown(ctx context.Context, name string) ([]string, error) {
	addresses, err := c.addresses()
	if err != nil {
		return nil, err
	}
	answers := askAll[[]adminapi.Backend](ctx, c, addresses, "/backends")
	answered := 0
	for _, a := range answers {
		if a.err == nil {
			answered++
		}
		if slices.ContainsFunc(a.value, func(b adminapi.Backend) bool { return b.Name == name }) {
			return nil, nil
		}
	}
	if answered == 0 {
		return []string{fmt.Sprintf("none of the %d gateways answered, so the name %s was not checked", len(answers), name)}, nil
	}
	return []string{fmt.Sprintf("none of the %d gateways that answered knows a backend server named %s", answered, name)}, nil
}
