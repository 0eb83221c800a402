// Package partition is a TCP forwarder that cuts links between processes: it
// stands in front of addresses, tells its callers apart, and drops or resets
// what goes over the links of a cut until the cut heals.
package partition

import (
	"errors"
	"fmt"
	"net"
	"slices"
)

// Settings are the settings of a forwarder.
type Settings struct {
	// Control is the address for PUT /cuts/{name}.
	Control string  `yaml:"control"`
	Routes  []Route `yaml:"routes"`
	// Callers names processes by the host from which they dial.
	Callers map[string]string `yaml:"callers"`
}

// Route forwards connections from Listen to Target.
type Route struct {
	// From is the only caller of the route; if it is empty, callers are told
	// apart by the host from which they dial.
	From string `yaml:"from"`
	// To names the process at Target.
	To     string `yaml:"to"`
	Listen string `yaml:"listen"`
	Target string `yaml:"target"`
}

// Validate names every bad value.
func (s *Settings) Validate() error {
	errs := []error{checkAddress("control", s.Control)}
	for i, r := range s.Routes {
		if r.To == "" {
			errs = append(errs, fmt.Errorf("routes[%d].to: a value is needed", i))
		}
		errs = append(errs, checkAddress(fmt.Sprintf("routes[%d].listen", i), r.Listen))
		errs = append(errs, checkAddress(fmt.Sprintf("routes[%d].target", i), r.Target))
	}
	return errors.Join(errs...)
}

func checkAddress(key, value string) error {
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("%s: %q is not allowed; use an IP number and a port", key, value)
	}
	return nil
}

// Kind is how a cut treats connections.
type Kind string

// The kinds of cuts.
const (
	// Drop forwards nothing and closes nothing. What was sent during the cut
	// arrives when it heals, as after retransmission by TCP.
	Drop Kind = "drop"
	// Reset resets open and new connections.
	Reset Kind = "reset"
	// Answers drops what the target of a connection sends, and nothing else.
	Answers Kind = "answers"
	// Delay forwards everything linkDelay later.
	Delay Kind = "delay"
)

var kinds = []Kind{Drop, Reset, Answers, Delay}

// Cut separates the processes of A from those of B, in both directions.
type Cut struct {
	Kind Kind     `json:"kind"`
	A    []string `json:"a"`
	B    []string `json:"b"`
}

// Separates reports whether the cut is between two processes.
func (c Cut) Separates(from, to string) bool {
	return slices.Contains(c.A, from) && slices.Contains(c.B, to) ||
		slices.Contains(c.B, from) && slices.Contains(c.A, to)
}
