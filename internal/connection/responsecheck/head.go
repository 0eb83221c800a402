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
	fieldName
	foldedLine // a line that begins with a blank and continues the value before it
	fieldValue
)

// head checks the heads of one response: those of interim responses and that of the final one. The zero
// value checks nothing.
type head struct {
	state headState
	// status is the status line as far as it has been read.
	status  []byte
	interim bool
	// invalid is the error of an invalid head. It stays, because net/http ignores some errors of reads.
	invalid error
}

// expect makes the next byte the first one of a response.
func (h *head) expect() { *h = head{state: statusLine, status: h.status[:0]} }

// check checks the next bytes of a response.
func (h *head) check(b []byte) error {
	for len(b) > 0 && h.state != unchecked && h.invalid == nil {
		b, h.invalid = h.step(b)
	}
	return h.invalid
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
	case lineStart:
		switch b[0] {
		case '\n':
			h.end()
		case '\r':
			h.state = afterCR
		case ' ', '\t':
			h.state = foldedLine
		default:
			h.state = fieldName
			return b, nil
		}
		return b[1:], nil
	case afterCR:
		if b[0] != '\n' {
			return nil, eris.New("header line begins with a carriage return")
		}
		h.end()
		return b[1:], nil
	case fieldName:
		name, _, ended := bytes.Cut(b, []byte{':'})
		if i := bytes.IndexFunc(name, isBlankOrControl); i >= 0 {
			return nil, eris.Errorf("name of a header field holds the byte %q", name[i])
		}
		if ended {
			h.state = fieldValue
		}
		return b[len(name):], nil
	case foldedLine:
		i := bytes.IndexAny(b, ":\n")
		switch {
		case i < 0:
			return nil, nil
		case b[i] == ':':
			return nil, eris.New("name of a header field begins with a blank, or its line is folded and holds a colon")
		}
		h.state = lineStart
		return b[i+1:], nil
	default: // fieldValue
		_, rest, ended := bytes.Cut(b, []byte{'\n'})
		if ended {
			h.state = lineStart
		}
		return rest, nil
	}
}

// isBlankOrControl reports whether a name of a field can't hold a character because it is a blank or a control
// character. net/http accepts blanks, so that it takes "Content-Length : 3" as another field; it refuses all
// other characters that are not allowed.
func isBlankOrControl(r rune) bool { return r <= ' ' || r == 0x7f }

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
