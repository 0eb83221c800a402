// Package experiment runs predefined experiments on in-process fleets and compares
// scheduling policies under the same load.
package experiment

import (
	"fmt"
	"time"

	"persimmonwing/internal/process/fleet"
	"persimmonwing/internal/process/loadgen"
	"persimmonwing/internal/version/catalogue"
)

// Parameters of the workload; lengths are in tokens. The output lengths have a heavy
// tail. The cap keeps a generation below a minute, so that a run of half a minute
// covers generations from start to end.
const (
	workspaces     = 10
	promptMedian   = 150
	promptSigma    = 0.5
	promptCap      = 600
	outputMedian   = 120
	outputSigma    = 1.0
	outputCap      = 2000
	sharedPrefixes = 20
	prefixTokens   = 64
	sharedFraction = 0.3
)

// Latency targets by class. The targets of the urgent class are those of the design
// page.
const (
	urgentFirstToken     = 620 * time.Millisecond
	urgentTokenGap       = 26 * time.Millisecond
	backgroundFirstToken = 10 * time.Second
	backgroundTokenGap   = 50 * time.Millisecond
	serviceResponseTime  = 500 * time.Millisecond
)

// Names of catalogue entries.
const (
	entryUrgent     = "plan"
	entryBackground = "sorting"
	entryBooking    = "booking"
	entryStock      = "stock"
)

// Fractions that the catalogue of the experiments sets.
const (
	backgroundFloor = 0.1
	urgentReserve   = 0.1
)

// requestTimeout is the timeout of all entries.
const requestTimeout = 2 * time.Minute

// plan holds the fleet size and the length distributions from which an experiment
// derives its load.
type plan struct {
	fleet  fleet.Options
	output loadgen.Length
	prompt loadgen.Length
}

func newPlan(o fleet.Options) *plan {
	return &plan{
		fleet:  o,
		output: loadgen.Length{Median: outputMedian, Sigma: outputSigma, Cap: outputCap},
		prompt: loadgen.Length{Median: promptMedian, Sigma: promptSigma, Cap: promptCap},
	}
}

// tokenCapacity returns the maximum number of tokens per second that the given number
// of engines can generate.
func (p *plan) tokenCapacity(engines int) float64 {
	return float64(engines) * p.fleet.EngineCapacity(p.prompt.Mean(), p.output.Mean())
}

// rate converts a fraction of the fleet's token capacity to generation requests per
// second.
func (p *plan) rate(fraction float64) float64 {
	return fraction * p.tokenCapacity(p.fleet.Engines) / p.output.Mean()
}

func workspaceName(i int) string { return fmt.Sprintf("workspace-%d", i+1) }
func workspaceKey(i int) string  { return fmt.Sprintf("key-of-workspace-%d", i+1) }

// catalogue returns the encoded catalogue that all experiments use.
func (p *plan) catalogue() ([]byte, error) {
	c := &catalogue.Catalogue{
		BackgroundFloor: backgroundFloor,
		UrgentReserve:   urgentReserve,
		Models:          []catalogue.Model{{Name: p.fleet.Models[0]}},
	}
	for i := range workspaces {
		c.Workspaces = append(c.Workspaces, catalogue.Workspace{
			Name:       workspaceName(i),
			KeyDigests: []string{catalogue.Digest([]byte(workspaceKey(i)))},
			Weight:     1,
		})
	}
	c.Entries = []catalogue.Entry{
		p.generationEntry(entryUrgent, catalogue.Urgent, catalogue.Targets{FirstToken: urgentFirstToken, TokenGap: urgentTokenGap}),
		p.generationEntry(entryBackground, catalogue.Background, catalogue.Targets{FirstToken: backgroundFirstToken, TokenGap: backgroundTokenGap}),
		serviceEntry(entryBooking, "POST", false),
		serviceEntry(entryStock, "GET", true),
	}
	return catalogue.Encode(c)
}

func (p *plan) generationEntry(name string, class catalogue.Class, t catalogue.Targets) catalogue.Entry {
	return catalogue.Entry{
		Name:                 name,
		Owner:                "experiments",
		Kind:                 catalogue.Generation,
		Class:                class,
		Timeout:              requestTimeout,
		Model:                p.fleet.Models[0],
		MaxOutputTokens:      p.output.Cap,
		ExpectedOutputTokens: int(p.output.Mean()),
		Targets:              t,
	}
}

