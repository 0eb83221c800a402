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

// nearLimitFraction is the used fraction of a limit from which the limit is listed
// as nearly reached.
const nearLimitFraction = 0.9

// usage returns the usage of each workspace, summed over the gateways that
// responded. If some did not respond, it prints their errors and returns an error
// along with the sums.
func (c *command) usage(ctx context.Context, addresses []string) (map[string]adminapi.Usage, error) {
	responses := queryAll[[]adminapi.Usage](ctx, c, addresses, "/usage")
	sum := map[string]adminapi.Usage{}
	for _, r := range responses {
		for _, u := range r.value {
			s := sum[u.Workspace]
			s.Workspace = u.Workspace
			s.RequestsPerSecond += u.RequestsPerSecond
			s.TokensPerSecond += u.TokensPerSecond
			s.Concurrent += u.Concurrent
			sum[u.Workspace] = s
		}
	}
	return sum, reportFailures(c, responses)
}

// limitUse is one limit of a workspace and how much of it is used; limit 0 means
// unlimited.
type limitUse struct {
	name        string
	used, limit float64
}

func limitUses(u adminapi.Usage, l catalogue.Limits) []limitUse {
	return []limitUse{
		{"requests_per_second", u.RequestsPerSecond, l.RequestsPerSecond},
		{"tokens_per_second", u.TokensPerSecond, l.TokensPerSecond},
		{"concurrent", float64(u.Concurrent), float64(l.Concurrent)},
	}
}

// nearLimits returns the names of the limits of which 90% or more is used.
func nearLimits(list []limitUse) []string {
	var out []string
	for _, m := range list {
		if m.limit > 0 && m.used >= nearLimitFraction*m.limit {
			out = append(out, m.name)
		}
	}
	return out
}

// addUse sets Use and NearLimits of the lines, changes the limit columns of the rows
// to "USED of LIMIT", and inserts a column with the limits that are nearly reached.
func addUse(lines []workspaceLine, rows [][]string, use map[string]adminapi.Usage) {
	for i := range lines {
		l := &lines[i]
		u := use[l.Name]
		u.Workspace = l.Name
		l.Use = &u
		list := limitUses(u, l.Limits)
		l.NearLimits = nearLimits(list)
		for k, m := range list {
			rows[i][limitColumns+k] = fmt.Sprintf("%v of %s", math.Round(10*m.used)/10, limit(m.limit))
		}
		rows[i] = slices.Insert(rows[i], limitColumns+len(list), strings.Join(l.NearLimits, ","))
	}
}
