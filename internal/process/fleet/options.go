// Package fleet runs gateways with stand-ins of all backend servers and of the
// platform in one process, on loopback with real sockets. Tests and experiments
// use it; it is not part of the serving path.
package fleet

import (
	"errors"
	"fmt"
	"time"

	"github.com/go-kit/log"

	"persimmonwing/internal/process/gateway"
	"persimmonwing/internal/process/settings"
)

// ServiceName is the service that all application servers belong to.
const ServiceName = "shop"

// Options describes a fleet. Gateways, engines and apps are dealt out to the
// data centres in turn.
type Options struct {
	DataCentres int
	Gateways    int
	Engines     int
	Apps        int
	// Models are loaded by every engine.
	Models []string

	// KVCapacityTokens, MaxBatch and the step times are those of one engine.
	KVCapacityTokens int
	MaxBatch         int
	// EngineQueue bounds the waiting requests of one engine, and GatewayQueue
	// those of each class in one group of replicas. A waiting request holds two
	// to four of the process's file descriptors.
	EngineQueue            int
	GatewayQueue           int
	StepBase               time.Duration
	StepPerSequence        time.Duration
	PrefillTokensPerSecond float64
	// ReportLag is the age of the load reports that engines give.
	ReportLag time.Duration
	// TimeScale multiplies all times of the engines.
	TimeScale float64
	// HostListLag is the time after which a change shows in the host list.
	HostListLag time.Duration
	// AppDelay is the run time of a service call.
	AppDelay time.Duration

	// Policy and Disable are settings of the gateways.
	Policy  string
	Disable []string
	// Forwarders puts a TCP forwarder before each gateway, which KillGateway
	// needs. It costs time on each token.
	Forwarders bool
	Seed       uint64
	// Catalogue is the body of the first catalogue revision.
	Catalogue []byte
	// Adjust, if set, changes the settings of each gateway before it starts.
	Adjust func(*gateway.Options)
	// Logger gets the log of all gateways; nil drops it.
	Logger log.Logger
}

// Today returns the sizes of one of the user organisations. An engine decodes
// 33 sequences in steps of 23.2 ms, within the target of 26 ms. Either queue
// bound lets about 2,400 requests wait in the whole fleet, so that a policy
// gains nothing by the place of its queue and descriptors suffice.
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

// Small returns a fleet for quick trials with the same engines.
func Small() Options {
	o := Today()
	o.DataCentres, o.Gateways, o.Engines, o.Apps = 2, 2, 4, 2
	return o
}

// Bounds of the sizes; one process has to run all of it.
const (
	maxServers     = 100
	maxDataCentres = 16
	maxQueue       = 10_000
)

// Validate names each bad value with what is allowed.
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
		errs = append(errs, errors.New("catalogue: is empty; a body is needed"))
	}
	return errors.Join(errs...)
}

// dataCentre returns the data centre of the server with this number.
func (o *Options) dataCentre(i int) string { return fmt.Sprintf("dc-%d", i%o.DataCentres+1) }

// StepTime is the time of a decoding step with this many sequences.
func (o *Options) StepTime(batch int) time.Duration {
	step := o.StepBase + time.Duration(batch)*o.StepPerSequence
	return time.Duration(float64(step) * o.TimeScale)
}

// EngineCapacity is the number of tokens per second that one engine generates
// with a full batch, when requests have these mean lengths. Prefill takes part
// of the engine's time.
func (o *Options) EngineCapacity(promptTokens, outputTokens float64) float64 {
	decode := float64(o.MaxBatch) / o.StepTime(o.MaxBatch).Seconds()
	prefill := promptTokens / o.PrefillTokensPerSecond * o.TimeScale
	return decode / (1 + decode*prefill/outputTokens)
}