func serviceEntry(name, method string, idempotent bool) catalogue.Entry {
	return catalogue.Entry{
		Name:       name,
		Owner:      "experiments",
		Kind:       catalogue.Service,
		Class:      catalogue.Urgent,
		Timeout:    requestTimeout,
		Service:    fleet.ServiceName,
		Methods:    []string{method},
		Path:       "/" + name,
		Idempotent: idempotent,
	}
}

// generationStream returns the stream of generations of one workspace and class, at
// a fraction of the fleet's token capacity. It starts in its steady state.
func (p *plan) generationStream(workspace int, class catalogue.Class, fraction float64) loadgen.Stream {
	s := loadgen.Stream{
		Name:         fmt.Sprintf("%s-%d", class, workspace+1),
		Workspace:    workspaceName(workspace),
		Key:          workspaceKey(workspace),
		Entry:        entryUrgent,
		Kind:         catalogue.Generation,
		Class:        class,
		Rate:         p.rate(fraction),
		InitialGap:   p.fleet.StepTime(p.fleet.MaxBatch),
		Prompt:       p.prompt,
		Output:       p.output,
		SharedPrefix: sharedFraction,
		Targets:      loadgen.Targets{FirstToken: urgentFirstToken, TokenGap: urgentTokenGap},
	}
	if class == catalogue.Background {
		s.Entry = entryBackground
		s.Targets = loadgen.Targets{FirstToken: backgroundFirstToken, TokenGap: backgroundTokenGap}
	}
	return s
}

// workspaceShares holds the share of each workspace in the load: two large ones and
// eight small ones.
var workspaceShares = [workspaces]float64{0.3, 0.2, 0.0625, 0.0625, 0.0625, 0.0625, 0.0625, 0.0625, 0.0625, 0.0625}

// mix returns a workload of generations from all workspaces, with the given
// fractions of the token capacity for each class, and of service calls.
func (p *plan) mix(urgent, background float64) *loadgen.Workload {
	w := &loadgen.Workload{CommonPrefixes: sharedPrefixes, CommonPrefixTokens: prefixTokens}
	for i, share := range workspaceShares {
		if urgent > 0 {
			w.Streams = append(w.Streams, p.generationStream(i, catalogue.Urgent, urgent*share))
		}
		if background > 0 {
			w.Streams = append(w.Streams, p.generationStream(i, catalogue.Background, background*share))
		}
	}
	w.Streams = append(w.Streams, p.serviceStreams()...)
	return w
}

// Service calls per second of each workspace that makes them, and the fraction of
// bookings that is sent twice.
const (
	bookingRate   = 5
	stockRate     = 20
	bookingResend = 0.2
)

func (p *plan) serviceStreams() []loadgen.Stream {
	base := loadgen.Stream{
		Workspace: workspaceName(2),
		Key:       workspaceKey(2),
		Kind:      catalogue.Service,
		Class:     catalogue.Urgent,
		Targets:   loadgen.Targets{FirstToken: serviceResponseTime},
	}
	booking, stock := base, base
	booking.Name, booking.Entry, booking.Method, booking.Rate = "bookings", entryBooking, "POST", bookingRate
	booking.IdempotencyKey, booking.Resend = true, bookingResend
	stock.Name, stock.Entry, stock.Method, stock.Rate, stock.Path = "stock", entryStock, "GET", stockRate, "item/7"
	return []loadgen.Stream{booking, stock}
}

// flood adds streams of one class that send only between the times from and to. Their
// load, a fraction of the token capacity, is split evenly between the given workspaces.
func (p *plan) flood(w *loadgen.Workload, class catalogue.Class, fraction float64, from, to time.Duration, floods ...int) {
	for _, i := range floods {
		s := p.generationStream(i, class, fraction/float64(len(floods)))
		s.Name = "flood-" + s.Name
		s.InitialGap = 0
		s.Phases = []loadgen.Phase{{Start: 0, End: from, Factor: 0}, {Start: from, End: to, Factor: 1}}
		w.Streams = append(w.Streams, s)
	}
}
