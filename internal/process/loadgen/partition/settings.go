// Package partition implements a TCP forwarder that cuts links between processes. It
// accepts connections in place of their targets, identifies the process that dialled,
// and drops, resets or delays traffic on the links of a cut until the cut heals.
package partition

import (
	"errors"
	"fmt"
	"net"
	"slices"
)

// Settings are the settings of a forwarder.
type Settings struct {
	// Control is the address that serves PUT /cuts/{name}.
	Control string  `yaml:"control"`
	Routes  []Route `yaml:"routes"`
	// Callers maps the IP addresses from which processes dial to the processes' names.
	Callers map[string]string `yaml:"callers"`
}

// Route forwards connections from Listen to Target.
type Route struct {
	// From names the only caller of the route. If it is empty, callers are identified
	// by the IP address from which they dial, see Settings.Callers.
	From string `yaml:"from"`
	// To names the process at Target.
	To     string `yaml:"to"`
	Listen string `yaml:"listen"`
	Target string `yaml:"target"`
}

// Validate returns an error that names every invalid value.
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

// Kind is the effect of a cut on connections.
type Kind string

// The kinds of cuts.
const (
	// Drop forwards nothing and closes nothing. What was sent during the cut
	// arrives when it heals, as after retransmission by TCP.
	Drop Kind = "drop"
	// Reset resets open and new connections.
	Reset Kind = "reset"
	// HoldResponses has the effect of Drop on what the target of a connection sends; what
	// the caller sends is forwarded.
	HoldResponses Kind = "answers"
	// Delay forwards everything after linkDelay.
	Delay Kind = "delay"
)

var kinds = []Kind{Drop, Reset, HoldResponses, Delay}

// Cut separates the processes of A from those of B, in both directions.
type Cut struct {
	Kind Kind     `json:"kind"`
	A    []string `json:"a"`
	B    []string `json:"b"`
}

// Separates reports whether the cut applies to the link between two processes.
func (c Cut) Separates(from, to string) bool {
	return slices.Contains(c.A, from) && slices.Contains(c.B, to) ||
		slices.Contains(c.B, from) && slices.Contains(c.A, to)
}
