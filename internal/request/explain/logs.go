package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/rotisserie/eris"
)

const (
	// contextBefore and contextAfter limit the lines before and after a request that are
	// included as context: an engine announces its end about 2 s in advance, and a host is
	// taken out of rotation 3 s after its last contact with the store.
	contextBefore = 5 * time.Second
	contextAfter  = 2 * time.Second
	// maxLogLine is the maximum length of a log line in bytes. A longer line is an error.
	maxLogLine = 1 << 20
)

// Line is one line of a gateway's log.
type Line struct {
	At      time.Time
	Process string
	Part    string
	Message string
	// Fields contains the remaining fields as key=value: in the order of the line for logfmt,
	// sorted by key for JSON.
	Fields []string
	// Context is set if the line does not concern the request itself.
	Context bool

	id      string
	servers []string
}

// serverKeys lists the keys whose values are names of backend servers.
var serverKeys = []string{"backend", "from", "to", "server", "engine"}

// schedulerPart is the value of the key part in log lines of the scheduler.
const schedulerPart = "scheduler"

// hostParts lists the parts whose log lines concern all requests of a process.
var hostParts = []string{"gateway", "config", "store", "log"}

// FromLogs returns the log lines that concern a request, and as context those of the same
// processes at about the same time that concern the process or the request's backend
// servers, sorted by time. The logs are of any number of processes, in logfmt or JSON.
// unparsed is the number of lines that are neither.
func FromLogs(id string, logs ...io.Reader) (lines []Line, unparsed int, err error) {
	var all []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLogLine)
		for scanner.Scan() {
			l, ok := parseLine(scanner.Bytes())
			if !ok {
				unparsed++
				continue
			}
			all = append(all, l)
		}
		if err := scanner.Err(); err != nil {
			return nil, unparsed, eris.Wrap(err, "read log")
		}
	}
	slices.SortStableFunc(all, func(a, b Line) int { return a.At.Compare(b.At) })
	return selectLines(id, all), unparsed, nil
}

// concerns reports whether the line concerns a request. The scheduler logs the id of one
// wait for an engine, which begins with the request's id.
func (l *Line) concerns(id string) bool {
	return l.id == id || l.Part == schedulerPart && strings.HasPrefix(l.id, id+"-")
}

// selectLines returns the lines that concern a request and their context.
func selectLines(id string, all []Line) []Line {
	processes, servers := map[string]bool{}, map[string]bool{}
	var first, last time.Time
	for _, l := range all {
		if !l.concerns(id) {
			continue
		}
		if first.IsZero() {
			first = l.At
		}
		last = l.At
		processes[l.Process] = true
		for _, s := range l.servers {
			servers[s] = true
		}
	}
	var out []Line
	for _, l := range all {
		if l.concerns(id) {
			out = append(out, l)
			continue
		}
		near := !first.IsZero() && !l.At.Before(first.Add(-contextBefore)) && !l.At.After(last.Add(contextAfter))
		about := slices.Contains(hostParts, l.Part) || slices.ContainsFunc(l.servers, func(s string) bool { return servers[s] })
		if near && l.id == "" && processes[l.Process] && about {
			l.Context = true
			out = append(out, l)
		}
	}
	return out
}

func parseLine(raw []byte) (Line, bool) {
	var l Line
	set := func(key, value string) bool {
		switch key {
		case "ts":
			at, err := time.Parse(time.RFC3339Nano, value)
			l.At = at
			return err == nil
		case "process":
			l.Process = value
		case "part":
			l.Part = value
		case "msg":
			l.Message = value
		case "id":
			l.id = value
		case "level":
		default:
			if slices.Contains(serverKeys, key) && value != "" {
				l.servers = append(l.servers, value)
			}
			l.Fields = append(l.Fields, key+"="+quote(value))
		}
		return true
	}
	raw = bytes.TrimSpace(raw)
	if bytes.HasPrefix(raw, []byte("{")) {
		var values map[string]any
		if json.Unmarshal(raw, &values) != nil {
			return l, false
		}
		keys := make([]string, 0, len(values))
		for k := range values {
			keys = append(keys, k)
		}
		slices.Sort(keys)
		for _, k := range keys {
			if !set(k, fmt.Sprint(values[k])) {
				return l, false
			}
		}
		return l, !l.At.IsZero()
	}
	d := logfmt.NewDecoder(bytes.NewReader(raw))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			if !set(string(d.Key()), string(d.Value())) {
				return l, false
			}
		}
	}
	return l, d.Err() == nil && !l.At.IsZero()
}

func quote(value string) string {
	if value == "" || strings.ContainsAny(value, " \"=") {
		return fmt.Sprintf("%q", value)
	}
	return value
}
