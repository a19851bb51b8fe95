package httpclient

import (
	"bytes"
	"math"
)

// Limits on the parts of a chunked body apart from its content. net/http has the same limits.
const (
	maxChunkLine    = 4 << 10
	maxChunkDigits  = 16
	maxTrailerBytes = 4 << 10
)

// body follows the framing of a body, so that its end is known. newBody returns the one after a head.
type body struct {
	// untilEnd is set for a body that ends with the connection.
	untilEnd bool
	chunked  bool
	complete bool

	left int64 // bytes of the content, or of the current chunk, that have not arrived
	part chunkPart

	line      int  // size of the current line of a chunked body
	digits    int  // of the size of the current chunk
	extension bool // the current line is in the extension after the size
	padding   bool // the current line is in the blanks after the size
	carriage  bool // the last byte of the current line is CR

	trailer []byte // the trailer so far; only if there is one
	fields  int    // number of its lines
}

// chunkPart is the part of a chunked body that is expected next.
type chunkPart uint8

const (
	chunkSize chunkPart = iota
	chunkData
	chunkEnd // the line break after the data
	chunkTrailer
)

// newBody returns the body after a head, before its first byte.
func newBody(h *head, hasBody bool) body {
	switch {
	case !hasBody || h.hasLength && h.length == 0:
		return body{complete: true}
	case h.chunked:
		return body{chunked: true}
	case h.hasLength:
		return body{left: h.length}
	}
	return body{untilEnd: true}
}

// follow reads on in the body and returns the number of bytes that belong to it: fewer than len(b) once it is complete.
func (d *body) follow(b []byte) (used int, err error) {
	for used < len(b) && !d.complete {
		switch {
		case d.untilEnd:
			used = len(b)
		case !d.chunked:
			used += d.skip(b[used:])
			d.complete = d.left == 0
		case d.part == chunkData:
			used += d.skip(b[used:])
			if d.left == 0 {
				d.beginLine(chunkEnd)
			}
		case d.part == chunkTrailer:
			n, err := d.followTrailer(b[used:])
			if err != nil {
				return used, err
			}
			used += n
		default:
			if err := d.followLine(b[used]); err != nil {
				return used, err
			}
			used++
		}
	}
	return used, nil
}

// skip passes over content.
func (d *body) skip(b []byte) int {
	n := int(min(int64(len(b)), d.left))
	d.left -= int64(n)
	return n
}

func (d *body) beginLine(part chunkPart) {
	d.part, d.line, d.digits, d.extension, d.padding, d.carriage = part, 0, 0, false, false, false
}

// followLine reads one byte of the line before a chunk, or of the line break after it.
func (d *body) followLine(c byte) error {
	d.line++
	switch {
	case d.line > maxChunkLine:
		return malformed("line of a chunk")
	case d.carriage && c == '\n':
		return d.endLine()
	case d.carriage || c == '\n':
		return malformed("line break of a chunk")
	case c == '\r':
		d.carriage = true
		return nil
	case d.part == chunkEnd:
		return malformed("end of a chunk")
	}
	digit, isHex := hexDigit(c)
	switch {
	case d.extension:
		if isControl(c) {
			return malformed("extension of a chunk")
		}
	case d.padding && c != ' ' && c != '\t':
		return malformed("size of a chunk")
	case isHex && d.digits < maxChunkDigits && d.left <= math.MaxInt64>>4:
		d.left = d.left<<4 | int64(digit)
		d.digits++
	case d.digits > 0 && c == ';':
		d.extension = true
	case d.digits > 0 && (c == ' ' || c == '\t'):
		d.padding = true
	default:
		return malformed("size of a chunk")
	}
	return nil
}

// endLine ends the line before a chunk, or the line break after it.
func (d *body) endLine() error {
	switch {
	case d.part == chunkEnd:
		d.beginLine(chunkSize)
	case d.digits == 0:
		return malformed("size of a chunk")
	case d.left == 0:
		d.beginLine(chunkTrailer)
	default:
		d.part = chunkData
	}
	return nil
}

// followTrailer reads at most one line of the trailer.
func (d *body) followTrailer(b []byte) (used int, err error) {
	used = len(b)
	lineBreak := bytes.IndexByte(b, '\n')
	if lineBreak >= 0 {
		used = lineBreak + 1
	}
	if len(d.trailer)+used > maxTrailerBytes {
		return 0, &Error{CauseHeadTooLarge, "trailer"}
	}
	d.trailer = append(d.trailer, b[:used]...)
	d.line += used
	if lineBreak < 0 {
		return used, nil
	}
	line, ending := cutLineBreak(d.trailer[len(d.trailer)-d.line:])
	d.line = 0
	switch {
	case ending != lineBreakCRLF:
		return 0, malformed("line break of the trailer")
	case len(line) == 0:
		d.complete = true
		return used, nil
	}
	d.fields++
	_, _, err = splitField(line)
	return used, err
}

func hexDigit(c byte) (value byte, ok bool) {
	switch {
	case isDigit(c):
		return c - '0', true
	case 'a' <= c|0x20 && c|0x20 <= 'f':
		return c | 0x20 - 'a' + 10, true
	}
	return 0, false
}
