package faults

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"persimmonwing/internal/process/loadgen"
)

// Event is a step that the script carried out.
type Event struct {
	AtMS   int64
	Action Action
	Target string
	Value  string
}

// EditResult is the end of one edit by an operator.
type EditResult struct {
	// Label is the same for the two edits of a race.
	Label  string
	EndMS  int64
	Exit   int
	Output string
}

// accepted returns the revision that the edit made, or 0.
func (e *EditResult) accepted() int64 {
	_, rest, found := strings.Cut(e.Output, "accepted as revision ")
	if !found || e.Exit != 0 {
		return 0
	}
	n, err := strconv.ParseInt(strings.Fields(rest + " ")[0], 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// GatewayStatus is a gateway's line in a status sample.
type GatewayStatus struct {
	Address  string `json:"address"`
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	Ready    bool   `json:"ready"`
	Error    string `json:"error"`
}

// Sample is one answer of persimmonctl status.
type Sample struct {
	FromMS   int64
	Gateways []GatewayStatus
}

// Exit is the end of a gateway after SIGTERM.
type Exit struct {
	AtMS int64
	Name string
	Code int
}

// ControllerSample tells which controllers said that they may send orders in
// their own data centre.
type ControllerSample struct {
	Name       string `json:"name"`
	Active     bool   `json:"active"`
	Fencing    int64  `json:"fencing"`
	DataCentre string `json:"data_centre"`
}

// Runs counts the runs of each request id at one server.
type Runs map[string]int

// Evidence is what a run left in its directory.
type Evidence struct {
	Records []loadgen.Record
	Events  []Event
	// Runs holds the counters of each server, summed over its restarts.
	Runs map[string]Runs
	// Settled and Returned are the counters of a leaving server at the bound and
	// before it returned.
	Settled, Returned map[string]Runs
	Edits             []EditResult
	Samples           []Sample
	Exits             []Exit
	Controllers       []ControllerSample
	// Crashes holds the engines that ended by themselves, and CrashResends the
	// codes with which the request that crashes engines was answered.
	Crashes, CrashResends []string
	// Cuts holds the partitions.
	Cuts   []cutSpan
	gapsOf map[gapKey][]span
	// Served is set by the audit, by kind of partition and of request.
	Served map[string]*Served
	// GatewayURLs gives the callers' address of each gateway.
	GatewayURLs map[string]string
}

// Load reads the files that scripts/faults.sh wrote to dir.
func Load(dir string) (*Evidence, error) {
	e := &Evidence{Runs: map[string]Runs{}, GatewayURLs: map[string]string{}}
	err := errors.Join(
		lines(dir, "records.jsonl", func(line string) error {
			var r loadgen.Record
			err := json.Unmarshal([]byte(line), &r)
			e.Records = append(e.Records, r)
			return err
		}),
		fields(dir, "events.log", 4, e.event),
		fields(dir, "exits.log", 3, e.exit),
		fields(dir, "gateways.log", 2, func(f []string) error { e.GatewayURLs[f[0]] = f[1]; return nil }),
		fields(dir, "edits.log", 4, func(f []string) error { return e.edit(dir, f) }),
		lines(dir, "status.log", e.sample),
		lines(dir, "controllers.jsonl", func(line string) error {
			var s ControllerSample
			err := json.Unmarshal([]byte(line), &s)
			e.Controllers = append(e.Controllers, s)
			return err
		}),
		fields(dir, "crashes.log", 2, func(f []string) error { e.Crashes = append(e.Crashes, f[1]); return nil }),
		fields(dir, "resends.log", 1, func(f []string) error { e.CrashResends = append(e.CrashResends, f[0]); return nil }),
		e.runs(dir),
	)
	cuts, err2 := e.cutSpans()
	e.Cuts = cuts
	return e, errors.Join(err, err2)
}

func (e *Evidence) event(f []string) error {
	at, err := strconv.ParseInt(f[0], 10, 64)
	e.Events = append(e.Events, Event{AtMS: at, Action: Action(f[1]), Target: f[2], Value: f[3]})
	return err
}

func (e *Evidence) exit(f []string) error {
	at, err := strconv.ParseInt(f[0], 10, 64)
	code, err2 := strconv.Atoi(f[2])
	e.Exits = append(e.Exits, Exit{AtMS: at, Name: f[1], Code: code})
	return errors.Join(err, err2)
}

// edit reads "milliseconds label exit-code file".
func (e *Evidence) edit(dir string, f []string) error {
	at, err := strconv.ParseInt(f[0], 10, 64)
	code, err2 := strconv.Atoi(f[2])
	output, err3 := os.ReadFile(filepath.Join(dir, filepath.Base(f[3])))
	e.Edits = append(e.Edits, EditResult{Label: f[1], EndMS: at, Exit: code, Output: string(output)})
	return errors.Join(err, err2, err3)
}

// sample reads "milliseconds JSON".
func (e *Evidence) sample(line string) error {
	at, rest, _ := strings.Cut(line, " ")
	var s Sample
	var err error
	if s.FromMS, err = strconv.ParseInt(at, 10, 64); err != nil {
		return err
	}
	err = json.Unmarshal([]byte(rest), &s.Gateways)
	e.Samples = append(e.Samples, s)
	return err
}

// runs reads runs/NAME.N.json, one file for each life of a server, and the
// counters of leaving servers.
func (e *Evidence) runs(dir string) error {
	var errs []error
	read := func(pattern string, add func(name string, r Runs)) {
		files, err := filepath.Glob(filepath.Join(dir, pattern))
		errs = append(errs, err)
		for _, file := range files {
			var r Runs
			b, err := os.ReadFile(file)
			if err == nil {
				err = json.Unmarshal(b, &r)
			}
			if err != nil {
				errs = append(errs, fmt.Errorf("%s: %w", file, err))
			}
			name, _, _ := strings.Cut(filepath.Base(file), ".")
			add(name, r)
		}
	}
	e.Settled, e.Returned = map[string]Runs{}, map[string]Runs{}
	read("runs/*.json", func(name string, r Runs) {
		if e.Runs[name] == nil {
			e.Runs[name] = Runs{}
		}
		for id, n := range r {
			e.Runs[name][id] += n
		}
	})
	read("settled/*.json", func(name string, r Runs) { e.Settled[name] = r })
	read("returned/*.json", func(name string, r Runs) { e.Returned[name] = r })
	return errors.Join(errs...)
}

// maxLine bounds a line of evidence in bytes.
const maxLine = 1 << 20

// lines calls f for each line of a file. A missing file has no lines; the checks
// that need them then count as not exercised.
func lines(dir, file string, f func(string) error) error {
	b, err := os.ReadFile(filepath.Join(dir, file))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	s := bufio.NewScanner(bytes.NewReader(b))
	s.Buffer(nil, maxLine)
	for s.Scan() {
		if err := f(s.Text()); err != nil {
			return fmt.Errorf("%s: %q: %w", file, s.Text(), err)
		}
	}
	return s.Err()
}

func fields(dir, file string, n int, f func([]string) error) error {
	return lines(dir, file, func(line string) error {
		parts := strings.Fields(line)
		if len(parts) != n {
			return fmt.Errorf("has %d fields, not %d", len(parts), n)
		}
		return f(parts)
	})
}
