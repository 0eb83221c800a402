package operator

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"persimmonwing/internal/process/evacuation"
	"persimmonwing/internal/request/explain"
)

// maxResponseBytes bounds the body of an admin response.
const maxResponseBytes = 4 << 20

// errNotFound is the error for status 404, with which a gateway responds to /explain
// if it has no record of the request.
var errNotFound = errors.New("not found (status 404)")

// Status is the body of a gateway's response to GET /status.
type Status struct {
	Name              string `json:"name"`
	DataCentre        string `json:"data_centre"`
	Revision          int64  `json:"revision"`
	Ready             bool   `json:"ready"`
	LivePeers         int    `json:"live_peers"`
	GroupsOwned       int    `json:"groups_owned"`
	PlatformReachable bool   `json:"platform_reachable"`
	// Evacuated are the data centres whose backend servers get no new work.
	Evacuated []evacuation.Evacuation `json:"evacuated,omitempty"`
}

// gatewayStatus is one line of the output of "status".
type gatewayStatus struct {
	Address string `json:"address"`
	Status
	Error string `json:"error,omitempty"`
}

func (c *command) statusCommand() *ffcli.Command {
	fs := flag.NewFlagSet("status", flag.ContinueOnError)
	backends := fs.Bool("backends", false, "show the backend servers as the gateways see them")
	leases := fs.Bool("leases", false, "show which controllers hold the leases of the gateways' data centres")
	evacuations := fs.Bool("evacuations", false, "show which data centres are evacuated, as the gateways see them")
	cold := fs.Bool("cold", false, "show the servers that are cold; -gateways then lists the metrics addresses of gateways on the users' platform")
	return &ffcli.Command{
		Name: "status", ShortUsage: "persimmonctl status [-backends | -leases | -evacuations | -cold]", ShortHelp: "show the state of the gateways, backend servers, controllers or data centres",
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments("status", args); err != nil {
				return err
			}
			addresses, err := c.addresses()
			if err != nil {
				return err
			}
			exclusive := 0
			for _, set := range []bool{*backends, *leases, *evacuations, *cold} {
				if set {
					exclusive++
				}
			}
			switch {
			case exclusive > 1:
				return usagef("status: -backends, -leases, -evacuations and -cold exclude each other")
			case *evacuations:
				return c.showEvacuations(ctx, addresses)
			case *cold:
				return c.showCold(ctx, addresses)
			case *backends:
				return c.showBackends(ctx, addresses)
			case *leases:
				return c.showLeases(ctx, addresses)
			}
			var list []gatewayStatus
			for _, r := range queryAll[Status](ctx, c, addresses, "/status") {
				s := gatewayStatus{Address: r.address, Status: r.value}
				if r.err != nil {
					s.Error = r.err.Error()
				}
				list = append(list, s)
			}
			return c.printStatus(list)
		},
	}
}

func (c *command) printStatus(list []gatewayStatus) error {
	var rows [][]string
	failed := 0
	for _, s := range list {
		if s.Error != "" {
			failed++
			rows = append(rows, []string{s.Address, "-", "-", "-", "-", "-", "-", s.Error})
			continue
		}
		rows = append(rows, []string{s.Name, s.DataCentre, strconv.FormatInt(s.Revision, 10), strconv.FormatBool(s.Ready),
			strconv.Itoa(s.LivePeers), strconv.Itoa(s.GroupsOwned), strconv.FormatBool(s.PlatformReachable), ""})
	}
	header := []string{"GATEWAY", "DATA CENTRE", "REVISION", "READY", "LIVE PEERS", "GROUPS", "PLATFORM", "ERROR"}
	if err := c.print(list, header, rows); err != nil {
		return err
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d gateways didn't answer; check -gateways and whether they run", failed, len(list))
	}
	return nil
}

func (c *command) explainCommand() *ffcli.Command {
	fs := flag.NewFlagSet("explain", flag.ContinueOnError)
	logs := fs.String("logs", "", "gateway log files to search instead of querying -gateways, separated by commas; - is standard input")
	return &ffcli.Command{
		Name: "explain", ShortUsage: "persimmonctl explain [-logs FILES] ID", ShortHelp: "show how a request was handled",
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usagef("explain: one request id is needed")
			}
			if *logs != "" {
				return c.explainFromLogs(args[0], strings.Split(*logs, ","))
			}
			return c.explainFromGateways(ctx, args[0])
		},
	}
}

func (c *command) explainFromGateways(ctx context.Context, id string) error {
	addresses, err := c.addresses()
	if err != nil {
		return err
	}
	var failures []error
	for _, a := range addresses {
		body, err := c.adminGet(ctx, a, "/explain/"+url.PathEscape(id))
		if err == nil {
			_, err = c.Stdout.Write(body)
			return err
		}
		failures = append(failures, fmt.Errorf("%s: %w", a, err))
	}
	return fmt.Errorf("no gateway gave a record of request %s; each keeps its latest %d, so name the gateway that took the request in -gateways:\n%w", id, explain.DefaultRecords, errors.Join(failures...))
}

// explainFromLogs prints the log lines of a request and, indented, lines about other
// events that may explain it. Each has its time relative to the request's first line.
func (c *command) explainFromLogs(id string, files []string) error {
	var logs []io.Reader
	for _, name := range files {
		if name == "-" {
			logs = append(logs, c.Stdin)
			continue
		}
		f, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("-logs: %w", err)
		}
		defer f.Close()
		logs = append(logs, f)
	}
	lines, unread, err := explain.FromLogs(id, logs...)
	if err != nil {
		return fmt.Errorf("-logs: %w", err)
	}
	if unread > 0 {
		fmt.Fprintf(c.Stderr, "persimmonctl: skipped %d lines that are not gateway log lines\n", unread)
	}
	first := slices.IndexFunc(lines, func(l explain.Line) bool { return !l.Context })
	if first < 0 {
		return fmt.Errorf("no line of request %s in %s; log lines may have been dropped (\"lines dropped\") or are of another gateway", id, strings.Join(files, ", "))
	}
	for _, l := range lines {
		indent := ""
		if l.Context {
			indent = "    "
		}
		if _, err := fmt.Fprintf(c.Stdout, "%s%+.3fs %s %s: %s %s\n", indent, l.At.Sub(lines[first].At).Seconds(), l.Process, l.Part, l.Message, strings.Join(l.Fields, " ")); err != nil {
			return err
		}
	}
	return nil
}

// addresses returns the admin addresses listed in -gateways, without "http://".
func (c *command) addresses() ([]string, error) {
	var list []string
	for a := range strings.SplitSeq(c.gateways, ",") {
		a = strings.TrimPrefix(strings.TrimSpace(a), "http://")
		if a == "" {
			continue
		}
		if _, port, err := net.SplitHostPort(a); err != nil || port == "" {
			return nil, usagef("-gateways: %q is not allowed; use host:port of a gateway's admin address", a)
		}
		list = append(list, a)
	}
	if len(list) == 0 {
		return nil, usagef("-gateways must be set: host:port of the gateways' admin addresses, separated by commas")
	}
	return list, nil
}

// adminGet sends a GET request to a gateway's admin address and returns the body of
// the response. Status 404 is errNotFound.
func (c *command) adminGet(ctx context.Context, address, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return body, nil
	case http.StatusNotFound:
		return nil, errNotFound
	default:
		return nil, fmt.Errorf("unexpected status %d", resp.StatusCode)
	}
}
