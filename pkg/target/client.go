// Package target sends attempts to targets over HTTP/1.1 and reports what is known about each of them.
//
// It owns the connections to one target per Client. It never repeats a request: each attempt is bound to one
// connection, and whether a byte of it was written is read from a counter on that connection. Whether another attempt
// may follow is decided in package core.
package target

import (
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// Config holds the connection settings of a Client.
type Config struct {
	// DialTimeout bounds a new connection.
	DialTimeout time.Duration
	// WaitLimit bounds the wait for a connection while MaxConnections are in use.
	WaitLimit time.Duration
	// MaxConnections bounds the open connections to the target from this instance.
	MaxConnections int
	// FreshWithin is how recently a reused connection must have received a byte to carry a non-idempotent attempt.
	FreshWithin time.Duration
	// IdleTimeout closes connections that were unused for this long.
	IdleTimeout time.Duration
	// Dialect encodes the headers exchanged with targets; nil means wire.Native.
	Dialect wire.Dialect
}

// DefaultConfig returns the connection settings that apply without settings.
func DefaultConfig() Config {
	return Config{
		DialTimeout:    time.Second,
		WaitLimit:      250 * time.Millisecond,
		MaxConnections: 14, // 200 connections per target over 14 entry instances
		FreshWithin:    time.Second,
		IdleTimeout:    30 * time.Second,
	}
}

// Attempt is one request to be sent once.
type Attempt struct {
	Method string
	// URL holds path and query; scheme and host are set by the client.
	URL *url.URL
	// Host is the Host header that the caller sent.
	Host   string
	Header http.Header
	Body   []byte
	// Trailer is sent after the body.
	Trailer http.Header
	// RequestID is the id that the answer must name where the dialect lets targets repeat it.
	RequestID string
	// TargetIdentity is the identity of the target for which the attempt is meant; empty when unknown.
	TargetIdentity string
	// Deadline is when the caller stops waiting. Both its clocks count.
	Deadline time.Time
	// Fresh asks for a connection that is new or received a byte within Config.FreshWithin.
	Fresh bool
	// IsCurrent, if set, is asked immediately before the first byte is written. If it returns false, the target was chosen
	// on an outdated view and the attempt ends with ReasonResumed. It must not block.
	IsCurrent func() bool
}

// Response is the head of a target's answer and its body. The body must be closed.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is the declared body length, or -1.
	ContentLength int64
	// Trailer is filled once the body was read to its end.
	Trailer http.Header
	// Body reads the rest of the answer. An error other than io.EOF is an *Error: the answer is not whole.
	Body io.ReadCloser
	// NoBody is set for the answer to a HEAD request, whose length describes a body that is not sent.
	NoBody bool
	// CloseDelimited is set for a body whose end cannot be told from a broken connection.
	CloseDelimited bool
	// Metadata is what the target states in its headers.
	Metadata wire.ResponseMetadata
}

// Reasons of attempts that end in this package, besides those of package core.
const (
	// ReasonCancelled: the attempt's context was cancelled.
	ReasonCancelled core.Reason = "cancelled"
	// ReasonNoConnection: all connections to the target were in use.
	ReasonNoConnection core.Reason = "no-connection"
	// ReasonUnverified: the answer belongs to another request or is not the target's.
	ReasonUnverified core.Reason = "foreign-answer"
	// ReasonResumed: Attempt.Current returned false, because the process was paused since the target was chosen.
	ReasonResumed core.Reason = "resumed"
)

// Error is the end of an attempt without a usable answer.
type Error struct {
	// Outcome is what is known about the attempt; never OutcomeAnswered.
	Outcome core.AttemptOutcome
	// Reason refines the outcome.
	Reason core.Reason
	// Failed is set if the error weighs against the target. A timeout on a reused connection that received nothing does
	// not: the connection may have become unresponsive while the target is well.
	Failed bool
	// Metadata is what the target stated when the attempt was refused by declaration.
	Metadata wire.ResponseMetadata
	// Err is the cause; nil for a declaration.
	Err error
}

// Error describes the outcome, its reason and the cause.
func (e *Error) Error() string {
	text := "attempt " + e.Outcome.String() + ": " + string(e.Reason)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
