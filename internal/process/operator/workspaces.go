package operator

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"persimmonwing/internal/version/catalogue"
)

// workspaceLine is one workspace as listed; key digests are left out.
type workspaceLine struct {
	Name    string           `json:"name"`
	Weight  float64          `json:"weight"`
	Keys    int              `json:"keys"`
	Limits  catalogue.Limits `json:"limits"`
	Entries []string         `json:"entries"`
}

func (c *command) workspacesCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "workspaces", ShortUsage: "persimmonctl workspaces", ShortHelp: "list workspaces with their limits and entries",
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments("workspaces", args); err != nil {
				return err
			}
			e, err := c.editor()
			if err != nil {
				return err
			}
			_, parsed, err := current(ctx, e, 0)
			if err != nil {
				return err
			}
			if parsed == nil {
				return errNoRevision
			}
			lines, rows := listWorkspaces(parsed)
			return c.print(lines, []string{"WORKSPACE", "WEIGHT", "KEYS", "REQUESTS/S", "TOKENS/S", "CONCURRENT", "ENTRIES"}, rows)
		},
	}
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
