package operator

import (
	"context"
	"fmt"
	"math"
	"slices"
	"strings"

	"persimmonwing/internal/process/adminapi"
	"persimmonwing/internal/version/catalogue"
)

// nearLimit is the part of a limit from which a workspace is marked.
const nearLimit = 0.9

// usage returns the use of each workspace, summed up over the gateways that
// answered. The error names those that didn't.
func (c *command) usage(ctx context.Context, addresses []string) (map[string]adminapi.Usage, error) {
	answers := askAll[[]adminapi.Usage](ctx, c, addresses, "/usage")
	sum := map[string]adminapi.Usage{}
	for _, a := range answers {
		for _, u := range a.value {
			s := sum[u.Workspace]
			s.Workspace = u.Workspace
			s.RequestsPerSecond += u.RequestsPerSecond
			s.TokensPerSecond += u.TokensPerSecond
			s.Concurrent += u.Concurrent
			sum[u.Workspace] = s
		}
	}
	return sum, unanswered(c, answers)
}

// measured is one limit of a workspace with its use.
type measured struct {
	name        string
	used, limit float64
}

func measure(u adminapi.Usage, l catalogue.Limits) []measured {
	return []measured{
		{"requests_per_second", u.RequestsPerSecond, l.RequestsPerSecond},
		{"tokens_per_second", u.TokensPerSecond, l.TokensPerSecond},
		{"concurrent", float64(u.Concurrent), float64(l.Concurrent)},
	}
}

// near returns the limits of which 90% or more are used.
func near(list []measured) []string {
	var out []string
	for _, m := range list {
		if m.limit > 0 && m.used >= nearLimit*m.limit {
			out = append(out, m.name)
		}
	}
	return out
}

// withUse adds use to the lines and replaces the columns of the limits.
func withUse(lines []workspaceLine, rows [][]string, use map[string]adminapi.Usage) {
	for i := range lines {
		l := &lines[i]
		u := use[l.Name]
		u.Workspace = l.Name
		l.Use = &u
		list := measure(u, l.Limits)
		l.NearLimits = near(list)
		for k, m := range list {
			rows[i][limitColumns+k] = fmt.Sprintf("%v of %s", math.Round(10*m.used)/10, limit(m.limit))
		}
		rows[i] = slices.Insert(rows[i], limitColumns+len(list), strings.Join(l.NearLimits, ","))
	}
}
