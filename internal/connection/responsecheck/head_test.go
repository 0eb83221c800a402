package responsecheck

import (
	"testing"

	"persimmonwing/internal/connection/responsecheck/responsechecktest"
)

// checkParts checks a response that arrives in parts of the given size.
func checkParts(raw string, size int) error {
	var h head
	h.expect()
	for len(raw) > 0 {
		n := min(size, len(raw))
		if err := h.check([]byte(raw[:n])); err != nil {
			return err
		}
		raw = raw[n:]
	}
	return nil
}

// requireChecked requires that responses are invalid, or that they are valid, however they are split.
func requireChecked(t *testing.T, responses map[string]string, valid bool) {
	t.Helper()
	for name, raw := range responses {
		for size := 1; size <= len(raw); size++ {
			if err := checkParts(raw, size); (err == nil) != valid {
				t.Errorf("%s in parts of %d bytes: %v", name, size, err)
				break
			}
		}
	}
}

// Guards against a check that depends on how a response is split into reads.
func TestInvalidStatusInParts(t *testing.T) {
	requireChecked(t, responsechecktest.InvalidStatuses("Name: value\r\n", responsechecktest.Whole("", "next")), false)
}

// Guards against a valid response that is refused, and against a body that is checked as a head.
func TestValidResponsesInParts(t *testing.T) {
	requireChecked(t, map[string]string{
		"whole":                   responsechecktest.Whole("Name: value\r\n", "body"),
		"bare line feeds":         "HTTP/1.1 200 OK\nName: value\n\nbody",
		"no reason":               "HTTP/1.1 200\r\n\r\n",
		"several blanks":          "HTTP/1.1   200 OK\r\n\r\n",
		"no header":               "HTTP/1.1 200 OK\r\n\r\nbody",
		"interim responses":       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n\r\nbody",
		"folded value":            "HTTP/1.1 200 OK\r\nLink: x\r\n  y\r\n\r\n",
		"colons in a value":       "HTTP/1.1 200 OK\r\nDate: 10:00:00\r\nEmpty:\r\n\r\n",
		"body that looks invalid": "HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 000 Error\r\n na me : x\r\n\r\n",
		"rare status":             "HTTP/1.1 999 Other\r\n\r\n",
	}, true)
}
