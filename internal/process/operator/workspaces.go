package operator

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"persimmonwing/internal/process/adminapi"
	"persimmonwing/internal/version/catalogue"
)

// workspaceLine is one workspace in the output of "workspaces". It contains the
// number of API keys instead of their digests.
type workspaceLine struct {
	Name    string           `json:"name"`
	Weight  float64          `json:"weight"`
	Keys    int              `json:"keys"`
	Limits  catalogue.Limits `json:"limits"`
	Entries []string         `json:"entries"`
	// Use and NearLimits are set if -gateways is set.
	Use        *adminapi.Usage `json:"use,omitempty"`
	NearLimits []string        `json:"near_limits,omitempty"`
}

// limitColumns is the index of the first limit column.
const limitColumns = 3

func (c *command) workspacesCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "workspaces", ShortUsage: "persimmonctl workspaces", ShortHelp: "list workspaces with their limits, entries and, with -gateways, their use",
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments("workspaces", args); err != nil {
				return err
			}
			e, err := c.editor()
			if err != nil {
				return err
			}
			_, parsed, err := parsedRevision(ctx, e, 0)
			if err != nil {
				return err
			}
			if parsed == nil {
				return errNoRevision
			}
			return c.printWorkspaces(ctx, parsed)
		},
	}
}

// printWorkspaces prints the workspaces, with their usage if -gateways is set.
func (c *command) printWorkspaces(ctx context.Context, parsed *catalogue.Catalogue) error {
	lines, rows := listWorkspaces(parsed)
	header := []string{"WORKSPACE", "WEIGHT", "KEYS", "REQUESTS/S", "TOKENS/S", "CONCURRENT", "ENTRIES"}
	if c.gateways == "" {
		return c.print(lines, header, rows)
	}
	addresses, err := c.addresses()
	if err != nil {
		return err
	}
	use, incomplete := c.usage(ctx, addresses)
	addUse(lines, rows, use)
	if err := c.print(lines, slices.Insert(header, len(header)-1, "NEAR LIMIT"), rows); err != nil {
		return err
	}
	return incomplete
}

func listWorkspaces(c *catalogue.Catalogue) (lines []workspaceLine, rows [][]string) {
	for _, w := range c.Workspaces {
		l := workspaceLine{Name: w.Name, Weight: w.Weight, Keys: len(w.KeyDigests), Limits: w.Limits}
		for _, e := range c.Entries {
			if len(e.Workspaces) == 0 || slices.Contains(e.Workspaces, w.Name) {
				l.Entries = append(l.Entries, e.Name)
			}
		}
		lines = append(lines, l)
		rows = append(rows, []string{l.Name, fmt.Sprint(l.Weight), strconv.Itoa(l.Keys), limit(l.Limits.RequestsPerSecond),
			limit(l.Limits.TokensPerSecond), limit(float64(l.Limits.Concurrent)), strings.Join(l.Entries, ",")})
	}
	return lines, rows
}

func limit(x float64) string {
	if x == 0 {
		return "unlimited"
	}
	return fmt.Sprint(x)
}
