package balance

import (
	"strconv"
	"strings"
)

// Outcomes of reading a statement, for metrics.
const (
	Used    = "used"
	Heard   = "heard"
	Ignored = "ignored"
)

// Parse reads a statement in the form "running,waiting,slots" with, optionally, the time that work takes as a
// percentage of the usual time: "3,0,8,250". It returns false if the value is malformed or implausible.
func Parse(value string) (Statement, bool) {
	fields := strings.Split(value, ",")
	if len(fields) != 3 && len(fields) != 4 {
		return Statement{}, false
	}
	s := Statement{Slowdown: 1}
	for i, to := range []*int{&s.Running, &s.Waiting, &s.Slots} {
		n, err := strconv.Atoi(strings.TrimSpace(fields[i]))
		if err != nil {
			return Statement{}, false
		}
		*to = n
	}
	if len(fields) == 4 {
		percent, err := strconv.ParseFloat(strings.TrimSpace(fields[3]), 64)
		if err != nil {
			return Statement{}, false
		}
		s.Slowdown = percent / 100
	}
	return s, s.Plausible()
}

// Format returns a statement in the form that Parse reads.
func (s Statement) Format() string {
	return strings.Join([]string{strconv.Itoa(s.Running), strconv.Itoa(s.Waiting), strconv.Itoa(s.Slots), strconv.FormatFloat(100*s.Slowdown, 'f', -1, 64)}, ",")
}
