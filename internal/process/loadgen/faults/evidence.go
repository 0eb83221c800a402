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

// Event is a step that scripts/faults.sh carried out.
type Event struct {
	AtMS   int64
	Action Action
	Target string
	Value  string
}

// EditResult is the result of one catalogue edit by an operator.
type EditResult struct {
	// Label identifies the edit. The two edits of a race have the same label.
	Label  string
	EndMS  int64
	Exit   int
	Output string
}

// accepted returns the revision that the edit created, or 0 if it was not
// accepted.
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

// GatewayStatus is the status of one gateway in a Sample.
type GatewayStatus struct {
	Address  string `json:"address"`
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	Ready    bool   `json:"ready"`
	Error    string `json:"error"`
}

// Sample is one output of persimmonctl status. FromMS is the time at which the
// command started.
type Sample struct {
	FromMS   int64
	Gateways []GatewayStatus
}

// Exit is the exit of a gateway after SIGTERM.
type Exit struct {
	AtMS int64
	Name string
	Code int
}

// ControllerSample is the status that one controller reported. Active is true if
// the controller has permission to send orders in its own data centre.
type ControllerSample struct {
	Name       string `json:"name"`
	Active     bool   `json:"active"`
	Fencing    int64  `json:"fencing"`
	DataCentre string `json:"data_centre"`
}

// Runs maps a request id to the number of its runs at one server.
type Runs map[string]int

// Evidence holds the files that a fault run wrote to its directory.
type Evidence struct {
	Records []loadgen.Record
	Events  []Event
	// Runs holds the run counters of each server, summed over its restarts.
	Runs map[string]Runs
	// Settled and Returned hold the run counters of each leaving server: LeaveBound
	// after it was marked as leaving, and just before it returned.
	Settled, Returned map[string]Runs
	Edits             []EditResult
	Samples           []Sample
	Exits             []Exit
	Controllers       []ControllerSample
	// Crashes holds the engines that exited without being stopped by the script.
	// CrashResends holds the response code of each attempt of the crashing request.
	Crashes, CrashResends []string
	// Cuts holds the partitions that took place.
	Cuts             []cutSpan
	unreachableCache map[revisionKey][]span
	// Served is set by Audit. The key is the area of the partition, a space and the
	// kind of request.
	Served map[string]*Served
	// GatewayURLs holds the URL at which callers reach each gateway.
	GatewayURLs map[string]string
}

// Load reads the files that scripts/faults.sh wrote to dir. Missing files count as
// empty; damaged ones give an error.
func Load(dir string) (*Evidence, error) {
	e := &Evidence{Runs: map[string]Runs{}, GatewayURLs: map[string]string{}}
	err := errors.Join(
		eachLine(dir, "records.jsonl", func(line string) error {
			var r loadgen.Record
			err := json.Unmarshal([]byte(line), &r)
			e.Records = append(e.Records, r)
			return err
		}),
		eachRecord(dir, "events.log", 4, e.addEvent),
		eachRecord(dir, "exits.log", 3, e.addExit),
		eachRecord(dir, "gateways.log", 2, func(f []string) error { e.GatewayURLs[f[0]] = f[1]; return nil }),
		eachRecord(dir, "edits.log", 4, func(f []string) error { return e.readEdit(dir, f) }),
		eachLine(dir, "status.log", e.addSample),
		eachLine(dir, "controllers.jsonl", func(line string) error {
			var s ControllerSample
			err := json.Unmarshal([]byte(line), &s)
			e.Controllers = append(e.Controllers, s)
			return err
		}),
		eachRecord(dir, "crashes.log", 2, func(f []string) error { e.Crashes = append(e.Crashes, f[1]); return nil }),
		eachRecord(dir, "resends.log", 1, func(f []string) error { e.CrashResends = append(e.CrashResends, f[0]); return nil }),
		e.readRuns(dir),
	)
	cuts, err2 := e.cutSpans()
	e.Cuts = cuts
	return e, errors.Join(err, err2)
}

func (e *Evidence) addEvent(f []string) error {
	at, err := strconv.ParseInt(f[0], 10, 64)
	e.Events = append(e.Events, Event{AtMS: at, Action: Action(f[1]), Target: f[2], Value: f[3]})
	return err
}

func (e *Evidence) addExit(f []string) error {
	at, err := strconv.ParseInt(f[0], 10, 64)
	code, err2 := strconv.Atoi(f[2])
	e.Exits = append(e.Exits, Exit{AtMS: at, Name: f[1], Code: code})
	return errors.Join(err, err2)
}

// readEdit reads an edit from the fields "milliseconds label exit-code file", where
// the file holds the output of the edit command.
func (e *Evidence) readEdit(dir string, f []string) error {
	at, err := strconv.ParseInt(f[0], 10, 64)
	code, err2 := strconv.Atoi(f[2])
	output, err3 := os.ReadFile(filepath.Join(dir, filepath.Base(f[3])))
	e.Edits = append(e.Edits, EditResult{Label: f[1], EndMS: at, Exit: code, Output: string(output)})
	return errors.Join(err, err2, err3)
}

// addSample reads a sample from a line "milliseconds JSON".
func (e *Evidence) addSample(line string) error {
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

// readRuns reads the run counters. runs/ contains one file NAME.N.json for each
// incarnation of a server; settled/NAME.json and returned/NAME.json are the counters of
// leaving servers.
func (e *Evidence) readRuns(dir string) error {
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

// maxLineBytes is the maximum length of a line in the evidence files, in bytes.
const maxLineBytes = 1 << 20

// eachLine calls f for each line of a file. A missing file counts as empty; the
// checks that need it are then reported as not exercised.
func eachLine(dir, file string, f func(string) error) error {
	b, err := os.ReadFile(filepath.Join(dir, file))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	s := bufio.NewScanner(bytes.NewReader(b))
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		if err := f(s.Text()); err != nil {
			return fmt.Errorf("%s: %q: %w", file, s.Text(), err)
		}
	}
	return s.Err()
}

func eachRecord(dir, file string, n int, f func([]string) error) error {
	return eachLine(dir, file, func(line string) error {
		parts := strings.Fields(line)
		if len(parts) != n {
			return fmt.Errorf("has %d fields, not %d", len(parts), n)
		}
		return f(parts)
	})
}
