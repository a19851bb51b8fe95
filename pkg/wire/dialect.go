package wire

import (
	"errors"
	"net/http"
	"strconv"
	"time"
)

// Dialect encodes what callers, entry instances and targets tell each other in HTTP headers. Native is the project's
// own; a deployment whose callers and targets use other headers brings another. Implementations hold no state and are
// safe for concurrent use.
type Dialect interface {
	// ParseRequest reads what a caller states about its request.
	ParseRequest(h http.Header) RequestMetadata
	// RewriteRequestHeaders turns the headers of a caller's request into those of a request to a target. Hop-by-hop headers are gone
	// already.
	RewriteRequestHeaders(h http.Header, to ForwardedRequest)
	// SetAttemptHeaders states for which target a request is meant, if that is known, and how long the target may take. It is called
	// immediately before the request is written.
	SetAttemptHeaders(h http.Header, targetIdentity string, remaining time.Duration)
	// ParseResponse reads what a target states on its answer.
	ParseResponse(status int, h http.Header) ResponseMetadata
	// VerifyResponse returns why an answer cannot be the target's answer to the request with the given id, or nil.
	VerifyResponse(status int, h http.Header, requestID string) error
	// RewriteResponseHeaders turns the headers of a target's answer into those of the answer to the caller.
	RewriteResponseHeaders(h http.Header, requestID string, outcome Outcome)
	// SetRefusalHeaders sets the headers of an answer with which this instance refuses a request. Retry-After is zero where asking
	// again makes no sense.
	SetRefusalHeaders(h http.Header, refusal Refusal)
	// AllowsCloseDelimited reports whether an answer without a length is whole when its connection ends without an error.
	AllowsCloseDelimited() bool
}

// RequestMetadata is what a caller states about its request.
type RequestMetadata struct {
	// ID identifies the request in logs; empty when the caller sets none that is fit for use.
	ID string
	// CallerTimeout is how long the caller waits; only valid if Bounded.
	CallerTimeout    time.Duration
	HasCallerTimeout bool
	// Hops is the number of entry instances that the call chain has passed.
	Hops int
}

// ForwardedRequest is what a target is told beside the caller's request.
type ForwardedRequest struct {
	RequestID string
	Hops      int
}

// ResponseMetadata is what a target states on its answer.
type ResponseMetadata struct {
	// Declaration is set if the target declares that it did not run the request.
	Declaration Declaration
	// Load is the target's load; Load.Slots is 0 without a report.
	Load LoadReport
	// StartID identifies the start of the target; empty when unknown.
	StartID string
	// TargetIdentity is the identity of the target that answered; empty when it is not stated.
	TargetIdentity string
	// Leaving is set if the target drains.
	Leaving bool
	// GaveUp is set if an inner entry instance gave up on a nested call.
	GaveUp bool
}

// Refusal is an answer with which an entry instance refuses a request.
type Refusal struct {
	RequestID  string
	Outcome    Outcome
	Reason     string
	RetryAfter time.Duration
}

// Errors of Verify.
var (
	// ErrRequestIDMismatch marks an answer that belongs to another request.
	ErrRequestIDMismatch = errors.New("answer to another request")
	// ErrUnsigned marks an answer that the target did not sign as its own.
	ErrUnsigned = errors.New("answer without the target's signature")
	// ErrUnprovenRejection marks an answer whose status says that the request did not run, without the target's statement.
	ErrUnprovenRejection = errors.New("status of a rejection without the target's statement that it did not run the request")
	// ErrUnexpectedEncoding marks an answer with an encoding that nobody asked for.
	ErrUnexpectedEncoding = errors.New("answer with an encoding that was not asked for")
)

// Native is the dialect of the project's own headers.
type Native struct{}

var _ Dialect = Native{}

// ParseRequest implements Dialect.
func (Native) ParseRequest(h http.Header) RequestMetadata {
	r := RequestMetadata{ID: ParseRequestID(h), Hops: ParseHops(h)}
	r.CallerTimeout, r.HasCallerTimeout = ParseDeadline(h)
	return r
}

// RewriteRequestHeaders implements Dialect.
func (Native) RewriteRequestHeaders(h http.Header, to ForwardedRequest) {
	SanitizeRequest(h)
	h.Set(HeaderHops, strconv.Itoa(to.Hops))
	h.Set(HeaderRequestID, to.RequestID)
}

// SetAttemptHeaders implements Dialect. The project's own targets do not check their identity.
func (Native) SetAttemptHeaders(h http.Header, _ string, remaining time.Duration) {
	h.Set(HeaderDeadline, FormatDeadline(remaining))
}

// ParseResponse implements Dialect.
func (Native) ParseResponse(status int, h http.Header) ResponseMetadata {
	m := ResponseMetadata{StartID: h.Get(HeaderStart), GaveUp: GaveUp(h)}
	if d, ok := ParseDeclaration(h); ok && status >= http.StatusBadRequest {
		m.Declaration = d
	}
	m.Load, _ = ParseLoad(h)
	m.Leaving = h.Get(HeaderLeaving) != "" || h.Get(HeaderDeclare) == string(DeclareDraining)
	return m
}

// VerifyResponse implements Dialect. The project's own targets do not repeat the request id.
func (Native) VerifyResponse(int, http.Header, string) error { return nil }

// RewriteResponseHeaders implements Dialect.
func (Native) RewriteResponseHeaders(h http.Header, requestID string, outcome Outcome) {
	SanitizeResponse(h)
	h.Set(HeaderRequestID, requestID)
	h.Set(HeaderOutcome, string(outcome))
}

// SetRefusalHeaders implements Dialect. Retry-After is in whole seconds, rounded up.
func (Native) SetRefusalHeaders(h http.Header, r Refusal) {
	h.Set(HeaderRequestID, r.RequestID)
	h.Set(HeaderOutcome, string(r.Outcome))
	h.Set(HeaderReason, r.Reason)
	h.Set("Retry-After", strconv.FormatInt(max(int64((r.RetryAfter+time.Second-1)/time.Second), 1), 10))
}

// AllowsCloseDelimited implements Dialect: an answer that ends with its connection cannot be told from a broken one.
func (Native) AllowsCloseDelimited() bool { return false }
