package httpclient

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

// Parts of a status line, "HTTP/1.1 200 OK". The reason phrase, and the space before it, may be missing.
const (
	versionPrefix   = "HTTP/1."
	statusOffset    = len("HTTP/1.1 ")
	statusEnd       = statusOffset + len("200")
	statusMax       = 599
	maxLengthDigits = 18 // of a Content-Length, so that it fits into an int64
)

// lineBreak is how the lines of a head end. Some servers end all of them with a single LF.
type lineBreak uint8

const (
	lineBreakUnknown lineBreak = iota
	lineBreakCRLF
	lineBreakLF
)

// head is the head of a response, parsed line by line as it arrives. The zero value has no lines.
type head struct {
	status    int // 0 until the status line was parsed
	version10 bool
	lineBreak lineBreak
	fields    int   // number of field lines
	length    int64 // Content-Length, if hasLength is set
	hasLength bool
	chunked   bool
	complete  bool

	size    int // bytes of the parsed lines
	scanned int // bytes that were searched for the end of a line
}

// parse parses the lines that b adds. b holds all bytes since the start of the head, and may hold more than the head, whose
// size is head.size once it is complete.
func (h *head) parse(b []byte) error {
	for !h.complete {
		if h.status == 0 && !beginsStatusLine(b) {
			return malformed("status line")
		}
		n := bytes.IndexByte(b[h.scanned:], '\n')
		if n < 0 {
			h.scanned = len(b)
			return nil
		}
		end := h.scanned + n + 1
		line := b[h.size:end]
		h.size, h.scanned = end, end
		if err := h.parseLine(line); err != nil {
			return err
		}
	}
	return nil
}

// beginsStatusLine reports whether b can be the beginning of a status line.
func beginsStatusLine(b []byte) bool {
	n := min(len(b), len(versionPrefix))
	return string(b[:n]) == versionPrefix[:n]
}

func (h *head) parseLine(line []byte) error {
	text, ending := cutLineBreak(line)
	if h.lineBreak == lineBreakUnknown {
		h.lineBreak = ending
	}
	switch {
	case ending != h.lineBreak:
		return malformed("line breaks of two kinds")
	case h.status == 0:
		return h.parseStatusLine(text)
	case len(text) == 0:
		h.complete = true
		return h.checkFraming()
	}
	h.fields++
	return h.parseField(text)
}

// cutLineBreak removes the line break at the end of a line.
func cutLineBreak(line []byte) ([]byte, lineBreak) {
	if text, ok := bytes.CutSuffix(line, []byte("\r\n")); ok {
		return text, lineBreakCRLF
	}
	return line[:len(line)-1], lineBreakLF
}

func (h *head) parseStatusLine(text []byte) error {
	if len(text) < statusEnd || !isDigit(text[len(versionPrefix)]) || text[statusOffset-1] != ' ' ||
		len(text) > statusEnd && text[statusEnd] != ' ' || !validValue(text) {
		return malformed("status line")
	}
	status := 0
	for _, digit := range text[statusOffset:statusEnd] {
		if !isDigit(digit) {
			return malformed("status line")
		}
		status = 10*status + int(digit-'0')
	}
	if status < http.StatusContinue || status > statusMax {
		return malformed("status " + strconv.Itoa(status))
	}
	if status == http.StatusSwitchingProtocols {
		return malformed("protocol switch that was not requested")
	}
	h.status, h.version10 = status, text[len(versionPrefix)] == '0'
	return nil
}

func (h *head) parseField(line []byte) error {
	name, value, err := splitField(line)
	if err != nil {
		return err
	}
	switch {
	case strings.EqualFold(string(name), "Content-Length"):
		return h.parseLength(value)
	case strings.EqualFold(string(name), "Transfer-Encoding"):
		if h.chunked || h.version10 || !strings.EqualFold(string(value), "chunked") {
			return malformed("transfer encoding")
		}
		h.chunked = true
	}
	return nil
}

func (h *head) parseLength(value []byte) error {
	if len(value) == 0 || len(value) > maxLengthDigits {
		return malformed("content length")
	}
	var length int64
	for _, digit := range value {
		if !isDigit(digit) {
			return malformed("content length")
		}
		length = 10*length + int64(digit-'0')
	}
	if h.hasLength && length != h.length {
		return malformed("two content lengths")
	}
	h.length, h.hasLength = length, true
	return nil
}

// checkFraming refuses a head from which two recipients could conclude different lengths.
func (h *head) checkFraming() error {
	if h.chunked && h.hasLength {
		return malformed("content length of a chunked body")
	}
	return nil
}

// isInterim reports whether another head follows.
func (h *head) isInterim() bool { return h.status < http.StatusOK }

// splitField splits a field line. It refuses a line that continues the one before it (RFC 9112, section 5.2), which some
// recipients read as a field of its own.
func splitField(line []byte) (name, value []byte, err error) {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !validName(name) {
		return nil, nil, malformed("field name")
	}
	if !validValue(value) {
		return nil, nil, malformed("field value")
	}
	return name, bytes.Trim(value, " \t"), nil
}

// validName reports whether name is a token.
func validName(name []byte) bool {
	for _, c := range name {
		if !isLetter(c) && !isDigit(c) && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(name) > 0
}

// validValue reports whether value has no control characters. A tab counts as none.
func validValue(value []byte) bool {
	for _, c := range value {
		if isControl(c) {
			return false
		}
	}
	return true
}

func isControl(c byte) bool { return c < ' ' && c != '\t' || c == 0x7f }

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

func isLetter(c byte) bool { return 'a' <= c|0x20 && c|0x20 <= 'z' }
