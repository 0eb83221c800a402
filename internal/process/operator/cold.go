package operator

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"persimmonwing/internal/process/adminapi"
)

// coldLine is the merged view that the gateways have of one cold server.
type coldLine struct {
	adminapi.ColdServer
	// Gateways is the number of gateways that know that it is cold.
	Gateways int `json:"gateways"`
}

// mergeCold merges the lists of the gateways that responded, sorted by name: the longest times, and the sum
// of the rights that were issued.
func mergeCold(responses []gatewayResponse[[]adminapi.ColdServer]) []coldLine {
	merged := map[string]*coldLine{}
	for _, r := range responses {
		for _, s := range r.value {
			l := merged[s.Name]
			if l == nil {
				merged[s.Name] = &coldLine{ColdServer: s, Gateways: 1}
				continue
			}
			l.LeftMS, l.AgeMS, l.Rights = max(l.LeftMS, s.LeftMS), max(l.AgeMS, s.AgeMS), max(l.Rights, s.Rights)
			l.Issued += s.Issued
			l.Gateways++
		}
	}
	lines := make([]coldLine, 0, len(merged))
	for _, name := range slices.Sorted(maps.Keys(merged)) {
		lines = append(lines, *merged[name])
	}
	return lines
}

// showCold shows the servers that are cold.
func (c *command) showCold(ctx context.Context, addresses []string) error {
	responses := queryAll[[]adminapi.ColdServer](ctx, c, addresses, "/cold")
	lines := mergeCold(responses)
	var rows [][]string
	milliseconds := func(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }
	for _, l := range lines {
		rights := "-"
		if l.Rights > 0 {
			rights = strconv.Itoa(l.Issued) + " of " + strconv.Itoa(l.Rights)
		}
		rows = append(rows, []string{l.Name, l.Service, l.DataCentre, milliseconds(l.AgeMS), milliseconds(l.LeftMS), rights, strconv.Itoa(l.Gateways) + " of " + strconv.Itoa(len(responses))})
	}
	if err := c.print(lines, []string{"SERVER", "SERVICE", "DATA CENTRE", "COLD SINCE", "LEFT", "RIGHTS", "KNOWN TO"}, rows); err != nil {
		return err
	}
	return reportFailures(c, responses)
}
