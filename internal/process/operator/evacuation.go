package operator

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"persimmonwing/internal/process/adminapi"
	"persimmonwing/internal/version/catalogue"
)

// evacuateCommand returns the command that evacuates a data centre, or that takes it back.
func (c *command) evacuateCommand(name string, evacuate bool) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	help := map[bool]string{true: "stop sending new work to the backend servers of a data centre", false: "resume sending work to the backend servers of an evacuated data centre"}[evacuate]
	return c.editCommand(fs, name+" DATACENTRE [-message M] [-yes]", help,
		func(ctx context.Context, args []string) (proposal, error) {
			if len(args) != 1 {
				return proposal{}, usagef("%s: the name of one data centre is needed", name)
			}
			r, body, err := c.storedRevision(ctx, 0)
			if err != nil {
				return proposal{}, err
			}
			edited, changed, err := catalogue.SetEvacuated(body, args[0], evacuate)
			if err != nil || !changed {
				return proposal{unchanged: &r}, err
			}
			p := proposal{base: r.Number, body: edited, message: name + " " + args[0]}
			if evacuate && c.gateways != "" {
				p.reasons, err = c.evacuationReasons(ctx, args[0])
			}
			return p, err
		})
}

// evacuationReasons returns reasons to ask for confirmation of an evacuation: no gateway knows a backend
// server in the data centre, so that a mistyped name would have no effect, or none is left for
// some model or service.
func (c *command) evacuationReasons(ctx context.Context, dataCentre string) ([]string, error) {
	addresses, err := c.addresses()
	if err != nil {
		return nil, err
	}
	responses := queryAll[[]adminapi.Backend](ctx, c, addresses, "/backends")
	answered := slices.DeleteFunc(responses, func(r gatewayResponse[[]adminapi.Backend]) bool { return r.err != nil })
	if len(answered) == 0 {
		return []string{fmt.Sprintf("none of the %d gateways answered, so it was not checked which backend servers are left", len(addresses))}, nil
	}
	inside, left := map[string]bool{}, map[string]bool{}
	for _, l := range mergeBackends(answered) {
		for _, served := range append(slices.Clone(l.Models), l.Service) {
			switch {
			case served == "":
			case l.DataCentre == dataCentre:
				inside[served] = true
			case l.Accepting:
				left[served] = true
			}
		}
	}
	if len(inside) == 0 {
		return []string{fmt.Sprintf("none of the %d gateways that answered knows a backend server in data centre %s", len(answered), dataCentre)}, nil
	}
	var reasons []string
	for served := range inside {
		if !left[served] {
			reasons = append(reasons, fmt.Sprintf("no other backend server that accepts work serves %s, so its requests would be refused", served))
		}
	}
	slices.Sort(reasons)
	return reasons, nil
}

// showEvacuations prints the evacuated data centres as each gateway sees them.
func (c *command) showEvacuations(ctx context.Context, addresses []string) error {
	responses := queryAll[Status](ctx, c, addresses, "/status")
	var rows [][]string
	statuses := []Status{}
	for _, r := range responses {
		if r.err != nil {
			continue
		}
		statuses = append(statuses, r.value)
		for _, e := range r.value.Evacuated {
			rows = append(rows, []string{e.DataCentre, r.value.Name, e.Since.UTC().Format(time.RFC3339), strconv.FormatInt(e.Revision, 10)})
		}
	}
	slices.SortStableFunc(rows, func(a, b []string) int { return strings.Compare(a[0], b[0]) })
	if err := c.print(statuses, []string{"DATA CENTRE", "GATEWAY", "SINCE", "REVISION"}, rows); err != nil {
		return err
	}
	return reportFailures(c, responses)
}
