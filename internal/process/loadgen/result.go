package loadgen

import (
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"persimmonwing/internal/request/api"
	"persimmonwing/internal/version/catalogue"
)

// Result contains the measurements of a run. Times are in milliseconds unless the
// name says otherwise.
type Result struct {
	Seed            uint64            `json:"seed"`
	DurationSeconds float64           `json:"duration_seconds"`
	Windows         []WindowResult    `json:"windows"`
	Violations      map[Violation]int `json:"violations"`
	// LatenessMS is how late the load tool itself sent its requests. High values mean
	// that the machine of the tool is overloaded.
	LatenessMS Quantiles `json:"lateness_ms"`
	// NotRunIDs contains ids of requests that were refused as not run, and AtMostOnceIDs
	// those of calls that may run only once. A caller that also runs the backend servers can
	// compare them with the runs there.
	NotRunIDs     []string `json:"-"`
	AtMostOnceIDs []string `json:"-"`
}

// Quantiles summarizes a distribution; all values but Count are in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// WindowResult is the result of one window.
type WindowResult struct {
	Name       string  `json:"name"`
	Seconds    float64 `json:"seconds"`
	Total      Group   `json:"total"`
	Classes    []Group `json:"classes"`
	Workspaces []Group `json:"workspaces"`
	Streams    []Group `json:"streams"`
	// Groups are the groups that streams of the workload are assigned to.
	Groups []Group `json:"groups,omitempty"`
}

// Group is the result of a set of streams. In classes and workspaces, service calls
// form groups of their own, as their response times are not first-token latencies.
type Group struct {
	Name     string `json:"name"`
	Requests int    `json:"requests"`
	// Judged counts the requests known to be on time or not when the run ended, and
	// OnTimeShare is the fraction of them that was on time.
	Judged       int       `json:"judged"`
	OnTimeShare  float64   `json:"on_time_share"`
	FirstTokenMS Quantiles `json:"first_token_ms"`
	GapMS        Quantiles `json:"token_gap_ms"`
	// StallMS is the stall time of each generation, StallSeconds the sum over all.
	StallMS               Quantiles             `json:"stall_ms"`
	StallSeconds          float64               `json:"stall_seconds"`
	TotalMS               Quantiles             `json:"total_ms"`
	Tokens                int                   `json:"tokens"`
	TokensPerSecond       float64               `json:"tokens_per_second"`
	OnTimeTokensPerSecond float64               `json:"on_time_tokens_per_second"`
	Attempts              int                   `json:"attempts"`
	ConnectionsRefused    int                   `json:"connections_refused"`
	Resumed               int                   `json:"streams_resumed"`
	Outcomes              map[string]int        `json:"outcomes"`
	Executions            map[api.Execution]int `json:"-"`

	firstToken *hdrhistogram.Histogram
	gaps       *hdrhistogram.Histogram
}

// Refused returns the number of requests that were refused as not run.
func (g *Group) Refused() int { return g.Executions[api.NotRun] }

// Completed returns the number of requests that completed.
func (g *Group) Completed() int { return g.Outcomes[OutcomeCompleted] }

// Unknown returns the number of requests whose callers do not know whether they ran.
func (g *Group) Unknown() int { return g.Executions[api.Unknown] }

func newResult(r *recorder, c Config) *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &Result{
		Seed:            c.Seed,
		DurationSeconds: c.Duration.Seconds(),
		Violations:      maps.Clone(r.violations),
		LatenessMS:      quantiles(r.lateness),
		NotRunIDs:       r.notRun,
		AtMostOnceIDs:   r.once,
	}
	for w, window := range r.windows {
		seconds := (min(window.To, c.Duration+c.Grace) - window.From).Seconds()
		out.Windows = append(out.Windows, r.windowResult(w, seconds))
	}
	return out
}

func (r *recorder) windowResult(w int, seconds float64) WindowResult {
	group := func(key func(s *Stream) string) []Group { return r.groups(w, seconds, key) }
	all := group(func(*Stream) string { return "all" })
	return WindowResult{
		Name:       r.windows[w].Name,
		Seconds:    seconds,
		Total:      all[0],
		Classes:    group(func(s *Stream) string { return groupName(string(s.Class), s.Kind) }),
		Workspaces: group(func(s *Stream) string { return groupName(s.Workspace, s.Kind) }),
		Streams:    group(func(s *Stream) string { return s.Name }),
		Groups:     group(func(s *Stream) string { return s.Group }),
	}
}

