package admission

import (
	"errors"

	"persimmonwing/internal/process/settings"
)

const (
	// callersFraction is the fraction of a process's memory that callers may make it hold. What the
	// collector has not freed yet, the kernel's buffers and the rest of the process need the others.
	callersFraction = 0.4
	// connectionsFraction is the fraction of the callers' memory that connections without a request may take.
	connectionsFraction = 0.5
	// descriptorsFraction is the fraction of the descriptors that connections of callers may take. Each request may
	// need another one to a backend server, and operators and other gateways need some.
	descriptorsFraction = 0.4
)

// Options are the settings of a process that serves callers.
type Options struct {
	MaxConnections int `yaml:"max_connections"`
	// MaxDescriptors is the number of descriptors that the process may open; 0 means as many as the operating
	// system lets it.
	MaxDescriptors int `yaml:"max_descriptors"`
	// BodyBytesPerSecond is the slowest pace at which a body may arrive, beyond the time that any body may take.
	BodyBytesPerSecond int64 `yaml:"body_bytes_per_second"`
}

// DefaultOptions returns the defaults. Callers that a process can serve do not meet them: an open connection without a
// request has no use of its own, and the pace is that of a modem.
func DefaultOptions() Options {
	return Options{MaxConnections: 4096, BodyBytesPerSecond: 4 << 10}
}

// Validate returns an error for values out of range. The keys are prefixed.
func (o Options) Validate(prefix string) error {
	return errors.Join(
		settings.CheckRange(prefix+"max_connections", o.MaxConnections, 16, 1<<20),
		settings.CheckRange(prefix+"max_descriptors", o.MaxDescriptors, 0, 1<<20),
		settings.CheckRange(prefix+"body_bytes_per_second", o.BodyBytesPerSecond, 1, 1<<30),
	)
}

// Limits returns the limits of a process with this memory in bytes, which the operating system lets open this
// many descriptors; 0 means that the number is unknown.
func (o Options) Limits(memory int64, descriptors int) Limits {
	l := Limits{Bytes: int64(callersFraction * float64(memory)), Connections: o.MaxConnections}
	l.Connections = min(l.Connections, int(connectionsFraction*float64(l.Bytes)/connectionCost))
	for _, d := range []int{o.MaxDescriptors, descriptors} {
		if d > 0 {
			l.Connections = min(l.Connections, max(1, int(descriptorsFraction*float64(d))))
		}
	}
	return l
}
