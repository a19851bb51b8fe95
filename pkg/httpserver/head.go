package httpserver

import (
	"bytes"

	"github.com/burdockpitch/burdockpitch/pkg/memorybudget"
)

// headScanner finds the end of a request head and measures the head, without keeping or parsing it. The zero value is at
// the start of a head. Sizes are in bytes and include line breaks.
type headScanner struct {
	leading     int // size of the empty lines before the request line
	requestLine int
	fields      int // size of the header lines, with the empty line at the end
	lines       int // number of header lines
	line        int // size of the part of the current line that was read
	beginsCR    bool
	complete    bool
}

// scan reads on in a head and returns the number of bytes that belong to it: fewer than len(b) once it is complete.
func (s *headScanner) scan(b []byte) (used int) {
	for used < len(b) && !s.complete {
		part := b[used:]
		lineBreak := bytes.IndexByte(part, '\n')
		if lineBreak >= 0 {
			part = part[:lineBreak+1]
		}
		if s.line == 0 {
			s.beginsCR = part[0] == '\r'
		}
		s.line += len(part)
		used += len(part)
		if lineBreak >= 0 {
			s.endLine()
		}
	}
	return used
}

func (s *headScanner) endLine() {
	empty := s.line == len("\n") || s.line == len("\r\n") && s.beginsCR
	switch {
	case s.requestLine > 0:
		s.fields += s.line
		s.complete = empty
		if !empty {
			s.lines++
		}
	case empty:
		s.leading += s.line
	default:
		s.requestLine = s.line
	}
	s.line = 0
}

// begun reports whether anything but empty lines has arrived. A single carriage return may belong to either.
func (s *headScanner) begun() bool {
	return s.requestLine > 0 || s.line > 1 || s.line == 1 && !s.beginsCR
}

// exceeds reports whether a part of the head is larger than limit.
func (s *headScanner) exceeds(limit int) bool {
	return max(s.leading, s.requestLine, s.fields, s.line) > limit || s.requestLine > 0 && s.fields+s.line > limit
}

// parsedBytes estimates the memory that the head takes once it has been parsed.
func (s *headScanner) parsedBytes() int64 {
	return memorybudget.ParsedBytes(s.requestLine+s.fields, s.lines)
}