func groupName(name string, kind catalogue.Kind) string {
	if kind == catalogue.Service {
		return name + "/service"
	}
	return name
}

// groups merges the cells of streams with equal keys into one group each, sorted by
// name. Streams with an empty key belong to no group.
func (r *recorder) groups(w int, seconds float64, key func(*Stream) string) []Group {
	members := map[string][]*cell{}
	for i := range r.streams {
		k := key(&r.streams[i])
		if k == "" {
			continue
		}
		members[k] = append(members[k], r.cells[w][i])
	}
	var out []Group
	for _, name := range slices.Sorted(maps.Keys(members)) {
		out = append(out, mergeCells(name, seconds, members[name]))
	}
	return out
}

func mergeCells(name string, seconds float64, cells []*cell) Group {
	sum := newCell()
	for _, c := range cells {
		c.mu.Lock()
		sum.add(c)
		c.mu.Unlock()
	}
	g := Group{
		Name:                  name,
		Requests:              sum.arrivals,
		Judged:                sum.judged,
		FirstTokenMS:          quantiles(sum.firstToken),
		GapMS:                 quantiles(sum.gaps),
		StallMS:               quantiles(sum.stalls),
		StallSeconds:          sum.stallTotal.Seconds(),
		TotalMS:               quantiles(sum.totals),
		Tokens:                sum.tokens,
		TokensPerSecond:       ratio(float64(sum.tokens), seconds),
		OnTimeTokensPerSecond: ratio(float64(sum.onTimeTokens), seconds),
		OnTimeShare:           ratio(float64(sum.onTime), float64(sum.judged)),
		Attempts:              sum.attempts,
		ConnectionsRefused:    sum.connectionsRefused,
		Resumed:               sum.resumed,
		Outcomes:              sum.outcomes,
		Executions:            sum.executions,
		firstToken:            sum.firstToken,
		gaps:                  sum.gaps,
	}
	return g
}

func (c *cell) add(o *cell) {
	c.firstToken.Merge(o.firstToken)
	c.gaps.Merge(o.gaps)
	c.stalls.Merge(o.stalls)
	c.totals.Merge(o.totals)
	c.stallTotal += o.stallTotal
	c.arrivals += o.arrivals
	c.judged += o.judged
	c.onTime += o.onTime
	c.tokens += o.tokens
	c.onTimeTokens += o.onTimeTokens
	c.attempts += o.attempts
	c.connectionsRefused += o.connectionsRefused
	c.resumed += o.resumed
	for k, n := range o.outcomes {
		c.outcomes[k] += n
	}
	for k, n := range o.executions {
		c.executions[k] += n
	}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(us int64) float64 { return float64(us) * float64(time.Microsecond) / float64(time.Millisecond) }
	return Quantiles{
		Count: h.TotalCount(),
		P50:   ms(h.ValueAtQuantile(50)),
		P95:   ms(h.ValueAtQuantile(95)),
		P99:   ms(h.ValueAtQuantile(99)),
		Max:   ms(h.Max()),
	}
}

// ratio returns a/b, or 0 if b is not positive.
func ratio(a, b float64) float64 {
	if b <= 0 {
		return 0
	}
	return a / b
}

// counts returns the numbers of ended requests and of tokens in the first window, for
// the progress display.
func (r *recorder) counts() (requests, tokens int) {
	for _, c := range r.cells[0] {
		c.mu.Lock()
		requests += c.arrivals
		tokens += c.tokens
		c.mu.Unlock()
	}
	return requests, tokens
}

// Window returns the result of the window with this name, or nil if there is none.
func (r *Result) Window(name string) *WindowResult {
	return find(r.Windows, func(w *WindowResult) bool { return w.Name == name })
}

// Class returns the group of a class's generations, or an empty group if it has none.
func (w *WindowResult) Class(c catalogue.Class) Group { return groupNamed(w.Classes, string(c)) }

// Group returns the workload's group of this name, or an empty group if there is none.
func (w *WindowResult) Group(name string) Group { return groupNamed(w.Groups, name) }

func groupNamed(groups []Group, name string) Group {
	if g := find(groups, func(g *Group) bool { return g.Name == name }); g != nil {
		return *g
	}
	return Group{Name: name}
}

func find[T any](list []T, match func(*T) bool) *T {
	for i := range list {
		if match(&list[i]) {
			return &list[i]
		}
	}
	return nil
}
