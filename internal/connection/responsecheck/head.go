package responsecheck

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// maxStatusLine is the number of bytes of a status line that are kept. The version and the status take 12.
const maxStatusLine = 64

// headState states what the next byte of a response belongs to.
type headState int

const (
	// unchecked is for bytes of a body, and for all bytes if no response is expected.
	unchecked headState = iota
	statusLine
	lineStart
	afterCR // after a carriage return at the start of a line
	fieldLine
)

// head checks the heads of one response: those of interim responses and that of the final one. The zero
// value checks nothing.
type head struct {
	state headState
	// status is the status line as far as it has been read.
	status  []byte
	interim bool
}

// expect makes the next byte the first one of a response.
func (h *head) expect() { *h = head{state: statusLine, status: h.status[:0]} }

// check checks the next bytes of a response.
func (h *head) check(b []byte) error {
	for len(b) > 0 && h.state != unchecked {
		var err error
		if b, err = h.step(b); err != nil {
			return err
		}
	}
	return nil
}

// step checks the bytes that belong to the present state, and returns the others.
func (h *head) step(b []byte) ([]byte, error) {
	switch h.state {
	case statusLine:
		line, rest, ended := bytes.Cut(b, []byte{'\n'})
		h.status = append(h.status, line[:min(len(line), maxStatusLine-len(h.status))]...)
		if !ended {
			return nil, nil
		}
		h.state = lineStart
		return rest, h.checkStatus()
	case lineStart, afterCR:
		switch {
		case b[0] == '\n':
			h.end()
		case b[0] == '\r' && h.state == lineStart:
			h.state = afterCR
		default:
			h.state = fieldLine
			return b, nil
		}
		return b[1:], nil
	default:
		_, rest, ended := bytes.Cut(b, []byte{'\n'})
		if ended {
			h.state = lineStart
		}
		return rest, nil
	}
}

// end ends the present head.
func (h *head) end() {
	if h.interim {
		h.expect()
		return
	}
	h.state = unchecked
}

// checkStatus checks the status line. net/http accepts three characters that can be read as a number.
func (h *head) checkStatus() error {
	_, rest, _ := strings.Cut(strings.TrimSuffix(string(h.status), "\r"), " ")
	text, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	status, err := strconv.ParseUint(text, 10, 16)
	switch {
	case err != nil || len(text) != len("200"):
		return eris.Errorf("status line %q has no status of three digits", h.status)
	case status < http.StatusContinue:
		return eris.Errorf("response has the invalid status %q", text)
	case status == http.StatusSwitchingProtocols:
		return eris.New("response has status 101, but no request asks for another protocol")
	}
	h.interim = status < http.StatusOK
	return nil
}
