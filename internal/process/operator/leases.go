package operator

import (
	"context"
	"errors"
	"slices"
	"strconv"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/version/order"
)

// showLeases prints the controller lease of each data centre in which one of the
// gateways runs.
func (c *command) showLeases(ctx context.Context, addresses []string) error {
	table, _, err := c.Connect(c.tableURL, c.objectURL, min(callTimeout, c.timeout))
	if err != nil {
		return err
	}
	var centres []string
	for _, r := range queryAll[Status](ctx, c, addresses, "/status") {
		if r.err != nil {
			return r.err
		}
		centres = append(centres, r.value.DataCentre)
	}
	slices.Sort(centres)
	var list []order.LeaseInfo
	var rows [][]string
	for _, centre := range slices.Compact(centres) {
		l, err := order.ReadLease(ctx, table, centre)
		if errors.Is(err, platform.ErrNotFound) {
			l, err = order.LeaseInfo{DataCentre: centre}, nil
		}
		if err != nil {
			return err
		}
		list = append(list, l)
		rows = append(rows, []string{centre, orDash(l.Holder), orDash(l.HolderDataCentre), strconv.FormatInt(l.Fencing, 10), strconv.FormatInt(l.Renewals, 10)})
	}
	return c.print(list, []string{"DATA CENTRE", "HOLDER", "HOLDER'S DATA CENTRE", "FENCING", "RENEWALS"}, rows)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
