// Package fleet runs gateways together with stand-ins for all backend servers and
// for the platform in one process, with real sockets on loopback. It is used by
// tests and experiments and is not part of the serving path.
package fleet

import (
	"errors"
	"fmt"
	"time"

	"github.com/go-kit/log"

	"persimmonwing/internal/process/gateway"
	"persimmonwing/internal/process/settings"
)

// ServiceName is the name of the service of all application servers.
const ServiceName = "shop"

// Options configures a fleet. Gateways, engines and apps are assigned to the data
// centres round-robin.
type Options struct {
	DataCentres int
	Gateways    int
	Engines     int
	Apps        int
	// Models are loaded by every engine.
	Models []string

	// KVCapacityTokens, MaxBatch and the step times apply to each engine.
	KVCapacityTokens int
	MaxBatch         int
	// EngineQueue is the maximum number of waiting requests of one engine,
	// GatewayQueue that of each class in one group of replicas. A waiting request
	// uses two to four file descriptors of the process.
	EngineQueue            int
	GatewayQueue           int
	StepBase               time.Duration
	StepPerSequence        time.Duration
	PrefillTokensPerSecond float64
	// ReportLag is the delay with which engines publish load reports.
	ReportLag time.Duration
	// TimeScale is the factor applied to all simulated times of the engines.
	TimeScale float64
	// HostListLag is the time after which a change appears in the host list.
	HostListLag time.Duration
	// AppDelay is the run time of a service call.
	AppDelay time.Duration

	// Policy and Disable are the gateway settings of the same names.
	Policy  string
	Disable []string
	// Forwarders puts a TCP proxy in front of each gateway, which KillGateway
	// requires. It adds latency to each token.
	Forwarders bool
	Seed       uint64
	// Catalogue is the body of the first catalogue revision.
	Catalogue []byte
	// Adjust, if set, changes the settings of each gateway before it starts.
	Adjust func(*gateway.Options)
	// Logger receives the log lines of all gateways. If nil, they are discarded.
	Logger log.Logger
}

// Today returns a fleet of the size that one of the user organisations runs. An
// engine decodes 33 sequences in steps of 23.2 ms, within the target of 26 ms.
// EngineQueue and GatewayQueue each allow about 2,400 waiting requests in the
// whole fleet, so that policies with queues in the engines and policies with
// queues in the gateways are comparable, and file descriptors suffice.
func Today() Options {
	return Options{
		DataCentres:            4,
		Gateways:               7,
		Engines:                14,
		Apps:                   4,
		Models:                 []string{"main"},
		KVCapacityTokens:       13_000,
		MaxBatch:               33,
		EngineQueue:            170,
		GatewayQueue:           600,
		StepBase:               10 * time.Millisecond,
		StepPerSequence:        400 * time.Microsecond,
		PrefillTokensPerSecond: 100_000,
		ReportLag:              250 * time.Millisecond,
		TimeScale:              1,
		AppDelay:               5 * time.Millisecond,
		Policy:                 gateway.PolicyOwner,
		Seed:                   1,
	}
}

// Small returns a smaller fleet with the same engines, for quick runs.
func Small() Options {
	o := Today()
	o.DataCentres, o.Gateways, o.Engines, o.Apps = 2, 2, 4, 2
	return o
}

// Maximum sizes. They are low because the whole fleet runs in one process.
const (
	maxServers     = 100
	maxDataCentres = 16
	maxQueue       = 10_000
)

// Validate returns an error with the key, the value and the allowed values of each
// invalid option.
func (o *Options) Validate() error {
	errs := []error{
		settings.CheckRange("data_centres", o.DataCentres, 1, maxDataCentres),
		settings.CheckRange("gateways", o.Gateways, 1, maxServers),
		settings.CheckRange("engines", o.Engines, 0, maxServers),
		settings.CheckRange("apps", o.Apps, 0, maxServers),
		settings.CheckRange("gateway_queue", o.GatewayQueue, 1, maxQueue),
		settings.CheckRange("engine_queue", o.EngineQueue, 1, maxQueue),
	}
	if len(o.Models) == 0 {
		errs = append(errs, errors.New("models: has 0 elements; allowed are 1 or more"))
	}
	if len(o.Catalogue) == 0 {
		errs = append(errs, errors.New("catalogue: must not be empty"))
	}
	return errors.Join(errs...)
}

// dataCentre returns the data centre of the server with index i.
func (o *Options) dataCentre(i int) string { return fmt.Sprintf("dc-%d", i%o.DataCentres+1) }

// StepTime returns the duration of a decoding step with the given batch size.
func (o *Options) StepTime(batch int) time.Duration {
	step := o.StepBase + time.Duration(batch)*o.StepPerSequence
	return time.Duration(float64(step) * o.TimeScale)
}

// EngineCapacity returns the number of output tokens per second of one engine
// with a full batch, for requests with these mean lengths. Prefill takes up part
// of the engine's time.
func (o *Options) EngineCapacity(promptTokens, outputTokens float64) float64 {
	decode := float64(o.MaxBatch) / o.StepTime(o.MaxBatch).Seconds()
	prefill := promptTokens / o.PrefillTokensPerSecond * o.TimeScale
	return decode / (1 + decode*prefill/outputTokens)
}
