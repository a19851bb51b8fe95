// Package httpclient decides whether the bytes that a server sends are a response, and whether the response is whole. All
// clients of the instance read through it: those of targets, of other instances and of the platform's store.
//
// A Conn is put below net/http, which parses and frames responses liberally. The bytes of a head reach net/http only once
// the head is complete and valid (RFC 9112, sections 2 to 7), and within the memory for responses. No byte of a server
// reaches net/http after the end of a response, or if no request was sent.
package httpclient

import (
	"fmt"
	"io"
)

// Cause says why the bytes of a server are not taken as a response.
type Cause string

// The causes.
const (
	// CauseMalformed means that the bytes are no HTTP/1 response to the request, or that its length is ambiguous.
	CauseMalformed Cause = "malformed"
	// CauseHeadTooLarge means that a head, or a trailer, exceeds its limit.
	CauseHeadTooLarge Cause = "head-too-large"
	// CauseHeadMemory means that there is no memory for a head or a trailer.
	CauseHeadMemory Cause = "head-memory"
	// CauseTruncated means that the connection ended before the response.
	CauseTruncated Cause = "truncated"
	// CauseUnsolicited means that the bytes follow a complete response, or that no request was sent.
	CauseUnsolicited Cause = "unsolicited"
)

// Error is the error of a read that found no valid response. The connection cannot be used again.
type Error struct {
	Cause Cause
	// Detail says what was found. It holds no bytes of the server.
	Detail string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("response is %s: %s", e.Cause, e.Detail) }

// Unwrap returns io.ErrUnexpectedEOF for a truncated response, and nil otherwise.
func (e *Error) Unwrap() error {
	if e.Cause == CauseTruncated {
		return io.ErrUnexpectedEOF
	}
	return nil
}

func malformed(detail string) error { return &Error{CauseMalformed, detail} }
