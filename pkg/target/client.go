// Package target sends attempts to targets over HTTP/1.1 and classifies how they end.
//
// A Client owns the connections to one target. It never repeats a request: each attempt uses one connection, and a
// counter on that connection tells whether any byte of the attempt was written. Package core decides whether another
// attempt may follow.
package target

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/memorybudget"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// Config holds the connection settings of a Client.
type Config struct {
	// DialTimeout bounds a new connection.
	DialTimeout time.Duration
	// WaitLimit bounds the wait for a connection while all MaxConnections are in use.
	WaitLimit time.Duration
	// MaxConnections bounds the open connections to the target from this instance.
	MaxConnections int
	// FreshWithin is how recently an idle connection must have received a byte to be used for an attempt with
	// Attempt.Fresh, such as a non-idempotent one.
	FreshWithin time.Duration
	// IdleTimeout is how long a connection may stay idle before it is closed.
	IdleTimeout time.Duration
	// LocalIP is the source address of connections; unset, the kernel chooses one.
	LocalIP netip.Addr
	// Dialect encodes the headers exchanged with targets; nil means wire.Native.
	Dialect wire.Dialect
}

// DefaultConfig returns the connection settings that apply unless the settings file changes them.
func DefaultConfig() Config {
	return Config{
		DialTimeout:    time.Second,
		WaitLimit:      250 * time.Millisecond,
		MaxConnections: 14, // 200 connections per target, divided by 14 instances
		FreshWithin:    time.Second,
		IdleTimeout:    30 * time.Second,
	}
}

// Attempt is a request that is sent at most once.
type Attempt struct {
	Method string
	// URL holds the path and query; the client sets scheme and host.
	URL *url.URL
	// Host is the Host header that the caller sent.
	Host   string
	Header http.Header
	Body   []byte
	// Trailer is sent after the body.
	Trailer http.Header
	// Memory is what the head and the trailer of the response may take, beyond memorybudget.HeadAllowance; nil means no
	// bound.
	Memory *memorybudget.Reservation
	// RequestID is the ID that the response must repeat if the dialect requires it.
	RequestID string
	// TargetIdentity is the identity of the intended target, or empty if unknown.
	TargetIdentity string
	// Deadline is when the caller stops waiting. It passes when either its monotonic or its wall clock reading does.
	Deadline time.Time
	// Fresh requires a connection that is new or received a byte within Config.FreshWithin.
	Fresh bool
	// IsCurrent, if set, is called immediately before the first byte is written. If it returns false, the decision to send
	// the attempt is out of date and the attempt ends with ReasonOutdated. It must not block.
	IsCurrent func() bool
	// ConnectContext, if set, ends an attempt that waits for a connection. It has no effect once there is one.
	ConnectContext context.Context
}

// Response is a target's response. The caller must close Body.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is the declared body length in bytes, or -1 if unknown.
	ContentLength int64
	// Trailer is set once the body has been read to its end.
	Trailer http.Header
	// Body is read from the connection. A read error other than io.EOF is an *Error and means that the response is
	// truncated.
	Body io.ReadCloser
	// NoBody is set for a response to HEAD, whose ContentLength describes a body that is not sent.
	NoBody bool
	// CloseDelimited is set for a body that ends when the connection closes, so that truncation cannot be detected. It
	// is not set if the dialect accepts such bodies.
	CloseDelimited bool
	// Metadata is what the target reports in its headers.
	Metadata wire.ResponseMetadata
}

// Reasons for the end of an attempt, in addition to those of package core.
const (
	// ReasonCancelled means that the attempt's context was cancelled.
	ReasonCancelled core.Reason = "cancelled"
	// ReasonNoConnection means that all connections to the target stayed in use for Config.WaitLimit.
	ReasonNoConnection core.Reason = "no-connection"
	// ReasonUnverified means that wire.Dialect.VerifyResponse rejected the response, for example because it belongs to
	// another request or does not come from the target.
	ReasonUnverified core.Reason = "foreign-answer"
	// ReasonOutdated means that Attempt.IsCurrent returned false: since the attempt was decided, the process was paused, or
	// it has begun to stop.
	ReasonOutdated core.Reason = "outdated"
)

// Error describes the end of an attempt without a usable response.
type Error struct {
	// Outcome is what is known about the attempt. It is never core.OutcomeAnswered.
	Outcome core.AttemptOutcome
	// Reason refines the outcome.
	Reason core.Reason
	// Failed is set if the error counts as a failure of the target. A timeout on a reused connection that received
	// nothing does not count, because the connection may be unresponsive although the target is healthy.
	Failed bool
	// BrokeOff is set if the target ended the connection after the request, or a part of it, was written and before the
	// response was complete. The target may have crashed; Client.RefusesConnections tells more.
	BrokeOff bool
	// Unreachable is set if no connection to the target could be opened.
	Unreachable bool
	// Metadata is what the target reported in its headers, if they arrived: on a refusal by declaration, or on a response
	// that broke off. Otherwise nil.
	Metadata *wire.ResponseMetadata
	// Err is the cause; nil for a declaration.
	Err error
}

// Error returns the outcome, the reason and the cause.
func (e *Error) Error() string {
	text := "attempt " + e.Outcome.String() + ": " + string(e.Reason)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns Err.
func (e *Error) Unwrap() error { return e.Err }
